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
	lines     chan []byte
	dropped   atomic.Uint64
	stop      chan struct{}
	closeOnce sync.Once
	done      sync.WaitGroup
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
// that does not fit into the buffer is dropped.
func (r *AsyncWriter) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
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
// are not written out.
func (r *AsyncWriter) Close() error {
	r.closeOnce.Do(func() { close(r.stop) })
	r.done.Wait()
	return nil
}
