package state

import (
	"sync"
	"time"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// Store is a Machine that may be shared: one goroutine applies commands while
// others read. What the reads return must not be changed.
type Store struct {
	mu      sync.RWMutex
	machine *Machine
	// changed is closed and replaced with each change of the configuration.
	changed chan struct{}
}

// NewStore returns a store with an empty machine.
func NewStore(limits Limits) *Store {
	return &Store{machine: New(limits), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change of the bundles,
// the drained endpoints or the quarantine. A watcher gets the channel first
// and reads the state after that.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// notify wakes the watchers if the revision has grown. The caller holds mu.
func (s *Store) notify(before uint64) {
	if s.machine.revision == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Apply is Machine.Apply.
func (s *Store) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.revision
	result := s.machine.Apply(index, command)
	s.notify(before)
	return result
}

// Snapshot is Machine.Snapshot.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore is Machine.Restore.
func (s *Store) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.revision
	err := s.machine.Restore(data)
	s.notify(before)
	return err
}

// Index returns the index of the last command applied.
func (s *Store) Index() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Index()
}

// Record is Machine.Record.
func (s *Store) Record(account, service, key string) (*wire.BeginResult, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Record(account, service, key)
}

// RecordCount is Machine.RecordCount.
func (s *Store) RecordCount() (count int, bytes int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.RecordCount()
}

// Bundles is Machine.Bundles.
func (s *Store) Bundles() []*wire.BundleState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Bundles()
}

// AcceptedBundle is Machine.AcceptedBundle.
func (s *Store) AcceptedBundle() *bundle.Bundle {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.AcceptedBundle()
}

// Deltas is Machine.Deltas.
func (s *Store) Deltas(from uint64) ([][]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Deltas(from)
}

// Drained is Machine.Drained.
func (s *Store) Drained() []*wire.DrainEndpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Drained()
}

// Quarantined is Machine.Quarantined.
func (s *Store) Quarantined(now time.Time) []*wire.QuarantineDigest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Quarantined(now)
}

// Suspected is Machine.Suspected.
func (s *Store) Suspected(now time.Time) []*wire.QuarantineDigest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Suspected(now)
}

// Fence is Machine.Fence.
func (s *Store) Fence(name string) (*wire.Fence, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Fence(name)
}

// Audit is Machine.Audit.
func (s *Store) Audit(limit int) (entries []*wire.AuditEntry, dropped uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Audit(limit)
}

// Processes is Machine.Processes.
func (s *Store) Processes() []*wire.ProcessState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Processes()
}

// Routing is Machine.Routing.
func (s *Store) Routing() *wire.RoutingState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Routing()
}
