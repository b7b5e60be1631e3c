package soak

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/settings"
)

// TestLossOfAcknowledgedTableIsFound checks that a control host that does not return the
// acknowledged routing table after the final fault is reported.
func TestLossOfAcknowledgedTableIsFound(t *testing.T) {
	v := newVersions()
	_, older := v.next(defaultTable(0), false)
	acknowledged, newest := v.next(defaultTable(0), false)
	v.acknowledge(acknowledged)
	tests := []struct {
		name   string
		status int
		body   []byte
		lost   bool
	}{
		{"as sent", http.StatusOK, newest, false},
		{"older", http.StatusOK, older, true},
		{"other bytes", http.StatusOK, append([]byte(" "), newest...), true},
		{"never", http.StatusServiceUnavailable, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &Site{recorder: &recorder{started: time.Now()}, versions: v}
			s.config.Network = [2]byte{byte(228 + os.Getpid()%20), byte(os.Getpid() % 250)}
			s.controls = []*Process{{settings: &settings.Site{Host: "control-0"}}}
			listener, err := net.Listen("tcp", s.controlAddress(0))
			c.Assert(err, qt.IsNil)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write(test.body) // The check reports what is missing.
			})}
			go func() { _ = server.Serve(listener) }() // It returns ErrServerClosed.
			defer func() { c.Check(server.Close(), qt.IsNil) }()
			ctx, cancel := context.WithTimeout(t.Context(), 4*probeInterval)
			defer cancel()
			s.checkAcknowledged(ctx, acknowledged)
			c.Check(strings.HasSuffix(violatedInvariants(s), "LOST"), qt.Equals, test.lost)
		})
	}
}
