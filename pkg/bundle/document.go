// Package bundle defines the configuration bundle: the client accounts with
// their shares of capacity, the services that they may access, and the regions
// and availability zones of the fleet.
//
// A Document is the JSON form that operators write. A Bundle is a validated,
// immutable Document with its indexes.
package bundle

import (
	"slices"
	"strings"
	"unicode"

	"oleanderramp/pkg/finding"
)

// Document is the JSON form of a configuration bundle.
type Document struct {
	// Version is assigned when the bundle is accepted: the parent version plus
	// one.
	Version uint64 `json:"version"`
	// Parent is the accepted version that this bundle is based on; 0 for the
	// first bundle.
	Parent uint64 `json:"parent"`
	// Note describes the change for the reviewer. It is part of the digest.
	Note string `json:"note,omitempty"`
	// StalenessLimitSeconds is how long a daemon that has lost contact with
	// the quorum continues to serve idempotent requests.
	StalenessLimitSeconds int             `json:"staleness_limit_seconds,omitempty"`
	Regions               []Region        `json:"regions"`
	ClientAccounts        []ClientAccount `json:"client_accounts"`
	Services              []Service       `json:"services"`
}

// Bounds of a document.
const (
	// MaxDocumentBytes bounds the JSON form of a document.
	MaxDocumentBytes = 8 << 20

	maxRegions          = 100
	maxZones            = 100
	maxClientAccounts   = 20_000
	maxServices         = 1_000
	maxNoteBytes        = 1_000
	maxStalenessSeconds = 7 * 24 * 3600

	defaultStalenessSeconds = 600
)

// Defaults sets all unset fields of the document and its parts to their
// defaults.
func (d *Document) Defaults() {
	setDefault(&d.StalenessLimitSeconds, defaultStalenessSeconds)
	for i := range d.ClientAccounts {
		d.ClientAccounts[i].Defaults()
	}
	for i := range d.Services {
		d.Services[i].Defaults()
	}
}

// Validate adds a finding for each problem of the document.
func (d *Document) Validate(list *finding.List) {
	checkRange(list, "staleness_limit_seconds", d.StalenessLimitSeconds, 1, maxStalenessSeconds)
	if len(d.Note) > maxNoteBytes {
		list.Addf("note", "has %d bytes, more than the %d allowed", len(d.Note), maxNoteBytes)
	}
	if strings.ContainsFunc(d.Note, func(c rune) bool { return !unicode.IsPrint(c) }) {
		list.Addf("note", "must be printable characters on one line")
	}
	if d.Parent == ^uint64(0) {
		list.Addf("parent", "is too large")
	}
	d.validateRegions(list)
	d.validateServices(list)
	d.validateAccounts(list)
}

func (d *Document) validateRegions(list *finding.List) {
	checkCount(list, "regions", len(d.Regions), 1, maxRegions)
	names := newUniqueSet("region")
	zones := newUniqueSet("availability zone")
	for i := range d.Regions {
		place := elementPlace("regions", i)
		d.Regions[i].validate(place, zones, list)
		names.check(list, place+".name", d.Regions[i].Name)
	}
}

func (d *Document) validateServices(list *finding.List) {
	checkCount(list, "services", len(d.Services), 1, maxServices)
	names := newUniqueSet("service")
	models := newUniqueSet("model")
	for i := range d.Services {
		place := elementPlace("services", i)
		d.Services[i].validate(place, models, list)
		names.check(list, place+".name", d.Services[i].Name)
	}
}

func (d *Document) validateAccounts(list *finding.List) {
	checkCount(list, "client_accounts", len(d.ClientAccounts), 0, maxClientAccounts)
	services := make(map[string]bool)
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	names := newUniqueSet("client account")
	keys := newUniqueSet("key")
	for i := range d.ClientAccounts {
		place := elementPlace("client_accounts", i)
		d.ClientAccounts[i].validate(place, services, keys, list)
		names.check(list, place+".name", d.ClientAccounts[i].Name)
	}
}

// normalize sorts all lists whose order is not significant.
func (d *Document) normalize() {
	slices.SortFunc(d.Regions, func(a, b Region) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.ClientAccounts, func(a, b ClientAccount) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range d.Regions {
		d.Regions[i].Zones = sorted(d.Regions[i].Zones)
	}
	for i := range d.ClientAccounts {
		account := &d.ClientAccounts[i]
		account.KeySHA256 = sorted(account.KeySHA256)
		account.Services = sorted(account.Services)
	}
	for i := range d.Services {
		d.Services[i].normalize()
	}
	d.Regions = nonNil(d.Regions)
	d.ClientAccounts = nonNil(d.ClientAccounts)
	d.Services = nonNil(d.Services)
}

// clone returns a copy that shares no memory with d.
func (d *Document) clone() Document {
	copied := *d
	copied.Regions = slices.Clone(d.Regions)
	for i := range copied.Regions {
		copied.Regions[i].Zones = slices.Clone(copied.Regions[i].Zones)
	}
	copied.ClientAccounts = slices.Clone(d.ClientAccounts)
	for i := range copied.ClientAccounts {
		account := &copied.ClientAccounts[i]
		account.KeySHA256 = slices.Clone(account.KeySHA256)
		account.Services = slices.Clone(account.Services)
	}
	copied.Services = slices.Clone(d.Services)
	for i := range copied.Services {
		copied.Services[i] = copied.Services[i].clone()
	}
	return copied
}

func sorted(values []string) []string {
	values = nonNil(values)
	slices.Sort(values)
	return values
}

func nonNil[T any](values []T) []T {
	if values == nil {
		return []T{}
	}
	return values
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
