package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/demo"
	"oleanderramp/internal/operator"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/client"
	"oleanderramp/pkg/finding"
)

const maxBodyBytes = 100

// fakeQuorum returns the same result for every command and query, and records
// the last command.
type fakeQuorum struct {
	command  *wire.Command
	result   *wire.Result
	response *wire.QueryResponse
	err      error
}

func (q *fakeQuorum) Execute(_ context.Context, c *wire.Command) (*wire.Result, error) {
	q.command = c
	return q.result, q.err
}

func (q *fakeQuorum) Query(context.Context, *wire.QueryRequest) (*wire.QueryResponse, error) {
	return q.response, q.err
}

// fakeFleet returns the endpoints and records the last added host. Its methods
// return err.
type fakeFleet struct {
	operator.Fleet
	endpoints []client.EndpointStatus
	added     string
	err       error
}

func (f *fakeFleet) Endpoints(context.Context) ([]client.EndpointStatus, error) {
	return f.endpoints, f.err
}

func (f *fakeFleet) AddReplica(_ context.Context, host string) error {
	f.added = host
	return f.err
}

// setup holds a handler, its fakes and its log output.
type setup struct {
	quorum  *fakeQuorum
	fleet   *fakeFleet
	logs    *memory.Handler
	handler http.Handler
}

func newSetup() *setup {
	s := &setup{quorum: &fakeQuorum{result: &wire.Result{}}, fleet: &fakeFleet{}, logs: memory.New()}
	s.handler = newHandler(s.quorum, s.fleet, s.logs)
	return s
}

func newHandler(quorum operator.Quorum, fleet operator.Fleet, logs log.Handler) http.Handler {
	hash := sha256.Sum256([]byte("secret"))
	other := sha256.Sum256([]byte("other"))
	return operator.New(operator.Config{
		Operators: []settings.Operator{
			{Name: "second", KeySHA256: hex.EncodeToString(other[:])},
			{Name: "first", KeySHA256: hex.EncodeToString(hash[:])},
		},
		Quorum:       quorum,
		Fleet:        fleet,
		ParseBundle:  parseBundle,
		MaxBodyBytes: maxBodyBytes,
		Log:          &log.Logger{Handler: logs, Level: log.DebugLevel},
	})
}

// parseBundle returns findings for every document that contains "bad", and the
// demonstration bundle for any other.
func parseBundle(document []byte) (*bundle.Bundle, error) {
	var findings finding.List
	if strings.Contains(string(document), "bad") {
		findings.Addf("services[0].name", "is bad")
		findings.Addf("parent", "is bad too")
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return bundle.New(*demo.Document())
}

// canonicalBundle returns the document of a proposal for the bundle that
// parseBundle returns.
func canonicalBundle() []byte {
	parsed, err := parseBundle(nil)
	if err != nil {
		panic(err)
	}
	data, err := parsed.MarshalJSON()
	if err != nil {
		panic(err)
	}
	return data
}

func (s *setup) do(method, path, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", key)
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, request)
	return recorder
}

func TestErrorResponses(t *testing.T) {
	const good = "Bearer secret"
	conflict := &wire.Result{Error: &wire.CommandError{Code: "bundle_conflict", Message: "second's bundle ab won"}}
	tests := []struct {
		name, method, path, key, body string
		result                        *wire.Result
		err                           error
		wantStatus                    int
		wantBody                      string
	}{
		{"no key", "GET", "/v1/fleet", "", "", nil, nil, 401, `{"code":"unauthorized","message":"no operator has this key"}`},
		{"empty key", "GET", "/v1/fleet", "Bearer ", "", nil, nil, 401, `{"code":"unauthorized","message":"no operator has this key"}`},
		{"wrong key", "POST", "/v1/bundles", "Bearer secreT", "{}", nil, nil, 401, `{"code":"unauthorized","message":"no operator has this key"}`},
		{"not bearer", "GET", "/v1/fleet", "Basic secret", "", nil, nil, 401, `{"code":"unauthorized","message":"no operator has this key"}`},
		{"no route", "GET", "/v1/none", good, "", nil, nil, 404, `{"code":"not_found","message":"no route GET /v1/none"}`},
		{"findings", "POST", "/v1/bundles", good, "bad", nil, nil, 422, `{"code":"findings","message":"the document has findings","findings":[{"place":"services[0].name","message":"is bad"},{"place":"parent","message":"is bad too"}]}`},
		{"too large", "POST", "/v1/bundles", good, strings.Repeat(" ", maxBodyBytes+1), nil, nil, 413, `{"code":"body_too_large","message":"the body is over 100 bytes"}`},
		{"conflict", "POST", "/v1/bundles", good, "{}", conflict, nil, 409, `{"code":"bundle_conflict","message":"second's bundle ab won"}`},
		{"no quorum", "POST", "/v1/bundles/ab/accept", good, "", nil, errors.New("no leader"), 503, `{"code":"no_quorum","message":"commit: no leader"}`},
		{"digest", "POST", "/v1/bundles/xy/accept", good, "", nil, nil, 400, `{"code":"bad_request","message":"digest: want hexadecimal digits"}`},
		{"limit", "GET", "/v1/audit?limit=0", good, "", nil, nil, 400, `{"code":"bad_request","message":"limit: want a number from 1 to 1000"}`},
		{"no host", "POST", "/v1/replicas", good, `{}`, nil, nil, 400, `{"code":"bad_request","message":"host: must not be empty"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSetup()
			s.quorum.result = test.result
			s.quorum.err = test.err
			got := s.do(test.method, test.path, test.key, test.body)
			c.Check(got.Code, qt.Equals, test.wantStatus)
			c.Check(strings.TrimSpace(got.Body.String()), qt.Equals, test.wantBody)
			c.Check(got.Header().Get("Retry-After") != "", qt.Equals, test.wantStatus == 503)
			if test.wantStatus == 401 {
				c.Check(s.quorum.command, qt.IsNil)
			}
		})
	}
}

func TestCommandsCarryOperator(t *testing.T) {
	tests := []struct {
		path, body string
		want       *wire.Command
	}{
		{"/v1/bundles", "{}", &wire.Command{Body: &wire.Command_ProposeBundle{
			ProposeBundle: &wire.ProposeBundle{Operator: "first", Document: canonicalBundle()}}}},
		{"/v1/bundles/ab/sign-off", "", &wire.Command{Body: &wire.Command_SignOffBundle{
			SignOffBundle: &wire.SignOffBundle{Operator: "first", Digest: []byte{0xab}}}}},
		{"/v1/bundles/ab/accept", "", &wire.Command{Body: &wire.Command_AcceptBundle{
			AcceptBundle: &wire.AcceptBundle{Operator: "first", Digest: []byte{0xab}}}}},
		{"/v1/bundles/ab/withdraw", "", &wire.Command{Body: &wire.Command_WithdrawBundle{
			WithdrawBundle: &wire.WithdrawBundle{Operator: "first", Digest: []byte{0xab}}}}},
		{"/v1/endpoints/s/e%2F1/drain", "", &wire.Command{Body: &wire.Command_DrainEndpoint{
			DrainEndpoint: &wire.DrainEndpoint{Operator: "first", Service: "s", Endpoint: "e/1", Drained: true}}}},
		{"/v1/endpoints/s/e/undrain", "", &wire.Command{Body: &wire.Command_DrainEndpoint{
			DrainEndpoint: &wire.DrainEndpoint{Operator: "first", Service: "s", Endpoint: "e"}}}},
	}
	for _, test := range tests {
		t.Run(test.path, func(t *testing.T) {
			c := qt.New(t)
			s := newSetup()
			got := s.do("POST", test.path, "Bearer secret", test.body)
			c.Check(got.Code, qt.Equals, http.StatusOK)
			c.Check(proto.Equal(s.quorum.command, test.want), qt.IsTrue, qt.Commentf("%v", s.quorum.command))
			c.Assert(s.logs.Entries, qt.HasLen, 1)
			c.Check(s.logs.Entries[0].Fields["operator"], qt.Equals, "first")
		})
	}
}

func TestReplicaChanges(t *testing.T) {
	c := qt.New(t)
	s := newSetup()
	got := s.do("POST", "/v1/replicas", "Bearer secret", `{"host":"maz-3"}`)
	c.Check(got.Code, qt.Equals, http.StatusOK)
	c.Check(s.fleet.added, qt.Equals, "maz-3")

	s.fleet.err = operator.NewAPIError(client.CodeChangeRefused, "another change is not complete")
	got = s.do("POST", "/v1/replicas", "Bearer secret", `{"host":"maz-3"}`)
	c.Check(got.Code, qt.Equals, http.StatusConflict)
}

func TestEmptyListIsAnArray(t *testing.T) {
	c := qt.New(t)
	got := newSetup().do("GET", "/v1/endpoints", "Bearer secret", "")
	body, err := io.ReadAll(got.Body)
	c.Assert(err, qt.IsNil)
	c.Check(strings.TrimSpace(string(body)), qt.Equals, "[]")
}
