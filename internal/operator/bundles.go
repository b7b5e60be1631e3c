package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/client"
)

const (
	// acceptedAlias selects the accepted bundle in place of a digest.
	acceptedAlias = "accepted"

	defaultAuditEntries = 50
	maxAuditEntries     = 1000
)

func (h *handler) propose(r *http.Request, operator string) (any, error) {
	document, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	parsed, err := h.parseBundle(document)
	if err != nil {
		return nil, err
	}
	proposal, err := h.proposal(r.Context(), parsed)
	if err != nil {
		return nil, err
	}
	proposal.Operator = operator
	return h.executeBundle(r.Context(), &wire.Command{Body: &wire.Command_ProposeBundle{ProposeBundle: proposal}})
}

// proposal returns the command to propose a bundle. If the accepted bundle is
// its parent, the command holds the delta from the accepted bundle, which is
// much smaller in the log, and otherwise the complete document.
func (h *handler) proposal(ctx context.Context, proposed *bundle.Bundle) (*wire.ProposeBundle, error) {
	accepted, err := h.acceptedBundle(ctx)
	if err != nil {
		return nil, err
	}
	if accepted != nil && accepted.Version() == proposed.Parent() {
		delta, err := bundle.MakeDelta(accepted, proposed.WithVersion(proposed.Parent()+1))
		if err != nil {
			return nil, fmt.Errorf("make delta: %w", err)
		}
		return &wire.ProposeBundle{Delta: delta}, nil
	}
	canonical, err := proposed.MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return &wire.ProposeBundle{Document: canonical}, nil
}

// acceptedBundle returns the accepted bundle, or nil when there is none.
func (h *handler) acceptedBundle(ctx context.Context) (*bundle.Bundle, error) {
	response, err := h.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Bundle{Bundle: &wire.BundleQuery{}}})
	if err != nil {
		return nil, fmt.Errorf("query the accepted bundle: %w", err)
	}
	for _, b := range response.GetBundles() {
		if b.GetStage() == client.StageAccepted {
			return bundle.Parse(b.GetDocument())
		}
	}
	return nil, nil
}

func (h *handler) signOff(r *http.Request, operator string) (any, error) {
	return h.commitBundleAction(r, func(digest []byte) *wire.Command {
		return &wire.Command{Body: &wire.Command_SignOffBundle{
			SignOffBundle: &wire.SignOffBundle{Operator: operator, Digest: digest},
		}}
	})
}

func (h *handler) accept(r *http.Request, operator string) (any, error) {
	return h.commitBundleAction(r, func(digest []byte) *wire.Command {
		return &wire.Command{Body: &wire.Command_AcceptBundle{
			AcceptBundle: &wire.AcceptBundle{Operator: operator, Digest: digest},
		}}
	})
}

func (h *handler) withdraw(r *http.Request, operator string) (any, error) {
	return h.commitBundleAction(r, func(digest []byte) *wire.Command {
		return &wire.Command{Body: &wire.Command_WithdrawBundle{
			WithdrawBundle: &wire.WithdrawBundle{Operator: operator, Digest: digest},
		}}
	})
}

// commitBundleAction commits the command for the bundle whose digest is in the
// path.
func (h *handler) commitBundleAction(r *http.Request, command func(digest []byte) *wire.Command) (any, error) {
	digest, err := digestOf(r)
	if err != nil {
		return nil, err
	}
	return h.executeBundle(r.Context(), command(digest))
}

// executeBundle commits a command whose result is the state of a bundle.
func (h *handler) executeBundle(ctx context.Context, command *wire.Command) (any, error) {
	result, err := h.quorum.Execute(ctx, command)
	if err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	if err := resultError(result); err != nil {
		return nil, err
	}
	return bundleStatus(result.GetBundle()), nil
}

func (h *handler) bundles(r *http.Request, _ string) (any, error) {
	states, err := h.queryBundles(r.Context())
	if err != nil {
		return nil, err
	}
	bundles := make([]client.BundleStatus, 0, len(states))
	for _, state := range states {
		bundles = append(bundles, bundleStatus(state))
	}
	return bundles, nil
}

func (h *handler) bundle(r *http.Request, _ string) (any, error) {
	states, err := h.queryBundles(r.Context())
	if err != nil {
		return nil, err
	}
	name := r.PathValue("digest")
	for _, state := range states {
		status := bundleStatus(state)
		if name == status.Digest || (name == acceptedAlias && status.Stage == client.StageAccepted) {
			return client.Bundle{BundleStatus: status, Document: json.RawMessage(state.GetDocument())}, nil
		}
	}
	return nil, NewAPIError(client.CodeBundleUnknown, "no open or accepted bundle "+name)
}

func (h *handler) queryBundles(ctx context.Context) ([]*wire.BundleState, error) {
	response, err := h.quorum.Query(ctx, &wire.QueryRequest{
		Body: &wire.QueryRequest_Bundle{Bundle: &wire.BundleQuery{}},
	})
	if err != nil {
		return nil, fmt.Errorf("query bundles: %w", err)
	}
	return response.GetBundles(), nil
}

func (h *handler) audit(r *http.Request, _ string) (any, error) {
	limit, err := auditLimit(r)
	if err != nil {
		return nil, err
	}
	response, err := h.quorum.Query(r.Context(), &wire.QueryRequest{
		Body: &wire.QueryRequest_Audit{Audit: &wire.AuditQuery{Limit: limit}},
	})
	if err != nil {
		return nil, fmt.Errorf("query audit trail: %w", err)
	}
	entries := make([]client.AuditEntry, 0, len(response.GetAudit()))
	for _, e := range response.GetAudit() {
		entries = append(entries, client.AuditEntry{
			Index:    e.GetIndex(),
			At:       time.UnixMilli(e.GetAtUnixMs()).UTC(),
			Operator: e.GetOperator(),
			Act:      e.GetAct(),
			Subject:  e.GetSubject(),
			Result:   e.GetResult(),
		})
	}
	return entries, nil
}

func auditLimit(r *http.Request) (uint32, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultAuditEntries, nil
	}
	limit, err := strconv.ParseUint(text, 10, 32)
	if err != nil || limit < 1 || limit > maxAuditEntries {
		return 0, badRequestf("limit: want a number from 1 to %d", maxAuditEntries)
	}
	return uint32(limit), nil
}

func digestOf(r *http.Request) ([]byte, error) {
	digest, err := hex.DecodeString(r.PathValue("digest"))
	if err != nil {
		return nil, badRequestf("digest: want hexadecimal digits")
	}
	return digest, nil
}

func bundleStatus(state *wire.BundleState) client.BundleStatus {
	return client.BundleStatus{
		Version:     state.GetVersion(),
		Parent:      state.GetParent(),
		Digest:      hex.EncodeToString(state.GetDigest()),
		Stage:       state.GetStage(),
		ProposedBy:  state.GetProposedBy(),
		SignedOffBy: state.GetSignedOffBy(),
		AcceptedBy:  state.GetAcceptedBy(),
		WithdrawnBy: state.GetWithdrawnBy(),
	}
}
