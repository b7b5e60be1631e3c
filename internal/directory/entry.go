package directory

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxTextBytes is the maximum length of each text of an entry.
	maxTextBytes = 512
	// maxSlots is the maximum number of slots.
	maxSlots = 1 << 20
	// maxSequence is the largest number that all JSON encoders write alike.
	maxSequence = 1 << 53
	// maxStartAhead is how far in the future the start of an endpoint may seem to be, as
	// clocks differ.
	maxStartAhead = 24 * time.Hour
)

// Entry is the latest announcement of an endpoint.
type Entry struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Zone    string
	Region  string
	// Started is when the endpoint started, by its own clock; zero if unknown.
	Started time.Time
	// Sequence increases with each announcement since the endpoint started.
	Sequence uint64
	// Software is the version of the endpoint's software; "" if unknown.
	Software string
	// Slots is how many requests the endpoint runs concurrently.
	Slots int
	// Leaving endpoints get no new work. An endpoint that is leaving stays so
	// until it restarts.
	Leaving bool
	// LastSeen is when the announcement was received, by the receiver's clock.
	LastSeen time.Time
	// ColdFor is how much longer than LastSeen the endpoint is cold; 0 if it is warm.
	ColdFor time.Duration
	// FirstSeen is when the first daemon heard of this start of the endpoint; zero if
	// unknown.
	FirstSeen time.Time
	// RateLimit is what the endpoint last stated to a router, not in announcements.
	RateLimit RateLimit
}

// Validate returns an error that names the first field which can't be that of an endpoint.
// An entry with such a field could not be encoded for other daemons, or would replace the
// entries of sound endpoints for good.
func (e Entry) Validate() error {
	texts := []struct{ field, text string }{
		{"id", e.ID}, {"service", e.Service}, {"zone", e.Zone}, {"region", e.Region}, {"software version", e.Software},
	}
	for _, t := range texts {
		if err := validateText(t.text); err != nil {
			return fmt.Errorf("%s: %w", t.field, err)
		}
	}
	switch {
	case e.ID == "":
		return errors.New("id: empty")
	case e.Sequence > maxSequence:
		return fmt.Errorf("sequence: %d is more than %d", e.Sequence, uint64(maxSequence))
	case e.Started.Sub(e.LastSeen) > maxStartAhead:
		return fmt.Errorf("start: more than %v in the future", maxStartAhead)
	case e.Slots < 0 || e.Slots > maxSlots:
		return fmt.Errorf("slots: %d is not between 0 and %d", e.Slots, maxSlots)
	case e.ColdFor < 0 || e.ColdFor > maxColdFor:
		return fmt.Errorf("cold phase: %v is not between 0 and %v", e.ColdFor, maxColdFor)
	case e.Leaving && e.Address == "":
		return nil // Only the id of an endpoint that leaves may be known.
	}
	return validateAddress(e.Address)
}

func validateText(text string) error {
	switch {
	case len(text) > maxTextBytes:
		return fmt.Errorf("%d bytes are more than %d", len(text), maxTextBytes)
	case !utf8.ValidString(text):
		return errors.New("not UTF-8")
	case strings.ContainsFunc(text, unicode.IsControl):
		return errors.New("control character")
	}
	return nil
}

func validateAddress(address string) error {
	if len(address) > maxTextBytes {
		return fmt.Errorf("address: %d bytes are more than %d", len(address), maxTextBytes)
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if parsed.Port() == 0 {
		return errors.New("address: port 0")
	}
	return nil
}

// describesOther reports whether the endpoint is to be used in another way than by
// held.
func (e Entry) describesOther(held Entry) bool {
	return e.Address != held.Address || e.Slots != held.Slots || e.Service != held.Service || e.Zone != held.Zone ||
		e.Software != held.Software
}

// isRestartOf reports whether e is from a later start of the endpoint than
// held.
func (e Entry) isRestartOf(held Entry) bool {
	if e.Started.IsZero() && held.Started.IsZero() {
		return e.Sequence < held.Sequence && e.LastSeen.Sub(held.LastSeen) >= minRestartSilence
	}
	return e.Started.After(held.Started)
}
