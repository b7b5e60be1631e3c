package site

import "oleanderramp/internal/wire"

// capabilities are the commands of the replicated state that a control host knows. One
// that lacks a command leaves out its effect when it saves the state.
type capabilities struct {
	evacuations     bool
	softwareRecords bool
}

// recordVersion records what a control host knows, which has described itself. The caller
// holds c.mu.
func (c *control) recordVersion(host *wire.ControlHost) {
	c.capabilities[host.GetAddress()] = capabilities{
		evacuations: host.GetEvacuations(), softwareRecords: host.GetSoftwareRecords(),
	}
}

// formerMember returns a member of the quorum whose host runs a version without the
// capability, if there is one. A host that has not described itself yet doesn't count.
func (c *control) formerMember(has func(capabilities) bool) (host string, former bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.replica.Status().Members() {
		if known, described := c.capabilities[m.Member.Host]; described && !has(known) {
			return m.Member.Host, true
		}
	}
	return "", false
}
