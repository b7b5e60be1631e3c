package endpoint

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
)

// errorBodyBytes bounds the body that a CallError keeps.
const errorBodyBytes = 64 << 10

// readBytes is the size of one read of an answer.
const readBytes = 16 << 10

// usageBytes bounds the body of a JSON answer in which the usage is looked
// for.
const usageBytes = 1 << 20

// receive checks the head of an answer and passes the rest to the sink.
func (a *attempt) receive(config ClientConfig, response *http.Response) *CallError {
	a.result.Status = response.StatusCode
	if err := a.checkRequestID(response.Header); err != nil {
		return err
	}
	if response.StatusCode < http.StatusOK {
		return a.newError(WrongAnswer, fmt.Errorf("status %d is no final answer", response.StatusCode))
	}
	if response.StatusCode >= http.StatusInternalServerError || a.headers.isRefusal(response.StatusCode, response.Header) {
		return a.receiveError(response)
	}
	stream := a.call.Stream && isEventStream(response.Header)
	if !stream && !a.call.Raw && !truncationDetectable(a.call.Method, response) {
		return a.newError(Truncated, errors.New("the answer states no length, so its end can't be told"))
	}
	if response.ContentLength > a.call.MaxAnswerBytes {
		return a.newError(TooLarge, fmt.Errorf("answer of %d bytes", response.ContentLength))
	}
	if err := a.sink.Head(response.StatusCode, forwardable(response.Header)); err != nil {
		return a.newError(CallerGone, err)
	}
	switch {
	case stream && a.call.Raw:
		return a.receiveRawStream(config, response.Body)
	case stream:
		return a.receiveStream(config, response.Body)
	default:
		return a.receiveBody(response)
	}
}

func (a *attempt) newError(kind Kind, err error) *CallError {
	return &CallError{Kind: kind, Status: a.result.Status, Reused: a.reused, sent: true, err: err}
}

func (a *attempt) checkRequestID(header http.Header) *CallError {
	echo := header.Get(a.headers.Request)
	if echo == a.call.RequestID || echo == "" && !a.call.RequireEcho {
		return nil
	}
	return a.newError(WrongAnswer, fmt.Errorf("answer to request %q came for %q", echo, a.call.RequestID))
}

// receiveError reads the body of an answer that is an error of the endpoint.
func (a *attempt) receiveError(response *http.Response) *CallError {
	a.timer.Reset(a.call.ProgressTimeout)
	body, err := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
	if err != nil {
		return a.connectionError(Truncated, err)
	}
	kind := EndpointError
	if a.headers.isRefusal(response.StatusCode, response.Header) {
		kind = Refused
	}
	callErr := a.newError(kind, nil)
	callErr.Body = body
	callErr.Header = forwardable(response.Header)
	return callErr
}

func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// truncationDetectable tells whether a cut of the answer would be noticed.
func truncationDetectable(method string, response *http.Response) bool {
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	return chunked || response.ContentLength >= 0 || method == http.MethodHead
}

// receiveBody passes a body with a known end to the sink.
func (a *attempt) receiveBody(response *http.Response) *CallError {
	var usage usageScanner
	buffer := make([]byte, readBytes)
	for {
		n, done, callErr := a.read(response.Body, buffer)
		if callErr != nil {
			return callErr
		}
		if !a.call.Raw {
			usage.add(buffer[:n])
		}
		if callErr := a.forward(buffer[:n]); callErr != nil {
			return callErr
		}
		if done {
			a.result.Tokens = usage.tokens()
			a.result.Complete = true
			return nil
		}
	}
}

// read reads once, within the progress timeout. The timer runs only while it
// waits for the endpoint: a slow caller is not the endpoint's fault.
func (a *attempt) read(body io.Reader, buffer []byte) (n int, done bool, callErr *CallError) {
	a.timer.Reset(a.call.ProgressTimeout)
	n, err := body.Read(buffer)
	a.timer.Stop()
	switch {
	case errors.Is(err, io.EOF):
		return n, true, nil
	case err != nil:
		return n, false, a.connectionError(Truncated, err)
	}
	return n, false, nil
}

// forward gives bytes of the body to the sink.
func (a *attempt) forward(p []byte) *CallError {
	if len(p) == 0 {
		return nil
	}
	if a.result.Bytes+int64(len(p)) > a.call.MaxAnswerBytes {
		return a.newError(TooLarge, fmt.Errorf("answer exceeds %d bytes", a.call.MaxAnswerBytes))
	}
	if err := a.sink.Data(p); err != nil {
		return a.newError(CallerGone, err)
	}
	a.result.Bytes += int64(len(p))
	return nil
}
