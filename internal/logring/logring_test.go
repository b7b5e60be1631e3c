package logring_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/logring"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// TestWriteDoesNotBlock writes more lines than the buffer holds while the
// underlying writer blocks. Write must return at once, and each line is either
// written or counted as dropped.
func TestWriteDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	r := logring.New(w)
	const lines = 10_000
	for range lines {
		n, err := r.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	close(w.release)
	c.Assert(r.Close(), qt.IsNil)
	written := strings.Count(w.got.String(), "line\n")
	c.Check(written+int(r.Dropped()), qt.Equals, lines)
	c.Check(written > 0 && written < lines, qt.IsTrue, qt.Commentf("%d", written))
}

// TestLinesAfterCloseAreCounted writes from several goroutines while the writer
// closes: each line must be either written or counted as dropped.
func TestLinesAfterCloseAreCounted(t *testing.T) {
	c := qt.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	r := logring.New(w)
	const writers, lines = 4, 200
	var done sync.WaitGroup
	for range writers {
		done.Go(func() {
			for range lines {
				_, _ = r.Write([]byte("line\n")) // Write never fails.
			}
		})
	}
	c.Assert(r.Close(), qt.IsNil)
	done.Wait()
	_, err := r.Write([]byte("line\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Close(), qt.IsNil)
	c.Check(strings.Count(w.got.String(), "line\n")+int(r.Dropped()), qt.Equals, writers*lines+1)
}

func TestRateLimiter(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	handler := memory.New()
	b := logring.NewRateLimiter(handler, 8, func() time.Time { return now })
	l := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range 10 {
		l.WithField("event", 201).Info("served")
	}
	for range 3 {
		l.WithField("event", 203).Warn("failed")
	}
	c.Check(handler.Entries, qt.HasLen, 8) // 6 served, 2 failed.
	lines, byEvent := b.TakeOmitted()
	c.Check(lines, qt.Equals, 5)
	c.Check(byEvent, qt.Equals, "201:4 203:1")
	now = now.Add(time.Second)
	l.WithField("event", 201).Info("served")
	c.Check(handler.Entries, qt.HasLen, 9)
	lines, _ = b.TakeOmitted()
	c.Check(lines, qt.Equals, 0)
}
