package state

import (
	"maps"
	"slices"

	"oleanderramp/internal/wire"
)

// The error codes of SetEvacuation.
const (
	// CodeEvacuationConflict: another order on the zone was accepted after the revision
	// that this one is based on.
	CodeEvacuationConflict = "evacuation_conflict"
	// CodeEvacuationsFull: there is no room for the orders of another zone.
	CodeEvacuationsFull = "evacuations_full"
)

// maxEvacuationZones bounds the zones whose last order is stored.
const maxEvacuationZones = 1024

// evacuationOrder is the last accepted order on a zone.
type evacuationOrder struct {
	evacuated bool
	// revision is that of the table after the order, and base that which the order was
	// based on.
	revision, base uint64
}

// evacuationTable holds the last order of each zone.
type evacuationTable struct {
	orders map[string]evacuationOrder
	// revision increases with each accepted order.
	revision uint64
}

func newEvacuationTable() *evacuationTable {
	return &evacuationTable{orders: make(map[string]evacuationOrder)}
}

// setEvacuation accepts the order if no other one on its zone has been accepted since the
// revision that it is based on. An order that is in force already is recorded too, so
// that a delayed opposite one is rejected. A command that is committed twice is accepted
// twice.
func (m *Machine) setEvacuation(command *wire.SetEvacuation) *wire.Result {
	t := m.evacuations
	zone, base := command.GetZone(), command.GetBaseRevision()
	if !isValidText(zone, maxNameBytes) {
		return errorResult(CodeBadCommand, "an evacuation needs a zone")
	}
	last, known := t.orders[zone]
	switch {
	case known && last.base == base && last.evacuated == command.GetEvacuated():
		return &wire.Result{}
	case last.revision > base || base > t.revision:
		return errorResult(CodeEvacuationConflict, "the order is based on revision %d, but the last one on the zone has %d", base, last.revision)
	case !known && len(t.orders) >= maxEvacuationZones:
		return errorResult(CodeEvacuationsFull, "there is no room for the orders of another zone")
	}
	t.revision++
	t.orders[zone] = evacuationOrder{evacuated: command.GetEvacuated(), revision: t.revision, base: base}
	m.revision++
	return &wire.Result{}
}

// Evacuation returns the evacuated zones, or nil if there was never an order.
func (m *Machine) Evacuation() *wire.EvacuationState {
	t := m.evacuations
	if t.revision == 0 {
		return nil
	}
	result := &wire.EvacuationState{Revision: t.revision}
	for _, zone := range slices.Sorted(maps.Keys(t.orders)) {
		order := t.orders[zone]
		if order.evacuated {
			result.Zones = append(result.Zones, zone)
		}
		result.Orders = append(result.Orders, &wire.EvacuationOrder{Zone: zone, Revision: order.revision, BaseRevision: order.base})
	}
	return result
}

// restore replaces the table with that of a snapshot, which is nil in snapshots of former
// versions.
func (t *evacuationTable) restore(snapshot *wire.EvacuationState) {
	t.revision = snapshot.GetRevision()
	for _, o := range snapshot.GetOrders() {
		t.orders[o.GetZone()] = evacuationOrder{
			evacuated: slices.Contains(snapshot.GetZones(), o.GetZone()), revision: o.GetRevision(), base: o.GetBaseRevision(),
		}
	}
}
