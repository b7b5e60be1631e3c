package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/replica"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/state"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/wire"
)

// replicaRole holds the components of a daemon with the role replica.
type replicaRole struct {
	replica    *replica.Replica
	server     *stateServer
	replicator *peer.Replicator
	tasks      *leaderTasks
	// failed delivers the error with which the replica stopped by itself.
	failed chan error
	done   sync.WaitGroup
}

// bootstrapCheckTimeout limits the status request to one other replica.
const bootstrapCheckTimeout = 500 * time.Millisecond

// checkBootstrap returns an error if the daemon is to start a new quorum while
// another replica host reports an existing one. Hosts that do not answer are
// ignored.
func checkBootstrap(s *settings.Settings, options Options, storage *disk.Store, dialer *peer.Dialer) error {
	if !options.Bootstrap || storage.Load().HardState != (raft.HardState{}) {
		return nil
	}
	for _, host := range replicaHosts(s) {
		if host == s.Host {
			continue
		}
		if leader := queryLeader(dialer, host); leader != "" {
			return fmt.Errorf("bootstrap refused: %s knows a quorum led by %s; start without --bootstrap, then run \"oleanderramp replica add %s\"",
				host, leader, s.Host)
		}
	}
	return nil
}

// queryLeader returns the leader known to the replica on the host, or "".
func queryLeader(dialer *peer.Dialer, host string) string {
	conn, err := dialer.Conn(host)
	if err != nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapCheckTimeout)
	defer cancel()
	response, err := wire.NewQuorumClient(conn).Status(ctx, &wire.QuorumStatusRequest{})
	if err != nil {
		return ""
	}
	if response.GetNotLeader() != nil {
		return response.GetNotLeader().GetLeader()
	}
	return response.GetLeader()
}

// newReplicaRole opens the data folder and starts the replica.
func newReplicaRole(s *settings.Settings, options Options, m *members, dialer *peer.Dialer, l log.Interface) (*replicaRole, error) {
	files, err := disk.OpenFolder(s.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	storage, err := stateserver.OpenStorage(files, disk.Options{Host: s.Host}, l)
	if err != nil {
		return nil, err
	}
	if err := checkBootstrap(s, options, storage, dialer); err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	cfg := replica.Config{Join: !options.Bootstrap, Raft: raft.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}}
	if options.Bootstrap {
		cfg.Bootstrap = []raft.Member{storage.Identity()}
	}
	store := state.NewStore(state.Limits{MaxAnswerBytes: int(s.Limits.MaxSavedAnswerBytes)})
	r := &replicaRole{replicator: peer.NewReplicator(dialer), failed: make(chan error, 1)}
	r.replica, err = replica.New(cfg, storage, store, r.replicator)
	if err != nil {
		return nil, errors.Join(err, storage.Close(), r.replicator.Close())
	}
	m.replica.Store(storage.Identity().Replica)
	r.server = &stateServer{Server: stateserver.New(r.replica, store), replica: r.replica, store: store, members: m}
	r.done.Go(func() {
		<-r.replica.Done()
		if err := r.replica.Err(); err != nil {
			event.DaemonFailed.Log(l, event.Fields{"error": err.Error()})
			r.failed <- err
		}
	})
	return r, nil
}

// startLeaderTasks starts the confirmer, and the tasks that run while the
// replica leads.
func (r *replicaRole) startLeaderTasks(quorum *peer.Quorum, hosts []string, l log.Interface) {
	r.server.confirmer = newConfirmer(&followerBarrier{quorum: quorum, store: r.server.store})
	r.tasks = newLeaderTasks(r.server, quorum, hosts, l)
}

// Close stops all components of the role and waits for them.
func (r *replicaRole) Close() error {
	var errs []error
	if r.tasks != nil {
		errs = append(errs, r.tasks.Close())
	}
	if r.server.confirmer != nil {
		errs = append(errs, r.server.confirmer.Close())
	}
	errs = append(errs, r.replica.Close(), r.replicator.Close())
	r.done.Wait()
	return errors.Join(errs...)
}
