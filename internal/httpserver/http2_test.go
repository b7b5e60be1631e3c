package httpserver

import (
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newHTTP2Client returns a client that speaks HTTP/2.
func newHTTP2Client(c *qt.C) *http.Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
	c.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: time.Minute}
}

// postHTTP2 sends a request over HTTP/2 and checks that the answer repeats its body.
func postHTTP2(c *qt.C, client *http.Client, s *Server, body io.Reader, want string) {
	c.Helper()
	response, err := client.Post("https://"+s.Address(), "text/plain", body)
	if !c.Check(err, qt.IsNil) {
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, want)
	c.Check(response.ProtoMajor, qt.Equals, 2)
}

// TestDrainWaitsForStream guards against a request over HTTP/2 without an answer: a
// shutdown ended its connection while its body was on its way, or its answer was not
// yet written.
func TestDrainWaitsForStream(t *testing.T) {
	c := qt.New(t)
	begun := make(chan struct{}, 1)
	s := serveAny(c, testTLS(), testLimits(time.Hour), func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		echo(w, r)
		time.Sleep(beforeRest) // The server writes the answer when the handler returns.
	})
	client := newHTTP2Client(c)
	postHTTP2(c, client, s, strings.NewReader("first"), "first")
	<-begun
	reader, writer := io.Pipe()
	var answered sync.WaitGroup
	answered.Go(func() { postHTTP2(c, client, s, reader, "body") })
	<-begun
	drainWhile(c, s, func() {
		_, err := io.WriteString(writer, "body")
		c.Check(err, qt.IsNil)
		c.Check(writer.Close(), qt.IsNil)
	})
	answered.Wait()
}

// TestDrainEndsIdleHTTP2 checks that a drain ends HTTP/2 connections without a
// request, of which a caller may keep any number.
func TestDrainEndsIdleHTTP2(t *testing.T) {
	c := qt.New(t)
	s := serveAny(c, testTLS(), testLimits(time.Hour), echo)
	postHTTP2(c, newHTTP2Client(c), s, strings.NewReader("first"), "first")
	drainToEnd(c, s)
}
