package site

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/replica"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/state"
	"oleanderramp/internal/statehost"
	"oleanderramp/internal/wire"
)

const (
	// siblingPeriod is the time between two calls to each other control host.
	siblingPeriod = 200 * time.Millisecond
	// repairPeriod is the time between two looks at the quorum's members.
	repairPeriod = 100 * time.Millisecond
	// changeTimeout bounds one change of the members.
	changeTimeout = time.Second
	// reportHolds is how long a router's load counts after its last report.
	reportHolds = time.Second
	// siblingHolds is the same for the sum of another control host's routers.
	siblingHolds = 2 * time.Second
	// replaceTimeout bounds an order, readTimeout a confirmed read.
	replaceTimeout = 4 * time.Second
	readTimeout    = 1500 * time.Millisecond
	// growPoll is the time between two looks at a quorum that must grow
	// before it may take orders.
	growPoll = 50 * time.Millisecond
)

// control is what a daemon with the role replica runs: its part of the
// quorum, and its directory of endpoints and of the routers' load.
type control struct {
	settings *settings.Site
	adapter  Adapter
	log      log.Interface
	self     *wire.Process
	started  time.Time
	dialer   *peer.Dialer

	store      *state.Store
	replica    *replica.Replica
	replicator *peer.Replicator
	host       *quorumHost
	// changes is for the goroutine that repairs the quorum.
	changes *statehost.QuorumLogger
	quorum  *peer.Quorum
	// failed delivers the error that stopped the replica by itself.
	failed   chan error
	draining atomic.Bool
	stop     context.CancelFunc
	done     sync.WaitGroup

	// mu guards what follows.
	mu        sync.Mutex
	hosts     *discovery.Table
	directory *directory.Directory
	marks     map[string]mark
	// cached is what endpoints have read for the routers.
	cached *prefixes.Index
	// crashers are what routers have found of late, with the time at which it
	// came in.
	crashers []crasherNews
	// calling holds the control hosts that a call is under way to.
	calling map[string]bool
	// reports holds the load of the routers that report here, and siblings the
	// sums of the other control hosts.
	reports  map[string]report
	siblings map[string]report
}

func newControl(d *Daemon) (*control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{
		settings: d.settings, adapter: d.adapter, log: d.log, self: d.self, started: time.Now(), dialer: d.dialer, stop: cancel,
		store: state.NewStore(state.Limits{}), replicator: peer.NewReplicator(d.dialer), failed: make(chan error, 1), changes: statehost.NewQuorumLogger(d.log),
		hosts: discovery.New(d.settings.PeerAddress(), d.settings.SeedAddresses()), directory: directory.New(),
		marks: make(map[string]mark), calling: make(map[string]bool), cached: prefixes.New(),
		reports: make(map[string]report), siblings: make(map[string]report),
	}
	if err := c.startReplica(); err != nil {
		return nil, errors.Join(err, c.replicator.Close())
	}
	c.restoreEndpoints()
	c.host = &quorumHost{statehost.New(c.replica, c.store)}
	c.quorum = peer.NewFoundQuorum(d.dialer, d.settings.PeerAddress(), c.others, c.host)
	c.done.Go(func() { c.watchReplica() })
	c.done.Go(func() { every(ctx, siblingPeriod, c.callSiblings) })
	c.done.Go(func() { every(ctx, repairPeriod, c.repair) })
	c.done.Go(func() { every(ctx, savePeriod, c.saver()) })
	return c, nil
}

// others returns the addresses of the other control hosts.
func (c *control) others() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts.Targets(time.Now())
}

func (c *control) setSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts.SetSeeds(seeds)
}

func (c *control) drain() { c.draining.Store(true) }

// Announce takes what an endpoint says of itself.
func (c *control) Announce(now time.Time, entry directory.Entry) directory.Change {
	entry.Heard, entry.Region = now, c.settings.RegionOf(entry.Zone)
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.directory.Announce(entry)
	logChange(c.log, change, entry, "announcement")
	return change
}

// Leave takes that an endpoint leaves.
func (c *control) Leave(now time.Time, id string, born time.Time) directory.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.directory.Leave(now, id, born)
	logChange(c.log, change, directory.Entry{ID: id}, "announcement")
	return change
}

// Close stops the replica and waits for it.
func (c *control) Close() error {
	c.stop()
	err := c.replica.Close()
	c.done.Wait()
	return errors.Join(err, c.replicator.Close())
}
