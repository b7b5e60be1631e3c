package logring

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// belowWarnFraction is the fraction of the limit that lines below the level of
// a warning may use. The rest is reserved for warnings and errors, so that
// failures are logged even when other lines are omitted.
const belowWarnFraction = 0.75

// RateLimiter is a log handler that passes on a limited number of lines per
// second, and counts omitted lines by event. It is safe for concurrent use.
type RateLimiter struct {
	next log.Handler
	// perSecond is the maximum number of lines in one second of the clock.
	perSecond int
	now       func() time.Time

	mu            sync.Mutex
	currentSecond int64
	passed        int
	omitted       map[int]int
	// total counts all lines omitted since the start.
	total uint64
}

// NewRateLimiter returns a rate limiter in front of a handler. now is the clock.
func NewRateLimiter(next log.Handler, perSecond int, now func() time.Time) *RateLimiter {
	return &RateLimiter{next: next, perSecond: perSecond, now: now, omitted: make(map[int]int)}
}

// HandleLog passes the line to the next handler, or counts it as omitted.
func (b *RateLimiter) HandleLog(e *log.Entry) error {
	if !b.admit(e) {
		return nil
	}
	return b.next.HandleLog(e)
}

func (b *RateLimiter) admit(e *log.Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := b.now().Unix(); second != b.currentSecond {
		b.currentSecond, b.passed = second, 0
	}
	limit := b.perSecond
	if e.Level < log.WarnLevel {
		limit = int(float64(limit) * belowWarnFraction)
	}
	if b.passed >= limit {
		number, _ := e.Fields["event"].(int) // 0 for lines without an event number.
		b.omitted[number]++
		b.total++
		return false
	}
	b.passed++
	return true
}

// Omitted returns the number of lines omitted so far.
func (b *RateLimiter) Omitted() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// TakeOmitted returns the number of lines omitted since the last call, and the
// counts by event number, such as "201:12 300:9". Lines without an event number
// count under 0.
func (b *RateLimiter) TakeOmitted() (lines int, byEvent string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var parts []string
	for _, number := range slices.Sorted(maps.Keys(b.omitted)) {
		lines += b.omitted[number]
		parts = append(parts, strconv.Itoa(number)+":"+strconv.Itoa(b.omitted[number]))
	}
	clear(b.omitted)
	return lines, strings.Join(parts, " ")
}
