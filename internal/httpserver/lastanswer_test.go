package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLastAnswersReachTheirCallers guards against a shutdown that ends connections of
// requests whose handlers have returned, but whose answers are not written yet.
func TestLastAnswersReachTheirCallers(t *testing.T) {
	c := qt.New(t)
	const rounds = 200
	lost := 0
	for range rounds {
		lost += answersLostByClose(c)
	}
	c.Check(lost, qt.Equals, 0, qt.Commentf("answers lost in %d rounds", rounds))
}

// answersLostByClose closes a server as soon as no request is in progress, as a daemon
// does that shuts down. It returns the number of requests that were not answered.
func answersLostByClose(c *qt.C) int {
	const requests = 16
	var begun, active, lost atomic.Int64
	open := newConnections(100, 0, func() time.Duration { return time.Minute }, func() bool { return false })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	together := make(chan struct{})
	s, err := newServer(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		active.Add(1)
		defer active.Add(-1)
		if begun.Add(1) == requests {
			close(together)
		}
		<-together
		_, _ = io.WriteString(w, "answer") // The caller counts what is missing.
	}), open)
	c.Assert(err, qt.IsNil)
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			if get(address) != "answer" {
				lost.Add(1)
			}
		})
	}
	<-together
	for active.Load() > 0 {
		runtime.Gosched()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s.Drain(ctx)
	c.Check(s.Close(), qt.IsNil)
	callers.Wait()
	return int(lost.Load())
}

// get returns the body of an answer on a connection of its own, or the error.
func get(address string) string {
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + address)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
