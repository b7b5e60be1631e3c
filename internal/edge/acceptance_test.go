package edge

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/balance"
)

// routerModel is a router with a fraction of a core, in virtual time, whose callers send
// far more requests than it can serve.
type routerModel struct {
	forwarder *Forwarder
	// accepts reports whether to accept the next connection.
	accepts func(now time.Time, fresh int) bool
	// offered is the number of connections per second, each with one request.
	offered int
	// lagDelay is how long ago the lag was that the router knows.
	lagDelay time.Duration

	// queue holds the work in the order in which it arrived. waits is what new work
	// waits, for each step.
	queue  []modelWork
	waits  []time.Duration
	served int
}

// modelWork is work that takes processor time.
type modelWork struct {
	left time.Duration
	// read is set for the reading of a request, which is then shed or served.
	read bool
}

const (
	modelStep = time.Millisecond
	// modelCore is the fraction of a core that the router has.
	modelCore = 0.2
	// The processor time to close a connection unread, to read a request (and refuse it),
	// and to serve it.
	modelCloseTime = 15 * time.Microsecond
	modelReadTime  = 300 * time.Microsecond
	modelServeTime = 1200 * time.Microsecond
	// modelLagDelay is the usual lagDelay.
	modelLagDelay = 100 * time.Millisecond
)

func newRouterModel(offered int) *routerModel {
	m := &routerModel{offered: offered, lagDelay: modelLagDelay}
	m.forwarder = New(Config{Lag: m.lag, UnsyncedFor: func() time.Duration { return 0 }})
	m.accepts = m.forwarder.AcceptsConnection
	return m
}

// lag returns what work waited lagDelay ago.
func (m *routerModel) lag() time.Duration {
	known := len(m.waits) - 1 - int(m.lagDelay/modelStep)
	if known < 0 {
		return 0
	}
	return m.waits[known]
}

// run runs the model.
func (m *routerModel) run(start time.Time, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += modelStep {
		now := start.Add(at)
		before := int(at.Seconds() * float64(m.offered))
		for range int((at+modelStep).Seconds()*float64(m.offered)) - before {
			m.arrive(now)
		}
		m.work(now)
		backlog := time.Duration(0)
		for _, w := range m.queue {
			backlog += w.left
		}
		m.waits = append(m.waits, time.Duration(float64(backlog)/modelCore))
	}
}

// fresh returns the number of accepted connections from which nothing was read yet.
func (m *routerModel) fresh() int {
	fresh := 0
	for _, w := range m.queue {
		if w.read {
			fresh++
		}
	}
	return fresh
}

func (m *routerModel) arrive(now time.Time) {
	if m.accepts(now, m.fresh()) {
		m.queue = append(m.queue, modelWork{left: modelReadTime, read: true})
		return
	}
	m.queue = append(m.queue, modelWork{left: modelCloseTime})
}

// work does the work of one step.
func (m *routerModel) work(now time.Time) {
	left := time.Duration(float64(modelStep) * modelCore)
	for left > 0 && len(m.queue) > 0 {
		done := min(left, m.queue[0].left)
		left -= done
		m.queue[0].left -= done
		if m.queue[0].left > 0 {
			return
		}
		read := m.queue[0].read
		m.queue = m.queue[1:]
		if !read || m.forwarder.rejectEarly(now, &task{}, false) != nil {
			continue
		}
		m.served++
		m.forwarder.acceptance.recordPlaced(now)
		m.queue = append(m.queue, modelWork{left: modelServeTime})
	}
}

// TestFloodedRouterServesWhatItHasTimeFor guards against a router that spends its
// processor time on reading requests that it sheds, and by turns takes too many requests
// and none, so that an account whose callers all reach it gets far less than its share.
func TestFloodedRouterServesWhatItHasTimeFor(t *testing.T) {
	const (
		seconds = 20
		// minUsed is the least part of the time left beside closing connections that
		// serving must get: an account is to get half of what the best served gets, also
		// if its callers all reach such a router, and a fifth more for safety.
		minUsed = 0.6
	)
	for _, offered := range []int{300, 1000, 2000, 4000} {
		c := qt.New(t)
		m := newRouterModel(offered)
		m.run(time.Unix(1_000_000, 0), seconds*time.Second)
		available := modelCore - modelCloseTime.Seconds()*float64(offered)
		possible := available / (modelReadTime + modelServeTime).Seconds() * seconds
		used := float64(m.served) / possible
		t.Logf("%d requests per second: %d served of %.0f that the processor time allows, lag %v", offered, m.served, possible, m.lag())
		c.Check(used >= minUsed, qt.IsTrue, qt.Commentf("%d requests per second: %.2f of what the processor time allows is served", offered, used))
	}
}

// TestFloodThatBeginsDoesNotFillTheQueue guards against a router that accepts all
// connections of a flood until its lag shows it, and then has more requests to read than
// it can in the time for which callers wait.
func TestFloodThatBeginsDoesNotFillTheQueue(t *testing.T) {
	// maxWait is how long a caller waits for a daemon that does not read its request.
	const maxWait = time.Second
	for _, offered := range []int{1000, 4000, 8000} {
		c := qt.New(t)
		m := newRouterModel(offered)
		m.lagDelay = 300 * time.Millisecond // The lag is the least of a while, measured again and again.
		m.run(time.Unix(1_000_000, 0), 2*time.Second)
		longest := slices.Max(m.waits)
		c.Check(longest < maxWait, qt.IsTrue, qt.Commentf("%d connections per second: work waits for %v", offered, longest))
	}
}

// TestRejectedConnectionsCountAsAsked guards against an account that floods a router and
// counts as one that asks for little, since the router rejects most of its connections
// unread (other accounts then get what it lacks to its share), or for many times what it
// asks, as it sends many requests on each connection that is accepted.
func TestRejectedConnectionsCountAsAsked(t *testing.T) {
	const (
		offered, tokens = 5000, 1000
		// tolerance is the part by which the estimate may be off.
		tolerance = 0.2
	)
	tests := []struct {
		name string
		// overwhelmed is how many of a hundred connections come while the router rejects
		// all, and perConnection how many requests come on each that is accepted.
		overwhelmed, perConnection int
	}{
		{"a request a connection", 0, 1},
		{"overwhelmed at times", 60, 1},
		{"many requests a connection", 0, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			admission := newTestAdmission(c, 4, 1000)
			lag := shedAllLag - 1
			f := New(Config{Admission: admission, Lag: func() time.Duration { return lag }, UnsyncedFor: func() time.Duration { return 0 }})
			flood := func() *task {
				return &task{account: "flood", request: &Request{Prompt: balance.Prompt{Tokens: tokens}}}
			}
			admission.recordShed(now, "flood", 10_000, 0) // It floods from the beginning.
			requests, accepted := 0, 0
			for n := range offered {
				lag = shedAllLag - 1
				if n%100 < test.overwhelmed {
					lag = shedAllLag
				}
				if !f.AcceptsConnection(now, 0) {
					requests++
					continue
				}
				accepted++
				for range test.perConnection {
					requests++
					c.Assert(f.rejectEarly(now, flood(), true), qt.IsNotNil)
				}
			}
			c.Check(accepted < offered/4, qt.IsTrue, qt.Commentf("%d of %d connections are accepted", accepted, offered))
			got := admission.share(now, "flood")
			part := got.Asked / float64(requests*tokens)
			c.Check(part > 1-tolerance && part < 1+tolerance, qt.IsTrue, qt.Commentf("%.2f of the tokens count as asked for", part))
			c.Check(got.Shed, qt.Equals, got.Asked)
		})
	}
}
