package state

import (
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// conflictResult refuses a proposal and returns the bundle that already has its
// version.
func conflictResult(winner *wire.BundleState) *wire.Result {
	refused := errorResult(CodeBundleConflict, "version %d is %s already: digest %s, proposed by %s",
		winner.GetVersion(), winner.GetStage(), formatDigest(winner.GetDigest()), winner.GetProposedBy())
	refused.Body = &wire.Result_Bundle{Bundle: winner}
	return refused
}

func withdrawnResult(known *wire.BundleState) *wire.Result {
	refused := errorResult(CodeBundleWithdrawn, "operator %s withdrew this proposal; to propose it again, change its note",
		known.GetWithdrawnBy())
	refused.Body = &wire.Result_Bundle{Bundle: known}
	return refused
}

func bundleResult(known *wire.BundleState) *wire.Result {
	return &wire.Result{Body: &wire.Result_Bundle{Bundle: known}}
}

func clone(known *wire.BundleState) *wire.BundleState {
	copied, _ := proto.Clone(known).(*wire.BundleState)
	return copied
}

// summary returns a copy without the document.
func summary(known *wire.BundleState) *wire.BundleState {
	return &wire.BundleState{
		Version:     known.GetVersion(),
		Digest:      known.GetDigest(),
		Stage:       known.GetStage(),
		ProposedBy:  known.GetProposedBy(),
		SignedOffBy: known.GetSignedOffBy(),
		AcceptedBy:  known.GetAcceptedBy(),
		Parent:      known.GetParent(),
		WithdrawnBy: known.GetWithdrawnBy(),
	}
}

// Bundles returns the accepted bundle and the open proposal, in this order and
// as far as they exist, with their documents. The caller must not modify them.
func (m *Machine) Bundles() []*wire.BundleState {
	var states []*wire.BundleState
	if m.bundles.acceptedState != nil {
		states = append(states, m.bundles.acceptedState)
	}
	if m.bundles.openProposal != nil {
		states = append(states, m.bundles.openProposal)
	}
	return states
}

// AcceptedBundle returns the accepted bundle, or nil if there is none yet.
func (m *Machine) AcceptedBundle() *bundle.Bundle { return m.bundles.accepted }

// Deltas returns the deltas that lead from an accepted version to the current
// one, one for each version. It returns false if not all of them are kept.
func (m *Machine) Deltas(from uint64) ([][]byte, bool) {
	r := m.bundles
	if from > r.version() {
		return nil, false
	}
	steps := r.version() - from
	if steps > uint64(len(r.history)) {
		return nil, false
	}
	var deltas [][]byte
	for _, entry := range r.history[len(r.history)-int(steps):] {
		if len(entry.GetDelta()) == 0 {
			return nil, false
		}
		deltas = append(deltas, entry.GetDelta())
	}
	return deltas, true
}
