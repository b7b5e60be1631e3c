package bundle

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"oleanderramp/internal/strictjson"
	"oleanderramp/pkg/finding"
)

// ErrDeltaBase is returned when a delta is applied to a bundle other than its
// base.
var ErrDeltaBase = errors.New("bundle: delta has a different base bundle")

// ErrDeltaResult is returned when the bundle that results from a delta doesn't
// have the digest stated in the delta.
var ErrDeltaResult = errors.New("bundle: digest mismatch after applying delta")

// delta is the JSON form of the change from one bundle to another.
type delta struct {
	BaseVersion uint64 `json:"base_version"`
	BaseDigest  string `json:"base_digest"`
	Version     uint64 `json:"version"`
	Digest      string `json:"digest"`

	Parent                uint64                    `json:"parent"`
	Note                  string                    `json:"note,omitempty"`
	StalenessLimitSeconds int                       `json:"staleness_limit_seconds"`
	Regions               *listDelta[Region]        `json:"regions,omitempty"`
	ClientAccounts        *listDelta[ClientAccount] `json:"client_accounts,omitempty"`
	Services              *listDelta[Service]       `json:"services,omitempty"`
}

// DeltaHeader identifies the base and the result of a delta.
type DeltaHeader struct {
	// BaseVersion is the version of the bundle that the delta applies to.
	BaseVersion uint64
	// Parent is the parent version of the resulting bundle.
	Parent uint64
	// Digest is the digest of the resulting bundle.
	Digest Digest
}

// ReadDelta decodes a delta without applying it. The error is a
// *finding.Error.
func ReadDelta(data []byte) (DeltaHeader, error) {
	change, err := decodeDelta(data)
	if err != nil {
		return DeltaHeader{}, err
	}
	var list finding.List
	digest, err := parseKeyHash(change.Digest)
	if err != nil {
		list.Addf("digest", "must be a SHA-256 of 64 lower-case hex digits")
	}
	return DeltaHeader{BaseVersion: change.BaseVersion, Parent: change.Parent, Digest: digest}, list.Err()
}

func decodeDelta(data []byte) (*delta, error) {
	var change delta
	var list finding.List
	strictjson.Decode(data, &change, 2*MaxDocumentBytes, &list)
	return &change, list.Err()
}

// listDelta is the difference between two lists of named items.
type listDelta[T any] struct {
	// Put holds the items that were added or changed.
	Put []T `json:"put,omitempty"`
	// Removed holds the names of the items that were removed.
	Removed []string `json:"removed,omitempty"`
}

func regionName(r *Region) string         { return r.Name }
func accountName(a *ClientAccount) string { return a.Name }
func serviceName(s *Service) string       { return s.Name }

// MakeDelta returns the change from one bundle to another in JSON. Its size
// grows with the number of regions, client accounts and services that differ.
func MakeDelta(from, to *Bundle) ([]byte, error) {
	old, changed := &from.document, &to.document
	data, err := json.Marshal(&delta{
		BaseVersion:           from.Version(),
		BaseDigest:            from.digest.String(),
		Version:               to.Version(),
		Digest:                to.digest.String(),
		Parent:                changed.Parent,
		Note:                  changed.Note,
		StalenessLimitSeconds: changed.StalenessLimitSeconds,
		Regions:               makeListDelta(old.Regions, changed.Regions, regionName),
		ClientAccounts:        makeListDelta(old.ClientAccounts, changed.ClientAccounts, accountName),
		Services:              makeListDelta(old.Services, changed.Services, serviceName),
	})
	if err != nil {
		return nil, fmt.Errorf("bundle: marshal delta: %w", err)
	}
	return data, nil
}

// makeListDelta returns the difference between two lists, or nil if they are
// equal.
func makeListDelta[T any](old, changed []T, name func(*T) string) *listDelta[T] {
	before := make(map[string]*T, len(old))
	for i := range old {
		before[name(&old[i])] = &old[i]
	}
	var s listDelta[T]
	for i := range changed {
		item := &changed[i]
		previous, found := before[name(item)]
		if !found || !reflect.DeepEqual(previous, item) {
			s.Put = append(s.Put, *item)
		}
		delete(before, name(item))
	}
	for removed := range before {
		s.Removed = append(s.Removed, removed)
	}
	if len(s.Put) == 0 && len(s.Removed) == 0 {
		return nil
	}
	slices.Sort(s.Removed)
	return &s
}

// ApplyDelta returns the bundle that results from applying the delta. The
// error wraps ErrDeltaBase or ErrDeltaResult, or is a *finding.Error if the
// delta can't be decoded.
func (b *Bundle) ApplyDelta(data []byte) (*Bundle, error) {
	change, err := decodeDelta(data)
	if err != nil {
		return nil, err
	}
	if change.BaseVersion != b.Version() || change.BaseDigest != b.digest.String() {
		return nil, fmt.Errorf("%w: base version %d, have %d", ErrDeltaBase, change.BaseVersion, b.Version())
	}
	document := b.document.clone()
	document.Version = change.Version
	document.Parent = change.Parent
	document.Note = change.Note
	document.StalenessLimitSeconds = change.StalenessLimitSeconds
	document.Regions = change.Regions.apply(document.Regions, regionName)
	document.ClientAccounts = change.ClientAccounts.apply(document.ClientAccounts, accountName)
	document.Services = change.Services.apply(document.Services, serviceName)
	result, err := New(document)
	if err != nil {
		return nil, fmt.Errorf("bundle: validate result of delta: %w", err)
	}
	if result.digest.String() != change.Digest {
		return nil, fmt.Errorf("%w: want %s, got %s", ErrDeltaResult, change.Digest, result.digest)
	}
	return result, nil
}

func (s *listDelta[T]) apply(items []T, name func(*T) string) []T {
	if s == nil {
		return items
	}
	superseded := make(map[string]bool)
	for _, removed := range s.Removed {
		superseded[removed] = true
	}
	for i := range s.Put {
		superseded[name(&s.Put[i])] = true
	}
	kept := slices.DeleteFunc(items, func(item T) bool { return superseded[name(&item)] })
	return append(kept, s.Put...)
}
