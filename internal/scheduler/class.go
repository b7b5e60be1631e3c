package scheduler

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// request is a waiting request.
type request struct {
	Request
	account *account
	// queue is nil for a request that has been moved to Scheduler.waitingAlone.
	queue   *queue
	since   time.Time
	arrival uint64
	// dequeued reports whether the request is no longer waiting.
	dequeued bool
}

// classKey holds the requirements of a request on its endpoint.
type classKey struct {
	model, adapter string
	// excluded is the sorted list of excluded endpoints, joined by zero bytes.
	excluded string
	alone    bool
}

// class holds the waiting requests with equal requirements.
type class struct {
	classKey
	excludedList []string
	queues       queueHeap
	// blockedAt is one more than Scheduler.capacity at the time when no free
	// endpoint was found, 0 when that has not happened.
	blockedAt uint64
	// checkedAt is one more than Scheduler.membership at the time when servable
	// was computed, 0 before that.
	checkedAt uint64
	servable  bool
	// unservableSince is zero while a live endpoint can serve the class. The
	// use of a loan resets it to the present time.
	unservableSince time.Time
}

// classOf returns the class of the request and creates it if necessary.
func (s *Scheduler) classOf(r Request) *class {
	excluded := slices.Clone(r.Excluded)
	slices.Sort(excluded)
	key := classKey{model: r.Model, adapter: r.Adapter, alone: r.Alone, excluded: strings.Join(excluded, "\x00")}
	c, ok := s.classes[key]
	if !ok {
		c = &class{classKey: key, excludedList: excluded}
		s.classes[key] = c
		s.classList = append(s.classList, c)
	}
	return c
}

// dropClass deletes a class without requests.
func (s *Scheduler) dropClass(c *class) {
	delete(s.classes, c.classKey)
	s.classList = slices.DeleteFunc(s.classList, func(o *class) bool { return o == c })
}

// accepts reports whether the endpoint, free or not, meets the requirements.
func (c *class) accepts(e *endpoint) bool {
	return c.acceptsNamed(e.Endpoint, e.Models, e.Adapters)
}

// acceptsNamed reports whether an endpoint with this name and these loaded
// models and adapters meets the requirements.
func (c *class) acceptsNamed(endpoint string, models, adapters []string) bool {
	if c.model != "" && len(models) > 0 && !slices.Contains(models, c.model) {
		return false
	}
	if c.adapter != "" && len(adapters) > 0 && !slices.Contains(adapters, c.adapter) {
		return false
	}
	return !slices.Contains(c.excludedList, endpoint)
}

// add inserts the request into its account's queue, ordered by the time since
// which requests wait.
func (c *class) add(s *Scheduler, r *request) {
	var q *queue
	for _, o := range r.account.queues {
		if o.class == c {
			q = o
		}
	}
	if q == nil {
		q = &queue{class: c, account: r.account}
		r.account.queues = append(r.account.queues, q)
		q.insert(r)
		heap.Push(&c.queues, q)
		return
	}
	q.insert(r)
	heap.Fix(&c.queues, q.position)
}

// queue holds the waiting requests of one account in one class.
type queue struct {
	class   *class
	account *account
	// items is ordered by since, then by arrival. Its first element is always
	// a request that still waits in this queue.
	items []*request
	// live counts the items that still wait in this queue.
	live int
	// position is the index in the class's heap.
	position int
}

func (q *queue) insert(r *request) {
	r.queue = q
	q.live++
	at := len(q.items)
	for at > 0 && q.items[at-1].since.After(r.since) {
		at--
	}
	q.items = slices.Insert(q.items, at, r)
}

// remove removes a request that is marked as dequeued.
func (q *queue) remove(s *Scheduler, r *request) {
	r.queue = nil
	q.live--
	if q.live == 0 {
		q.drop(s)
		return
	}
	for q.items[0].dequeued || q.items[0].queue == nil {
		q.items[0] = nil
		q.items = q.items[1:]
	}
	if len(q.items) > 2*q.live+16 {
		q.items = slices.DeleteFunc(q.items, func(o *request) bool { return o.queue == nil })
	}
	heap.Fix(&q.class.queues, q.position)
}

// drop removes an empty queue from its class and account.
func (q *queue) drop(s *Scheduler) {
	heap.Remove(&q.class.queues, q.position)
	q.account.queues = slices.DeleteFunc(q.account.queues, func(o *queue) bool { return o == q })
	if q.class.queues.Len() == 0 {
		s.dropClass(q.class)
	}
}

// head returns the first request of the queue.
func (q *queue) head() *request { return q.items[0] }

// precedes reports whether the first request of q is before that of o in order.
// The queues may belong to different classes. Of one account's requests, the one
// that has waited longest is first.
func (q *queue) precedes(o *queue) bool {
	if q.account != o.account {
		return before(q.account, o.account)
	}
	head, other := q.head(), o.head()
	if !head.since.Equal(other.since) {
		return head.since.Before(other.since)
	}
	return head.arrival < other.arrival
}

// queueHeap orders the queues of one class by account.
type queueHeap []*queue

func (h queueHeap) Len() int           { return len(h) }
func (h queueHeap) Less(i, j int) bool { return before(h[i].account, h[j].account) }
func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	q := x.(*queue)
	q.position = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}
