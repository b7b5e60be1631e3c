package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/demo"
	"oleanderramp/internal/standin"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

const streamPrompt = `{"model":"standin","stream":true,"max_tokens":40,"prompt":"How high may a stand be in hall 4 of the fair?"}`

// readStream returns the text of a stream, the number of its events, and
// whether it ended with [DONE].
func readStream(c *qt.C, url string) (text string, events int, whole bool) {
	return watchStream(c, url, func(int) {})
}

// watchStream does the same as readStream, and calls seen after each event with
// the number of events so far.
func watchStream(c *qt.C, url string, seen func(events int)) (text string, events int, whole bool) {
	request, err := http.NewRequest("POST", url+"/v1/completions", strings.NewReader(streamPrompt))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+demo.AccountKey)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			// Read to the end: the daemon counts the call in its metrics before
			// the answer ends.
			_, err := io.Copy(io.Discard, response.Body)
			c.Assert(err, qt.IsNil)
			return text, events, true
		}
		var event struct{ Choices []struct{ Text string } }
		c.Assert(json.Unmarshal([]byte(data), &event), qt.IsNil, qt.Commentf("%s", data))
		if len(event.Choices) == 1 {
			text += event.Choices[0].Text
			events++
			seen(events)
		}
	}
	return text, events, false
}

// TestTruncatedStreamIsResumed lets the stand-in engine truncate a stream twice,
// which the daemon must resume without a gap, and then three times, which is
// more than it may resume.
func TestTruncatedStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	startDaemon(t, s)
	engine := startEngine(t, s, 4)
	callers := "http://" + s.Listen.Callers
	c.Assert(sendChat(callers), qt.IsNil)
	want, wantEvents, whole := readStream(c, "http://"+engine.Addr())
	c.Assert(whole, qt.IsTrue)

	c.Assert(engine.Inject(standin.Fault{Fault: standin.FaultTruncate, AfterEvents: 3, Count: 2}), qt.IsNil)
	got, events, whole := readStream(c, callers)
	c.Check(whole, qt.IsTrue)
	c.Check(got, qt.Equals, want)
	c.Check(events, qt.Equals, wantEvents)
	c.Check(metrics(c, s), qt.Contains, `oleanderramp_service_received_total{account="demo",service="assistant"} 41`)

	c.Assert(engine.Inject(standin.Fault{Fault: standin.FaultTruncate, AfterEvents: 3, Count: 3}), qt.IsNil)
	got, _, whole = readStream(c, callers)
	c.Check(whole, qt.IsFalse)
	c.Check(strings.HasPrefix(want, got), qt.IsTrue, qt.Commentf("%s", got))
}

// putShortProgressTimeout puts the demonstration bundle in force with a short
// progress timeout.
func putShortProgressTimeout(ctx context.Context, quorum demo.Quorum) error {
	document := demo.Document()
	document.Services[0].Kinds[0].ProgressTimeoutMS = 300
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	parsed, err := bundle.Parse(data)
	if err != nil {
		return err
	}
	digest := parsed.Digest().Bytes()
	for _, command := range []*wire.Command{
		{Body: &wire.Command_ProposeBundle{ProposeBundle: &wire.ProposeBundle{Operator: "proposer", Document: data}}},
		{Body: &wire.Command_SignOffBundle{SignOffBundle: &wire.SignOffBundle{Operator: "reviewer", Digest: digest}}},
		{Body: &wire.Command_AcceptBundle{AcceptBundle: &wire.AcceptBundle{Operator: "proposer", Digest: digest}}},
	} {
		result, err := quorum.Execute(ctx, command)
		if err != nil {
			return err
		}
		if refused := result.GetError(); refused != nil {
			return errors.New(refused.GetMessage())
		}
	}
	return nil
}

// TestSilentStreamIsResumed makes all open connections to the stand-in engine go
// silent permanently in the middle of a stream. The daemon must resume the stream
// on a new connection.
func TestSilentStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	s := newSettings(t)
	startDaemonWith(t, s, putShortProgressTimeout)
	engine := startEngineWithInterval(t, s, 1, 10*time.Millisecond)
	c.Assert(sendChat("http://"+s.Listen.Callers), qt.IsNil)
	want, wantEvents, whole := readStream(c, "http://"+engine.Addr())
	c.Assert(whole, qt.IsTrue)

	got, events, whole := watchStream(c, "http://"+s.Listen.Callers, func(events int) {
		if events == 5 {
			c.Check(engine.Inject(standin.Fault{Fault: standin.FaultSilent}), qt.IsNil)
		}
	})
	c.Check(whole, qt.IsTrue)
	c.Check(got, qt.Equals, want)
	c.Check(events, qt.Equals, wantEvents)
	c.Check(sendChat("http://"+s.Listen.Callers), qt.IsNil)
}
