package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got; err is set if the answer did not come whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the bytes of one request on a new connection and reads the answer.
func send(address string, request []byte, limit time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write(request); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(r *bufio.Reader) answer {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}
