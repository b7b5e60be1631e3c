package endpoint

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
)

// errorBodyBytes is the maximum size of CallError.Body.
const errorBodyBytes = 64 << 10

// readBytes is the size of the buffer into which a response is read.
const readBytes = 16 << 10

// usageBytes is the largest JSON response body that is searched for the token
// usage.
const usageBytes = 1 << 20

// receive validates the status and header of the response and forwards its body
// to the sink.
func (a *attempt) receive(config ClientConfig, response *http.Response) *CallError {
	a.result.Status = response.StatusCode
	if !a.headScanned() {
		return a.newError(WrongAnswer, errors.New("response began before the request"))
	}
	if err := a.checkRequestID(response.Header); err != nil {
		return err
	}
	a.passNotice(response)
	if response.StatusCode < http.StatusOK {
		return a.newError(WrongAnswer, fmt.Errorf("status %d is not a final response", response.StatusCode))
	}
	if response.StatusCode >= http.StatusInternalServerError || a.headers.isRefusal(response.StatusCode, response.Header) {
		return a.receiveError(response)
	}
	stream := a.call.Stream && IsEventStream(response.Header)
	if !stream && !a.call.Raw && !truncationDetectable(a.call.Method, response) {
		return a.newError(Truncated, errors.New("the response has neither a length nor chunks, so truncation could not be detected"))
	}
	if response.ContentLength > a.call.MaxAnswerBytes {
		return a.newError(TooLarge, fmt.Errorf("response of %d bytes exceeds the limit", response.ContentLength))
	}
	if err := a.sink.Head(response.StatusCode, forwardable(response.Header)); err != nil {
		return a.sinkError(err)
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

// passNotice passes on what the endpoint states about itself in the response to the
// request. What it states in any other may be long past.
func (a *attempt) passNotice(response *http.Response) {
	if a.call.OnNotice == nil {
		return
	}
	notice := a.headers.notice(response.StatusCode, response.Header)
	notice.Answer = response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusBadRequest
	a.call.OnNotice(notice)
}

func (a *attempt) newError(kind Kind, err error) *CallError {
	return &CallError{Kind: kind, Status: a.result.Status, Reused: a.reused, sent: true, err: err}
}

// sinkError returns the error for a response that the sink did not take.
func (a *attempt) sinkError(err error) *CallError {
	if errors.Is(err, ErrWrongAnswer) {
		return a.newError(WrongAnswer, err)
	}
	return a.newError(CallerGone, err)
}

// checkRequestID checks that the response belongs to the request. One that does not say so
// is accepted only on a connection that carries no other request.
func (a *attempt) checkRequestID(header http.Header) *CallError {
	echo := header.Get(a.headers.Request)
	if echo == a.call.RequestID {
		return nil
	}
	if echo == "" && !a.call.RequireEcho && !a.reused {
		// On a connection that is used again, the response might be a second copy of
		// an earlier one.
		a.spendConn()
		return nil
	}
	return a.newError(WrongAnswer, fmt.Errorf("response carries request id %q, want %q", echo, a.call.RequestID))
}

// receiveError reads the body of an error response.
func (a *attempt) receiveError(response *http.Response) *CallError {
	a.silence.start(a.call.ProgressTimeout)
	body, err := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes+1))
	a.silence.stop()
	if err != nil {
		return a.connectionError(Truncated, err)
	}
	kind := EndpointError
	if a.headers.isRefusal(response.StatusCode, response.Header) {
		kind = Refused
	}
	callErr := a.newError(kind, nil)
	callErr.Body, callErr.BodyCut = body[:min(len(body), errorBodyBytes)], len(body) > errorBodyBytes
	callErr.Header = forwardable(response.Header)
	return callErr
}

// IsEventStream reports whether the body below the header is a stream of server-sent events.
func IsEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// truncationDetectable reports whether the framing of the response reveals a
// truncated body.
func truncationDetectable(method string, response *http.Response) bool {
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	return chunked || response.ContentLength >= 0 || method == http.MethodHead
}

// receiveBody forwards a body that is not a stream of events to the sink.
func (a *attempt) receiveBody(response *http.Response) *CallError {
	var usage usageScanner
	buffer := make([]byte, readBytes)
	for {
		n, done, callErr := a.read(response.Body, buffer, true)
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

// read calls body.Read once, within the progress timeout. The timer runs only
// while read waits for the endpoint, so that a slow caller does not count as an
// unresponsive endpoint. progress reports whether the last read brought progress, after
// which the timeout begins anew.
func (a *attempt) read(body io.Reader, buffer []byte, progress bool) (n int, done bool, callErr *CallError) {
	if progress {
		a.silence.start(a.call.ProgressTimeout)
	} else {
		a.silence.resume()
	}
	n, err := body.Read(buffer)
	a.silence.stop()
	switch {
	case errors.Is(err, io.EOF):
		return n, true, nil
	case err != nil:
		return n, false, a.connectionError(Truncated, err)
	}
	return n, false, nil
}

// forward writes bytes of the body to the sink.
func (a *attempt) forward(p []byte) *CallError {
	if len(p) == 0 {
		return nil
	}
	if a.result.Bytes+int64(len(p)) > a.call.MaxAnswerBytes {
		return a.newError(TooLarge, fmt.Errorf("response exceeds %d bytes", a.call.MaxAnswerBytes))
	}
	if err := a.sink.Data(p); err != nil {
		return a.sinkError(err)
	}
	a.result.Bytes += int64(len(p))
	return nil
}
