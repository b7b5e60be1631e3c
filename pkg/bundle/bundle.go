package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"oleanderramp/internal/strictjson"
	"oleanderramp/pkg/finding"
)

// Digest is the SHA-256 of a bundle's canonical form.
type Digest [sha256.Size]byte

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Bytes returns the digest as a new slice.
func (d Digest) Bytes() []byte { return d[:] }

// Bundle is a validated document with its indexes. It is immutable and safe
// for concurrent use.
type Bundle struct {
	// document is normalized and has all defaults set.
	document Document
	digest   Digest
	accounts map[string]*ClientAccount
	keys     map[[sha256.Size]byte]*ClientAccount
	services map[string]*Service
	models   map[string]*Service
	// shares holds the share of each account, by service and by account.
	shares map[string]map[string]int
}

// Parse decodes and validates the JSON form of a bundle. The error is a
// *finding.Error with all problems found.
func Parse(data []byte) (*Bundle, error) {
	var document Document
	var list finding.List
	strictjson.Decode(data, &document, MaxDocumentBytes, &list)
	if list.Len() > 0 && document.isEmpty() {
		return nil, list.Err()
	}
	document.Defaults()
	var invalid finding.List
	document.Validate(&invalid)
	list.AppendNew(&invalid)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return compile(document)
}

// New validates a document and returns its bundle. The error is a
// *finding.Error with all problems found.
func New(document Document) (*Bundle, error) {
	document = document.clone()
	document.Defaults()
	var list finding.List
	document.Validate(&list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return compile(document)
}

// isEmpty reports whether no part of the document could be decoded.
func (d *Document) isEmpty() bool {
	return d.Regions == nil && d.ClientAccounts == nil && d.Services == nil
}

// compile builds the indexes of a validated document. It takes ownership of
// the document.
func compile(document Document) (*Bundle, error) {
	document.normalize()
	b := &Bundle{
		document: document,
		accounts: make(map[string]*ClientAccount),
		keys:     make(map[[sha256.Size]byte]*ClientAccount),
		services: make(map[string]*Service),
		models:   make(map[string]*Service),
		shares:   make(map[string]map[string]int),
	}
	canonical := document
	canonical.Version = 0
	data, err := json.Marshal(&canonical)
	if err != nil {
		return nil, fmt.Errorf("bundle: marshal: %w", err)
	}
	b.digest = sha256.Sum256(data)
	b.indexServices()
	if err := b.indexAccounts(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Bundle) indexServices() {
	for i := range b.document.Services {
		service := &b.document.Services[i]
		b.services[service.Name] = service
		b.shares[service.Name] = make(map[string]int)
		for _, model := range service.Models {
			b.models[model] = service
		}
	}
}

func (b *Bundle) indexAccounts() error {
	for i := range b.document.ClientAccounts {
		account := &b.document.ClientAccounts[i]
		b.accounts[account.Name] = account
		for _, text := range account.KeySHA256 {
			hash, err := parseKeyHash(text)
			if err != nil {
				return fmt.Errorf("bundle: key of client account %s: %w", account.Name, err)
			}
			b.keys[hash] = account
		}
		for _, service := range account.Services {
			b.shares[service][account.Name] = account.Share
		}
	}
	return nil
}

// Version returns the version, or 0 before it is assigned.
func (b *Bundle) Version() uint64 { return b.document.Version }

// Parent returns the version that the bundle is based on.
func (b *Bundle) Parent() uint64 { return b.document.Parent }

// Digest returns the SHA-256 of the canonical form without the version. It
// covers the parent, and doesn't depend on the order of unordered lists.
func (b *Bundle) Digest() Digest { return b.digest }

// StalenessLimit returns how long a daemon that has lost contact with the
// quorum continues to serve idempotent requests.
func (b *Bundle) StalenessLimit() time.Duration {
	return time.Duration(b.document.StalenessLimitSeconds) * time.Second
}

// Document returns a copy of the normalized document with all defaults set.
func (b *Bundle) Document() Document { return b.document.clone() }

// MarshalJSON returns the canonical form with the version. Parsing it gives an
// equal bundle.
func (b *Bundle) MarshalJSON() ([]byte, error) { return json.Marshal(&b.document) }

// WithVersion returns a copy of the bundle with the version.
func (b *Bundle) WithVersion(version uint64) *Bundle {
	copied := *b
	copied.document.Version = version
	return &copied
}

// Account returns the client account with that name. The caller must not
// modify it.
func (b *Bundle) Account(name string) (*ClientAccount, bool) {
	account, found := b.accounts[name]
	return account, found
}

// AccountByKey returns the client account that has a key with that SHA-256.
// The caller must not modify it.
func (b *Bundle) AccountByKey(hash [sha256.Size]byte) (*ClientAccount, bool) {
	account, found := b.keys[hash]
	return account, found
}

// Service returns the service with that name. The caller must not modify it.
func (b *Bundle) Service(name string) (*Service, bool) {
	service, found := b.services[name]
	return service, found
}

// ServiceForModel returns the service that lists the model. The caller must
// not modify it.
func (b *Bundle) ServiceForModel(model string) (*Service, bool) {
	service, found := b.models[model]
	return service, found
}

// Shares returns the share of each client account that may access the service,
// by account name. The caller must not modify it.
func (b *Bundle) Shares(service string) map[string]int { return b.shares[service] }
