// Package state implements the replicated state machine. Its commands change
// bundles, at-most-once records, processes, fences, quarantined and suspected
// digests, drained endpoints, the routing table, evacuated zones, software versions and departures
// of endpoints, and the audit trail.
//
// A Machine is deterministic: machines that apply the same commands hold the
// same state and return the same results. It doesn't read the system clock: its
// time follows the timestamps of the commands, and never goes back.
//
// A Machine is not safe for concurrent use; a Store is.
package state

import (
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/wire"
)

// Machine is the replicated state.
type Machine struct {
	limits Limits
	// index is the log index of the last command applied.
	index uint64
	clock clock
	// revision increases with each change that is notified through
	// Store.Changed. It is not part of the replicated state.
	revision uint64

	bundles    *bundleRegistry
	records    *recordTable
	processes  *processTable
	fences     *fenceTable
	quarantine *quarantineTable
	suspects   *quarantineTable
	drains     *drainTable
	audit      *auditTrail
	routing    routingTable

	evacuations *evacuationTable
	software    *softwareTable
	departures  *departureTable
}

// New returns an empty machine. All replicas must use the same limits.
func New(limits Limits) *Machine {
	limits.Defaults()
	return &Machine{
		limits:     limits,
		bundles:    newBundleRegistry(limits),
		records:    newRecordTable(limits),
		processes:  newProcessTable(limits),
		fences:     newFenceTable(limits),
		quarantine: newQuarantineTable(limits),
		suspects:   newQuarantineTable(limits),
		drains:     newDrainTable(limits),
		audit:      newAuditTrail(limits),

		evacuations: newEvacuationTable(),
		software:    newSoftwareTable(),
		departures:  newDepartureTable(),
	}
}

// Apply applies a serialized wire.Command and returns a serialized
// wire.Result. A command is refused if its index was applied already, if it
// can't be decoded, or if its timestamp is out of range. It then changes
// nothing, except that in the last two cases its index counts as applied.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	return encode(m.apply(index, command))
}

func (m *Machine) apply(index uint64, data []byte) *wire.Result {
	if index <= m.index {
		return errorResult(CodeStaleIndex, "index %d was applied already, the last one is %d", index, m.index)
	}
	m.index = index
	var command wire.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return errorResult(CodeBadCommand, "the command can't be decoded")
	}
	if command.GetNowUnixMs() > maxUnixMS {
		return errorResult(CodeBadCommand, "the time %d ms is out of range", command.GetNowUnixMs())
	}
	m.clock.advance(command.GetNowUnixMs())
	m.records.expire(m.clock.nowMS)
	return m.execute(&command)
}

func (m *Machine) execute(command *wire.Command) *wire.Result {
	switch body := command.GetBody().(type) {
	case *wire.Command_Begin:
		return m.begin(body.Begin)
	case *wire.Command_Finish:
		return m.records.finish(m.clock.nowMS, body.Finish)
	case *wire.Command_Register:
		return m.registerProcess(body.Register.GetProcess())
	case *wire.Command_Abandon:
		return m.abandonProcess(body.Abandon.GetProcess())
	case *wire.Command_AcquireFence:
		return m.acquireFence(body.AcquireFence)
	case *wire.Command_Quarantine:
		return m.quarantineDigest(body.Quarantine)
	case *wire.Command_Suspect:
		return m.suspectDigests(body.Suspect)
	case *wire.Command_ReplaceRouting:
		return m.replaceRouting(body.ReplaceRouting)
	case *wire.Command_SetEvacuation:
		return m.setEvacuation(body.SetEvacuation)
	case *wire.Command_RecordSoftware:
		return m.recordSoftware(body.RecordSoftware)
	case *wire.Command_ForgetSoftware:
		return m.forgetSoftware(body.ForgetSoftware)
	case *wire.Command_RecordDeparture:
		return m.recordDeparture(body.RecordDeparture)
	default:
		return m.executeAudited(command)
	}
}

// executeAudited executes the commands of operators, which are recorded in the
// audit trail.
func (m *Machine) executeAudited(command *wire.Command) *wire.Result {
	var result *wire.Result
	entry := &wire.AuditEntry{Index: m.index, AtUnixMs: m.clock.lastTimestampMS}
	before := m.bundles.revision + m.drains.revision
	switch body := command.GetBody().(type) {
	case *wire.Command_ProposeBundle:
		entry.Operator, entry.Act = body.ProposeBundle.GetOperator(), "propose"
		result, entry.Subject = m.bundles.propose(body.ProposeBundle)
	case *wire.Command_SignOffBundle:
		entry.Operator, entry.Act = body.SignOffBundle.GetOperator(), "sign_off"
		entry.Subject = formatDigest(body.SignOffBundle.GetDigest())
		result = m.bundles.signOff(body.SignOffBundle)
	case *wire.Command_AcceptBundle:
		entry.Operator, entry.Act = body.AcceptBundle.GetOperator(), "accept"
		entry.Subject = formatDigest(body.AcceptBundle.GetDigest())
		result = m.bundles.accept(body.AcceptBundle)
	case *wire.Command_WithdrawBundle:
		entry.Operator, entry.Act = body.WithdrawBundle.GetOperator(), "withdraw"
		entry.Subject = formatDigest(body.WithdrawBundle.GetDigest())
		result = m.bundles.withdraw(body.WithdrawBundle)
	case *wire.Command_DrainEndpoint:
		entry.Operator, entry.Act = body.DrainEndpoint.GetOperator(), drainAction(body.DrainEndpoint)
		entry.Subject = drainSubject(body.DrainEndpoint)
		result = m.drains.set(body.DrainEndpoint)
	default:
		return errorResult(CodeUnknownCommand, "this version doesn't know the command")
	}
	changed := m.bundles.revision+m.drains.revision != before
	if changed {
		m.revision++
	}
	entry.Result = auditResult(result, changed)
	m.audit.add(entry)
	return result
}

func auditResult(result *wire.Result, changed bool) string {
	switch {
	case result.GetError() != nil:
		return result.GetError().GetCode()
	case changed:
		return "ok"
	default:
		return "repeated"
	}
}

// encode serializes a result deterministically.
func encode(result *wire.Result) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Marshal fails only on strings that are not valid UTF-8, and a
		// decoded command has none.
		return nil
	}
	return data
}

// Index returns the index of the last command applied.
func (m *Machine) Index() uint64 { return m.index }
