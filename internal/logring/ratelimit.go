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

// belowWarnFraction is the part of the budget that lines below a warning may use,
// so that what failed is told when not everything can be.
const belowWarnFraction = 0.75

// RateLimiter passes on a bounded number of lines a second, and counts what it
// leaves out by event. It is safe for concurrent use.
type RateLimiter struct {
	next log.Handler
	// perSecond bounds the lines of a second.
	perSecond int
	now       func() time.Time

	mu            sync.Mutex
	currentSecond int64
	passed        int
	omitted       map[int]int
	// total counts all that was left out.
	total uint64
}

// NewRateLimiter returns a budget in front of a handler. now is the clock.
func NewRateLimiter(next log.Handler, perSecond int, now func() time.Time) *RateLimiter {
	return &RateLimiter{next: next, perSecond: perSecond, now: now, omitted: make(map[int]int)}
}

// HandleLog passes the line on, or counts it.
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
		number, _ := e.Fields["event"].(int) // 0 for lines that are no event.
		b.omitted[number]++
		b.total++
		return false
	}
	b.passed++
	return true
}

// Omitted returns how many lines were left out so far.
func (b *RateLimiter) Omitted() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// TakeOmitted returns how many lines were left out since the last call, and
// their numbers by event, such as "201:12 300:9"; 0 for none.
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
