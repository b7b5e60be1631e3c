package scheduling

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// TestExchangeWireRoundTrip fails when a field of an exchange is lost in the
// conversion to the wire type and back.
func TestExchangeWireRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := rapid.Make[scheduler.Exchange]().Draw(rt, "exchange")
		want.IdleSlots &= 0xffff
		for i := range want.Backlogged {
			want.Backlogged[i].Waiting &= 0xffff
			want.Backlogged[i].WaitingAlone &= 0xffff
			want.Backlogged[i].OldestWait = wholeMillis(want.Backlogged[i].OldestWait)
		}
		for i := range want.Loans {
			want.Loans[i].ExpiresIn = wholeMillis(want.Loans[i].ExpiresIn)
		}
		sender := &wire.Process{Host: "host-1", Incarnation: want.Incarnation}
		got := exchangeFromWire(sender, exchangeToWire(want))
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			rt.Fatalf("want -, got +:\n%s", diff)
		}
	})
}

// wholeMillis converts d to whole milliseconds in the range of the wire type.
func wholeMillis(d time.Duration) time.Duration {
	return time.Duration(uint32(d)>>1) * time.Millisecond
}
