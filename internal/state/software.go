package state

import (
	"cmp"
	"slices"

	"oleanderramp/internal/wire"
)

// The error codes of RecordSoftware and ForgetSoftware.
const (
	// CodeSoftwareConflict means that the version was recorded again after the revision that a
	// ForgetSoftware is based on.
	CodeSoftwareConflict = "software_conflict"
	// CodeSoftwareFull means that there is no room for another software version.
	CodeSoftwareFull = "software_full"
)

const (
	// maxSoftwareVersions bounds the software versions of all services.
	maxSoftwareVersions = 4096
	// maxVersionTextBytes bounds the names of a service and of its version, as
	// announcements do.
	maxVersionTextBytes = 512
)

// softwareKey is a software version of a service.
type softwareKey struct {
	service, software string
}

// softwareTable holds the software versions that endpoints have had.
type softwareTable struct {
	// recorded holds the revision of the last record of each version. It is never above
	// revision.
	recorded map[softwareKey]uint64
	revision uint64
}

func newSoftwareTable() *softwareTable {
	return &softwareTable{recorded: make(map[softwareKey]uint64)}
}

// recordSoftware records a version. One that is recorded already gets a new revision, so
// that it is not forgotten by a command that was based on the former one.
func (m *Machine) recordSoftware(command *wire.RecordSoftware) *wire.Result {
	t := m.software
	key := softwareKey{command.GetService(), command.GetSoftware()}
	if !isValidText(key.service, maxVersionTextBytes) || len(key.software) > maxVersionTextBytes {
		return errorResult(CodeBadCommand, "a software version needs a service, and at most %d bytes", maxVersionTextBytes)
	}
	if _, known := t.recorded[key]; !known && len(t.recorded) >= maxSoftwareVersions {
		return errorResult(CodeSoftwareFull, "there is no room for another software version")
	}
	t.revision++
	t.recorded[key] = t.revision
	return &wire.Result{}
}

// forgetSoftware removes a version that has not been recorded since the revision.
func (m *Machine) forgetSoftware(command *wire.ForgetSoftware) *wire.Result {
	t := m.software
	key := softwareKey{command.GetService(), command.GetSoftware()}
	if revision, known := t.recorded[key]; known && revision != command.GetRevision() {
		return errorResult(CodeSoftwareConflict, "the version was recorded at revision %d, after %d", revision, command.GetRevision())
	}
	delete(t.recorded, key)
	return &wire.Result{}
}

// Software returns the recorded software versions, or nil if there was never one.
func (m *Machine) Software() *wire.SoftwareState {
	t := m.software
	if t.revision == 0 {
		return nil
	}
	result := &wire.SoftwareState{Revision: t.revision}
	for key, revision := range t.recorded {
		result.Versions = append(result.Versions, &wire.SoftwareVersion{Service: key.service, Software: key.software, Revision: revision})
	}
	slices.SortFunc(result.Versions, func(a, b *wire.SoftwareVersion) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetSoftware(), b.GetSoftware()))
	})
	return result
}

// restore replaces the table with that of a snapshot, which is nil in snapshots of former
// versions.
func (t *softwareTable) restore(snapshot *wire.SoftwareState) {
	t.revision = snapshot.GetRevision()
	for _, v := range snapshot.GetVersions() {
		t.recorded[softwareKey{v.GetService(), v.GetSoftware()}] = v.GetRevision()
	}
}
