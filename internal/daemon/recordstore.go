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

// replicationWaitTimeout limits the wait for the slowest replica when a crash is
// published.
const replicationWaitTimeout = 300 * time.Millisecond

// quorumClient executes commands and queries on the replicated state.
type quorumClient interface {
	executor
	Query(ctx context.Context, request *wire.QueryRequest) (*wire.QueryResponse, error)
}

// recordStore keeps at-most-once records in the replicated state.
type recordStore struct {
	quorum quorumClient
	host   string
	log    log.Interface

	mu sync.Mutex
	// process is the incarnation under which records are begun. It is replaced
	// when the quorum has abandoned it.
	process *wire.Process
	// registered is true once process is registered with the quorum.
	registered bool
}

func newRecordStore(quorum quorumClient, self *wire.Process, l log.Interface) *recordStore {
	return &recordStore{quorum: quorum, host: self.GetHost(), process: self, log: l}
}

// register registers the current incarnation with the quorum if necessary, and
// returns it. If the incarnation is replaced in the meantime, register returns
// the former one, and Begin learns that it was abandoned.
func (s *recordStore) register(ctx context.Context) (*wire.Process, error) {
	s.mu.Lock()
	process, registered := s.process, s.registered
	s.mu.Unlock()
	if registered {
		return process, nil
	}
	command := &wire.Command{Body: &wire.Command_Register{Register: &wire.RegisterProcess{Process: process}}}
	if _, err := s.execute(ctx, command); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == process {
		s.registered = true
	}
	return process, nil
}

// renew replaces the abandoned incarnation by a new one.
func (s *recordStore) renew(abandoned *wire.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process != abandoned {
		return
	}
	next := max(peer.NewIncarnation(time.Now(), s.host), abandoned.GetIncarnation()+1)
	s.process = &wire.Process{Host: s.host, Incarnation: next}
	s.registered = false
}

// execute commits a command and returns a refusal as a *router.RecordStoreError.
func (s *recordStore) execute(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	result, err := s.quorum.Execute(ctx, command)
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
func (s *recordStore) Begin(ctx context.Context, begin *wire.BeginRequest) (*wire.BeginResult, error) {
	for {
		process, err := s.register(ctx)
		if err != nil {
			return nil, fmt.Errorf("register incarnation: %w", err)
		}
		begin.Router = process
		result, err := s.execute(ctx, &wire.Command{Body: &wire.Command_Begin{Begin: begin}})
		if refused, ok := err.(*router.RecordStoreError); ok && refused.Code() == codeProcessAbandoned { //nolint:errorlint // execute returns it unwrapped.
			s.renew(process)
			continue
		}
		if err != nil {
			return nil, err
		}
		return result.GetBegin(), nil
	}
}

// Finish commits the outcome of the request.
func (s *recordStore) Finish(ctx context.Context, finish *wire.FinishRequest) error {
	_, err := s.execute(ctx, &wire.Command{Body: &wire.Command_Finish{Finish: finish}})
	return err
}

// Lookup returns the record of the request.
func (s *recordStore) Lookup(ctx context.Context, query *wire.RecordQuery) (*wire.BeginResult, error) {
	response, err := s.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Record{Record: query}})
	if err != nil {
		return nil, err
	}
	return response.GetRecord(), nil
}
