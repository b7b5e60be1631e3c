package settings

import (
	"time"

	"oleanderramp/pkg/finding"
)

// Clients bounds what clients can make a daemon of a site hold, and for how long.
type Clients struct {
	// MaxHeaderFields is the maximum number of header fields of a request.
	MaxHeaderFields int `json:"max_header_fields,omitempty"`
	// MinBytesPerS is the minimum rate, in bytes per second, at which a client sends a
	// body and reads an answer.
	MinBytesPerS int64 `json:"min_bytes_per_s,omitempty"`
	// BodyStallS and AnswerStallS are over how many seconds that rate is measured.
	BodyStallS   float64 `json:"body_stall_s,omitempty"`
	AnswerStallS float64 `json:"answer_stall_s,omitempty"`
	// BodyTimeoutS is how long a body may take in all, in seconds.
	BodyTimeoutS float64 `json:"body_timeout_s,omitempty"`
}

// Defaults of the bounds of clients.
const (
	defaultMaxHeaderFields = 256
	defaultMinBytesPerS    = 256
	defaultBodyStallS      = 5
	defaultAnswerStallS    = 15
	defaultBodyTimeoutS    = 60
)

// Defaults sets all unset fields to their defaults.
func (c *Clients) Defaults() {
	setDefault(&c.MaxHeaderFields, defaultMaxHeaderFields)
	setDefault(&c.MinBytesPerS, defaultMinBytesPerS)
	setDefault(&c.BodyStallS, defaultBodyStallS)
	setDefault(&c.AnswerStallS, defaultAnswerStallS)
	setDefault(&c.BodyTimeoutS, defaultBodyTimeoutS)
}

// Validate adds a finding if a bound is not positive.
func (c *Clients) Validate(list *finding.List) {
	if c.MaxHeaderFields < 1 || c.MinBytesPerS < 1 || c.BodyStallS <= 0 || c.AnswerStallS <= 0 || c.BodyTimeoutS <= 0 {
		list.Addf("clients", "all bounds must be more than 0")
	}
}

// BodyStall returns BodyStallS as a duration.
func (c *Clients) BodyStall() time.Duration { return seconds(c.BodyStallS) }

// AnswerStall returns AnswerStallS as a duration.
func (c *Clients) AnswerStall() time.Duration { return seconds(c.AnswerStallS) }

// BodyTimeout returns BodyTimeoutS as a duration.
func (c *Clients) BodyTimeout() time.Duration { return seconds(c.BodyTimeoutS) }
