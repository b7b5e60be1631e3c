package site

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/state"
	"oleanderramp/internal/wire"
)

const (
	// recordTimeout bounds one attempt to record a software version.
	recordTimeout = time.Second
	// recordRetryPeriod is the interval between two attempts.
	recordRetryPeriod = 200 * time.Millisecond
	// softwarePeriod is the interval at which a leader compares the recorded versions
	// with those of the endpoints.
	softwarePeriod = time.Second
	// softwareTTL is how long a version that no endpoint has is kept. A router may begin
	// streams on an endpoint for a minute after its last announcement, and callers take
	// them up for streams.TTL after that.
	softwareTTL = 3 * time.Minute
)

// newcomers holds the endpoints whose software version is not recorded yet, by version and
// ID. No router may learn of them: a stream that began there could not be told from one of
// the versions that are recorded.
type newcomers map[directory.Version]map[string]directory.Entry

func (n newcomers) add(e directory.Entry) {
	n.remove(e.ID, e.Started)
	if n[e.Version()] == nil {
		n[e.Version()] = make(map[string]directory.Entry)
	}
	n[e.Version()][e.ID] = e
}

// remove removes the endpoint unless it has started again after the given start.
func (n newcomers) remove(id string, started time.Time) {
	for version, entries := range n {
		if e, ok := entries[id]; !ok || e.Started.After(started) {
			continue
		}
		delete(entries, id)
		if len(entries) == 0 {
			delete(n, version)
		}
	}
}

// versions returns the versions that are to be recorded.
func (n newcomers) versions() []directory.Version {
	var list []directory.Version
	for version := range n {
		list = append(list, version)
	}
	return list
}

// awaitsRecord reports whether the entry brings a software version that no endpoint in use
// has. The caller holds c.mu.
func (c *control) awaitsRecord(e directory.Entry) bool {
	return !e.Leaving && e.Service != "" && !c.directory.HasVersion(e)
}

// recordNewcomers records the software versions of the newcomers through the quorum, and
// adds each to the directory as soon as its version is recorded.
func (c *control) recordNewcomers(ctx context.Context) {
	c.mu.Lock()
	versions := c.newcomers.versions()
	c.mu.Unlock()
	for _, version := range versions {
		if err := c.recordSoftware(ctx, version); err != nil {
			event.SoftwareUnrecorded.Log(c.log, event.Fields{"service": version.Service, "software": version.Software, "error": err.Error()})
			continue
		}
		c.admitNewcomers(version)
	}
}

// admitNewcomers adds the endpoints with the version to the directory.
func (c *control) admitNewcomers(version directory.Version) {
	c.mu.Lock()
	entries := c.newcomers[version]
	delete(c.newcomers, version)
	changes := make(map[string]directory.Change, len(entries))
	for id, e := range entries {
		changes[id] = c.directory.Announce(e)
	}
	c.mu.Unlock()
	for id, e := range entries {
		logEndpointChange(c.log, changes[id], e, "announcement")
	}
}

// recordSoftware commits that endpoints have the version. A leader of a former version of
// this program knows no such records, which is no error: no router relies on them then.
func (c *control) recordSoftware(ctx context.Context, version directory.Version) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := c.commit(ctx, &wire.Command{Body: &wire.Command_RecordSoftware{RecordSoftware: &wire.RecordSoftware{
		Service: version.Service, Software: version.Software,
	}}})
	if errors.Is(err, errUnknownCommand) {
		return nil
	}
	return err
}

// errUnknownCommand is returned if the leader runs a version that lacks the command.
var errUnknownCommand = errors.New("the leader does not know the command")

// execute commits a command of this host through the quorum, once that has enough voters
// for the command to survive the tolerated losses.
func (c *control) execute(ctx context.Context, command *wire.Command) error {
	if err := c.waitForVoters(ctx); err != nil {
		return err
	}
	c.quorum.PreferLeader(c.replica.Status().Leader().Host)
	result, err := c.quorum.Execute(ctx, command)
	if err != nil {
		return err
	}
	switch refused := result.GetError(); {
	case refused == nil:
		return nil
	case refused.GetCode() == state.CodeUnknownCommand:
		return errUnknownCommand
	default:
		return fmt.Errorf("%s: %s", refused.GetCode(), refused.GetMessage())
	}
}

// maintainSoftware records the versions that daemons of former versions have passed on, and
// forgets those that no endpoint has had for softwareTTL, if this host leads.
func (c *control) maintainSoftware(ctx context.Context) {
	if !c.replica.Status().IsLeader() || c.draining.Load() {
		c.absences = nil
		return
	}
	now := time.Now()
	present := make(map[directory.Version]bool)
	c.mu.Lock()
	for _, version := range c.directory.Versions(now) {
		present[version] = true
	}
	c.mu.Unlock()
	recorded := c.store.Software().GetVersions()
	for _, v := range recorded {
		delete(present, directory.Version{Service: v.GetService(), Software: v.GetSoftware()})
	}
	for version := range present {
		_ = c.recordSoftware(ctx, version) // It is repeated in the next period.
	}
	c.forgetSoftware(ctx, now, recorded)
}

func (c *control) forgetSoftware(ctx context.Context, now time.Time, recorded []*wire.SoftwareVersion) {
	c.mu.Lock()
	versions := c.directory.Versions(now)
	c.mu.Unlock()
	if c.absences == nil {
		c.absences = make(absences)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for _, v := range c.absences.due(now, recorded, versions) {
		// A rejected one is repeated if the version stays absent.
		_ = c.commit(ctx, &wire.Command{Body: &wire.Command_ForgetSoftware{ForgetSoftware: &wire.ForgetSoftware{
			Service: v.GetService(), Software: v.GetSoftware(), Revision: v.GetRevision(),
		}}})
	}
}

// absences holds since when no endpoint has had a recorded version, with the revision of
// its last record.
type absences map[directory.Version]absence

type absence struct {
	since    time.Time
	revision uint64
}

// due returns the recorded versions that none of the endpoints' versions has been for
// softwareTTL, and that were not recorded again in that time.
func (a absences) due(now time.Time, recorded []*wire.SoftwareVersion, present []directory.Version) []*wire.SoftwareVersion {
	var due []*wire.SoftwareVersion
	for _, v := range recorded {
		key := directory.Version{Service: v.GetService(), Software: v.GetSoftware()}
		known, absent := a[key]
		switch {
		case slices.Contains(present, key):
			delete(a, key)
		case !absent || known.revision != v.GetRevision():
			a[key] = absence{since: now, revision: v.GetRevision()}
		case now.Sub(known.since) >= softwareTTL:
			due = append(due, v)
		}
	}
	return due
}

// errFormerMembers is returned for a read of the recorded software versions while members
// of the quorum run a version that does not record them.
var errFormerMembers = errors.New("a member of the quorum runs a version that records no software versions")

// Query refuses to read software versions that may be incomplete.
func (s quorumServer) Query(ctx context.Context, request *wire.QueryRequest) (*wire.QueryResponse, error) {
	if request.GetSoftware() != nil && !s.recordsSoftware() {
		return nil, errFormerMembers
	}
	return s.Server.Query(ctx, request)
}

// recordsSoftware reports whether no member of the quorum is known to run a version that
// hands out endpoints before their software version is recorded.
func (c *control) recordsSoftware() bool {
	_, former := c.formerMember(func(known capabilities) bool { return known.softwareRecords })
	return !former
}
