package raft_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

// FuzzStep passes arbitrary messages from the wire to followers and a leader.
// They may be rejected, but must not cause a panic.
func FuzzStep(f *testing.F) {
	s := newDirectedSimulation("", 3, 3)
	s.messageBytes = 100
	a, b := s.peers[0], s.peers[1]
	s.elect(f, a, b)
	for range 3 {
		a.node.Tick(s.now.Add(heartbeatInterval))
		s.processReady(a, crashNever)
		batch := &wire.RaftBatch{}
		for _, m := range s.network {
			batch.Messages = append(batch.Messages, m.Wire())
		}
		seed, err := proto.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
		s.runConnected(1, a, b)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		batch := &wire.RaftBatch{}
		if proto.Unmarshal(content, batch) != nil {
			return
		}
		s := newDirectedSimulation("", 3, 3)
		s.elect(t, s.peers[0], s.peers[1])
		for _, w := range batch.GetMessages() {
			m, err := raft.MessageFromWire(w)
			if err != nil {
				continue
			}
			for _, p := range s.peers {
				m.To = p.member
				p.node.Step(s.now, m)
				s.processReady(p, crashNever)
			}
		}
		s.now = s.now.Add(10 * electionTimeout)
		for _, p := range s.peers {
			p.node.Tick(s.now)
			s.processReady(p, crashNever)
		}
	})
}
