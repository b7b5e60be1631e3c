package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// requestForms returns requests of each form that callers send.
func requestForms() []struct{ name, request string } {
	large := strings.Repeat("x", 200<<10)
	return []struct{ name, request string }{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"body with a length", "POST / HTTP/1.1\r\nHost: h\r\ncontent-length: 4\r\n\r\nbody"},
		{"body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"},
		{"empty body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"large body", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(large), large)},
		{"body that waits for leave", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"},
	}
}

// TestWholeRequestIsFoundHoweverItArrives guards against an answer to a part of a request,
// after which the connection is reset before the caller reads it, and against requests
// that are waited for in vain.
func TestWholeRequestIsFoundHoweverItArrives(t *testing.T) {
	for _, test := range requestForms() {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			step := max(len(test.request)/1000, 1)
			for at := step; at < len(test.request); at += step {
				var r wholeRequest
				whole, ok := r.add([]byte(test.request[:at]))
				c.Assert(whole, qt.IsFalse, qt.Commentf("after %d bytes", at))
				c.Assert(ok, qt.IsTrue)
				whole, ok = r.add([]byte(test.request[at:]))
				c.Assert(whole && ok, qt.IsTrue, qt.Commentf("in two parts of %d and %d bytes", at, len(test.request)-at))
			}
		})
	}
	for _, request := range []string{"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 1e9\r\n\r\n", strings.Repeat("x", maxRefusedHeaderBytes+1)} {
		var r wholeRequest
		_, ok := r.add([]byte(request))
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%.40s", request))
	}
}

// TestRejectedCallerIsToldThatItsRequestDidNotRun guards against callers that come back at
// once, again and again, to a router that is overloaded and closes their connections
// without an answer.
func TestRejectedCallerIsToldThatItsRequestDidNotRun(t *testing.T) {
	const answer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\nContent-Length: 7\r\n\r\nnot run"
	c := qt.New(t)
	var served atomic.Int64
	limits := testLimits(time.Hour)
	limits.Overloaded, limits.Refusal = func(time.Time, int) bool { return true }, []byte(answer)
	s := serveAny(c, nil, limits, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	for _, test := range requestForms() {
		for _, at := range []int{0, 10, len(test.request) - 2} {
			c.Run(fmt.Sprintf("%s from byte %d on late", test.name, at), func(c *qt.C) {
				conn := dialServer(c, s.Address())
				_, err := io.WriteString(conn, test.request[:at])
				c.Assert(err, qt.IsNil)
				time.Sleep(3 * refuseCheckPeriod) // The connection is accepted before the rest arrives.
				_, err = io.WriteString(conn, test.request[at:])
				c.Assert(err, qt.IsNil)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				c.Assert(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				c.Check(string(body), qt.Equals, "not run")
				_, err = conn.Read(make([]byte, 1))
				c.Check(err, qt.Equals, io.EOF)
			})
		}
	}
	c.Check(served.Load(), qt.Equals, int64(0))
}

// TestRequestThatNeverArrivesIsNotWaitedForLong guards against connections of callers that
// send nothing, which use up the descriptors of an overloaded router.
func TestRequestThatNeverArrivesIsNotWaitedForLong(t *testing.T) {
	c := qt.New(t)
	limits := testLimits(time.Hour)
	limits.Overloaded, limits.Refusal = func(time.Time, int) bool { return true }, []byte("answer")
	s := serveAny(c, nil, limits, func(http.ResponseWriter, *http.Request) {})
	conns := make([]net.Conn, maxIncomplete+10)
	for i := range conns {
		conns[i] = dialServer(c, s.Address())
	}
	for _, conn := range conns {
		read, err := conn.Read(make([]byte, 1))
		c.Check(read, qt.Equals, 0)
		c.Check(err, qt.Equals, io.EOF)
	}
	c.Check(s.refuser.retry(time.Now()), qt.IsFalse)
}
