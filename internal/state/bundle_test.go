package state_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// digestOf returns the digest of a document.
func digestOf(document string) []byte {
	b, err := bundle.Parse([]byte(document))
	if err != nil {
		panic(err)
	}
	return b.Digest().Bytes()
}

// stage formats the result of a bundle command: the error code, or the stage and
// version of the bundle.
func stage(result *wire.Result) string {
	if code := result.GetError().GetCode(); code != "" {
		return code
	}
	return fmt.Sprintf("%s %d", result.GetBundle().GetStage(), result.GetBundle().GetVersion())
}

func TestBundleLifecycles(t *testing.T) {
	first, rival, second := document(0, 1), document(0, 2), document(1, 3)
	x, y, z := digestOf(first), digestOf(rival), digestOf(second)
	type step struct {
		command *wire.Command
		want    string
	}
	accepted := []step{
		{propose("ann", first), "proposed 1"},
		{accept("ann", x), state.CodeNotSignedOff},
		{signOff("ann", x), state.CodeSameOperator},
		{signOff("bob", x), "signed_off 1"},
		{signOff("bob", x), "signed_off 1"},
		{accept("ann", x), "accepted 1"},
	}
	for name, steps := range map[string][]step{
		"race": {
			{propose("ann", first), "proposed 1"},
			{propose("bob", rival), state.CodeBundleConflict},
			{propose("bob", first), state.CodeBundleConflict},
			{signOff("ann", y), state.CodeBundleUnknown},
			{propose("ann", first), "proposed 1"},
		},
		"resent": append(slices.Clone(accepted), []step{
			{propose("ann", first), "accepted 1"},
			{signOff("bob", x), "accepted 1"},
			{accept("ann", x), "accepted 1"},
			{propose("bob", rival), state.CodeBundleConflict},
			{withdraw("ann", x), state.CodeBundleAccepted},
			{propose("bob", second), "proposed 2"},
			{signOff("ann", z), "signed_off 2"},
			{accept("bob", z), "accepted 2"},
			{propose("ann", first), "superseded 1"},
			{signOff("bob", x), "superseded 1"},
			{accept("ann", x), "superseded 1"},
			{propose("ann", rival), state.CodeBundleConflict},
			{accept("bob", z), "accepted 2"},
		}...),
		"withdrawn": {
			{propose("ann", first), "proposed 1"},
			{signOff("bob", x), "signed_off 1"},
			{withdraw("bob", x), "withdrawn 1"},
			{withdraw("bob", x), "withdrawn 1"},
			{propose("ann", first), state.CodeBundleWithdrawn},
			{accept("ann", x), state.CodeBundleWithdrawn},
			{signOff("bob", x), state.CodeBundleWithdrawn},
			{propose("bob", rival), "proposed 1"},
		},
		"refused": {
			{propose("", first), state.CodeBadCommand},
			{propose("ann", "{}"), state.CodeBundleInvalid},
			{propose("ann", second), state.CodeUnknownParent},
			{accept("ann", nil), state.CodeBadCommand},
			{withdraw("ann", x), state.CodeBundleUnknown},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(state.Limits{})
			for i, step := range steps {
				c.Assert(stage(d.do(step.command)), qt.Equals, step.want, qt.Commentf("step %d", i))
			}
		})
	}
}

func TestConflictReturnsExistingProposal(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{})
	d.do(propose("ann", document(0, 1)))
	lost := d.do(propose("bob", document(0, 2)))
	c.Assert(lost.GetBundle().GetDigest(), qt.DeepEquals, digestOf(document(0, 1)))
	c.Assert(lost.GetError().GetMessage(), qt.Matches, "version 1 is proposed already: digest [0-9a-f]{64}, proposed by ann")

	audit, dropped := d.Audit(1)
	c.Assert(dropped, qt.Equals, uint64(0))
	c.Assert(audit, qt.HasLen, 1)
	c.Assert(audit[0].GetSubject(), qt.Equals, hex.EncodeToString(digestOf(document(0, 2))))
	c.Assert(audit[0].GetOperator()+" "+audit[0].GetAct()+" "+audit[0].GetResult(), qt.Equals, "bob propose bundle_conflict")
}

// acceptVersions proposes, signs off and accepts the versions up to last.
func (d *driver) acceptVersions(last int) {
	for version := range last {
		content := document(uint64(version), version+1)
		d.do(propose("ann", content))
		d.do(signOff("bob", digestOf(content)))
		d.do(accept("ann", digestOf(content)))
	}
}

func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{MaxAcceptedBundles: 5, MaxDeltas: 3, MaxAuditEntries: 4})
	d.acceptVersions(8)
	c.Assert(d.AcceptedBundle().Version(), qt.Equals, uint64(8))
	c.Assert(stage(d.do(propose("ann", document(3, 4)))), qt.Equals, "superseded 4")
	forgotten := d.do(propose("ann", document(2, 3)))
	c.Assert(stage(forgotten), qt.Equals, state.CodeBundleConflict)
	c.Assert(forgotten.GetBundle().GetVersion(), qt.Equals, uint64(8))

	_, known := d.Deltas(4)
	c.Assert(known, qt.IsFalse)
	deltas, known := d.Deltas(5)
	c.Assert(known, qt.IsTrue)
	b, err := bundle.Parse([]byte(document(4, 5)))
	c.Assert(err, qt.IsNil)
	b = b.WithVersion(5)
	for _, delta := range deltas {
		b, err = b.ApplyDelta(delta)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(b.Digest(), qt.Equals, d.AcceptedBundle().Digest())
	c.Assert(b.Version(), qt.Equals, uint64(8))
	audit, dropped := d.Audit(0)
	c.Assert(audit, qt.HasLen, 4)
	c.Assert(dropped, qt.Equals, uint64(3*8+2-4))
}

func TestDeltaProposal(t *testing.T) {
	c := qt.New(t)
	d := newDriver(state.Limits{})
	next, err := bundle.Parse([]byte(document(1, 7)))
	c.Assert(err, qt.IsNil)
	first, err := bundle.Parse([]byte(document(0, 1)))
	c.Assert(err, qt.IsNil)
	early, err := bundle.MakeDelta(first.WithVersion(0), first)
	c.Assert(err, qt.IsNil)
	d.do(proposeDelta("ann", early))
	c.Assert(stage(d.do(proposeDelta("ann", early))), qt.Equals, state.CodeBundleInvalid)
	d.acceptVersions(1)
	delta, err := bundle.MakeDelta(d.AcceptedBundle(), next)
	c.Assert(err, qt.IsNil)
	c.Assert(stage(d.do(proposeDelta("ann", delta))), qt.Equals, "proposed 2")
	c.Assert(stage(d.do(propose("ann", document(1, 7)))), qt.Equals, "proposed 2")
	c.Assert(stage(d.do(proposeDelta("bob", delta))), qt.Equals, state.CodeBundleConflict)
	d.do(signOff("bob", next.Digest().Bytes()))
	c.Assert(stage(d.do(accept("bob", next.Digest().Bytes()))), qt.Equals, "accepted 2")
	c.Assert(stage(d.do(proposeDelta("ann", delta))), qt.Equals, "accepted 2")
	c.Assert(d.AcceptedBundle().Digest(), qt.Equals, next.Digest())

	other := strings.Replace(string(delta), `"share":7`, `"share":8`, 1)
	other = strings.Replace(other, next.Digest().String(), first.Digest().String(), 1)
	c.Assert(stage(d.do(proposeDelta("ann", []byte(other)))), qt.Equals, "superseded 1")
	fresh := strings.Replace(string(delta), next.Digest().String(), strings.Repeat("0", 64), 1)
	c.Assert(stage(d.do(proposeDelta("ann", []byte(fresh)))), qt.Equals, state.CodeBundleConflict)
}

// bundleModel is the reference model of proposals. The content of a bundle is
// written as "parent/share".
type bundleModel struct {
	accepted  []*modelBundle
	open      *modelBundle
	withdrawn []string
}

type modelBundle struct {
	content, proposer, signer string
}

func (m *bundleModel) find(content string) (b *modelBundle, version int) {
	for i, b := range m.accepted {
		if b.content == content {
			return b, i + 1
		}
	}
	if m.open != nil && m.open.content == content {
		return m.open, len(m.accepted) + 1
	}
	return nil, 0
}

func (m *bundleModel) text(version int) string {
	switch {
	case version < len(m.accepted):
		return fmt.Sprint("superseded ", version)
	case version == len(m.accepted):
		return fmt.Sprint("accepted ", version)
	case m.open.signer != "":
		return fmt.Sprint("signed_off ", version)
	}
	return fmt.Sprint("proposed ", version)
}

func (m *bundleModel) propose(operator, content string, parent int) string {
	known, version := m.find(content)
	switch {
	case slices.Contains(m.withdrawn, content):
		return state.CodeBundleWithdrawn
	case known != nil && known.proposer == operator:
		return m.text(version)
	case parent > len(m.accepted):
		return state.CodeUnknownParent
	case known != nil || parent < len(m.accepted) || m.open != nil:
		return state.CodeBundleConflict
	}
	m.open = &modelBundle{content: content, proposer: operator}
	return m.text(parent + 1)
}

func (m *bundleModel) apply(act, operator, content string, parent int) string {
	known, version := m.find(content)
	switch {
	case known == nil && slices.Contains(m.withdrawn, content):
		if act == "withdraw" {
			return fmt.Sprint("withdrawn ", parent+1)
		}
		return state.CodeBundleWithdrawn
	case known == nil:
		return state.CodeBundleUnknown
	case act == "sign off" && known.proposer == operator:
		return state.CodeSameOperator
	case act == "sign off" && known.signer == "":
		known.signer = operator
	case act == "accept" && known.signer == "":
		return state.CodeNotSignedOff
	case act == "accept" && known == m.open:
		m.accepted, m.open = append(m.accepted, known), nil
	case act == "withdraw" && known != m.open:
		return state.CodeBundleAccepted
	case act == "withdraw":
		m.withdrawn, m.open = append(m.withdrawn, content), nil
		return fmt.Sprint("withdrawn ", version)
	}
	return m.text(version)
}

// checkBundles applies random commands to a machine and compares the results
// with the model.
func checkBundles(t *rapid.T, injectFault func(*state.Machine)) error {
	d := newDriver(state.Limits{})
	injectFault(d.Machine)
	var m bundleModel
	for i := range rapid.IntRange(1, 50).Draw(t, "length") {
		operator := rapid.SampledFrom([]string{"ann", "bob", "eve"}).Draw(t, "operator")
		parent := max(0, len(m.accepted)-rapid.SampledFrom([]int{-1, 0, 0, 0, 0, 1, 2}).Draw(t, "age"))
		share := rapid.IntRange(1, 3).Draw(t, "share")
		content, digest := fmt.Sprint(parent, "/", share), digestOf(document(uint64(parent), share))
		var got, want string
		switch act := rapid.SampledFrom([]string{"propose", "sign off", "accept", "withdraw"}).Draw(t, "act"); act {
		case "propose":
			got = stage(d.do(propose(operator, document(uint64(parent), share))))
			want = m.propose(operator, content, parent)
		case "sign off":
			got, want = stage(d.do(signOff(operator, digest))), m.apply(act, operator, content, parent)
		case "accept":
			got, want = stage(d.do(accept(operator, digest))), m.apply(act, operator, content, parent)
		case "withdraw":
			got, want = stage(d.do(withdraw(operator, digest))), m.apply(act, operator, content, parent)
		}
		if got != want {
			return fmt.Errorf("command %d on %s by %s: got %q, want %q", i, content, operator, got, want)
		}
		if accepted := d.AcceptedBundle(); accepted != nil && accepted.Version() != uint64(len(m.accepted)) {
			return errors.New("the accepted version differs")
		}
	}
	return nil
}

func TestBundlesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkBundles(t, func(*state.Machine) {}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestModelDetectsSecondProposal(t *testing.T) {
	expectDetected(t, func(t *rapid.T) error { return checkBundles(t, (*state.Machine).AllowSecondProposal) })
}

func TestInvalidBundleListsFindings(t *testing.T) {
	c := qt.New(t)
	result := newDriver(state.Limits{}).do(propose("ann", strings.Replace(document(0, 0), `"orders"]`, `"order"]`, 1)))
	c.Assert(result.GetError().GetMessage(), qt.Equals, "client_accounts[0].share: must be from 1 to 1000000, not 0\n"+
		`client_accounts[0].services[0]: unknown service "order"`)
}
