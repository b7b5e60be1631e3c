package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
)

// blockedQuorum blocks each command until the context ends.
type blockedQuorum struct{ *fakeQuorum }

func (blockedQuorum) Execute(ctx context.Context, _ *wire.Command) (*wire.Result, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestChangeWithoutQuorum checks that without a quorum an operator gets an
// error response before the timeout of the command line client.
func TestChangeWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		recorder := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/endpoints/s/e/drain", nil)
		r.Header.Set("Authorization", "Bearer secret")
		newHandler(blockedQuorum{}, &fakeFleet{}, memory.New()).ServeHTTP(recorder, r)
		c.Check(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(recorder.Body.String(), qt.Contains, client.CodeNoQuorum)
		c.Check(time.Since(start), qt.Equals, 5*time.Second)
	})
}

// TestEndpointsOfFormerScheduler checks that an endpoint is listed once when a
// former scheduler still reports it.
func TestEndpointsOfFormerScheduler(t *testing.T) {
	available := client.EndpointStatus{Service: "s", Name: "e", Incarnation: 2, State: "available"}
	expired := client.EndpointStatus{Service: "s", Name: "e", Incarnation: 2, State: "expired"}
	older := client.EndpointStatus{Service: "s", Name: "e", Incarnation: 1, State: "available"}
	other := client.EndpointStatus{Service: "s", Name: "f", Incarnation: 1, State: "expired"}
	tests := []struct {
		name string
		list []client.EndpointStatus
		want []client.EndpointStatus
	}{
		{"expired first", []client.EndpointStatus{expired, available, other}, []client.EndpointStatus{available, other}},
		{"expired last", []client.EndpointStatus{available, expired}, []client.EndpointStatus{available}},
		{"expired later run", []client.EndpointStatus{older, expired}, []client.EndpointStatus{expired}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			recorder := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/v1/endpoints", nil)
			r.Header.Set("Authorization", "Bearer secret")
			newHandler(&fakeQuorum{}, &fakeFleet{endpoints: test.list}, memory.New()).ServeHTTP(recorder, r)
			var got []client.EndpointStatus
			c.Assert(json.Unmarshal(recorder.Body.Bytes(), &got), qt.IsNil)
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}
