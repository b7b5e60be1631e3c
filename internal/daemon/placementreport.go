package daemon

import (
	"context"
	"slices"
	"time"

	"oleanderramp/internal/placement"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/uptime"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// endpointAvailable is the state that schedulers report for an endpoint that
// accepts new requests.
const endpointAvailable = "available"

// startPlacement starts the placement role if the settings include it.
func (d *Daemon) startPlacement() {
	if !d.settings.HasRole(settings.RolePlacement) {
		return
	}
	if d.client == nil {
		d.client = d.newClient()
	}
	fleet := d.newFleet()
	d.placement = newPlacementRole(placementConfig{
		self: d.self, region: d.settings.Region, quorum: d.quorum, current: d.bundles.Current,
		schedules: func(ctx context.Context, services []string) []*wire.Schedule {
			return fleet.placementSchedules(ctx, services, d.settings.Region)
		},
		engines: d.client, now: uptime.Now, log: d.log,
	})
}

// placementService combines a scheduler's report with the placement that the
// bundle requires.
func placementService(schedule *wire.Schedule, placed *bundle.Placement) placement.Service {
	s := placement.Service{Name: schedule.GetService(), OrdersPerMinute: placed.WeightStoreOrdersPerMinute}
	for _, m := range placed.Models {
		s.Targets = append(s.Targets, placement.Target{
			Kind: placement.LoadModel, Name: m.Model, Min: m.MinEndpoints, Max: m.MaxEndpoints,
		})
		for _, a := range m.Adapters {
			s.Targets = append(s.Targets, placement.Target{
				Kind: placement.LoadAdapter, Name: a.Adapter, Model: m.Model, Min: a.MinEndpoints, Max: a.MaxEndpoints,
			})
		}
	}
	for _, e := range schedule.GetEndpoints() {
		s.Endpoints = append(s.Endpoints, placement.Endpoint{
			Name: e.GetEndpoint(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(),
			Models: e.GetModels(), Adapters: e.GetAdapters(), ChecksFencing: e.GetChecksFencing(),
			Available: e.GetState() == endpointAvailable, Slots: int(e.GetSlots()), Running: int(e.GetRunning()),
		})
	}
	for _, d := range schedule.GetDemand() {
		s.Demand = append(s.Demand, placement.Demand{
			Model: d.GetModel(), Adapter: d.GetAdapter(), Waiting: int(d.GetWaiting()),
			OldestWait: time.Duration(d.GetOldestWaitMs()) * time.Millisecond,
		})
	}
	return s
}

// placementSchedules returns the reports of the schedulers of the services in
// the region. Reports from a host that is no longer the scheduler of a service
// are omitted.
func (f *fleet) placementSchedules(ctx context.Context, services []string, region string) []*wire.Schedule {
	schedulers := make(map[string]string)
	var hosts []string
	for _, service := range services {
		host, ok := f.members.Scheduler(time.Now(), service, region)
		if !ok {
			continue
		}
		schedulers[service] = host
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	var all []*wire.Schedule
	for _, host := range hosts {
		for _, schedule := range f.schedulesOf(ctx, host) {
			if schedule.GetRegion() == region && schedulers[schedule.GetService()] == host {
				all = append(all, schedule)
			}
		}
	}
	return all
}
