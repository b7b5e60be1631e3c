package state

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/wire"
	"oleanderramp/pkg/bundle"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// ErrSnapshot is returned for data that is not a valid snapshot of this format.
var ErrSnapshot = errors.New("state: invalid snapshot")

// Snapshot serializes the whole state deterministically.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &wire.Snapshot{
		Format:       snapshotFormat,
		Index:        m.index,
		NowUnixMs:    m.clock.lastTimestampMS,
		Accepted:     m.bundles.acceptedState,
		Open:         m.bundles.openProposal,
		History:      m.bundles.history,
		Withdrawn:    m.bundles.withdrawn,
		Records:      m.records.sorted(),
		Processes:    m.processes.sorted(),
		Fences:       m.fences.sorted(),
		Quarantined:  m.quarantine.sorted(),
		Suspected:    m.suspects.sorted(),
		Drained:      m.Drained(),
		Audit:        m.audit.entries,
		AuditDropped: m.audit.dropped,
		ClockMs:      m.clock.nowMS,
		Routing:      m.Routing(),
		Evacuation:   m.Evacuation(),
		Software:     m.Software(),
		Departures:   m.departures.snapshot(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("state: marshal snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state with that of a snapshot. On an error, which
// wraps ErrSnapshot, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var snapshot wire.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if snapshot.GetFormat() != snapshotFormat {
		return fmt.Errorf("%w: format %d, want %d", ErrSnapshot, snapshot.GetFormat(), snapshotFormat)
	}
	if snapshot.GetNowUnixMs() < 0 || snapshot.GetNowUnixMs() > maxUnixMS ||
		snapshot.GetClockMs() < 0 || snapshot.GetClockMs() > maxUnixMS {
		return fmt.Errorf("%w: the time is out of range", ErrSnapshot)
	}
	restored := New(m.limits)
	restored.index = snapshot.GetIndex()
	restored.clock = clock{lastTimestampMS: snapshot.GetNowUnixMs(), nowMS: snapshot.GetClockMs()}
	restored.revision = m.revision + 1
	if err := restored.bundles.restore(&snapshot); err != nil {
		return fmt.Errorf("%w: bundles: %w", ErrSnapshot, err)
	}
	if err := restored.records.restore(snapshot.GetRecords()); err != nil {
		return fmt.Errorf("%w: records: %w", ErrSnapshot, err)
	}
	restored.restoreTables(&snapshot)
	restored.records.mayStart = m.records.mayStart
	restored.bundles.mayPropose = m.bundles.mayPropose
	*m = *restored
	return nil
}

func (m *Machine) restoreTables(snapshot *wire.Snapshot) {
	for _, p := range snapshot.GetProcesses() {
		m.processes.byHost[p.GetProcess().GetHost()] = processState{
			incarnation: p.GetProcess().GetIncarnation(),
			abandoned:   p.GetAbandoned(),
			seenMS:      p.GetSeenMs(),
		}
	}
	for _, f := range snapshot.GetFences() {
		m.fences.byName[f.GetName()] = fence{
			token:     f.GetNumber(),
			holder:    processFromWire(f.GetHolder()),
			expiresMS: f.GetExpiresMs(),
		}
	}
	for _, q := range snapshot.GetQuarantined() {
		m.quarantine.expires[quarantineKey{q.GetService(), string(q.GetDigest())}] = q.GetExpiresMs()
	}
	for _, q := range snapshot.GetSuspected() {
		m.suspects.expires[quarantineKey{q.GetService(), string(q.GetDigest())}] = q.GetExpiresMs()
	}
	for _, d := range snapshot.GetDrained() {
		m.drains.operators[drainKey{d.GetService(), d.GetEndpoint()}] = d.GetOperator()
	}
	m.audit.entries = snapshot.GetAudit()
	m.audit.dropped = snapshot.GetAuditDropped()
	m.routing = routingTable{version: snapshot.GetRouting().GetVersion(), document: snapshot.GetRouting().GetDocument()}
	m.evacuations.restore(snapshot.GetEvacuation())
	m.software.restore(snapshot.GetSoftware())
	m.departures.restore(snapshot.GetDepartures())
}

func (r *bundleRegistry) restore(snapshot *wire.Snapshot) error {
	var err error
	if r.accepted, err = restoreBundle(snapshot.GetAccepted()); err != nil {
		return fmt.Errorf("accepted: %w", err)
	}
	if r.openBundle, err = restoreBundle(snapshot.GetOpen()); err != nil {
		return fmt.Errorf("open: %w", err)
	}
	r.acceptedState = snapshot.GetAccepted()
	r.openProposal = snapshot.GetOpen()
	r.withdrawn = snapshot.GetWithdrawn()
	if r.openProposal != nil && r.openProposal.GetParent() != r.version() {
		return fmt.Errorf("the open proposal has parent %d, the accepted version is %d", r.openProposal.GetParent(), r.version())
	}
	return r.restoreHistory(snapshot.GetHistory())
}

func (r *bundleRegistry) restoreHistory(history []*wire.AcceptedBundle) error {
	if uint64(len(history)) > r.version() || r.accepted != nil && len(history) == 0 {
		return fmt.Errorf("the history has %d entries, but the accepted version is %d", len(history), r.version())
	}
	next := r.version() - uint64(len(history)) + 1
	for _, entry := range history {
		if entry.GetBundle().GetVersion() != next {
			return fmt.Errorf("the history has version %d, want %d", entry.GetBundle().GetVersion(), next)
		}
		r.byDigest[string(entry.GetBundle().GetDigest())] = entry.GetBundle()
		next++
	}
	r.history = history
	return nil
}

// restoreBundle parses and checks the bundle of a state. It returns nil for a
// nil state.
func restoreBundle(known *wire.BundleState) (*bundle.Bundle, error) {
	if known == nil {
		return nil, nil
	}
	restored, err := bundle.Parse(known.GetDocument())
	if err != nil {
		return nil, err
	}
	if restored.Version() != known.GetVersion() || restored.Parent() != known.GetParent() ||
		known.GetVersion() != known.GetParent()+1 {
		return nil, fmt.Errorf("the document is of version %d, want %d", restored.Version(), known.GetVersion())
	}
	if restored.Digest().String() != formatDigest(known.GetDigest()) {
		return nil, fmt.Errorf("the digest of the document of version %d does not match", known.GetVersion())
	}
	return restored, nil
}

// sorted returns the records, ordered by their last change and then by key.
func (t *recordTable) sorted() []*wire.Record {
	records := make([]*record, 0, len(t.byKey))
	for element := t.settled.Front(); element != nil; element = element.Next() {
		if r, ok := element.Value.(*record); ok {
			records = append(records, r)
		}
	}
	for _, started := range t.started {
		for _, r := range started {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(a.changedMS, b.changedMS),
			cmp.Compare(a.key.account, b.key.account),
			cmp.Compare(a.key.service, b.key.service),
			cmp.Compare(a.key.key, b.key.key),
		)
	})
	messages := make([]*wire.Record, len(records))
	for i, r := range records {
		messages[i] = r.toWire()
	}
	return messages
}

func (r *record) toWire() *wire.Record {
	message := &wire.Record{
		Account:        r.key.account,
		Service:        r.key.service,
		IdempotencyKey: r.key.key,
		RequestDigest:  r.digest,
		Attempt:        r.attempt,
		Endpoint:       r.endpoint,
		State:          r.state,
		Answer:         r.answer,
		ChangedMs:      r.changedMS,
		EndedAttempts:  r.endedAttempts,
	}
	if r.router.host != "" {
		message.Router = r.router.toWire()
	}
	return message
}

// restore inserts the records, which must be ordered by their last change.
func (t *recordTable) restore(messages []*wire.Record) error {
	var lastMS int64
	for _, message := range messages {
		key := recordKey{message.GetAccount(), message.GetService(), message.GetIdempotencyKey()}
		if t.byKey[key] != nil {
			return fmt.Errorf("duplicate key %q", key.key)
		}
		if message.GetChangedMs() < lastMS {
			return errors.New("the records are not ordered by their last change")
		}
		lastMS = message.GetChangedMs()
		switch message.GetState() {
		case wire.RecordState_RECORD_STATE_STARTED, wire.RecordState_RECORD_STATE_FINISHED,
			wire.RecordState_RECORD_STATE_NOT_RUN, wire.RecordState_RECORD_STATE_UNKNOWN:
		default:
			return fmt.Errorf("key %q has invalid state %d", key.key, message.GetState())
		}
		t.insert(&record{
			key:           key,
			digest:        message.GetRequestDigest(),
			router:        processFromWire(message.GetRouter()),
			attempt:       message.GetAttempt(),
			endpoint:      message.GetEndpoint(),
			state:         message.GetState(),
			answer:        message.GetAnswer(),
			changedMS:     message.GetChangedMs(),
			endedAttempts: message.GetEndedAttempts(),
		})
	}
	return nil
}
