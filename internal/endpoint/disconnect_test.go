package endpoint_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/endpoint"
)

// TestCallOfDisconnectedCallerIsNotSent guards against calls that are written to their
// endpoints after their callers have left, on new connections and on idle ones.
func TestCallOfDisconnectedCallerIsNotSent(t *testing.T) {
	server := newRawServer(t, func(int) (string, bool) { return okAnswer, true })
	client := newClient(t, endpoint.ClientConfig{})
	call := bookCall(server.listener.Addr().String())
	call.Idempotent = true
	disconnected := false
	call.CallerDisconnected = func() bool { return disconnected }
	_, err := client.Do(t.Context(), call, &recorder{})
	qt.Assert(t, err, qt.IsNil)
	disconnected = true // The next call finds an idle connection.
	for range 2 {
		_, err = client.Do(t.Context(), call, &recorder{})
		callErr := asCallError(t, err)
		qt.Check(t, callErr.Kind, qt.Equals, endpoint.CallerGone)
		qt.Check(t, callErr.MayHaveRun(), qt.IsFalse)
		qt.Check(t, errors.Is(callErr, endpoint.ErrCallerDisconnected), qt.IsTrue)
	}
	qt.Check(t, server.count(), qt.Equals, 1)
}
