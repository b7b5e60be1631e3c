package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since the
// start of the case.
type recorder struct {
	start time.Time

	mu  sync.Mutex
	out *bufio.Writer
}

func newRecorder(path string) (*recorder, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	r := &recorder{start: time.Now(), out: bufio.NewWriter(file)}
	return r, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.out.Flush()
		_ = file.Close()
	}, nil
}

func (r *recorder) since() time.Duration { return time.Since(r.start) }

func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// line writes one line.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
