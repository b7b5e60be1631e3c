// Package logring writes log lines asynchronously and limits their rate. A
// goroutine that logs never blocks: a line that finds the buffer full is
// dropped and counted.
package logring

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// capacity is the number of lines that the buffer holds.
	capacity = 4096
	// batchBytes is the size at which a batch is written: a batch that has
	// reached it takes no further line.
	batchBytes = 32 << 10
)

// AsyncWriter writes log lines in a goroutine of its own. It is safe for
// concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    sync.WaitGroup

	// mu is held for reading while a line is queued, so that no line is queued
	// after the last drain.
	mu     sync.RWMutex
	closed bool
}

// New starts an AsyncWriter that writes to w.
func New(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{lines: make(chan []byte, capacity), stop: make(chan struct{})}
	r.done.Go(func() {
		for {
			select {
			case line := <-r.lines:
				r.write(w, line)
			case <-r.stop:
				r.drain(w)
				return
			}
		}
	})
	return r
}

// Dropped returns the number of lines dropped so far.
func (r *AsyncWriter) Dropped() uint64 { return r.dropped.Load() }

// Write queues one line. It never blocks and never returns an error: a line
// that does not fit into the buffer, or comes after Close, is dropped and
// counted.
func (r *AsyncWriter) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		r.dropped.Add(1)
		return len(p), nil
	}
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// write writes the line together with lines that are already queued, up to
// about batchBytes.
func (r *AsyncWriter) write(w io.Writer, line []byte) {
	for len(line) < batchBytes {
		select {
		case more := <-r.lines:
			line = append(line, more...)
			continue
		default:
		}
		break
	}
	_, _ = w.Write(line) // A failure to write the log has nowhere to be logged.
}

// drain writes the queued lines.
func (r *AsyncWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.write(w, line)
		default:
			return
		}
	}
}

// Close writes the queued lines and stops the writer. Lines written afterwards
// are dropped and counted.
func (r *AsyncWriter) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.stop)
	}
	r.mu.Unlock()
	r.done.Wait()
	return nil
}
