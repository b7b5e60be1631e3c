package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// TestUnfinishedHeadersCountAsMemory guards against a process that runs out of memory by
// clients that stop within headers of legal size: what had arrived of them was not counted.
func TestUnfinishedHeadersCountAsMemory(t *testing.T) {
	c := qt.New(t)
	const clients = 60
	const budget = (clients + 10) * memgate.ConnectionBytes
	address, gate := budgetServer(c, budget, 0, func(http.ResponseWriter, *http.Request) {})
	unfinished := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: "+strings.Repeat("x", 380)+"\r\n", 18)
	var conns []net.Conn
	for range clients {
		conns = append(conns, dialServer(c, address))
	}
	waitFor(c, "the connections are accepted", func() bool { return gate.Held(membudget.Connection) == clients*memgate.ConnectionBytes })
	refused := make(chan int, clients)
	for _, conn := range conns {
		_, err := io.WriteString(conn, unfinished)
		c.Assert(err, qt.IsNil)
		go func() {
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				refused <- 0 // The connection was closed for another one.
				return
			}
			_ = response.Body.Close()
			refused <- response.StatusCode
		}()
	}
	// A claim is held for the stall time at least before another may evict it.
	waitFor(c, "memory is claimed for headers", func() bool { return gate.Held(membudget.Header) > 0 })
	for range clients / 10 {
		status := <-refused
		c.Check(status == 0 || status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", status))
	}
	c.Check(gate.Held(membudget.Header)+gate.Held(membudget.Connection) <= budget, qt.IsTrue)
	status, _ := answerTo(c, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Check(status, qt.Equals, http.StatusOK)
}

// waitFor waits until the condition holds.
func waitFor(c *qt.C, what string, holds func() bool) {
	c.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("not met: %s", what))
	}
}

// TestHeaderMemoryIsReleased guards against memory that stays claimed after the requests
// whose headers needed it.
func TestHeaderMemoryIsReleased(t *testing.T) {
	c := qt.New(t)
	during := make(chan int64, 1)
	var gate *memgate.Gate
	address, budget := budgetServer(c, 64<<20, 0, func(http.ResponseWriter, *http.Request) { during <- gate.Held(membudget.Header) })
	gate = budget
	large := "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("x", 7000) + "\r\n\r\n"
	status, conn := answerTo(c, address, large)
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(<-during > 0, qt.IsTrue)
	released := func() bool { return gate.Held(membudget.Header) == 0 }
	waitFor(c, "the request on a kept connection has ended", released)
	_, err := io.WriteString(conn, large[:6000])
	c.Assert(err, qt.IsNil)
	waitFor(c, "the header has begun to arrive", func() bool { return !released() })
	c.Assert(conn.Close(), qt.IsNil)
	waitFor(c, "the connection is closed", released)
}
