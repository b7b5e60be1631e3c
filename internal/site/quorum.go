package site

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/event"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/repair"
	"oleanderramp/internal/replica"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/wire"
)

// quorumServer serves the replicated state to the other daemons.
type quorumServer struct {
	*stateserver.Server
	// recordsSoftware reports whether all members record software versions.
	recordsSoftware func() bool
}

// errNotSupported is returned by the methods that a site daemon does not
// support.
var errNotSupported = errors.New("not supported by a site that discovers its hosts")

// Watch is not supported: routers get the routing table by Exchange.
func (quorumServer) Watch(context.Context, *wire.WatchBundleRequest, func(*wire.BundleUpdate) error) error {
	return errNotSupported
}

// Change is not supported: the quorum repairs itself.
func (quorumServer) Change(context.Context, *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
	return nil, errNotSupported
}

// startReplica opens the data folder and starts the replica. At the first start
// of the site, one of the seeds bootstraps the quorum. In any other case, a
// replica whose data is missing or damaged waits until it is added.
func (c *control) startReplica() error {
	bootstrap := c.shouldBootstrap()
	files, err := c.storage.Open(c.settings.DataFolder)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	options := disk.Options{Host: c.settings.PeerAddress(), SegmentBytes: c.storage.SegmentBytes}
	storage, err := stateserver.OpenStorage(files, options, c.log)
	var damage *disk.DamageError
	if errors.As(err, &damage) {
		bootstrap = false
		storage, err = stateserver.ReplaceStorage(files, options, c.log)
	}
	if err != nil {
		return err
	}
	cfg := replica.Config{Join: !bootstrap, SnapshotBytes: c.storage.SnapshotBytes, Raft: raft.Config{
		TargetVoters: repair.MinVoters(c.settings.ToleratedHosts),
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}}
	if bootstrap {
		cfg.Bootstrap = []raft.Member{storage.Identity()}
	}
	c.replica, err = replica.New(cfg, storage, c.store, c.replicator)
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	return nil
}

// shouldBootstrap reports whether this daemon bootstraps the site's quorum: at
// the first start, the seed with the lowest address does.
func (c *control) shouldBootstrap() bool {
	seeds := c.settings.SeedAddresses()
	return c.settings.FirstStart && len(seeds) > 0 && slices.Min(seeds) == c.settings.PeerAddress()
}

// watchReplica waits for the replica to stop, and reports the error if it
// failed.
func (c *control) watchReplica() {
	<-c.replica.Done()
	if err := c.replica.Err(); err != nil {
		event.DaemonFailed.Log(c.log, event.Fields{"error": err.Error()})
		c.failed <- err
	}
}

// repair performs the next change to the quorum's members, if one is needed and
// this replica is the leader.
func (c *control) repair(ctx context.Context) {
	status := c.replica.Status()
	c.quorumLog.LogChanges(status)
	if !status.IsLeader() || status.ChangePending() || c.draining.Load() {
		return
	}
	change, ok := repair.Next(c.repairView(time.Now(), status))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	fields := event.Fields{"peer": change.Member.Host, "replica": stateserver.FormatReplicaID(change.Member.Replica), "term": status.Term()}
	var err error
	if change.Kind == raft.AddLearner {
		err = c.replica.AddReplica(ctx, change.Member)
	} else {
		err = c.replica.RemoveReplica(ctx, change.Member)
	}
	if err != nil {
		fields["error"] = err.Error()
		event.QuorumChangeFailed.Log(c.log, fields)
		return
	}
	if change.Kind == raft.AddLearner {
		event.ReplicaAdded.Log(c.log, fields)
	}
}

// repairView returns this replica's view of the members and their hosts.
func (c *control) repairView(now time.Time, status replica.Status) repair.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := repair.View{
		Self: c.replica.Self(), Members: status.Members(), Hosts: make(map[string]repair.Host),
		Tolerated: c.settings.ToleratedHosts,
	}
	for _, h := range c.hosts.Alive(now) {
		silence, _ := c.hosts.SinceContact(now, h.Address)
		v.Hosts[h.Address] = repair.Host{Replica: h.Replica, Alive: true, Draining: h.Draining, SilentFor: silence}
	}
	for _, m := range status.Members() {
		if _, alive := v.Hosts[m.Member.Host]; alive {
			continue
		}
		silence, heard := c.hosts.SinceContact(now, m.Member.Host)
		if !heard {
			silence = now.Sub(c.started)
		}
		v.Hosts[m.Member.Host] = repair.Host{SilentFor: silence}
	}
	return v
}

// voters returns the number of voters, and whether this replica is one.
func (c *control) voters() (count int, votes bool) {
	for _, m := range c.replica.Status().Members() {
		if m.Voter {
			count++
			votes = votes || m.Member == c.replica.Self()
		}
	}
	return count, votes
}

// Replace puts a routing table in force. It refuses one that no daemon could
// decompress.
func (c *control) Replace(ctx context.Context, version uint64, document []byte) error {
	if err := checkSize(document); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	if err := c.waitForVoters(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	command := &wire.Command{Body: &wire.Command_ReplaceRouting{ReplaceRouting: &wire.ReplaceRouting{
		Version: version, Document: compress(document),
	}}}
	result, err := c.quorum.Execute(ctx, command)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	if refused := result.GetError(); refused != nil {
		return fmt.Errorf("%s: %s", refused.GetCode(), refused.GetMessage())
	}
	return nil
}

// waitForVoters waits until the quorum has enough voters that a majority of
// them is larger than the number of hosts that may be lost at once, or until
// the context ends.
func (c *control) waitForVoters(ctx context.Context) error {
	ticker := time.NewTicker(voterPollPeriod)
	defer ticker.Stop()
	for {
		voters, _ := c.voters()
		if voters >= repair.MinVoters(c.settings.ToleratedHosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the quorum has %d of %d required voters", voters, repair.MinVoters(c.settings.ToleratedHosts))
		case <-ticker.C:
		}
	}
}

// errNoRouting is returned while no routing table has been put in force.
var errNoRouting = errors.New("there is no routing table yet")

// Routing returns the routing table in force as the operator sent it.
func (c *control) Routing(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	response, err := c.quorum.Query(ctx, &wire.QueryRequest{Body: &wire.QueryRequest_Routing{Routing: &wire.RoutingQuery{}}})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	if response.GetRouting() == nil {
		return nil, errNoRouting
	}
	return decompress(response.GetRouting().GetDocument())
}
