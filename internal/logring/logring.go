// Package logring writes log lines without ever blocking those who log: a line
// that finds the ring full is dropped and counted.
package logring

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// capacity bounds the lines that wait to be written.
	capacity = 4096
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
)

// Writer is a writer of log lines. It is safe for concurrent use.
type Writer struct {
	lines     chan []byte
	dropped   atomic.Uint64
	stop      chan struct{}
	closeOnce sync.Once
	done      sync.WaitGroup
}

// New starts a ring that writes to w.
func New(w io.Writer) *Writer {
	r := &Writer{lines: make(chan []byte, capacity), stop: make(chan struct{})}
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

// Dropped returns how many lines were dropped so far.
func (r *Writer) Dropped() uint64 { return r.dropped.Load() }

// Write queues one line. It never fails and never blocks.
func (r *Writer) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// write writes the line with those that wait already.
func (r *Writer) write(w io.Writer, line []byte) {
	for len(line) < batchBytes {
		select {
		case more := <-r.lines:
			line = append(line, more...)
			continue
		default:
		}
		break
	}
	_, _ = w.Write(line) // Nobody is left to tell of a log that can't be written.
}

// drain writes what waits.
func (r *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			r.write(w, line)
		default:
			return
		}
	}
}

// Close writes what waits and stops.
func (r *Writer) Close() error {
	r.closeOnce.Do(func() { close(r.stop) })
	r.done.Wait()
	return nil
}
