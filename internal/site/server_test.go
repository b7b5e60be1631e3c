package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testServer serves on a loopback address and closes connections that were
// unused for idle.
func testServer(c *qt.C, idle time.Duration, handler http.HandlerFunc) (string, *connections) {
	open := newConnections(100, func() time.Duration { return idle })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	s, err := newServer(address, handler, open)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.close() })
	return address, open
}

func TestUnusedConnectionEnds(t *testing.T) {
	c := qt.New(t)
	address, open := testServer(c, 20*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(60 * time.Millisecond) // A connection in use outlasts the limit.
		_, _ = io.WriteString(w, "answer")
	})
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "answer")
	}
	_, err = reader.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	c.Check(open.crowded(), qt.IsFalse)
}

// TestLateTimerCutsNoRequest lets the timer of an unused connection fire while
// a request is under way on it.
func TestLateTimerCutsNoRequest(t *testing.T) {
	c := qt.New(t)
	open := newConnections(100, func() time.Duration { return time.Hour })
	server, client := net.Pipe()
	defer client.Close()
	defer server.Close()
	open.changed(server, http.StateIdle)
	late := open.open[server]
	open.changed(server, http.StateActive)
	open.expire(server, &late)
	go fmt.Fprint(client, "x")
	var b [1]byte
	_, err := server.Read(b[:])
	c.Check(err, qt.IsNil)

	open.changed(server, http.StateIdle)
	now := open.open[server]
	open.expire(server, &now)
	_, err = server.Read(b[:])
	c.Check(err, qt.IsNotNil)
}
