package state

import "oleanderramp/internal/wire"

// AllowRestartOfUnknown makes the machine faulty: a request whose outcome is unknown
// may be started again.
func (m *Machine) AllowRestartOfUnknown() {
	m.records.mayStart = func(r *record) bool {
		return isStartable(r) || r.state == wire.RecordState_RECORD_STATE_UNKNOWN
	}
}

// AllowSecondProposal makes the machine faulty: a proposal may replace the open
// one.
func (m *Machine) AllowSecondProposal() {
	m.bundles.mayPropose = func(*wire.BundleState) bool { return true }
}
