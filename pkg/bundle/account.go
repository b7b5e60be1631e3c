package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"oleanderramp/pkg/finding"
)

// ClientAccount is a customer: its share of capacity, its keys and the
// services that it may access.
type ClientAccount struct {
	Name string `json:"name"`
	// Share is the weight of the account relative to other accounts, at least 1.
	Share int `json:"share"`
	// KeySHA256 holds the hex SHA-256 of each bearer key of the account.
	KeySHA256 []string `json:"key_sha256"`
	// Services holds the names of the services that the account may access.
	Services []string `json:"services"`
	// MaxQueued bounds the account's queued requests at one router.
	MaxQueued int `json:"max_queued,omitempty"`
}

// Bounds of a client account.
const (
	maxShare           = 1_000_000
	maxKeys            = 32
	maxQueued          = 100_000
	defaultMaxQueued   = 1_000
	maxAccountServices = maxServices
)

// Defaults sets all unset fields to their defaults.
func (a *ClientAccount) Defaults() {
	setDefault(&a.MaxQueued, defaultMaxQueued)
}

// CanAccess reports whether the account may access the service.
func (a *ClientAccount) CanAccess(service string) bool {
	for _, name := range a.Services {
		if name == service {
			return true
		}
	}
	return false
}

// Validate adds a finding for each problem of the account itself. Only
// Document.Validate checks that its services exist.
func (a *ClientAccount) Validate(list *finding.List) {
	a.validate("", nil, newUniqueSet("key"), list)
}

// validate also checks that the services are in known, unless known is nil.
func (a *ClientAccount) validate(place string, known map[string]bool, keys *uniqueSet, list *finding.List) {
	list.CheckName(fieldPlace(place, "name"), a.Name)
	checkRange(list, fieldPlace(place, "share"), a.Share, 1, maxShare)
	checkRange(list, fieldPlace(place, "max_queued"), a.MaxQueued, 1, maxQueued)
	checkCount(list, fieldPlace(place, "key_sha256"), len(a.KeySHA256), 0, maxKeys)
	for i, key := range a.KeySHA256 {
		keyPlace := elementPlace(fieldPlace(place, "key_sha256"), i)
		if _, err := parseKeyHash(key); err != nil {
			list.Addf(keyPlace, "must be a SHA-256 of 64 lower-case hex digits")
			continue
		}
		keys.check(list, keyPlace, key)
	}
	checkCount(list, fieldPlace(place, "services"), len(a.Services), 0, maxAccountServices)
	names := newUniqueSet("service")
	for i, service := range a.Services {
		servicePlace := elementPlace(fieldPlace(place, "services"), i)
		names.check(list, servicePlace, service)
		if known != nil && !known[service] {
			list.Addf(servicePlace, "unknown service %q", service)
		}
	}
}

// parseKeyHash decodes a SHA-256 in lower-case hex.
func parseKeyHash(text string) ([sha256.Size]byte, error) {
	var hash [sha256.Size]byte
	if len(text) != hex.EncodedLen(len(hash)) || text != strings.ToLower(text) {
		return hash, hex.ErrLength
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err
}
