package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/scheduler"
)

func TestDemandByModelAndAdapter(t *testing.T) {
	c := qt.New(t)
	engine := endpoint("e1", 1)
	engine.Models, engine.ChecksFencing = []string{"base"}, true
	s := newScheduler(engine)
	for i, r := range []scheduler.Request{
		{Model: "large", Waited: time.Second}, {Model: "large", Waited: 3 * time.Second},
		{Model: "large", Adapter: "stands"}, {Model: "base", Alone: true},
	} {
		r.ID, r.Account = id(uint64(i+1)), "a"
		s.Enqueue(start, r)
	}
	s.Withdraw(start, id(4))
	c.Assert(s.Demand(start.Add(time.Second)), qt.DeepEquals, []scheduler.ModelDemand{
		{Model: "large", Waiting: 2, OldestWait: 4 * time.Second},
		{Model: "large", Adapter: "stands", Waiting: 1, OldestWait: time.Second},
	})
	c.Assert(s.EngineInfo("e1"), qt.DeepEquals, scheduler.EngineInfo{Models: []string{"base"}, ChecksFencing: true})
	c.Assert(s.EngineInfo("e2"), qt.DeepEquals, scheduler.EngineInfo{})
}
