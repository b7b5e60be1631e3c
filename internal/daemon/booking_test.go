package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/demo"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/standin"
)

// startOrders starts a stand-in order service and waits until the daemon routes
// requests to it.
func startOrders(tb testing.TB, s *settings.Settings) *standin.Orders {
	c := qt.New(tb)
	o, err := standin.NewOrders(standin.OrdersConfig{Config: standin.Config{
		Listen: "127.0.0.1:0", Endpoint: "orders-1", Service: "orders", Region: demo.Region, Zone: demo.Zone,
		Slots: 64, AnnounceTo: []string{"http://" + s.Listen.Endpoints}, Log: discardLogger(),
	}})
	c.Assert(err, qt.IsNil)
	tb.Cleanup(o.Close)
	status, _, err := sendOrder(s, "GET", "/status", "", "")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, 200)
	return o
}

// sendOrder makes one request to the order service through the daemon.
func sendOrder(s *settings.Settings, method, path, key, body string) (status int, outcome string, err error) {
	request, err := http.NewRequest(method, "http://"+s.Listen.Callers+"/services/orders"+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+demo.AccountKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Oleanderramp-Outcome"), err
}

func TestBookingsRunOnce(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	startDaemon(t, s)
	orders := startOrders(t, s)
	for range 3 {
		status, outcome, err := sendOrder(s, "POST", "/bookings", "key-1", `{"order":"stand-12-power"}`)
		c.Assert(err, qt.IsNil)
		c.Check(status < 300, qt.IsTrue, qt.Commentf("%d", status))
		c.Check(outcome, qt.Equals, "ok")
	}
	c.Check(orders.Runs("stand-12-power"), qt.Equals, 1)
}

// BenchmarkBooking compares a booking, which needs a record, with an idempotent
// call to the same service, one call at a time. The daemon is the quorum's only
// member.
func BenchmarkBooking(b *testing.B) {
	s := newSettings(b)
	startDaemon(b, s)
	startOrders(b, s)
	keys := 0
	calls := []struct {
		name string
		call func() (int, string, error)
	}{
		{"idempotent", func() (int, string, error) { return sendOrder(s, "GET", "/status", "", "") }},
		{"booking", func() (int, string, error) {
			keys++
			key := fmt.Sprintf("key-%d", keys)
			return sendOrder(s, "POST", "/bookings", key, fmt.Sprintf(`{"order":%q}`, key))
		}},
		{"repeat", func() (int, string, error) { return sendOrder(s, "POST", "/bookings", "key-1", `{"order":"key-1"}`) }},
	}
	for _, call := range calls {
		b.Run(call.name, func(b *testing.B) {
			histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for b.Loop() {
				start := time.Now()
				if _, outcome, err := call.call(); err != nil || outcome != "ok" {
					b.Fatal(outcome, err)
				}
				_ = histogram.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
		})
	}
}
