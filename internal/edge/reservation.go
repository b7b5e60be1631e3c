package edge

import (
	"time"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/endpoint"
)

// reservation is the capacity that a request occupies at an endpoint.
type reservation struct {
	admission *AdmissionController
	inner     *balance.Reservation
	// firstEventSeen is true after the first event.
	firstEventSeen bool
}

// recordEvents records that count recordEvents of the answer were received.
func (r *reservation) recordEvents(now time.Time, count int) {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	r.ignoreLateTimes()
	r.inner.RecordEvents(now, count)
	if !r.firstEventSeen {
		r.firstEventSeen = true
		r.admission.placeWaiting(now)
	}
}

// recordNotice records what the endpoint stated about itself. It returns the rate
// limits before and after it.
func (r *reservation) recordNotice(now time.Time, notice endpoint.Notice) (before, after float64) {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	if notice.Leaving {
		r.inner.RecordLeaving()
	}
	if notice.Pause > 0 {
		r.inner.RecordPause(now.Add(notice.Pause))
	}
	if notice.RateLimit == 0 && !notice.Answer {
		return 0, 0
	}
	return r.inner.RecordRateLimit(now, notice.RateLimit)
}

// maxMeasuringLag is the lag up to which this router measures endpoints: it reads each
// part of an answer late by about that much.
const maxMeasuringLag = 10 * time.Millisecond

// ignoreLateTimes keeps the endpoint from being measured while this router lags. The
// controller's mu is held.
func (r *reservation) ignoreLateTimes() {
	if r.admission.lag != nil && r.admission.lag() > maxMeasuringLag {
		r.inner.IgnoreTimes()
	}
}

// end releases the reservation and records the outcome.
func (r *reservation) end(now time.Time, outcome balance.Outcome) {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	r.ignoreLateTimes()
	r.inner.End(now, outcome)
	r.admission.placeWaiting(now)
}
