package membudget

import "time"

// Pace is the minimum progress of a client that sends or reads.
type Pace struct {
	// BytesPerSecond is the minimum rate, measured over StallTime.
	BytesPerSecond int64
	// StallTime is how long StallTime x BytesPerSecond bytes may take.
	StallTime time.Duration
	// Total bounds the time of the whole message; 0 for no bound.
	Total time.Duration
}

// StepBytes returns how many bytes must arrive within StallTime.
func (p Pace) StepBytes() int64 {
	return max(int64(float64(p.BytesPerSecond)*p.StallTime.Seconds()), 1)
}

// Progress tracks whether a client keeps a minimum pace.
type Progress struct {
	pace Pace
	// end is when the whole message must have passed; zero for no bound.
	end time.Time
	// until is when the current step must have passed, of which step bytes are left.
	until time.Time
	step  int64
}

// NewProgress returns the progress of a client that starts now.
func NewProgress(now time.Time, pace Pace) Progress {
	p := Progress{pace: pace, until: now.Add(pace.StallTime), step: pace.StepBytes()}
	if pace.Total > 0 {
		p.end = now.Add(pace.Total)
	}
	return p
}

// Add records bytes that have passed. It returns true if the deadline has changed.
func (p *Progress) Add(now time.Time, bytes int) bool {
	p.step -= int64(bytes)
	if p.step > 0 {
		return false
	}
	p.step, p.until = p.pace.StepBytes(), now.Add(p.pace.StallTime)
	return true
}

// Deadline returns when the client is ended unless it makes progress.
func (p *Progress) Deadline() time.Time {
	if !p.end.IsZero() && p.end.Before(p.until) {
		return p.end
	}
	return p.until
}
