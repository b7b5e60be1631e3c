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
	leaderTaskPeriod = time.Second
	// abandonAfter is how long a process may be silent before the leader
	// gives its unfinished records up as unknown.
	abandonAfter = 15 * time.Second
)

// leaderTasks does the leader's duties while this daemon's replica leads: it gives
// up the unfinished records of dead processes, and adds the first replica of
// each replica host to the quorum.
type leaderTasks struct {
	host   *stateHost
	quorum *peer.Quorum
	// hosts may have a replica.
	hosts []string
	log   log.Interface
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func newLeaderTasks(host *stateHost, quorum *peer.Quorum, hosts []string, l log.Interface) *leaderTasks {
	ctx, cancel := context.WithCancel(context.Background())
	s := &leaderTasks{host: host, quorum: quorum, hosts: hosts, log: l, stop: cancel}
	s.done.Go(func() {
		ticker := time.NewTicker(leaderTaskPeriod)
		defer ticker.Stop()
		var leadingSince time.Time
		changes := statehost.NewQuorumLog(l)
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				status := host.replica.Status()
				changes.Note(status)
				if !status.Leads() {
					leadingSince = time.Time{}
					continue
				}
				if leadingSince.IsZero() {
					leadingSince = now
				}
				s.abandonDeadProcesses(ctx, now, leadingSince)
				s.addReplicas(ctx)
			}
		}
	})
	return s
}

// isDead tells whether a process was silent since this replica leads, for
// abandonAfter at least, or a later one of its host was heard of. That one may
// begin no record, and so not take its place in the state.
func (s *leaderTasks) isDead(p *wire.Process, now, leadingSince time.Time) bool {
	incarnation, last := s.host.members.lastHeard(p.GetHost())
	if incarnation > p.GetIncarnation() {
		return true
	}
	if last.Before(leadingSince) {
		last = leadingSince
	}
	return now.Sub(last) >= abandonAfter
}

// abandonDeadProcesses gives up each dead process.
func (s *leaderTasks) abandonDeadProcesses(ctx context.Context, now, leadingSince time.Time) {
	for _, p := range s.host.store.Processes() {
		if p.GetAbandoned() || !s.isDead(p.GetProcess(), now, leadingSince) {
			continue
		}
		command := &wire.Command{Body: &wire.Command_Abandon{Abandon: &wire.AbandonProcess{Process: p.GetProcess()}}}
		executeCtx, cancel := context.WithTimeout(ctx, leaderTaskPeriod)
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
func (s *leaderTasks) addReplicas(ctx context.Context) {
	replicas := s.host.members.replicas()
	for _, host := range s.hosts {
		id, ok := replicas[host]
		if !ok || s.host.isMember(func(m raft.Member) bool { return m.Host == host }) {
			continue
		}
		addCtx, cancel := context.WithTimeout(ctx, leaderTaskPeriod)
		err := s.host.replica.AddReplica(addCtx, raft.Member{Host: host, Replica: id})
		cancel()
		if err == nil {
			event.ReplicaAdded.Log(s.log, event.Fields{"peer": host, "replica": statehost.ReplicaName(id)})
		}
		return // One change at a time.
	}
}

// Close ends the duties and waits for them.
func (s *leaderTasks) Close() error {
	s.stop()
	s.done.Wait()
	return nil
}
