package endpoint_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
)

// endlessServer answers one request with a beginning and then repeats a text until the
// client closes the connection. It returns its address.
func endlessServer(c *qt.C, begin, repeat string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		listener.Close()
		if _, err = conn.Read(make([]byte, 4<<10)); err == nil {
			_, err = conn.Write([]byte(begin))
		}
		block := []byte(strings.Repeat(repeat, max(1, 2048/len(repeat))))
		for err == nil {
			_, err = conn.Write(block)
		}
	}()
	c.Cleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// slack is what a client may read beyond its bounds: its buffers, and the head.
const slack = 32 << 10

// TestEndlessAnswerEnds guards against an endpoint that sends bytes which are no answer
// until its caller closes: the caller kept them all and ran out of memory.
func TestEndlessAnswerEnds(t *testing.T) {
	const (
		maxAnswer = 512 << 10
		maxHeader = 32 << 10
		maxEvent  = 256 << 10
	)
	const (
		plain  = "HTTP/1.1 200 OK\r\n"
		stream = plain + "Content-Type: text/event-stream\r\n"
		ended  = stream + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n"
	)
	tests := []struct {
		name          string
		begin, repeat string
		most          int64
	}{
		{"line of a head", "HTTP/1.1 200 OK\r\nX: ", "x", maxHeader},
		{"lines of a head", plain, "X: y\r\n", maxHeader},
		{"lines that are no head", "", "x\r\n", maxHeader},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", maxHeader},
		{"plain body", plain + "\r\n", "x", maxAnswer},
		{"body of a refusal", "HTTP/1.1 503 No\r\n\r\n", "x", 64 << 10},
		{"body of an error", "HTTP/1.1 500 No\r\n\r\n", "x", 64 << 10},
		{"body of a misdirected request", "HTTP/1.1 421 No\r\n\r\n", "x", maxAnswer},
		{"line of a stream", stream + "\r\ndata: 1\n\n", "x", maxEvent},
		{"lines of a stream", stream + "\r\ndata: 1\n\n", "data: x\n", maxEvent},
		{"comments of a stream", stream + "\r\ndata: 1\n\n", ": x\n", maxEvent},
		{"chunk extension", stream + "Transfer-Encoding: chunked\r\n\r\n9;", "x", maxHeader},
		{"chunk extensions", stream + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\n:\r\n", maxEvent},
		{"line of a trailer", ended + "0\r\nX: ", "x", maxHeader},
		{"lines of a trailer", ended + "0\r\n", "X: y\r\n", maxHeader},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			address := endlessServer(c, test.begin, test.repeat)
			client := newClient(t, endpoint.ClientConfig{MaxEventBytes: maxEvent, MaxHeaderBytes: maxHeader})
			read := client.CountReads()
			call := endpoint.Call{
				RequestID: "r1", Address: address, Method: http.MethodPost, Path: "/", Body: []byte("x"), Raw: true, Stream: true,
				Idempotent: true, MaxAnswerBytes: maxAnswer,
				HeaderTimeout: time.Minute, ProgressTimeout: time.Minute, OnSilence: func(time.Duration) {},
			}
			_, err := client.Do(t.Context(), call, &recorder{})
			c.Check(err, qt.IsNotNil)
			c.Check(read.Load() <= test.most+slack, qt.IsTrue, qt.Commentf("%d bytes: %v", read.Load(), err))
		})
	}
}

// TestLargeEventsAreBoundedTogether guards against a process that runs out of memory as many
// endpoints at once send streams on without an event: each call kept up to the largest
// event.
func TestLargeEventsAreBoundedTogether(t *testing.T) {
	for _, raw := range []bool{true, false} {
		t.Run(fmt.Sprintf("raw %v", raw), func(t *testing.T) {
			c := qt.New(t)
			const limit = 40 << 10
			address := endlessServer(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n", "x")
			call := endpoint.Call{
				RequestID: "r1", Address: address, Method: http.MethodPost, Path: "/", Body: []byte("x"), Raw: raw, Stream: true, Idempotent: true,
			}
			client := newClient(t, endpoint.ClientConfig{MaxEventMemory: limit})
			read := client.CountReads()
			_, err := client.Do(t.Context(), call, &recorder{})
			want := endpoint.WrongAnswer
			if !raw {
				want = endpoint.TooLarge
			}
			c.Check(asCallError(t, err).Kind, qt.Equals, want)
			c.Check(read.Load() <= limit+slack, qt.IsTrue, qt.Commentf("%d bytes", read.Load()))

			// The memory is free again, as large an event arrives whole.
			whole := newRawServer(t, func(int) (string, bool) {
				return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", limit*3/4) + "\n\ndata: [DONE]\n\n", false
			})
			call.Address = whole.listener.Addr().String()
			result, err := client.Do(t.Context(), call, &recorder{})
			c.Check(err, qt.IsNil)
			c.Check(result.Bytes > limit*3/4, qt.IsTrue)
		})
	}
}
