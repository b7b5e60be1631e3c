// Package client is a client for the operator HTTP API of an oleanderramp
// daemon.
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

// Config holds the server to connect to and the operator's credentials.
type Config struct {
	// Server is the base URL of a daemon's operator listener.
	Server string
	// Key is the operator's bearer key.
	Key string
	// CAFile is the PEM file with the certificate authorities that are trusted
	// to sign the server's certificate. If empty, the host's are used.
	CAFile string
	// Timeout bounds each call; 0 means that only the context bounds it.
	Timeout time.Duration
}

// Client calls one daemon. It is safe for concurrent use.
type Client struct {
	server string
	key    string
	http   *http.Client
}

// New returns a client. It doesn't open a connection yet.
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
		return nil, fmt.Errorf("read CA file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read CA file: no certificate in %s", file)
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

// postDocument sends a JSON document unchanged.
func (c *Client) postDocument(ctx context.Context, path string, document []byte, result any) error {
	request := c.request().Post(path).Body(bytes.NewReader(document)).Set("Content-Type", "application/json")
	return c.call(ctx, request, result)
}

// call sends a request and decodes the response into result. The error is an
// *Error for an error response, or an *UnreachableError if no complete response
// was received.
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
		return &UnreachableError{server: c.server, err: fmt.Errorf("read response: %w", err)}
	}
	return nil
}

func newError(response *http.Response, body ErrorBody) *Error {
	if body.Code == "" {
		body.Code = CodeInternal
		body.Message = "unexpected response " + response.Status
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
