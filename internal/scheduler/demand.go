package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ModelDemand is what waits for one model with one adapter, or without.
type ModelDemand struct {
	// Model is empty for the requests that name none, and so is Adapter.
	Model, Adapter string
	Waiting        int
	// OldestWait is the wait of the oldest of the requests.
	OldestWait time.Duration
}

// demandKey is what waiting requests are counted by.
type demandKey struct {
	model, adapter string
}

// Demand returns what waits for each model and adapter, in their order.
func (s *Scheduler) Demand(now time.Time) []ModelDemand {
	counts := make(map[demandKey]ModelDemand)
	for _, r := range s.requests {
		key := demandKey{model: r.Model, adapter: r.Adapter}
		d := counts[key]
		d.Model, d.Adapter = r.Model, r.Adapter
		d.Waiting++
		d.OldestWait = max(d.OldestWait, now.Sub(r.since))
		counts[key] = d
	}
	return slices.SortedFunc(maps.Values(counts), func(a, b ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// EngineInfo is what an endpoint announced of itself as an engine.
type EngineInfo struct {
	Models, Adapters []string
	ChecksFencing    bool
}

// EngineInfo returns what the endpoint announced last; nothing for an unknown one.
func (s *Scheduler) EngineInfo(name string) EngineInfo {
	e, ok := s.endpoints[name]
	if !ok {
		return EngineInfo{}
	}
	return EngineInfo{
		Models: slices.Clone(e.Models), Adapters: slices.Clone(e.Adapters), ChecksFencing: e.ChecksFencing,
	}
}
