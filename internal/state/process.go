package state

import (
	"cmp"
	"slices"
	"time"

	"oleanderramp/internal/wire"
)

// processRetention is how long a host without started records is kept after its
// process was last admitted. After that it may be removed to make room for
// another host.
const processRetention = 7 * 24 * time.Hour

// process is one run of a daemon. A later run on the same host has a higher
// incarnation.
type process struct {
	host        string
	incarnation uint64
}

func processFromWire(p *wire.Process) process {
	return process{host: p.GetHost(), incarnation: p.GetIncarnation()}
}

func (p process) toWire() *wire.Process {
	return &wire.Process{Host: p.host, Incarnation: p.incarnation}
}

func (p process) valid() bool {
	return isValidText(p.host, maxNameBytes) && p.incarnation > 0
}

// processState is the state of the latest known incarnation of a host.
type processState struct {
	incarnation uint64
	abandoned   bool
	seenMS      int64
}

// processTable holds the latest incarnation of each host.
type processTable struct {
	limits Limits
	byHost map[string]processState
}

func newProcessTable(limits Limits) *processTable {
	return &processTable{limits: limits, byHost: make(map[string]processState)}
}

// hasEnded reports whether the process was superseded or abandoned.
func (t *processTable) hasEnded(p process) bool {
	known, found := t.byHost[p.host]
	if !found {
		return false
	}
	return p.incarnation < known.incarnation || p.incarnation == known.incarnation && known.abandoned
}

// ensureRoom reports whether the host is known or may be added. If the table is
// full, it first removes hosts that are not in use and past their retention.
func (t *processTable) ensureRoom(host string, nowMS int64, inUse func(host string) bool) bool {
	if _, found := t.byHost[host]; found || len(t.byHost) < t.limits.MaxProcesses {
		return true
	}
	for other, known := range t.byHost {
		if nowMS-known.seenMS >= processRetention.Milliseconds() && !inUse(other) {
			delete(t.byHost, other)
		}
	}
	return len(t.byHost) < t.limits.MaxProcesses
}

// admitProcess makes the process the latest one of its host and marks the
// started records of earlier ones as unknown. It returns nil, or the refusal.
func (m *Machine) admitProcess(p process) *wire.Result {
	if !p.valid() {
		return errorResult(CodeBadCommand, "the process needs a host and an incarnation")
	}
	if m.processes.hasEnded(p) {
		return errorResult(CodeProcessAbandoned, "process %d of host %s was superseded or abandoned", p.incarnation, p.host)
	}
	if !m.processes.ensureRoom(p.host, m.clock.nowMS, m.hasStartedRecords) {
		return errorResult(CodeProcessesFull, "there is no room for another host")
	}
	known := m.processes.byHost[p.host]
	if p.incarnation > known.incarnation {
		m.records.markUnknown(m.clock.nowMS, p.host, p.incarnation-1)
	}
	m.processes.byHost[p.host] = processState{incarnation: p.incarnation, seenMS: m.clock.nowMS}
	return nil
}

func (m *Machine) hasStartedRecords(host string) bool { return len(m.records.started[host]) > 0 }

func (m *Machine) registerProcess(p *wire.Process) *wire.Result {
	if refused := m.admitProcess(processFromWire(p)); refused != nil {
		return refused
	}
	return &wire.Result{}
}

// abandonProcess marks a dead process as abandoned, and its started records as
// unknown. Abandoning a process that has ended is not an error.
func (m *Machine) abandonProcess(p *wire.Process) *wire.Result {
	abandoned := processFromWire(p)
	if abandoned.valid() && m.processes.hasEnded(abandoned) {
		return &wire.Result{}
	}
	if refused := m.admitProcess(abandoned); refused != nil {
		return refused
	}
	known := m.processes.byHost[abandoned.host]
	known.abandoned = true
	m.processes.byHost[abandoned.host] = known
	m.records.markUnknown(m.clock.nowMS, abandoned.host, abandoned.incarnation)
	return &wire.Result{}
}

// begin starts a request for a process that has not ended.
func (m *Machine) begin(request *wire.BeginRequest) *wire.Result {
	if !isValidText(request.GetAccount(), maxNameBytes) || !isValidText(request.GetService(), maxNameBytes) ||
		!isValidText(request.GetIdempotencyKey(), maxKeyBytes) || !isValidText(request.GetAttempt(), maxNameBytes) ||
		len(request.GetEndpoint()) > maxNameBytes {
		return errorResult(CodeBadCommand, "begin: a name is missing or too long")
	}
	if !isValidDigest(request.GetRequestDigest()) {
		return errorResult(CodeBadCommand, "begin: the request digest must have 1 to %d bytes", maxDigestBytes)
	}
	if refused := m.admitProcess(processFromWire(request.GetRouter())); refused != nil {
		return refused
	}
	return m.records.begin(m.clock.nowMS, request)
}

// Processes returns the latest process of each known host, ordered by host.
func (m *Machine) Processes() []*wire.ProcessState {
	states := m.processes.sorted()
	for _, p := range states {
		p.SeenUnixMs = m.clock.toUnixMS(p.GetSeenMs())
		p.SeenMs = 0
	}
	return states
}

func (t *processTable) sorted() []*wire.ProcessState {
	states := make([]*wire.ProcessState, 0, len(t.byHost))
	for host, known := range t.byHost {
		states = append(states, &wire.ProcessState{
			Process:   process{host, known.incarnation}.toWire(),
			Abandoned: known.abandoned,
			SeenMs:    known.seenMS,
		})
	}
	slices.SortFunc(states, func(a, b *wire.ProcessState) int {
		return cmp.Compare(a.GetProcess().GetHost(), b.GetProcess().GetHost())
	})
	return states
}
