package endpoint

import (
	"net/netip"
	"slices"
	"strconv"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/finding"
)

// AnnouncementDocument is the JSON form of an endpoint's announcement. The
// first announcement starts a lease and each later one renews it.
type AnnouncementDocument struct {
	// Endpoint is the name of the endpoint, unique within its service.
	Endpoint string `json:"endpoint"`
	// Incarnation increases with each start of the endpoint.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	Service  string `json:"service"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// Address is where the endpoint serves HTTP, as "IP:port".
	Address string `json:"address"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots uint32 `json:"slots"`
	// ChecksFencing reports whether the endpoint rejects orders with a stale
	// fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Running and Queued are the endpoint's own counts of its requests.
	Running  uint32   `json:"running,omitempty"`
	Queued   uint32   `json:"queued,omitempty"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Cached holds hashes of prompt prefixes, each 16 hexadecimal digits.
	Cached []string `json:"cached,omitempty"`
	// Leaving is true if the endpoint must receive no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// LeaseMS is how long the announcement is valid, in milliseconds. 0 selects
	// AnnouncementLimits.DefaultLeaseMS.
	LeaseMS uint32 `json:"lease_ms,omitempty"`
}

// AnnouncementLimits holds the limits on the contents of an announcement. Zero
// fields take their defaults.
type AnnouncementLimits struct {
	MaxBytes     int64
	MaxNameBytes int
	MaxSlots     uint32
	// MaxNames is the maximum number of models, and of adapters.
	MaxNames  int
	MaxCached int
	// MinLeaseMS and MaxLeaseMS are the limits of the lease, in milliseconds.
	MinLeaseMS     uint32
	MaxLeaseMS     uint32
	DefaultLeaseMS uint32
}

// Defaults of AnnouncementLimits.
const (
	defaultMaxAnnouncementBytes = 64 << 10
	defaultMaxNameBytes         = 128
	defaultMaxSlots             = 100_000
	defaultMaxNames             = 256
	defaultMaxCached            = 1024
	defaultMinLeaseMS           = 500
	defaultMaxLeaseMS           = 60_000
	defaultLeaseMS              = 3_000
)

// Defaults fills the fields that are unset.
func (l *AnnouncementLimits) Defaults() {
	setDefault(&l.MaxBytes, defaultMaxAnnouncementBytes)
	setDefault(&l.MaxNameBytes, defaultMaxNameBytes)
	setDefault(&l.MaxSlots, defaultMaxSlots)
	setDefault(&l.MaxNames, defaultMaxNames)
	setDefault(&l.MaxCached, defaultMaxCached)
	setDefault(&l.MinLeaseMS, defaultMinLeaseMS)
	setDefault(&l.MaxLeaseMS, defaultMaxLeaseMS)
	setDefault(&l.DefaultLeaseMS, defaultLeaseMS)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns all violations of the limits in the document.
func (d *AnnouncementDocument) Validate(limits AnnouncementLimits) *finding.List {
	limits.Defaults()
	found := &finding.List{}
	for _, name := range []struct{ place, value string }{
		{"endpoint", d.Endpoint}, {"service", d.Service}, {"region", d.Region}, {"zone", d.Zone},
	} {
		checkName(found, name.place, name.value, limits)
	}
	if d.Incarnation == 0 {
		found.Addf("incarnation", "must be at least 1")
	}
	if address, err := netip.ParseAddrPort(d.Address); err != nil || address.Port() == 0 {
		found.Addf("address", "must be IP:port, got %q", d.Address)
	}
	if d.Slots == 0 || d.Slots > limits.MaxSlots {
		found.Addf("slots", "must be from 1 to %d, got %d", limits.MaxSlots, d.Slots)
	}
	if d.LeaseMS != 0 && (d.LeaseMS < limits.MinLeaseMS || d.LeaseMS > limits.MaxLeaseMS) {
		found.Addf("lease_ms", "must be 0 or from %d to %d, got %d", limits.MinLeaseMS, limits.MaxLeaseMS, d.LeaseMS)
	}
	checkNames(found, "models", d.Models, limits)
	checkNames(found, "adapters", d.Adapters, limits)
	if len(d.Cached) > limits.MaxCached {
		found.Addf("cached", "must hold at most %d hashes, got %d", limits.MaxCached, len(d.Cached))
	}
	for i, text := range d.Cached {
		if _, err := parseHash(text); err != nil {
			found.Addf(place("cached", i), "must be 16 hexadecimal digits, got %q", text)
		}
	}
	return found
}

func checkNames(found *finding.List, field string, names []string, limits AnnouncementLimits) {
	if len(names) > limits.MaxNames {
		found.Addf(field, "must hold at most %d names, got %d", limits.MaxNames, len(names))
	}
	for i, name := range names {
		checkName(found, place(field, i), name, limits)
	}
}

func checkName(found *finding.List, place, name string, limits AnnouncementLimits) {
	switch {
	case name == "":
		found.Addf(place, "must not be empty")
	case len(name) > limits.MaxNameBytes:
		found.Addf(place, "must have at most %d bytes, got %d", limits.MaxNameBytes, len(name))
	case slices.ContainsFunc([]rune(name), func(r rune) bool { return r < ' ' || r == 0x7f }):
		found.Addf(place, "must not hold control characters")
	}
}

func place(field string, index int) string {
	return field + "[" + strconv.Itoa(index) + "]"
}

// hashDigits is the number of hexadecimal digits of a prefix hash.
const hashDigits = 16

func parseHash(text string) (uint64, error) {
	if len(text) != hashDigits {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(text, 16, 64)
}

// FormatHash formats a prefix hash as it appears in AnnouncementDocument.Cached.
func FormatHash(hash uint64) string {
	text := strconv.FormatUint(hash, 16)
	for len(text) < hashDigits {
		text = "0" + text
	}
	return text
}

// message returns the wire form of a valid document.
func (d *AnnouncementDocument) message(limits AnnouncementLimits) *wire.Announcement {
	m := &wire.Announcement{
		Endpoint:      d.Endpoint,
		Incarnation:   d.Incarnation,
		Sequence:      d.Sequence,
		Service:       d.Service,
		Region:        d.Region,
		Zone:          d.Zone,
		Address:       d.Address,
		Slots:         d.Slots,
		ChecksFencing: d.ChecksFencing,
		Running:       d.Running,
		Queued:        d.Queued,
		Models:        d.Models,
		Adapters:      d.Adapters,
		Leaving:       d.Leaving,
		LeaseMs:       d.LeaseMS,
	}
	if m.LeaseMs == 0 {
		m.LeaseMs = limits.DefaultLeaseMS
	}
	for _, text := range d.Cached {
		hash, err := parseHash(text)
		if err == nil {
			m.Cached = append(m.Cached, hash)
		}
	}
	return m
}
