package soak

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndpointListensAgain guards against a soak that ends an endpoint for good, because
// a process that it was just starting held a copy of the endpoint's closed listener.
func TestEndpointListensAgain(t *testing.T) {
	c := qt.New(t)
	copied, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	time.AfterFunc(50*time.Millisecond, func() { _ = copied.Close() })
	listener, err := listenAgain(copied.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Check(listener.Close(), qt.IsNil)
}
