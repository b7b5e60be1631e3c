package httpserver

import (
	"sync"
	"time"
)

// freshTime is how long after it was accepted a connection counts as fresh at most: the
// caller of an older one has probably not sent a request yet.
const freshTime = 250 * time.Millisecond

// freshConns counts the connections that were accepted lately and from which no request
// was read yet. It is the first to show that more arrive than there is time to read. It is
// safe for concurrent use.
type freshConns struct {
	mu    sync.Mutex
	count int
	// queue holds the connections that were fresh when they were added, oldest first.
	queue []*freshMark
}

// freshMark is the mark of one connection. freshConns.mu guards it.
type freshMark struct {
	acceptedAt time.Time
	ended      bool
}

// add marks a connection that was just accepted.
func (f *freshConns) add(now time.Time) *freshMark {
	f.mu.Lock()
	defer f.mu.Unlock()
	mark := &freshMark{acceptedAt: now}
	f.count++
	f.queue = append(f.queue, mark)
	f.removeExpired(now)
	return mark
}

// end ends the mark of a connection from which a request was read or that was closed.
func (f *freshConns) end(mark *freshMark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLocked(mark)
}

func (f *freshConns) endLocked(mark *freshMark) {
	if !mark.ended {
		mark.ended = true
		f.count--
	}
}

// len returns the number of fresh connections.
func (f *freshConns) len(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeExpired(now)
	return f.count
}

// removeExpired removes the oldest marks that have ended or are too old. f.mu is held.
func (f *freshConns) removeExpired(now time.Time) {
	for len(f.queue) > 0 && (f.queue[0].ended || now.Sub(f.queue[0].acceptedAt) >= freshTime) {
		f.endLocked(f.queue[0])
		f.queue = f.queue[1:]
	}
}
