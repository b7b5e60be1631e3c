package scheduling

import (
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// Session is a router's stream to the schedulers of a manager.
type Session struct {
	manager *Manager
	router  scheduler.Router
	region  string
	// send delivers a batch without blocking. It returns false when it cannot.
	send func(*wire.SchedulerBatch) bool
	// changedAccounts holds the accounts of the requests granted to this router
	// since their virtual service was last sent to it.
	changedAccounts map[accountKey]bool
}

// accountKey identifies a client account of a service.
type accountKey struct {
	service string
	account string
}

// Join starts a session for the router. first must hold all waiting and running
// requests of the router.
func (m *Manager) Join(first *wire.RouterBatch, send func(*wire.SchedulerBatch) bool) *Session {
	s := &Session{
		manager:         m,
		router:          scheduler.Router{Host: first.GetRouter().GetHost(), Incarnation: first.GetRouter().GetIncarnation()},
		region:          first.GetRegion(),
		send:            send,
		changedAccounts: make(map[accountKey]bool),
	}
	m.enqueue(func(now time.Time, l *loop) { l.connect(now, s, first) })
	return s
}

// Receive processes a batch from the router.
func (s *Session) Receive(batch *wire.RouterBatch) {
	s.manager.enqueue(func(now time.Time, l *loop) { l.receive(now, s, batch) })
}

// Leave ends the session. The router's requests are dropped unless it reconnects
// within routerGrace.
func (s *Session) Leave() {
	s.manager.enqueue(func(now time.Time, l *loop) { l.disconnect(now, s) })
}
