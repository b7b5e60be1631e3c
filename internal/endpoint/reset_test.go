package endpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
)

// uploadBytes is more than the socket buffers of a connection hold.
const uploadBytes = 16 << 20

// resetToWriter is a connection on which the kernel reports a reset to the write in
// progress, as it does at times: after its first bytes, a read waits until the write has
// failed, and the write returns after that read.
type resetToWriter struct {
	net.Conn
	reads                  int
	writeFailed, readEnded chan struct{}
	failed, ended          sync.Once
}

func newResetToWriter(conn net.Conn) net.Conn {
	return &resetToWriter{Conn: conn, writeFailed: make(chan struct{}), readEnded: make(chan struct{})}
}

func (r *resetToWriter) Read(p []byte) (int, error) {
	if r.reads++; r.reads > 1 {
		<-r.writeFailed
	}
	n, err := r.Conn.Read(p)
	if err != nil {
		r.ended.Do(func() { close(r.readEnded) })
	}
	return n, err
}

func (r *resetToWriter) Write(p []byte) (int, error) {
	n, err := r.Conn.Write(p)
	if err != nil {
		r.failed.Do(func() { close(r.writeFailed) })
		<-r.readEnded
	}
	return n, err
}

// answerEarly answers the first connection after the first bytes of its request, and then
// ends the connection with the function. It returns its address.
func answerEarly(c *qt.C, answer string, end func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var done sync.WaitGroup
	done.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	})
	c.Cleanup(func() {
		listener.Close()
		done.Wait()
	})
	return listener.Addr().String()
}

// reset resets the connection, once the client has read the answer.
func reset(conn *net.TCPConn) {
	time.Sleep(50 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// upload calls the endpoint with a body of uploadBytes.
func upload(client *endpoint.Client, c *qt.C, address string, stream, idempotent bool) (string, error) {
	call := endpoint.Call{
		RequestID: "r1", Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes),
		Raw: true, Stream: stream, Idempotent: idempotent, Pooled: idempotent,
	}
	var got recorder
	_, err := client.Do(c.Context(), call, &got)
	return got.body.String(), err
}

// Answers without a length.
const (
	plainHead  = "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n"
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	errorHead  = "HTTP/1.1 500 No\r\n\r\n"
)

// TestResetDuringUploadIsNoEnd guards against a part of an answer that counts as the whole:
// the connection was reset while the request was being written, the write got the reset,
// and the read an end of the answer.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	tests := []struct {
		name, answer string
		stream       bool
	}{
		{"plain", plainHead + "first part ", false},
		{"stream", streamHead + "id: 1\ndata: x\n\n", true},
		{"no body yet", plainHead, false},
		{"error", errorHead + "first part", false},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(test.name, " idempotent=", idempotent), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				client := newClient(t, endpoint.ClientConfig{})
				client.WrapConns(newResetToWriter)
				_, err := upload(client, c, answerEarly(c, test.answer, reset), test.stream, idempotent)
				c.Check(asCallError(t, err).Kind, qt.Equals, endpoint.Truncated, qt.Commentf("%v", err))
			})
		}
	}
}

// TestEarlyAnswerIsWhole checks that an answer counts as whole whose endpoint ends only its
// sending side before it has read the request, and reads on or not.
func TestEarlyAnswerIsWhole(t *testing.T) {
	body := strings.Repeat("early ", 1000)
	heads := []string{plainHead, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))}
	for _, head := range heads {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%q reads=%v", head, reads), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				release := make(chan struct{})
				address := answerEarly(c, head+body, func(conn *net.TCPConn) {
					_ = conn.CloseWrite()
					if reads {
						_, _ = io.Copy(io.Discard, conn)
					}
					<-release
				})
				got, err := upload(newClient(t, endpoint.ClientConfig{}), c, address, false, true)
				close(release)
				c.Check(err, qt.IsNil)
				c.Check(got, qt.Equals, body)
			})
		}
	}
}
