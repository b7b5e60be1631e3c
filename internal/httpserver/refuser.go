package httpserver

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// refuseTimeout bounds how long the rest of a request is waited for that is refused.
	refuseTimeout = 500 * time.Millisecond
	// refuseCheckPeriod is the interval between two looks for the rest of requests.
	refuseCheckPeriod = 5 * time.Millisecond
	// maxIncomplete is the maximum number of requests of which the rest is waited for.
	maxIncomplete = 512
	// refuseReadBytes is the size of the buffer that requests are read into.
	refuseReadBytes = 64 << 10
	// refuseReadsAtOnce is how many reads of one request may follow each other, so that
	// a caller that sends without end does not keep out the others. maxRefuseReads is
	// how many there may be in all.
	refuseReadsAtOnce = 8
	maxRefuseReads    = 256
)

// refuser answers connections for whose requests there is no processor time. It reads a
// request, writes the same answer to each, and closes the connection. That takes little
// more time than to close it unread, after which callers come back at once.
type refuser struct {
	// answer is the whole answer; nil to close the connections unread.
	answer []byte
	// wake has room for one signal that there are incomplete requests.
	wake chan struct{}
	stop chan struct{}
	done sync.WaitGroup
	once sync.Once

	// mu guards the fields below.
	mu     sync.Mutex
	buffer []byte
	// incomplete holds the connections whose request has not arrived in full, oldest
	// first.
	incomplete []refusedConn
}

// refusedConn is a connection whose request has not arrived in full, and until when the
// rest is waited for.
type refusedConn struct {
	rejectedConn
	request wholeRequest
	until   time.Time
	// reads is the number of reads of the request.
	reads int
}

func newRefuser(answer []byte) *refuser {
	r := &refuser{answer: answer, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	if answer == nil {
		return r
	}
	r.buffer = make([]byte, refuseReadBytes)
	r.done.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			case <-r.wake:
			}
			for r.retry(time.Now()) {
				time.Sleep(refuseCheckPeriod)
			}
		}
	})
	return r
}

// refuse refuses the request of a connection, at once or when it has arrived in full.
func (r *refuser) refuse(now time.Time, conn rejectedConn) {
	if r.answer == nil {
		conn.close()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := refusedConn{rejectedConn: conn, until: now.Add(refuseTimeout)}
	if r.try(&refused) {
		return
	}
	if len(r.incomplete) >= maxIncomplete {
		conn.close()
		return
	}
	r.incomplete = append(r.incomplete, refused)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// try reads what has arrived. It reports whether the connection is closed, with the answer
// if the request was whole. r.mu is held.
func (r *refuser) try(conn *refusedConn) bool {
	for range refuseReadsAtOnce {
		n, err := conn.read(r.buffer)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		if err != nil || n <= 0 {
			conn.close()
			return true
		}
		whole, ok := conn.request.add(r.buffer[:n])
		conn.reads++
		ok = ok && conn.reads <= maxRefuseReads
		if whole && ok {
			_ = conn.write(r.answer) // The caller may be gone.
		}
		if whole || !ok {
			conn.close()
			return true
		}
	}
	return false
}

// retry looks for the rest of the incomplete requests, and reports whether any remain.
func (r *refuser) retry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := r.incomplete[:0]
	for _, conn := range r.incomplete {
		switch {
		case r.try(&conn):
		case now.After(conn.until):
			conn.close()
		default:
			remaining = append(remaining, conn)
		}
	}
	r.incomplete = remaining
	return len(remaining) > 0
}

// close waits until no request is incomplete. refuse must not be called any more.
func (r *refuser) close() {
	r.once.Do(func() {
		close(r.stop)
		r.done.Wait()
		for r.answer != nil && r.retry(time.Now()) {
			time.Sleep(refuseCheckPeriod)
		}
	})
}
