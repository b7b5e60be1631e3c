// Package measure runs the schedulers in a seeded discrete-event simulation and
// measures fairness, utilisation, waiting times and control traffic. Routers and
// endpoints are simple fakes: lists of requests with arrival and service times.
package measure

import (
	"container/heap"
	"time"
)

// epoch is the simulated time at the start of a run.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the simulated clock. It runs events in the order of their times;
// events at the same time run in the order in which they were scheduled.
type clock struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

// after schedules run at the time d from now.
func (c *clock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now.Add(d), number: c.count, run: run})
}

// every schedules run after first and then once each period.
func (c *clock) every(first, period time.Duration, run func()) {
	c.after(first, func() {
		run()
		c.every(period, period, run)
	})
}

// runUntil runs the events up to and including end. It calls before ahead of
// each event, when the clock already shows the time of the event.
func (c *clock) runUntil(end time.Time, before func()) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		before()
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
