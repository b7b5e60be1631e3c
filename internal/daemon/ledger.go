package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/peer"
	"oleanderramp/internal/router"
	"oleanderramp/internal/wire"
)

// codeProcessAbandoned is the code with which the replicated state refuses a
// process that the quorum has abandoned. The process continues under a new
// incarnation.
const codeProcessAbandoned = "process_abandoned"

// Timing of the publication of a quarantine.
const (
	publishTimeout = 10 * time.Second
	// replicationWaitTimeout limits the wait for the slowest replica.
	replicationWaitTimeout = 300 * time.Millisecond
)

// ledger keeps at-most-once records in the replicated state.
type ledger struct {
	quorum *peer.Quorum
	host   string
	log    log.Interface

	mu sync.Mutex
	// process is the incarnation under which records are begun. It is replaced
	// when the quorum has abandoned it.
	process *wire.Process
	// registered is true once process is registered with the quorum.
	registered bool
}

func newLedger(quorum *peer.Quorum, self *wire.Process, l log.Interface) *ledger {
	return &ledger{quorum: quorum, host: self.GetHost(), process: self, log: l}
}

// register registers the current incarnation with the quorum if necessary, and
// returns it.
func (l *ledger) register(ctx context.Context) (*wire.Process, error) {
	l.mu.Lock()
	process, registered := l.process, l.registered
	l.mu.Unlock()
	if registered {
		return process, nil
	}
	command := &wire.Command{Body: &wire.Command_Register{Register: &wire.RegisterProcess{Process: process}}}
	if _, err := l.execute(ctx, command); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == process {
		l.registered = true
	}
	return l.process, nil
}

// renew replaces the abandoned incarnation by a new one.
func (l *ledger) renew(abandoned *wire.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process != abandoned {
		return
	}
	next := max(peer.NewIncarnation(time.Now(), l.host), abandoned.GetIncarnation()+1)
	l.process = &wire.Process{Host: l.host, Incarnation: next}
	l.registered = false
}

// execute commits a command and returns a refusal as a *router.LedgerError.
func (l *ledger) execute(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	result, err := l.quorum.Execute(ctx, command)
	if err != nil {
		return nil, err
	}
	if refused := result.GetError(); refused != nil {
		return nil, router.NewRecordStoreError(refused.GetCode(), refused.GetMessage())
	}
	return result, nil
}

// Begin commits a record that the request is about to be sent. If the quorum
// has abandoned this process, Begin retries under a new incarnation.
func (l *ledger) Begin(ctx context.Context, begin *wire.BeginRequest) (*wire.BeginResult, error) {
	for {
		process, err := l.register(ctx)
		if err != nil {
			return nil, fmt.Errorf("register incarnation: %w", err)
		}
		begin.Router = process
		result, err := l.execute(ctx, &wire.Command{Body: &wire.Command_Begin{Begin: begin}})
		if refused, ok := err.(*router.RecordStoreError); ok && refused.Code() == codeProcessAbandoned { //nolint:errorlint // execute returns it unwrapped.
			l.renew(process)
			continue
		}
		if err != nil {
			return nil, err
		}
		return result.GetBegin(), nil
	}
}

// Finish commits the outcome of the request.
func (l *ledger) Finish(ctx context.Context, finish *wire.FinishRequest) error {
	_, err := l.execute(ctx, &wire.Command{Body: &wire.Command_Finish{Finish: finish}})
	return err
}

// Lookup returns the record of the request.
func (l *ledger) Lookup(ctx context.Context, query *wire.RecordQuery) (*wire.BeginResult, error) {
	response, err := l.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Record{Record: query}})
	if err != nil {
		return nil, err
	}
	return response.GetRecord(), nil
}
