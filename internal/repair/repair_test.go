package repair_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/repair"
)

func voter(host string, replica uint64) raft.MemberStatus {
	return raft.MemberStatus{Member: raft.Member{Host: host, Replica: replica}, Voter: true, Active: true}
}

// suspended returns a voter that doesn't respond to the leader, though its host
// is alive.
func suspended(host string, replica uint64) raft.MemberStatus {
	m := voter(host, replica)
	m.Active = false
	return m
}

func learner(host string, replica uint64) raft.MemberStatus {
	return raft.MemberStatus{Member: raft.Member{Host: host, Replica: replica}}
}

func caughtUp(host string, replica uint64) raft.MemberStatus {
	m := learner(host, replica)
	m.Active, m.CaughtUp = true, true
	return m
}

func alive(replica uint64) repair.Host { return repair.Host{Replica: replica, Alive: true} }

func silent(replica uint64, s time.Duration) repair.Host {
	return repair.Host{Replica: replica, SilentFor: s}
}

func TestNext(t *testing.T) {
	self := raft.Member{Host: "a", Replica: 1}
	four := map[string]repair.Host{"b": alive(2), "c": alive(3), "d": alive(4), "e": alive(5)}
	withHost := func(host string, h repair.Host) map[string]repair.Host {
		hosts := map[string]repair.Host{}
		for name, other := range four {
			hosts[name] = other
		}
		hosts[host] = h
		return hosts
	}
	five := []raft.MemberStatus{voter("a", 1), voter("b", 2), voter("c", 3), voter("d", 4), voter("e", 5)}
	tests := []struct {
		name    string
		members []raft.MemberStatus
		hosts   map[string]repair.Host
		want    raft.Change
	}{
		{"complete quorum needs no change", five, four, raft.Change{}},
		{"live host is added", five[:1], map[string]repair.Host{"b": alive(2)}, raft.Change{Kind: raft.AddLearner, Member: raft.Member{Host: "b", Replica: 2}}},
		{"draining host is not added", five[:1], map[string]repair.Host{"b": {Replica: 2, Alive: true, Draining: true}}, raft.Change{}},
		{"silent host is not added", five[:1], map[string]repair.Host{"b": silent(2, time.Second)}, raft.Change{}},
		{"replica on a new disk is added first", five, withHost("b", alive(9)), raft.Change{Kind: raft.AddLearner, Member: raft.Member{Host: "b", Replica: 9}}},
		{"member with a lost disk stays until its replacement votes", append(five[:5:5], learner("b", 9)), withHost("b", alive(9)), raft.Change{}},
		{"member with a lost disk is removed once its replacement votes", append(five[:5:5], voter("b", 9)), withHost("b", alive(9)), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "b", Replica: 2}}},
		// Guards against a host with two votes, of which the next loss of its disk would take both.
		{"member with a lost disk is removed before its replacement votes", append(five[:5:5], caughtUp("b", 9)), withHost("b", alive(9)), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "b", Replica: 2}}},
		{"member with a lost disk stays if its replacement is lost too", append(five[:5:5], caughtUp("b", 9), learner("b", 10)), withHost("b", alive(10)), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "b", Replica: 9}}},
		{"silent voter of a quorum of minimum size stays", five, withHost("b", silent(2, time.Minute)), raft.Change{}},
		{"silent voter of a larger quorum is removed", append(five[:5:5], voter("f", 6)), func() map[string]repair.Host {
			hosts := withHost("b", silent(2, 11*time.Second))
			hosts["f"] = alive(6)
			return hosts
		}(), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "b", Replica: 2}}},
		// Guards against a quorum that shrinks to a voter whose disk is full.
		{"silent voter stays if another one is suspended", append(five[:4:4], suspended("e", 5), voter("f", 6)), func() map[string]repair.Host {
			hosts := withHost("b", silent(2, 11*time.Second))
			hosts["f"] = alive(6)
			return hosts
		}(), raft.Change{}},
		// Guards against a quorum of six that a replaced host and two lost disks leave without a majority.
		{"replaced voter is removed when two more failures would leave no majority", append(five[:4:4], suspended("e", 5), voter("f", 6)), func() map[string]repair.Host {
			hosts := withHost("e", repair.Host{Replica: 5, Alive: true, SilentFor: 2 * time.Second})
			hosts["f"] = alive(6)
			return hosts
		}(), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "e", Replica: 5}}},
		{"replaced voter stays while its silence may be a pause", append(five[:4:4], suspended("e", 5), voter("f", 6)), func() map[string]repair.Host {
			hosts := withHost("e", repair.Host{Replica: 5, Alive: true, SilentFor: 1900 * time.Millisecond})
			hosts["f"] = alive(6)
			return hosts
		}(), raft.Change{}},
		{"silent voter of a quorum that tolerates two more failures stays until the timeout", append(five[:4:4], suspended("e", 5), voter("f", 6), voter("g", 7)), func() map[string]repair.Host {
			hosts := withHost("e", silent(5, 9*time.Second))
			hosts["f"], hosts["g"] = alive(6), alive(7)
			return hosts
		}(), raft.Change{}},
		{"silent voter of a quorum that tolerates two more failures is removed at the timeout", append(five[:4:4], suspended("e", 5), voter("f", 6), voter("g", 7)), func() map[string]repair.Host {
			hosts := withHost("e", silent(5, 10*time.Second))
			hosts["f"], hosts["g"] = alive(6), alive(7)
			return hosts
		}(), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "e", Replica: 5}}},
		// Guards against a successor that is there before its predecessor ends, as in a planned replacement.
		{"voter that shuts down is removed once its successor votes", append(five[:5:5], voter("f", 6)), func() map[string]repair.Host {
			hosts := withHost("e", repair.Host{Replica: 5, Alive: true, Draining: true})
			hosts["f"] = alive(6)
			return hosts
		}(), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "e", Replica: 5}}},
		{"voter that shuts down stays in a quorum of minimum size", five, withHost("e", repair.Host{Replica: 5, Alive: true, Draining: true}), raft.Change{}},
		{"silent learner is removed", append(five[:5:5], learner("f", 6)), func() map[string]repair.Host {
			hosts := withHost("b", alive(2))
			hosts["f"] = silent(6, 6*time.Second)
			return hosts
		}(), raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "f", Replica: 6}}},
		{"leader's own member with a lost disk is removed", append(five[:5:5], voter("a", 8)), four, raft.Change{Kind: raft.Remove, Member: raft.Member{Host: "a", Replica: 8}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got, ok := repair.Next(repair.View{Self: self, Members: test.members, Hosts: test.hosts, Tolerated: 2})
			c.Check(got, qt.DeepEquals, test.want)
			c.Check(ok, qt.Equals, test.want != raft.Change{})
		})
	}
}
