package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/daemon"
	"oleanderramp/internal/demo"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/standin"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// putInForce proposes, signs off and accepts the document in the daemon's
// quorum.
func putInForce(ctx context.Context, c *qt.C, d *daemon.Daemon, document *bundle.Document) {
	data, err := json.Marshal(document)
	c.Assert(err, qt.IsNil)
	parsed, err := bundle.Parse(data)
	c.Assert(err, qt.IsNil)
	digest := parsed.Digest().Bytes()
	for _, command := range []*wire.Command{
		{Body: &wire.Command_ProposeBundle{ProposeBundle: &wire.ProposeBundle{Operator: "proposer", Document: data}}},
		{Body: &wire.Command_SignOffBundle{SignOffBundle: &wire.SignOffBundle{Operator: "reviewer", Digest: digest}}},
		{Body: &wire.Command_AcceptBundle{AcceptBundle: &wire.AcceptBundle{Operator: "proposer", Digest: digest}}},
	} {
		result, err := d.Quorum().Execute(ctx, command)
		c.Assert(err, qt.IsNil)
		c.Assert(result.GetError(), qt.IsNil)
	}
}

// TestModelIsLoadedOnDemand runs one daemon with all roles and an engine without
// the requested model. The placement role must order the engine to load it.
func TestModelIsLoadedOnDemand(t *testing.T) {
	c := qt.New(t)
	s, err := demo.Settings(t.TempDir())
	c.Assert(err, qt.IsNil)
	ip := fmt.Sprintf("127.9.%d.2", os.Getpid()%250)
	s.Listen.Callers, s.Listen.Endpoints, s.Listen.Operators = ip+":9400", ip+":9410", ip+":9430"
	s.Listen.Peers, s.ControlHosts[0].Address = ip+":9420", ip+":9420"
	s.Roles = append(s.Roles, settings.RolePlacement)
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	d, err := daemon.New(s, daemon.Options{Bootstrap: true, Log: logger})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(d.Close(), qt.IsNil) })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	document := demo.Document()
	document.Services[0].Placement = &bundle.Placement{
		WeightStoreOrdersPerMinute: 600, Models: []bundle.PlacedModel{{Model: demo.Model}},
	}
	putInForce(ctx, c, d, document)
	c.Assert(d.WaitReady(ctx), qt.IsNil)
	e, err := standin.NewEngine(standin.EngineConfig{
		Config: standin.Config{
			Listen: "127.0.0.1:0", Endpoint: "engine-1", Service: "assistant", Region: demo.Region, Zone: demo.Zone,
			AnnounceTo: []string{"http://" + s.Listen.Endpoints}, Log: logger,
		},
		Models: []string{"other"}, TokenInterval: -1, FirstTokenDelay: -1,
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(e.Close)
	// A request that waits too long for the model is refused. Repeat it until the
	// model is loaded.
	for err = sendChat("http://" + s.Listen.Callers); err != nil && ctx.Err() == nil; {
		err = sendChat("http://" + s.Listen.Callers)
	}
	c.Assert(err, qt.IsNil)
	c.Assert(e.Orders(), qt.DeepEquals, []standin.Order{{Order: standin.OrderLoadModel, Name: demo.Model, Fence: 1}})
}
