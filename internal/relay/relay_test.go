package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/relay"
)

// silentTimeout is how long a connection must deliver nothing to count as
// silent. answerTimeout bounds every other wait.
const (
	silentTimeout = 50 * time.Millisecond
	answerTimeout = 10 * time.Second
)

// newEchoRelay starts an echo server and a relay to it.
func newEchoRelay(c *qt.C) *relay.Relay {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := relay.New(listener, target.Addr().String())
	c.Cleanup(r.Close)
	return r
}

func connect(c *qt.C, r *relay.Relay) net.Conn {
	conn, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoLine sends a line and reports whether it comes back in time. The error is
// that of a broken connection.
func echoLine(conn net.Conn, within time.Duration) (bool, error) {
	if _, err := io.WriteString(conn, "x\n"); err != nil {
		return false, err
	}
	return readLine(conn, within)
}

func readLine(conn net.Conn, within time.Duration) (bool, error) {
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := bufio.NewReader(conn).ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*relay.Relay)
		// open and fresh are the expected states of a connection that is open
		// when the fault begins, and of one made during it.
		open, fresh string
		// healed reports whether the open connection works again after Heal.
		healed bool
	}{
		{"none", func(*relay.Relay) {}, "works", "works", true},
		{"cut", func(r *relay.Relay) { r.Cut(relay.AllSources) }, "broken", "broken", false},
		{"reset", func(r *relay.Relay) { r.Reset(relay.AllSources) }, "broken", "works", false},
		{"silence", func(r *relay.Relay) { r.Blackhole(relay.AllSources) }, "silent", "works", false},
		{"isolate", func(r *relay.Relay) { r.Isolate(relay.AllSources) }, "silent", "silent", false},
		{"hold in", func(r *relay.Relay) { r.Hold(relay.AllSources, true, false) }, "silent", "silent", true},
		{"hold out", func(r *relay.Relay) { r.Hold(relay.AllSources, false, true) }, "silent", "silent", true},
		{"of this source", func(r *relay.Relay) { r.Hold("127.0.0.1", true, true) }, "silent", "silent", true},
		{"of another source", func(r *relay.Relay) { r.Hold("127.0.0.2", true, true) }, "works", "works", true},
		{"delay", func(r *relay.Relay) { r.Delay(relay.AllSources, 2*silentTimeout) }, "silent", "silent", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r := newEchoRelay(c)
			open := connect(c, r)
			ok, err := echoLine(open, answerTimeout)
			c.Assert(err, qt.IsNil)
			c.Assert(ok, qt.IsTrue)
			test.fault(r)
			c.Check(connectionState(open, test.open), qt.Equals, test.open)
			c.Check(connectionState(connect(c, r), test.fresh), qt.Equals, test.fresh)
			r.Heal(relay.AllSources)
			r.Heal("127.0.0.1")
			if test.open == "silent" && test.healed {
				ok, err = readLine(open, answerTimeout)
				c.Check(err, qt.IsNil)
				c.Check(ok, qt.IsTrue)
			}
			c.Check(connectionState(connect(c, r), "works"), qt.Equals, "works")
		})
	}
}

// connectionState sends a line and returns "works", "silent" or "broken". The
// short timeout is used only where silence is expected.
func connectionState(conn net.Conn, want string) string {
	within := answerTimeout
	if want == "silent" {
		within = silentTimeout
	}
	ok, err := echoLine(conn, within)
	switch {
	case err != nil:
		return "broken"
	case ok:
		return "works"
	default:
		return "silent"
	}
}
