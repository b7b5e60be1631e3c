package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"oleanderramp/platform/outside"
)

// brokenAnswers are answers that a router may not pass on, in which %s stands for the header
// that each answer of an endpoint has.
var brokenAnswers = []string{
	"HTTP/1.1 000 No\r\n%sContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 600 No\r\n%sContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sX Y: z\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
	"HTTP/1.1 200 OK\r\n%sX: y\r\n Content-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n",
}

// brokenContinuations are answers that a router may not pass on as the rest of a stream.
var brokenContinuations = []string{
	"HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 No\r\n\r\n",
}

// brokenStreams returns the broken answers to a call for a stream. The router that began it
// asks for the rest under the same ID; another ID is that of a caller, who gets the answer of
// the endpoint whatever its type is.
func brokenStreams(call outside.Call) []string {
	if call.LastEvent == 0 || call.Stream != call.ID {
		return brokenAnswers
	}
	return append(slices.Clone(brokenAnswers), brokenContinuations...)
}

// answerBroken sends one of the answers in place of a sound one, and closes the connection.
func answerBroken(w http.ResponseWriter, answers []string) {
	var header bytes.Buffer
	_ = w.Header().Write(&header) // Writing to a buffer never fails.
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, answers[rand.IntN(len(answers))], header.String()) // The router may have closed the connection.
}
