package scheduling

import (
	"time"

	"oleanderramp/internal/scheduler"
	"oleanderramp/internal/wire"
)

// Schedules returns the state of all schedulers of the manager, or an empty
// response when it has stopped.
func (m *Manager) Schedules() *wire.SchedulesResponse {
	answer := make(chan *wire.SchedulesResponse, 1)
	if !m.enqueue(func(now time.Time, l *loop) { answer <- l.report(now) }) {
		return &wire.SchedulesResponse{}
	}
	select {
	case report := <-answer:
		return report
	case <-m.stop:
		return &wire.SchedulesResponse{}
	}
}

// report returns the state of each scheduler: its accounts, endpoints and waiting
// requests.
func (l *loop) report(now time.Time) *wire.SchedulesResponse {
	report := &wire.SchedulesResponse{}
	for _, s := range l.instances {
		schedule := &wire.Schedule{Service: s.key.service, Region: s.key.region}
		for _, a := range s.scheduler.Accounts(now) {
			schedule.Accounts = append(schedule.Accounts, &wire.ScheduledAccount{
				Account: a.Account, Share: uint32(a.Share), VirtualService: a.VirtualService,
				Received: a.Service, Waiting: uint32(a.Waiting), Running: uint32(a.Running),
			})
		}
		for _, e := range s.scheduler.Endpoints(now) {
			loaded := s.scheduler.EngineInfo(e.Endpoint)
			schedule.Endpoints = append(schedule.Endpoints, &wire.ScheduledEndpoint{
				Models: loaded.Models, Adapters: loaded.Adapters, ChecksFencing: loaded.ChecksFencing,
				Endpoint: e.Endpoint, Incarnation: e.Incarnation, Zone: e.Zone, Address: e.Address,
				Slots: uint32(e.Slots), Running: uint32(e.InUse), State: endpointState(e), LeaseMs: e.LeaseRemaining.Milliseconds(),
			})
		}
		for _, d := range s.scheduler.Demand(now) {
			schedule.Demand = append(schedule.Demand, &wire.ModelDemand{
				Model: d.Model, Adapter: d.Adapter, Waiting: uint32(d.Waiting), OldestWaitMs: uint32(d.OldestWait.Milliseconds()),
			})
		}
		report.Schedules = append(report.Schedules, schedule)
	}
	return report
}

// The states of an endpoint.
const (
	stateAvailable = "available"
	stateDrained   = "drained"
	stateLeaving   = "leaving"
	stateExpired   = "expired"
)

// endpointState returns the state of an endpoint.
func endpointState(e scheduler.EndpointStatus) string {
	switch {
	case e.Drained:
		return stateDrained
	case e.Leaving:
		return stateLeaving
	case e.LeaseRemaining <= 0:
		return stateExpired
	}
	return stateAvailable
}
