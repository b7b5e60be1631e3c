// Package client speaks the operator's HTTP API of an oleanderramp daemon.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
)

// Config says which server to speak to, and as whom.
type Config struct {
	// Server is the base URL of a daemon's operator listener.
	Server string
	// Key is the operator's bearer key.
	Key string
	// CAFile names the PEM file of the authorities that may sign the server's
	// certificate. Empty: those of the host.
	CAFile string
	// Timeout bounds each call; 0 for none but the context's.
	Timeout time.Duration
}

// Client calls one daemon. It may be used by many goroutines.
type Client struct {
	server string
	key    string
	http   *http.Client
}

// New returns a client; it opens no connection yet.
func New(config Config) (*Client, error) {
	base, err := url.Parse(config.Server)
	if err != nil {
		return nil, fmt.Errorf("server URL: %w", err)
	}
	if base.Scheme != "http" && base.Scheme != "https" {
		return nil, fmt.Errorf("server URL %q: want http:// or https://", config.Server)
	}
	transport := &http.Transport{}
	if config.CAFile != "" {
		roots, err := loadRoots(config.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	return &Client{
		server: strings.TrimSuffix(config.Server, "/") + "/",
		key:    config.Key,
		http:   &http.Client{Transport: transport, Timeout: config.Timeout},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func loadRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read authorities: no certificate in %s", file)
	}
	return roots, nil
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.call(ctx, c.request().Get(path), result)
}

func (c *Client) post(ctx context.Context, path string, result any) error {
	return c.call(ctx, c.request().Post(path), result)
}

func (c *Client) request() *sling.Sling {
	return sling.New().Base(c.server).Set("Authorization", "Bearer "+c.key)
}

// postDocument sends a JSON document as it is.
func (c *Client) postDocument(ctx context.Context, path string, document []byte, result any) error {
	request := c.request().Post(path).Body(bytes.NewReader(document)).Set("Content-Type", "application/json")
	return c.call(ctx, request, result)
}

// call sends a request. The error is an *Error for a refusal, or an
// *UnreachableError when no whole answer came.
func (c *Client) call(ctx context.Context, s *sling.Sling, result any) error {
	request, err := s.Request()
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	var errorBody ErrorBody
	//nolint:bodyclose // sling closes the body
	response, err := s.Client(c.http).Do(request.WithContext(ctx), result, &errorBody)
	if response == nil {
		return &UnreachableError{server: c.server, err: err}
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return newError(response, errorBody)
	}
	if err != nil {
		return &UnreachableError{server: c.server, err: fmt.Errorf("read answer: %w", err)}
	}
	return nil
}

func newError(response *http.Response, body ErrorBody) *Error {
	if body.Code == "" {
		body.Code = CodeInternal
		body.Message = "unexpected answer " + response.Status
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	return &Error{
		status:     response.StatusCode,
		body:       body,
		retryAfter: time.Duration(seconds) * time.Second,
	}
}
