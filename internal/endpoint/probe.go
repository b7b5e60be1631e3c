package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"syscall"
)

// Probe sends GET /health to the endpoint on a new connection. The error is nil
// if the endpoint responded, with any status.
func (c *Client) Probe(ctx context.Context, address string) error {
	_, _, err := c.probe(ctx, address)
	return err
}

// health probes the endpoint and compares its incarnation.
func (c *Client) health(ctx context.Context, address string, incarnation uint64) Health {
	found, connected, err := c.probe(ctx, address)
	health := Alive
	switch {
	case err == nil && incarnation != 0 && found != 0 && found != incarnation:
		health = Restarted
	case err == nil:
	case connected:
		health = Unresponsive
	case errors.Is(err, syscall.ECONNREFUSED):
		health = Gone
	default:
		health = Unreachable
	}
	c.config.Metrics.ProbeEnded(address, health)
	return health
}

// probe returns the incarnation that the endpoint reports, 0 if none, and
// whether it accepted a connection. A response with any status shows that the
// endpoint is alive.
func (c *Client) probe(ctx context.Context, address string) (incarnation uint64, connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return 0, false, err
	}
	response, err := c.probes.RoundTrip(request)
	if err != nil {
		return 0, connected, fmt.Errorf("probe %s: %w", address, err)
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, readBytes)
	incarnation, _ = strconv.ParseUint(response.Header.Get(HeaderIncarnation), 10, 64)
	return incarnation, true, nil
}

// Cancel asks the endpoint, in the background, to stop a stream whose
// connection was closed, as the endpoint may not have noticed that. The router
// calls it for a stream that timed out and is not resumed.
func (c *Client) Cancel(call Call) {
	if call.RequestID == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	c.background.Go(func() {
		defer func() { <-c.cancelSlots }()
		c.postCancel(call)
	})
}

func (c *Client) postCancel(call Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.config.ProbeTimeout)
	defer cancel()
	target := "http://" + call.Address + "/v1/streams/" + url.PathEscape(call.RequestID) + "/cancel"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return
	}
	response, err := c.probes.RoundTrip(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
