package endpoint_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
	"oleanderramp/internal/standin"
	"oleanderramp/internal/uptime"
)

// inOneMinute returns a sendBy that leaves enough time to send an order.
func inOneMinute() time.Time { return uptime.Now().Add(time.Minute) }

func TestOrderToEngine(t *testing.T) {
	c := qt.New(t)
	e := newEngine(t, func(config *standin.EngineConfig) { config.ChecksFencing = true })
	client := newClient(t, endpoint.ClientConfig{})
	order := endpoint.Order{Order: "load_model", Name: "large", Fence: 3}
	c.Assert(client.SendOrder(t.Context(), e.Addr(), order, inOneMinute()), qt.IsNil)
	c.Assert(e.Orders(), qt.DeepEquals, []standin.Order{{Order: standin.OrderLoadModel, Name: "large", Fence: 3}})
	order.Fence = 2
	c.Assert(client.SendOrder(t.Context(), e.Addr(), order, inOneMinute()), qt.ErrorIs, endpoint.ErrOldFence)
	order.Order, order.Fence = "dance", 3
	var refused *endpoint.OrderRefusedError
	c.Assert(errors.As(client.SendOrder(t.Context(), e.Addr(), order, inOneMinute()), &refused), qt.IsTrue)
	c.Assert(*refused, qt.Equals, endpoint.OrderRefusedError{Status: http.StatusBadRequest, Code: "invalid_order"})
	c.Assert(e.Orders(), qt.HasLen, 1)
}

// TestOrderIsSentAtMostOnce tests engines that receive an order and do not respond.
// The order must not be sent again and must not be reported as not sent.
func TestOrderIsSentAtMostOnce(t *testing.T) {
	for _, name := range []string{"closes", "is silent", "is cancelled"} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sendBy := inOneMinute()
			if name == "is silent" {
				sendBy = uptime.Now().Add(shortTimeout)
			}
			var taken atomic.Int32
			release := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				taken.Add(1)
				switch name {
				case "is cancelled":
					cancel()
					<-release
				case "is silent":
					<-release
				}
				panic(http.ErrAbortHandler)
			}))
			client := newClient(t, endpoint.ClientConfig{})
			err := client.SendOrder(ctx, server.Listener.Addr().String(), endpoint.Order{Order: "load_model", Name: "m", Fence: 1}, sendBy)
			close(release)
			server.Close()
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, endpoint.ErrOrderNotSent), qt.IsFalse)
			qt.Assert(t, taken.Load(), qt.Equals, int32(1))
		})
	}
}

// An order past its deadline, with an ended context or to an address without a
// listener must not be sent and must be reported as not sent.
func TestLateOrderIsNotSent(t *testing.T) {
	c := qt.New(t)
	e := newEngine(t, nil)
	client := newClient(t, endpoint.ClientConfig{})
	order := endpoint.Order{Order: "load_model", Name: "large", Fence: 1}
	c.Assert(client.SendOrder(t.Context(), e.Addr(), order, uptime.Now()), qt.ErrorIs, endpoint.ErrOrderNotSent)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(client.SendOrder(ended, e.Addr(), order, inOneMinute()), qt.ErrorIs, endpoint.ErrOrderNotSent)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(client.SendOrder(t.Context(), address, order, inOneMinute()), qt.ErrorIs, endpoint.ErrOrderNotSent)
	c.Assert(e.Orders(), qt.HasLen, 0)
}

// TestBrokenOrderAnswerIsNoSuccess guards against an order that counts as executed because of
// an answer that is broken, or of an interim one.
func TestBrokenOrderAnswerIsNoSuccess(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
		whole   = "\r\nContent-Length: 0\r\n\r\n"
	)
	tests := []struct {
		name, answer string
		executed     bool
	}{
		{"status 000", "HTTP/1.1 000 No" + whole, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z" + whole, false},
		{"ends in the head", "HTTP/1.1 200 OK\r\nContent-Le", false},
		{"interim answer only", interim, false},
		{"new protocol", "HTTP/1.1 101 Switching Protocols" + whole, false},
		{"old fence after an interim answer", interim + "HTTP/1.1 409 Conflict" + whole, false},
		{"success after an interim answer", interim + "HTTP/1.1 200 OK" + whole, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address := answerEarly(c, test.answer, func(*net.TCPConn) {})
			order := endpoint.Order{Order: "load_model", Name: "m", Fence: 1}
			err := newClient(t, endpoint.ClientConfig{}).SendOrder(t.Context(), address, order, inOneMinute())
			c.Check(err == nil, qt.Equals, test.executed, qt.Commentf("%v", err))
			c.Check(errors.Is(err, endpoint.ErrOrderNotSent), qt.IsFalse)
		})
	}
}
