package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSlotsAdmitInOrderOfArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(1)
		qt.Assert(t, s.acquire(t.Context()), qt.IsNil)
		order := make(chan int, 3)
		cancelled, cancel := context.WithCancel(t.Context())
		for i := range 3 {
			ctx := t.Context()
			if i == 1 {
				ctx = cancelled
			}
			go func() {
				if s.acquire(ctx) == nil {
					order <- i
				}
			}()
			synctest.Wait()
		}
		running, queued := s.load()
		qt.Check(t, []int{running, queued}, qt.DeepEquals, []int{1, 3})
		cancel()
		synctest.Wait()
		s.release()
		qt.Check(t, <-order, qt.Equals, 0)
		s.release()
		qt.Check(t, <-order, qt.Equals, 2)
		s.release()
		running, queued = s.load()
		qt.Check(t, []int{running, queued}, qt.DeepEquals, []int{0, 0})
	})
}

// TestBookingInServiceIsAborted guards against an answer for a booking that is
// still being served when the service closes: the handler must abort the
// connection, as the server sends an empty 200 for a handler that returns.
func TestBookingInServiceIsAborted(t *testing.T) {
	orders, err := NewOrders(OrdersConfig{Config: Config{Endpoint: "o1", Service: "orders"}, ServiceTime: time.Hour})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(orders.Close)
	ended := make(chan any)
	go func() {
		defer func() { ended <- recover() }()
		request := httptest.NewRequest(http.MethodPost, "/bookings", strings.NewReader(`{"order":"power"}`))
		orders.server.Handler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	for orders.Runs("power") == 0 {
		time.Sleep(time.Millisecond)
	}
	orders.stop()
	qt.Assert(t, <-ended, qt.Equals, http.ErrAbortHandler)
}

func TestDelayedLoad(t *testing.T) {
	s := newSlots(4)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for second := range 5 {
		_ = s.acquire(t.Context())
		running, queued := s.delayedLoad(start.Add(time.Duration(second)*time.Second), 2*time.Second)
		qt.Check(t, running, qt.Equals, max(second-1, 0))
		qt.Check(t, queued, qt.Equals, 0)
		if second == 3 {
			break
		}
	}
}

func TestPrefixCacheKeepsMostRecentlyUsed(t *testing.T) {
	c := newPrefixCache(3)
	qt.Check(t, c.use([]uint64{1, 2}), qt.Equals, 0)
	qt.Check(t, c.use([]uint64{1, 2, 3}), qt.Equals, 2)
	qt.Check(t, c.use([]uint64{9}), qt.Equals, 0)
	qt.Check(t, c.use([]uint64{1, 2, 3}), qt.Equals, 2)
	qt.Check(t, c.announced(), qt.DeepEquals,
		[]string{"0000000000000001", "0000000000000002", "0000000000000003"})
}

// A cached prefix must shorten the time until the first token.
func TestCachedPromptShortensFirstTokenDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := EngineConfig{FirstTokenDelay: 900 * time.Millisecond, TokenInterval: -1}
		config.Defaults()
		e := &Engine{base: &base{faults: newFaultTable(config.Config)}, config: config, cache: newPrefixCache(10)}
		j := job{prefixText: make([]byte, 2*256), prompt: "a", tokenCount: 1}
		for _, want := range []time.Duration{900 * time.Millisecond, 300 * time.Millisecond} {
			start := time.Now()
			qt.Check(t, e.produce(newStream(t.Context(), j), j), qt.IsTrue)
			qt.Check(t, time.Since(start), qt.Equals, want)
		}
	})
}

// A stream without readers is cancelled after the grace period, unless it is
// resumed within that period.
func TestUnreadStreamIsCancelledAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStream(t.Context(), job{})
		s.attach()
		s.detach(time.Second)
		time.Sleep(999 * time.Millisecond)
		s.attach()
		time.Sleep(time.Hour)
		qt.Check(t, s.ctx.Err(), qt.IsNil)
		s.detach(time.Second)
		time.Sleep(1001 * time.Millisecond)
		synctest.Wait()
		qt.Check(t, s.ctx.Err(), qt.IsNotNil)
	})
}
