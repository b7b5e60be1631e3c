package state

import (
	"bytes"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// The stages of a bundle.
const (
	StageProposed   = "proposed"
	StageSignedOff  = "signed_off"
	StageAccepted   = "accepted"
	StageSuperseded = "superseded"
	StageWithdrawn  = "withdrawn"
)

// maxWithdrawn is the maximum number of withdrawn proposals that are kept.
const maxWithdrawn = 1_000

// bundleRegistry holds the accepted bundle, the open proposal and the earlier
// bundles. At most one proposal is open: the first one for a parent blocks all
// others until it is accepted or withdrawn. States are replaced and never
// modified in place.
type bundleRegistry struct {
	limits Limits
	// accepted is nil until the first bundle is accepted. Its version only
	// increases.
	accepted *bundle.Bundle
	// acceptedState is the state of accepted, with the document.
	acceptedState *wire.BundleState
	// openProposal is the proposal for the next version, with the document; nil if
	// there is none.
	openProposal *wire.BundleState
	// openBundle is the bundle of openProposal.
	openBundle *bundle.Bundle
	// history holds accepted bundles with consecutive versions, without
	// documents and with the accepted one last.
	history []*wire.AcceptedBundle
	// byDigest indexes the bundles of history by digest.
	byDigest map[string]*wire.BundleState
	// withdrawn holds the latest withdrawn proposals, the oldest first,
	// without documents.
	withdrawn []*wire.BundleState
	// revision increases with each change.
	revision uint64
	// mayPropose is noOpenProposal; tests replace it with faulty variants.
	mayPropose func(open *wire.BundleState) bool
}

func newBundleRegistry(limits Limits) *bundleRegistry {
	return &bundleRegistry{
		limits:     limits,
		byDigest:   make(map[string]*wire.BundleState),
		mayPropose: noOpenProposal,
	}
}

func noOpenProposal(open *wire.BundleState) bool { return open == nil }

// version returns the accepted version, or 0 if no bundle was accepted yet.
func (r *bundleRegistry) version() uint64 {
	if r.accepted == nil {
		return 0
	}
	return r.accepted.Version()
}

// propose opens a proposal if its parent is the accepted version and no other
// proposal is open. It is idempotent: the same content from the same operator
// returns the current state of the earlier proposal, or its refusal if it was
// withdrawn. subject is the proposed digest for the audit trail.
func (r *bundleRegistry) propose(request *wire.ProposeBundle) (result *wire.Result, subject string) {
	if !isValidText(request.GetOperator(), maxNameBytes) {
		return errorResult(CodeBadCommand, "a proposal needs an operator"), ""
	}
	p, err := parseProposal(request)
	if err != nil {
		return errorResult(CodeBundleInvalid, "%s", err), ""
	}
	return r.proposeParsed(request.GetOperator(), p), p.digest.String()
}

// proposeParsed opens a proposal for a decoded bundle.
func (r *bundleRegistry) proposeParsed(operator string, p *proposal) *wire.Result {
	if known := r.find(p.digest.Bytes()); known != nil {
		return r.repeatProposal(known, operator)
	}
	switch {
	case p.parent > r.version():
		return errorResult(CodeUnknownParent, "the parent is version %d and the accepted one is %d", p.parent, r.version())
	case p.parent < r.version():
		return conflictResult(r.acceptedAt(p.parent + 1))
	case !r.mayPropose(r.openProposal):
		return conflictResult(summary(r.openProposal))
	}
	numbered, document, err := p.build(r.accepted)
	if err != nil {
		return errorResult(CodeBundleInvalid, "%s", err)
	}
	r.openBundle = numbered
	r.openProposal = &wire.BundleState{
		Version:    numbered.Version(),
		Parent:     numbered.Parent(),
		Digest:     p.digest.Bytes(),
		Stage:      StageProposed,
		Document:   document,
		ProposedBy: operator,
	}
	r.revision++
	return bundleResult(summary(r.openProposal))
}

// repeatProposal returns the result for a proposal whose digest is known.
func (r *bundleRegistry) repeatProposal(known *wire.BundleState, operator string) *wire.Result {
	switch {
	case known.GetStage() == StageWithdrawn:
		return withdrawnResult(known)
	case known.GetProposedBy() != operator:
		return conflictResult(known)
	default:
		return bundleResult(known)
	}
}

// acceptedAt returns the accepted bundle of the version, or the latest one if
// that version is no longer in the history.
func (r *bundleRegistry) acceptedAt(version uint64) *wire.BundleState {
	first := r.history[0].GetBundle().GetVersion()
	if version < first {
		return r.withCurrentStage(r.history[len(r.history)-1].GetBundle())
	}
	return r.withCurrentStage(r.history[version-first].GetBundle())
}

// find returns the state of the bundle with the digest, without its document,
// or nil if there is none.
func (r *bundleRegistry) find(digest []byte) *wire.BundleState {
	if r.openProposal != nil && bytes.Equal(r.openProposal.GetDigest(), digest) {
		return summary(r.openProposal)
	}
	if known := r.byDigest[string(digest)]; known != nil {
		return r.withCurrentStage(known)
	}
	for _, known := range r.withdrawn {
		if bytes.Equal(known.GetDigest(), digest) {
			return known
		}
	}
	return nil
}

// withCurrentStage returns a bundle of the history with its current stage,
// which is superseded for all but the accepted version.
func (r *bundleRegistry) withCurrentStage(known *wire.BundleState) *wire.BundleState {
	if known.GetVersion() == r.version() {
		return known
	}
	superseded := summary(known)
	superseded.Stage = StageSuperseded
	return superseded
}

// signOff marks the open proposal as approved by a second operator.
func (r *bundleRegistry) signOff(request *wire.SignOffBundle) *wire.Result {
	if !isValidText(request.GetOperator(), maxNameBytes) || !isValidDigest(request.GetDigest()) {
		return errorResult(CodeBadCommand, "a sign-off needs an operator and a digest")
	}
	known := r.find(request.GetDigest())
	switch {
	case known == nil:
		return errorResult(CodeBundleUnknown, "there is no such proposal")
	case known.GetStage() == StageWithdrawn:
		return withdrawnResult(known)
	case known.GetProposedBy() == request.GetOperator():
		return errorResult(CodeSameOperator, "another operator than the proposer, %s, must sign off", request.GetOperator())
	case known.GetSignedOffBy() != "":
		return bundleResult(known)
	}
	changed := clone(r.openProposal)
	changed.Stage = StageSignedOff
	changed.SignedOffBy = request.GetOperator()
	r.openProposal = changed
	r.revision++
	return bundleResult(summary(r.openProposal))
}

// accept makes the open proposal the accepted bundle if it is signed off.
func (r *bundleRegistry) accept(request *wire.AcceptBundle) *wire.Result {
	if !isValidText(request.GetOperator(), maxNameBytes) || !isValidDigest(request.GetDigest()) {
		return errorResult(CodeBadCommand, "an acceptance needs an operator and a digest")
	}
	known := r.find(request.GetDigest())
	switch {
	case known == nil:
		return errorResult(CodeBundleUnknown, "there is no such proposal")
	case known.GetStage() == StageWithdrawn:
		return withdrawnResult(known)
	case known.GetStage() == StageProposed:
		return errorResult(CodeNotSignedOff, "another operator than the proposer, %s, must sign off first", known.GetProposedBy())
	case known.GetStage() != StageSignedOff:
		return bundleResult(known)
	}
	accepted := clone(r.openProposal)
	accepted.Stage = StageAccepted
	accepted.AcceptedBy = request.GetOperator()
	r.appendHistory(accepted)
	r.accepted, r.acceptedState = r.openBundle, accepted
	r.openProposal, r.openBundle = nil, nil
	r.revision++
	return bundleResult(summary(accepted))
}

// appendHistory adds the bundle that is about to be accepted to the history,
// and removes the deltas and bundles that exceed the limits.
func (r *bundleRegistry) appendHistory(accepted *wire.BundleState) {
	entry := &wire.AcceptedBundle{Bundle: summary(accepted)}
	if r.accepted != nil {
		// If the delta can't be made, daemons get the whole document instead.
		entry.Delta, _ = bundle.MakeDelta(r.accepted, r.openBundle)
	}
	r.history = append(r.history, entry)
	r.byDigest[string(accepted.GetDigest())] = entry.Bundle
	if old := len(r.history) - 1 - r.limits.MaxDeltas; old >= 0 {
		r.history[old] = &wire.AcceptedBundle{Bundle: r.history[old].GetBundle()}
	}
	if len(r.history) > r.limits.MaxAcceptedBundles {
		delete(r.byDigest, string(r.history[0].GetBundle().GetDigest()))
		r.history[0] = nil
		r.history = r.history[1:]
	}
}

// withdraw withdraws the open proposal. Any operator may do this.
func (r *bundleRegistry) withdraw(request *wire.WithdrawBundle) *wire.Result {
	if !isValidText(request.GetOperator(), maxNameBytes) || !isValidDigest(request.GetDigest()) {
		return errorResult(CodeBadCommand, "a withdrawal needs an operator and a digest")
	}
	known := r.find(request.GetDigest())
	switch {
	case known == nil:
		return errorResult(CodeBundleUnknown, "there is no such proposal")
	case known.GetStage() == StageWithdrawn:
		return bundleResult(known)
	case known.GetStage() != StageProposed && known.GetStage() != StageSignedOff:
		refused := errorResult(CodeBundleAccepted, "version %d is accepted already", known.GetVersion())
		refused.Body = &wire.Result_Bundle{Bundle: known}
		return refused
	}
	known.Stage = StageWithdrawn
	known.WithdrawnBy = request.GetOperator()
	r.withdrawn = append(r.withdrawn, known)
	if len(r.withdrawn) > maxWithdrawn {
		r.withdrawn = r.withdrawn[1:]
	}
	r.openProposal, r.openBundle = nil, nil
	r.revision++
	return bundleResult(known)
}
