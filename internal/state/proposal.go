package state

import (
	"errors"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

var (
	errDeltaParent      = errors.New("base_version: must be the parent")
	errFirstDelta       = errors.New("the first bundle must be a whole document")
	errDocumentAndDelta = errors.New("a proposal is either a document or a delta")
)

// proposal is a decoded proposal of an operator: a full bundle or a delta.
type proposal struct {
	parent uint64
	digest bundle.Digest
	// full is nil for a delta.
	full  *bundle.Bundle
	delta []byte
}

func parseProposal(request *wire.ProposeBundle) (*proposal, error) {
	if len(request.GetDelta()) == 0 {
		full, err := bundle.Parse(request.GetDocument())
		if err != nil {
			return nil, err
		}
		return &proposal{parent: full.Parent(), digest: full.Digest(), full: full}, nil
	}
	if len(request.GetDocument()) > 0 {
		return nil, errDocumentAndDelta
	}
	header, err := bundle.ReadDelta(request.GetDelta())
	if err != nil {
		return nil, err
	}
	if header.BaseVersion != header.Parent {
		return nil, errDeltaParent
	}
	return &proposal{parent: header.Parent, digest: header.Digest, delta: request.GetDelta()}, nil
}

// build returns the proposed bundle with its version, and its JSON form.
// accepted is its parent, or nil for the first bundle.
func (p *proposal) build(accepted *bundle.Bundle) (*bundle.Bundle, []byte, error) {
	full := p.full
	if full == nil {
		if accepted == nil {
			return nil, nil, errFirstDelta
		}
		var err error
		if full, err = accepted.ApplyDelta(p.delta); err != nil {
			return nil, nil, err
		}
	}
	numbered := full.WithVersion(p.parent + 1)
	document, err := numbered.MarshalJSON()
	return numbered, document, err
}
