package edge

import (
	"sync"
	"time"
)

// maxShedLines is the number of requests refused by an overloaded daemon that are
// logged per second. Writing all of these lines would take a third of the processor
// time that refusing the requests takes.
const maxShedLines = 20

// lineLimit bounds the log lines per second of one kind. It is safe for concurrent
// use.
type lineLimit struct {
	mu sync.Mutex
	// second is the second that lines are counted for.
	second time.Time
	// lines is the number of lines logged in it, and left out those since the last
	// line that were not logged.
	lines, leftOut int
}

// allow reports whether to log another line, and returns how many were left out since
// the last one.
func (l *lineLimit) allow(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= maxShedLines {
		l.leftOut++
		return 0, false
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}
