package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ModelDemand counts the waiting requests for one model and adapter.
type ModelDemand struct {
	// Model and Adapter are empty for requests that do not name one.
	Model, Adapter string
	Waiting        int
	// OldestWait is how long the oldest of the requests has waited.
	OldestWait time.Duration
}

// demandKey identifies a ModelDemand.
type demandKey struct {
	model, adapter string
}

// Demand returns the counts of waiting requests, ordered by model, then by
// adapter.
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

// EngineInfo holds the engine properties that an endpoint announced.
type EngineInfo struct {
	Models, Adapters []string
	ChecksFencing    bool
}

// EngineInfo returns what the endpoint announced last, or the zero value if the
// endpoint is unknown.
func (s *Scheduler) EngineInfo(name string) EngineInfo {
	e, ok := s.endpoints[name]
	if !ok {
		return EngineInfo{}
	}
	return EngineInfo{
		Models: slices.Clone(e.Models), Adapters: slices.Clone(e.Adapters), ChecksFencing: e.ChecksFencing,
	}
}
