package state

import (
	"cmp"
	"slices"

	"oleanderramp/internal/wire"
)

// drainKey identifies an endpoint of a service.
type drainKey struct {
	service  string
	endpoint string
}

// drainTable holds the drained endpoints and the operator who drained each.
type drainTable struct {
	limits    Limits
	operators map[drainKey]string
	// revision increases with each change.
	revision uint64
}

func newDrainTable(limits Limits) *drainTable {
	return &drainTable{limits: limits, operators: make(map[drainKey]string)}
}

func (t *drainTable) set(request *wire.DrainEndpoint) *wire.Result {
	if !isValidText(request.GetOperator(), maxNameBytes) || !isValidText(request.GetService(), maxNameBytes) ||
		!isValidText(request.GetEndpoint(), maxNameBytes) {
		return errorResult(CodeBadCommand, "a drain needs an operator, a service and an endpoint")
	}
	key := drainKey{request.GetService(), request.GetEndpoint()}
	_, drained := t.operators[key]
	if drained == request.GetDrained() {
		return &wire.Result{}
	}
	if !request.GetDrained() {
		delete(t.operators, key)
		t.revision++
		return &wire.Result{}
	}
	if len(t.operators) >= t.limits.MaxDrained {
		return errorResult(CodeDrainsFull, "there is no room for another drained endpoint")
	}
	t.operators[key] = request.GetOperator()
	t.revision++
	return &wire.Result{}
}

func drainAction(request *wire.DrainEndpoint) string {
	if request.GetDrained() {
		return "drain"
	}
	return "undrain"
}

func drainSubject(request *wire.DrainEndpoint) string {
	return truncate(request.GetService() + "/" + request.GetEndpoint())
}

// Drained returns the drained endpoints, ordered by service and endpoint.
func (m *Machine) Drained() []*wire.DrainEndpoint {
	drained := make([]*wire.DrainEndpoint, 0, len(m.drains.operators))
	for key, operator := range m.drains.operators {
		drained = append(drained, &wire.DrainEndpoint{
			Operator: operator, Service: key.service, Endpoint: key.endpoint, Drained: true,
		})
	}
	slices.SortFunc(drained, func(a, b *wire.DrainEndpoint) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetEndpoint(), b.GetEndpoint()))
	})
	return drained
}
