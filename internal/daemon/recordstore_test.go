package daemon

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/wire"
)

// hookedQuorum runs a function within each command.
type hookedQuorum struct {
	during     func()
	registered []*wire.Process
}

func (q *hookedQuorum) Execute(_ context.Context, command *wire.Command) (*wire.Result, error) {
	q.registered = append(q.registered, command.GetRegister().GetProcess())
	q.during()
	return &wire.Result{}, nil
}

func (q *hookedQuorum) Query(context.Context, *wire.QueryRequest) (*wire.QueryResponse, error) {
	return &wire.QueryResponse{}, nil
}

// TestRegisterReturnsRegisteredIncarnation guards against records begun under an
// incarnation that the quorum does not know: the incarnation is replaced while
// the former one is being registered.
func TestRegisterReturnsRegisteredIncarnation(t *testing.T) {
	c := qt.New(t)
	first := &wire.Process{Host: "h", Incarnation: 1}
	quorum := &hookedQuorum{}
	s := newRecordStore(quorum, first, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	quorum.during = func() { s.renew(first) }
	got, err := s.register(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, quorum.registered[0])

	quorum.during = func() {}
	got, err = s.register(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, quorum.registered[1])
	c.Check(got.GetIncarnation() > first.GetIncarnation(), qt.IsTrue)
}
