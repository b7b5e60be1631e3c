package state

import (
	"sync"
	"time"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// Store is a Machine that is safe for concurrent use. Returned values must not
// be modified.
type Store struct {
	mu      sync.RWMutex
	machine *Machine
	// changed is closed and replaced whenever the machine's revision changes.
	changed chan struct{}
}

// NewStore returns a store with an empty machine.
func NewStore(limits Limits) *Store {
	return &Store{machine: New(limits), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change of the bundles,
// the drained endpoints, the quarantined or suspected digests, the routing table,
// the evacuated zones or the departures of endpoints. To miss no change, get the channel first and read the state after that.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// notify closes the channel of Changed if the revision is no longer before. The
// caller holds mu.
func (s *Store) notify(before uint64) {
	if s.machine.revision == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Apply calls Machine.Apply.
func (s *Store) Apply(index uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.revision
	result := s.machine.Apply(index, command)
	s.notify(before)
	return result
}

// Snapshot calls Machine.Snapshot.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore calls Machine.Restore.
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

// Record calls Machine.Record.
func (s *Store) Record(account, service, key string) (*wire.BeginResult, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Record(account, service, key)
}

// RecordCount calls Machine.RecordCount.
func (s *Store) RecordCount() (count int, bytes int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.RecordCount()
}

// Bundles calls Machine.Bundles.
func (s *Store) Bundles() []*wire.BundleState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Bundles()
}

// AcceptedBundle calls Machine.AcceptedBundle.
func (s *Store) AcceptedBundle() *bundle.Bundle {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.AcceptedBundle()
}

// Deltas calls Machine.Deltas.
func (s *Store) Deltas(from uint64) ([][]byte, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Deltas(from)
}

// Drained calls Machine.Drained.
func (s *Store) Drained() []*wire.DrainEndpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Drained()
}

// Quarantined calls Machine.Quarantined.
func (s *Store) Quarantined(now time.Time) []*wire.QuarantineDigest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Quarantined(now)
}

// Suspected calls Machine.Suspected.
func (s *Store) Suspected(now time.Time) []*wire.QuarantineDigest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Suspected(now)
}

// Fence calls Machine.Fence.
func (s *Store) Fence(name string) (*wire.Fence, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Fence(name)
}

// Audit calls Machine.Audit.
func (s *Store) Audit(limit int) (entries []*wire.AuditEntry, dropped uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Audit(limit)
}

// Processes calls Machine.Processes.
func (s *Store) Processes() []*wire.ProcessState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Processes()
}

// Routing calls Machine.Routing.
func (s *Store) Routing() *wire.RoutingState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Routing()
}

// Evacuation calls Machine.Evacuation.
func (s *Store) Evacuation() *wire.EvacuationState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Evacuation()
}

// Software calls Machine.Software.
func (s *Store) Software() *wire.SoftwareState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Software()
}

// HasDeparture calls Machine.HasDeparture.
func (s *Store) HasDeparture(endpoint string, startedMS int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.HasDeparture(endpoint, startedMS)
}

// DeparturesSince calls Machine.DeparturesSince.
func (s *Store) DeparturesSince(revision uint64) []*wire.RecordedDeparture {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.DeparturesSince(revision)
}
