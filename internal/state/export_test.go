package state

import "oleanderramp/internal/wire"

// AllowRestartOfUnknown injects a fault into the machine: a request whose
// outcome is unknown may be started again.
func (m *Machine) AllowRestartOfUnknown() {
	m.records.mayStart = func(r *record) bool {
		return isStartable(r) || r.state == wire.RecordState_RECORD_STATE_UNKNOWN
	}
}

// AllowSecondProposal injects a fault into the machine: a proposal may replace
// the open one.
func (m *Machine) AllowSecondProposal() {
	m.bundles.mayPropose = func(*wire.BundleState) bool { return true }
}
