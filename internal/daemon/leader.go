package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/wire"
)

// Timing of the leader's tasks.
const (
	leaderTaskPeriod = time.Second
	// abandonAfter is how long no probe of a process may arrive before the
	// leader abandons it: the outcome of its unfinished records becomes unknown.
	abandonAfter = 15 * time.Second
)

// leaderTasks runs the periodic tasks of the leader while this daemon's replica
// leads: it abandons dead processes, whose unfinished records then become
// unknown, and adds the first replica of each replica host to the quorum.
type leaderTasks struct {
	server *stateServer
	quorum *peer.Quorum
	// hosts are the hosts with the role replica.
	hosts []string
	log   log.Interface
	stop  context.CancelFunc
	done  sync.WaitGroup
}

func newLeaderTasks(server *stateServer, quorum *peer.Quorum, hosts []string, l log.Interface) *leaderTasks {
	ctx, cancel := context.WithCancel(context.Background())
	s := &leaderTasks{server: server, quorum: quorum, hosts: hosts, log: l, stop: cancel}
	s.done.Go(func() {
		ticker := time.NewTicker(leaderTaskPeriod)
		defer ticker.Stop()
		var leadingSince time.Time
		changes := stateserver.NewQuorumLogger(l)
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				status := server.replica.Status()
				changes.LogChanges(status)
				if !status.IsLeader() {
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

// isDead reports whether a process counts as dead: either this replica has led
// for at least abandonAfter and received no probe of the process in that time,
// or a later process of the same host has sent a probe. The later process
// replaces the former one in the state only when it begins a record, which may
// never happen.
func (s *leaderTasks) isDead(p *wire.Process, now, leadingSince time.Time) bool {
	incarnation, last := s.server.members.lastHeard(p.GetHost())
	if incarnation > p.GetIncarnation() {
		return true
	}
	if last.Before(leadingSince) {
		last = leadingSince
	}
	return now.Sub(last) >= abandonAfter
}

// abandonDeadProcesses abandons each dead process in the replicated state.
func (s *leaderTasks) abandonDeadProcesses(ctx context.Context, now, leadingSince time.Time) {
	for _, p := range s.server.store.Processes() {
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

// addReplicas adds the replica of a host that has no member in the quorum. A
// host that lost its disk still has its former replica as a member; replacing
// that one is left to an operator.
func (s *leaderTasks) addReplicas(ctx context.Context) {
	replicas := s.server.members.replicas()
	for _, host := range s.hosts {
		id, ok := replicas[host]
		if !ok || s.server.isMember(func(m raft.Member) bool { return m.Host == host }) {
			continue
		}
		addCtx, cancel := context.WithTimeout(ctx, leaderTaskPeriod)
		err := s.server.replica.AddReplica(addCtx, raft.Member{Host: host, Replica: id})
		cancel()
		if err == nil {
			event.ReplicaAdded.Log(s.log, event.Fields{"peer": host, "replica": stateserver.FormatReplicaID(id)})
		}
		return // One change at a time.
	}
}

// Close stops the tasks and waits for the goroutine.
func (s *leaderTasks) Close() error {
	s.stop()
	s.done.Wait()
	return nil
}
