package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/statehost"
	"oleanderramp/internal/wire"
)

// Timing of the leader's own duties.
const (
	leaderPeriod = time.Second
	// abandonAfter is how long a process may be silent before the leader
	// gives its unfinished records up as unknown.
	abandonAfter = 15 * time.Second
)

// leaderDuties does the leader's duties while this daemon's replica leads: it gives
// up the unfinished records of dead processes, and adds the first replica of
// each replica host to the quorum.
type leaderDuties struct {
	host   *stateHost
	quorum *peer.Quorum
	// hosts may have a replica.
	hosts []string
	log   log.Interface
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func newLeaderDuties(host *stateHost, quorum *peer.Quorum, hosts []string, l log.Interface) *leaderDuties {
	ctx, cancel := context.WithCancel(context.Background())
	s := &leaderDuties{host: host, quorum: quorum, hosts: hosts, log: l, stop: cancel}
	s.done.Go(func() {
		ticker := time.NewTicker(leaderPeriod)
		defer ticker.Stop()
		var leads time.Time
		changes := statehost.NewQuorumLogger(l)
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				status := host.replica.Status()
				changes.LogChanges(status)
				if !status.IsLeader() {
					leads = time.Time{}
					continue
				}
				if leads.IsZero() {
					leads = now
				}
				s.abandonDead(ctx, now, leads)
				s.addReplicas(ctx)
			}
		}
	})
	return s
}

// dead tells whether a process was silent since this replica leads, for
// abandonAfter at least, or a later one of its host was heard of. That one may
// begin no record, and so not take its place in the state.
func (s *leaderDuties) dead(p *wire.Process, now, leads time.Time) bool {
	incarnation, last := s.host.members.lastHeard(p.GetHost())
	if incarnation > p.GetIncarnation() {
		return true
	}
	if last.Before(leads) {
		last = leads
	}
	return now.Sub(last) >= abandonAfter
}

// abandonDead gives up each dead process.
func (s *leaderDuties) abandonDead(ctx context.Context, now, leads time.Time) {
	for _, p := range s.host.store.Processes() {
		if p.GetAbandoned() || !s.dead(p.GetProcess(), now, leads) {
			continue
		}
		command := &wire.Command{Body: &wire.Command_Abandon{Abandon: &wire.AbandonProcess{Process: p.GetProcess()}}}
		executeCtx, cancel := context.WithTimeout(ctx, leaderPeriod)
		_, err := s.quorum.Execute(executeCtx, command)
		cancel()
		if err == nil {
			event.RecordUnknown.Log(s.log, event.Fields{
				"peer": p.GetProcess().GetHost(), "incarnation": p.GetProcess().GetIncarnation(),
			})
		}
	}
}

// addReplicas adds the replica of each host that has none among the members.
// A host whose disk was lost still has its former replica there: replacing
// that is an operator's decision.
func (s *leaderDuties) addReplicas(ctx context.Context) {
	replicas := s.host.members.replicas()
	for _, host := range s.hosts {
		id, ok := replicas[host]
		if !ok || s.host.isMember(func(m raft.Member) bool { return m.Host == host }) {
			continue
		}
		addCtx, cancel := context.WithTimeout(ctx, leaderPeriod)
		err := s.host.replica.AddReplica(addCtx, raft.Member{Host: host, Replica: id})
		cancel()
		if err == nil {
			event.ReplicaAdded.Log(s.log, event.Fields{"peer": host, "replica": statehost.FormatReplicaID(id)})
		}
		return // One change at a time.
	}
}

// Close ends the duties and waits for them.
func (s *leaderDuties) Close() error {
	s.stop()
	s.done.Wait()
	return nil
}
