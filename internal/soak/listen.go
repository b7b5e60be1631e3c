package soak

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// maxListenDelay is how long an address may stay in use after its listener was
	// closed. A process that the soak is starting has a copy of the listener until it
	// executes its program.
	maxListenDelay = 2 * time.Second
	// listenPeriod is the interval between two attempts to listen.
	listenPeriod = 10 * time.Millisecond
)

// listenAgain listens on an address at which there was a listener before.
func listenAgain(address string) (net.Listener, error) {
	for first := time.Now(); ; {
		listener, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(first) >= maxListenDelay {
			return listener, err
		}
		time.Sleep(listenPeriod)
	}
}
