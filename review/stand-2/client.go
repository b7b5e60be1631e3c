package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one client attempt and what became of it.
type attempt struct {
	id, what, address, method, target, key, body string
	header                                       [][2]string
	timeout                                      time.Duration

	sent, ended time.Time
	status      int // 0 without an answer.
	stamp       string
	answer      []byte
	err         error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends the attempt on a new connection and waits for its answer, at most for its
// timeout.
func (a *attempt) do(rec *recorder) {
	if a.id == "" {
		a.id = newID()
	}
	a.sent = time.Now()
	rec.line("client sends %s (%s): %s %s to %s", a.id, a.what, a.method, shorten(a.target), a.address)
	a.err = a.exchange()
	a.ended = time.Now()
	rec.line("client got %s (%s): status %d, stamp %q, %d bytes, after %d ms, error %v", a.id, a.what, a.status, a.stamp, len(a.answer), a.took().Milliseconds(), a.err)
}

func (a *attempt) took() time.Duration { return a.ended.Sub(a.sent) }

func (a *attempt) request() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nOleanderramp-Request-Id: %s\r\n", a.method, a.target, host, a.id)
	if a.key != "" {
		fmt.Fprintf(&b, "Oleanderramp-Key: %s\r\n", a.key)
	}
	fmt.Fprintf(&b, "Oleanderramp-Deadline-Ms: %d\r\n", a.timeout.Milliseconds())
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if a.method != http.MethodGet || a.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	b.WriteString(a.body)
	return b.Bytes()
}

func (a *attempt) exchange() error {
	conn, err := net.DialTimeout("tcp", a.address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(a.timeout))
	if _, err := conn.Write(a.request()); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status, a.stamp = response.StatusCode, response.Header.Get("Oleanderramp-Server-Stamp")
	if id := response.Header.Get("Oleanderramp-Request-Id"); id != "" && id != a.id {
		return errors.New("the answer belongs to " + id)
	}
	a.answer, err = io.ReadAll(response.Body)
	return err
}

// doAll sends attempts at the same moment and waits for all.
func doAll(rec *recorder, attempts []*attempt) {
	var all sync.WaitGroup
	for _, a := range attempts {
		all.Go(func() { a.do(rec) })
	}
	all.Wait()
}
