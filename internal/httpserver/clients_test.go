package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/membudget"
	"oleanderramp/internal/memgate"
)

// clientsServer starts a server with bounds of its clients, and returns its address and
// budget.
func clientsServer(c *qt.C, hard int, handler http.HandlerFunc) (string, *memgate.Gate) {
	return budgetServer(c, 64<<20, hard, handler)
}

// budgetServer is clientsServer with the budget in bytes.
func budgetServer(c *qt.C, budget int64, hard int, handler http.HandlerFunc) (string, *memgate.Gate) {
	gate := memgate.New(membudget.Config{Bytes: budget, SmallBytes: 192 << 10, StallTime: 100 * time.Millisecond},
		&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	open := NewConnections(Limits{
		Soft: 100, Hard: hard, ReadHeaderTimeout: time.Minute, IdleTimeout: func() time.Duration { return time.Minute },
		Overloaded: func(time.Time, int) bool { return false },
		Clients: Clients{
			Gate: gate, MaxHeaderFields: 20, MaxHeaderBytes: func() int { return 8 << 10 },
			Body:   membudget.Pace{BytesPerSecond: 1000, StallTime: 200 * time.Millisecond},
			Answer: membudget.Pace{BytesPerSecond: 1000, StallTime: 400 * time.Millisecond},
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := New(listener, open, Config{Handler: handler, MaxHeaderBytes: 64 << 10})
	c.Cleanup(func() { _ = s.Close() })
	return s.Address(), gate
}

// answerTo sends text on a new connection and returns the answer's status, or 0, and the
// connection.
func answerTo(c *qt.C, address, text string) (int, net.Conn) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text) // The server may close the connection before its end.
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, conn
	}
	_ = response.Body.Close()
	return response.StatusCode, conn
}

// TestHeaderBounds guards against headers of very many short fields, each of which takes
// far more memory once decoded.
func TestHeaderBounds(t *testing.T) {
	fields := func(n int, line string) string {
		return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, n-1) + "\r\n"
	}
	for _, test := range []struct {
		name, text string
		want       int
	}{
		{"within", fields(20, "a:\r\n"), http.StatusOK},
		{"too many fields", fields(21, "a:\r\n"), http.StatusRequestHeaderFieldsTooLarge},
		{"too many fields, bare line ends", strings.ReplaceAll(fields(21, "a:\r\n"), "\r", ""), http.StatusRequestHeaderFieldsTooLarge},
		{"too large", fields(10, "a: "+strings.Repeat("x", 2<<10)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge},
		{"lines in the body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("a:\n", 1000), http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := clientsServer(c, 0, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			got, _ := answerTo(c, address, test.text)
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// TestStalledBodyEnds guards against bodies that stop short of their end, also ones that
// the handler does not read.
func TestStalledBodyEnds(t *testing.T) {
	for name, read := range map[string]bool{"read": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := clientsServer(c, 0, func(_ http.ResponseWriter, r *http.Request) {
				if read {
					_, _ = io.Copy(io.Discard, r.Body) // Ends at the deadline.
				}
			})
			_, conn := answerTo(c, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
			_, err := io.Copy(io.Discard, conn)
			c.Check(err, qt.IsNil, qt.Commentf("the connection must be closed"))
		})
	}
}

// TestAnswerPace guards against clients that read nothing and hold a connection for ever,
// and against cutting off those that read slowly.
func TestAnswerPace(t *testing.T) {
	const size = 32 << 20
	for _, test := range []struct {
		name  string
		reads int
		whole bool
	}{{"reads nothing", 0, false}, {"reads slowly", 512 << 10, true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ended := make(chan error, 1)
			address, _ := clientsServer(c, 0, func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write(make([]byte, size))
				ended <- err
			})
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Assert(err, qt.IsNil)
			buffer := make([]byte, max(test.reads, 1))
			for test.reads > 0 {
				if _, err := io.ReadFull(conn, buffer); err != nil {
					break
				}
				select {
				case err := <-ended:
					c.Check(err, qt.IsNil)
					return
				case <-time.After(60 * time.Millisecond):
				}
			}
			c.Check(<-ended == nil, qt.Equals, test.whole)
		})
	}
}

// TestFullListenerClosesStalledConnections guards against clients that keep out all others
// by connections on which they send nothing.
func TestFullListenerClosesStalledConnections(t *testing.T) {
	c := qt.New(t)
	address, gate := clientsServer(c, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	for range 4 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	served := false
	for end := time.Now().Add(10 * time.Second); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, _ := answerTo(c, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		served = status == http.StatusOK
	}
	c.Check(served, qt.IsTrue)
	c.Check(gate.EndedCount(memgate.Evicted) > 0, qt.IsTrue)
}

// FuzzHeaderScan checks that a header's end and fields do not depend on how it is divided.
func FuzzHeaderScan(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\na:\r\n\r\nbody\n\n", 3)
	f.Add("\r\n\nGET / HTTP/1.1\nHost: h\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, step int) {
		var whole, parts headerScan
		whole.add([]byte(text))
		for rest := []byte(text); len(rest) > 0; {
			n := min(max(step, 1), len(rest))
			parts.add(rest[:n])
			rest = rest[n:]
		}
		whole.afterCR, parts.afterCR = false, false
		if whole != parts {
			t.Fatalf("whole %+v, in parts %+v", whole, parts)
		}
	})
}

// FuzzWholeRequest checks that the end of a refused request does not depend on how it is
// divided.
func FuzzWholeRequest(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", 3)
	f.Add("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 1)
	f.Add("POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", 100)
	f.Fuzz(func(t *testing.T, text string, step int) {
		var whole, parts wholeRequest
		wantEnd, wantOK := whole.add([]byte(text))
		gotEnd, gotOK := false, true
		for rest := []byte(text); len(rest) > 0 && gotOK; {
			n := min(max(step, 1), len(rest))
			gotEnd, gotOK = parts.add(rest[:n])
			rest = rest[n:]
		}
		if wantOK && gotOK && len(text) > 0 && wantEnd != gotEnd {
			t.Fatalf("whole %v, in parts %v", wantEnd, gotEnd)
		}
	})
}

// BenchmarkOrdinaryRequest serves a request with a body of 12 KB, without and with bounds
// of clients. cpu-ns/op is the processor time of both sides.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for name, bounded := range map[string]bool{"without": false, "with": true} {
		b.Run(name, func(b *testing.B) {
			var clients Clients
			if bounded {
				clients = Clients{
					Gate:            memgate.New(membudget.Config{Bytes: 64 << 20, SmallBytes: 192 << 10, StallTime: time.Second}, &log.Logger{Handler: discard.New()}),
					MaxHeaderFields: 256, MaxHeaderBytes: func() int { return 16 << 10 },
					Body:   membudget.Pace{BytesPerSecond: 256, StallTime: 5 * time.Second, Total: time.Minute},
					Answer: membudget.Pace{BytesPerSecond: 256, StallTime: 15 * time.Second},
				}
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			open := NewConnections(Limits{
				Soft: 100, ReadHeaderTimeout: time.Minute, IdleTimeout: func() time.Duration { return time.Minute },
				Overloaded: func(time.Time, int) bool { return false }, Clients: clients,
			})
			s := New(listener, open, Config{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				claim := clients.Gate.OpenBody(Host(r.RemoteAddr), func() {})
				defer claim.Close()
				body, _ := claim.ReadBody(r.Context(), r.Body, r.ContentLength) // The client sends it whole.
				_, _ = w.Write(body[:1000])                                     // The client reads it.
			})})
			defer func() { _ = s.Close() }()
			conn, err := net.Dial("tcp", s.Address())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			request := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Some-Field: some value\r\n", 10) + "Content-Length: 12288\r\n\r\n" + strings.Repeat("x", 12288)
			reader := bufio.NewReader(conn)
			before := processorTime()
			for b.Loop() {
				_, _ = io.WriteString(conn, request) // ReadResponse fails.
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // Can't fail with these arguments.
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
