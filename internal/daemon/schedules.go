package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/client"
)

// scheduleTimeout limits the request to one scheduler host.
const scheduleTimeout = time.Second

// schedules returns the reports of all live scheduler hosts.
func (f *fleet) schedules(ctx context.Context) []*wire.Schedule {
	var all []*wire.Schedule
	for _, host := range f.members.schedulerHosts(time.Now()) {
		all = append(all, f.schedulesOf(ctx, host)...)
	}
	return all
}

// schedulesOf returns the reports of one host, or none if it does not answer.
func (f *fleet) schedulesOf(ctx context.Context, host string) []*wire.Schedule {
	if host == f.self && f.scheduling != nil {
		return f.scheduling.Schedules().GetSchedules()
	}
	ctx, cancel := context.WithTimeout(ctx, scheduleTimeout)
	defer cancel()
	conn, err := f.dialer.Conn(host)
	if err != nil {
		return nil
	}
	response, err := wire.NewFleetClient(conn).Schedules(ctx, &wire.SchedulesRequest{})
	if err != nil {
		return nil
	}
	return response.GetSchedules()
}

// accountKey identifies a client account of a service.
type accountKey struct {
	service string
	account string
}

// Accounts returns the service that each client account has received, summed
// over all schedulers.
func (f *fleet) Accounts(ctx context.Context) ([]client.AccountStatus, error) {
	sums := make(map[accountKey]*client.AccountStatus)
	for _, schedule := range f.schedules(ctx) {
		for _, a := range schedule.GetAccounts() {
			key := accountKey{service: schedule.GetService(), account: a.GetAccount()}
			sum, ok := sums[key]
			if !ok {
				sum = &client.AccountStatus{Name: a.GetAccount(), Service: schedule.GetService(), Share: int(a.GetShare())}
				sums[key] = sum
			}
			sum.Received += a.GetReceived()
			sum.Waiting += int(a.GetWaiting())
			sum.Running += int(a.GetRunning())
		}
	}
	list := make([]client.AccountStatus, 0, len(sums))
	for _, sum := range sums {
		list = append(list, *sum)
	}
	slices.SortFunc(list, func(a, b client.AccountStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	setGaps(list)
	return list, nil
}

// setGaps sets the fairness gap of each backlogged account: how much less
// service per share it has received than the backlogged account of the same
// service that has received the most.
func setGaps(list []client.AccountStatus) {
	maxReceived := make(map[string]float64)
	for _, a := range list {
		if a.Waiting > 0 && a.Share > 0 {
			maxReceived[a.Service] = max(maxReceived[a.Service], a.Received/float64(a.Share))
		}
	}
	for i := range list {
		if a := &list[i]; a.Waiting > 0 && a.Share > 0 {
			a.Gap = maxReceived[a.Service] - a.Received/float64(a.Share)
		}
	}
}

// Endpoints returns the endpoints known to the schedulers.
func (f *fleet) Endpoints(ctx context.Context) ([]client.EndpointStatus, error) {
	var list []client.EndpointStatus
	for _, schedule := range f.schedules(ctx) {
		for _, e := range schedule.GetEndpoints() {
			list = append(list, client.EndpointStatus{
				Service: schedule.GetService(), Name: e.GetEndpoint(), Incarnation: e.GetIncarnation(),
				Region: schedule.GetRegion(), Zone: e.GetZone(), Address: e.GetAddress(),
				Slots: int(e.GetSlots()), Running: int(e.GetRunning()), Models: e.GetModels(),
				ChecksFencing: e.GetChecksFencing(), State: e.GetState(),
			})
		}
	}
	slices.SortFunc(list, func(a, b client.EndpointStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return list, nil
}
