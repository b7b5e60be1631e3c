package site

import (
	"context"

	"oleanderramp/internal/wire"
)

// EvacuationRevision returns the revision of the evacuations at a control host.
func (d *Daemon) EvacuationRevision() uint64 { return d.control.store.Evacuation().GetRevision() }

// ProposeEvacuation proposes an order as a handler does that has read the revision before.
func (d *Daemon) ProposeEvacuation(ctx context.Context, zone string, evacuated bool, base uint64) error {
	return d.control.proposeEvacuation(ctx, &wire.SetEvacuation{Zone: zone, Evacuated: evacuated, BaseRevision: base})
}

// RecordVersion records the description of another control host.
func (d *Daemon) RecordVersion(address string, evacuations bool) {
	d.control.mu.Lock()
	defer d.control.mu.Unlock()
	d.control.recordVersion(&wire.ControlHost{Address: address, Evacuations: evacuations, SoftwareRecords: true})
}
