package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/daemon"
	"oleanderramp/internal/demo"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/standin"
)

const prompt = `{"model":"standin","max_tokens":1,"messages":[{"role":"user","content":"When does hall 4 open?"}]}`

// newDaemon starts one daemon with all roles and an engine that answers at
// once. It returns the URLs of the daemon and of the engine.
func newDaemon(tb testing.TB) (callers, engine string) {
	s := newSettings(tb)
	startDaemon(tb, s)
	e := startEngine(tb, s, 256)
	callers = "http://" + s.Listen.Callers
	qt.Assert(tb, sendChat(callers), qt.IsNil)
	return callers, "http://" + e.Addr()
}

// newSettings returns the settings of a daemon with all roles.
func newSettings(tb testing.TB) *settings.Settings {
	s, err := demo.Settings(tb.TempDir())
	qt.Assert(tb, err, qt.IsNil)
	ip := fmt.Sprintf("127.9.%d.1", os.Getpid()%250)
	s.Listen.Callers, s.Listen.Endpoints, s.Listen.Operators = ip+":9400", ip+":9410", ip+":9430"
	s.Listen.Peers, s.ControlHosts[0].Address = ip+":9420", ip+":9420"
	return s
}

// startDaemon starts a daemon with the demonstration bundle in force.
func startDaemon(tb testing.TB, s *settings.Settings) *daemon.Daemon {
	return startDaemonWith(tb, s, demo.InstallBundle)
}

// startDaemonWith starts a daemon and puts a bundle in force.
func startDaemonWith(tb testing.TB, s *settings.Settings, put func(context.Context, demo.Quorum) error) *daemon.Daemon {
	c := qt.New(tb)
	d, err := daemon.New(s, daemon.Options{Bootstrap: true, Log: discardLogger()})
	c.Assert(err, qt.IsNil)
	tb.Cleanup(func() { c.Check(d.Close(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(put(ctx, d.Quorum()), qt.IsNil)
	c.Assert(d.WaitReady(ctx), qt.IsNil)
	return d
}

func discardLogger() log.Interface {
	return &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
}

// startEngine starts an engine that answers at once.
func startEngine(tb testing.TB, s *settings.Settings, slots int) *standin.Engine {
	return startEngineWithInterval(tb, s, slots, -1)
}

// startEngineWithInterval starts an engine with a time between two tokens. A
// negative interval means none.
func startEngineWithInterval(tb testing.TB, s *settings.Settings, slots int, interval time.Duration) *standin.Engine {
	e, err := standin.NewEngine(standin.EngineConfig{
		Config: standin.Config{
			Listen: "127.0.0.1:0", Endpoint: "engine-1", Service: "assistant", Region: demo.Region, Zone: demo.Zone,
			Slots: slots, AnnounceTo: []string{"http://" + s.Listen.Endpoints}, Log: discardLogger(),
		},
		TokenInterval: interval, FirstTokenDelay: -1,
	})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(e.Close)
	return e
}

// sendChat makes one chat request and reads its whole answer.
func sendChat(url string) error { return sendChatWith(http.DefaultClient, url) }

func sendChatWith(client *http.Client, url string) error {
	request, err := http.NewRequest("POST", url+"/v1/chat/completions", bytes.NewReader([]byte(prompt)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+demo.AccountKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var answer struct {
		Choices []json.RawMessage `json:"choices"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}

func TestOneDaemonAnswers(t *testing.T) {
	callers, _ := newDaemon(t)
	qt.Assert(t, sendChat(callers), qt.IsNil)
}

// BenchmarkAddedLatency compares a call through a daemon with a direct call to
// the engine, one call at a time on an idle fleet.
func BenchmarkAddedLatency(b *testing.B) {
	callers, engine := newDaemon(b)
	for _, route := range []struct{ name, url string }{{"direct", engine}, {"routed", callers}} {
		b.Run(route.name, func(b *testing.B) {
			histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for b.Loop() {
				start := time.Now()
				if err := sendChat(route.url); err != nil {
					b.Fatal(err)
				}
				_ = histogram.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// BenchmarkThroughput compares the requests per second through a daemon with
// those sent directly to the engine, under load from many callers.
func BenchmarkThroughput(b *testing.B) {
	callers, engine := newDaemon(b)
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	for _, route := range []struct{ name, url string }{{"direct", engine}, {"routed", callers}} {
		b.Run(route.name, func(b *testing.B) {
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := sendChat(route.url); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
