package site

import (
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/speeds"
	"oleanderramp/internal/wire"
)

// speedsWarmUp is how long after its start a control host sends no speeds to routers:
// until it has those of the other control hosts, its estimates follow from few samples.
const speedsWarmUp = 500 * time.Millisecond

// addSpeeds adds the speeds that the sender lacks: to a router the estimates that have
// changed, and to another control host the sums that routers have reported here. The
// caller holds c.mu.
func (c *control) addSpeeds(now time.Time, request *wire.SyncRequest, response *wire.SyncResponse) {
	if !c.settings.SharedSpeeds {
		return
	}
	since := request.GetSpeedRevision()
	if request.GetDirectoryEpoch() != c.self.GetIncarnation() {
		since = 0
	}
	switch {
	case request.GetControl() != nil:
		list, revision := c.speeds.DirectSince(now, since)
		response.Speeds, response.SpeedRevision = samplesToWire(list), revision
	case request.GetLoad() != nil && now.Sub(c.started) >= speedsWarmUp:
		c.refreshSpeeds(now)
		list, revision := c.speeds.Since(since)
		response.Speeds, response.SpeedRevision = speedsToWire(list), revision
	}
}

// refreshSpeeds computes the estimates if that is due. The caller holds c.mu.
func (c *control) refreshSpeeds(now time.Time) {
	if !c.speeds.RefreshDue(now) {
		return
	}
	usable := c.directory.Usable()
	endpoints := make([]speeds.Endpoint, len(usable))
	for i, e := range usable {
		endpoints[i] = speeds.Endpoint{ID: e.ID, Service: e.Service, Started: e.Started}
	}
	for _, change := range c.speeds.Refresh(now, endpoints) {
		event.EndpointSpeed.Log(c.log, event.Fields{
			"endpoint": change.Endpoint, "service": change.Service, "speed": change.Factor, "before": change.Before,
			"tokens_per_ms": change.Estimate.Rate, "event_interval_ms": change.Estimate.IntervalMS,
		})
	}
}

// reportSpeeds records what a router has measured. The caller holds c.mu.
func (c *control) reportSpeeds(now time.Time, list []*wire.EndpointSpeed) {
	if !c.settings.SharedSpeeds {
		return
	}
	for _, s := range samplesFromWire(list) {
		c.speeds.Report(now, s)
	}
}

// mergeSpeeds records what routers have reported to another control host. The caller
// holds c.mu.
func (c *control) mergeSpeeds(now time.Time, response *wire.SyncResponse) {
	if !c.settings.SharedSpeeds {
		return
	}
	for _, s := range samplesFromWire(response.GetSpeeds()) {
		c.speeds.Merge(now, response.GetDirectoryEpoch(), s)
	}
}

// applySpeeds applies the estimates of the primary, to which the router has reported
// samples under the former epoch; 0 if it has not. One that has restarted gets all
// samples again.
func (r *router) applySpeeds(now time.Time, former uint64, response *wire.SyncResponse) {
	if !r.settings.SharedSpeeds {
		return
	}
	r.admission.SetSpeeds(now, speedsFromWire(response.GetSpeeds()))
	if former != 0 && former != response.GetDirectoryEpoch() {
		r.admission.ReportSpeedsAgain(now)
	}
}

func startToWire(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}

func startFromWire(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func samplesToWire(list []speeds.Sample) []*wire.EndpointSpeed {
	out := make([]*wire.EndpointSpeed, len(list))
	for i, s := range list {
		out[i] = &wire.EndpointSpeed{
			Endpoint: s.Endpoint, BornMs: startToWire(s.Started), PrefillTokens: s.Sums.PrefillTokens, PrefillMs: s.Sums.PrefillMS,
			Events: s.Sums.Events, EventsMs: s.Sums.EventsMS,
		}
	}
	return out
}

func samplesFromWire(list []*wire.EndpointSpeed) []speeds.Sample {
	samples := make([]speeds.Sample, len(list))
	for i, s := range list {
		samples[i] = speeds.Sample{Endpoint: s.GetEndpoint(), Started: startFromWire(s.GetBornMs()), Sums: speeds.Sums{
			PrefillTokens: s.GetPrefillTokens(), PrefillMS: s.GetPrefillMs(), Events: s.GetEvents(), EventsMS: s.GetEventsMs(),
		}}
	}
	return samples
}

// speedsToWire returns the estimates as the sums over one millisecond of prefill and
// over one event.
func speedsToWire(list []speeds.Speed) []*wire.EndpointSpeed {
	out := make([]*wire.EndpointSpeed, len(list))
	for i, s := range list {
		out[i] = &wire.EndpointSpeed{Endpoint: s.Endpoint, BornMs: startToWire(s.Started)}
		if s.Estimate.Rate > 0 {
			out[i].PrefillTokens, out[i].PrefillMs = s.Estimate.Rate, 1
		}
		if s.Estimate.IntervalMS > 0 {
			out[i].Events, out[i].EventsMs = 1, s.Estimate.IntervalMS
		}
	}
	return out
}

func speedsFromWire(list []*wire.EndpointSpeed) []speeds.Speed {
	var out []speeds.Speed
	for _, s := range samplesFromWire(list) {
		if estimate, ok := s.Sums.Estimate(); ok {
			out = append(out, speeds.Speed{Endpoint: s.Endpoint, Started: s.Started, Estimate: estimate})
		}
	}
	return out
}
