package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testSilence is the timeout in tests of silent hosts.
const testSilence = time.Second

// TestCallEndsWhenHostIsSilent guards against a call that waits for ever for a host that has
// sent a part of its response, and against one that ends while the host still sends.
func TestCallEndsWhenHostIsSilent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var received atomic.Uint64
	ctx, s := watchSilence(context.Background(), testSilence, &received)
	defer s.stop()
	began := time.Now()
	for time.Since(began) < 4*testSilence {
		received.Add(1)
		time.Sleep(testSilence / 20)
	}
	c.Check(ctx.Err(), qt.IsNil)
	<-ctx.Done()
	c.Check(context.Cause(ctx), qt.Equals, errSilent)
}

// TestStoppedCallIsNotSilent guards against connections that are dropped after their call
// has ended.
func TestStoppedCallIsNotSilent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	var received atomic.Uint64
	ctx, s := watchSilence(context.Background(), testSilence, &received)
	s.stop()
	time.Sleep(2 * testSilence)
	c.Check(context.Cause(ctx), qt.Equals, context.Canceled)
}
