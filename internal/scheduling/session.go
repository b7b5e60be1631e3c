package scheduling

import (
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// Session is a router's stream to this host.
type Session struct {
	host   *Host
	router scheduler.Router
	region string
	// send delivers a batch without blocking, and returns false when it
	// can't.
	send func(*wire.SchedulerBatch) bool
	// changedAccounts holds the accounts whose virtual service has changed by this
	// router's requests since it was last told of it.
	changedAccounts map[accountKey]bool
}

// accountKey names a client account of a service.
type accountKey struct {
	service string
	account string
}

// Join starts a session for the router. The first batch that it receives must
// carry everything that the router waits for and runs.
func (h *Host) Join(first *wire.RouterBatch, send func(*wire.SchedulerBatch) bool) *Session {
	s := &Session{
		host:            h,
		router:          scheduler.Router{Host: first.GetRouter().GetHost(), Incarnation: first.GetRouter().GetIncarnation()},
		region:          first.GetRegion(),
		send:            send,
		changedAccounts: make(map[accountKey]bool),
	}
	h.enqueue(func(now time.Time, l *loop) { l.connect(now, s, first) })
	return s
}

// Receive takes a batch from the router.
func (s *Session) Receive(batch *wire.RouterBatch) {
	s.host.enqueue(func(now time.Time, l *loop) { l.receive(now, s, batch) })
}

// Leave ends the session. The router has routerGrace to come back.
func (s *Session) Leave() {
	s.host.enqueue(func(now time.Time, l *loop) { l.disconnect(now, s) })
}
