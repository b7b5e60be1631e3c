package replica

import "oleanderramp/internal/raft"

// reportLeadershipChange reports a change of role, term or leader. When this
// replica lost the leadership, it fails the requests that wait for it.
func (d *driver) reportLeadershipChange() {
	role, term, leader := d.node.Role(), d.node.Term(), d.node.Leader()
	if role == d.role && term == d.term && leader == d.leader {
		return
	}
	lost := d.role == raft.RoleLeader && (role != raft.RoleLeader || term != d.term)
	d.role, d.term, d.leader = role, term, leader
	d.publishStatus()
	if d.cfg.OnChange != nil {
		d.cfg.OnChange(d.replica.Status())
	}
	if lost {
		d.failLeaderRequests()
	}
}

// failLeaderRequests fails the requests that only the leader can complete.
func (d *driver) failLeaderRequests() {
	for _, q := range d.waiting {
		q.finish(nil, ErrOutcomeUnknown)
	}
	clear(d.waiting)
	for _, q := range d.reads {
		q.finish(nil, d.notLeader())
	}
	clear(d.reads)
}

// failWaiting fails all waiting requests when the replica stops.
func (d *driver) failWaiting() {
	for _, q := range d.waiting {
		q.finish(nil, ErrOutcomeUnknown)
	}
	for _, q := range d.reads {
		q.finish(nil, ErrStopped)
	}
	for _, q := range d.confirmed {
		q.finish(nil, ErrStopped)
	}
	failBatch(d.pending)
}
