package site

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/replica"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/speeds"
	"oleanderramp/internal/state"
	"oleanderramp/internal/stateserver"
	"oleanderramp/internal/streams"
	"oleanderramp/internal/wire"
)

const (
	// peerSyncPeriod is the interval between two calls to each other control
	// host.
	peerSyncPeriod = 200 * time.Millisecond
	// repairPeriod is the interval between two checks of the quorum's members.
	repairPeriod = 100 * time.Millisecond
	// memberChangeTimeout bounds one membership change.
	memberChangeTimeout = time.Second
	// replaceTimeout bounds a replacement of the routing table, readTimeout a
	// confirmed read of it.
	replaceTimeout = 4 * time.Second
	readTimeout    = 1500 * time.Millisecond
	// voterPollPeriod is the interval between two checks of a quorum that does
	// not yet have enough voters to accept a routing table.
	voterPollPeriod = 50 * time.Millisecond
)

// control is the part of a daemon with the role replica: its replica of the
// quorum, the directory of endpoints and the load of the routers.
type control struct {
	settings *settings.Site
	adapter  Adapter
	log      log.Interface
	self     *wire.Process
	started  time.Time
	dialer   *peer.Dialer
	storage  Storage

	store      *state.Store
	replica    *replica.Replica
	replicator *peer.Replicator
	server     *quorumServer
	// quorumLog logs changes of the quorum. Only the goroutine that repairs the
	// quorum uses it.
	quorumLog *stateserver.QuorumLogger
	quorum    *peer.Quorum
	// commit commits a command of this host through the quorum.
	commit func(ctx context.Context, command *wire.Command) error
	// tables decides whether a router without a routing table gets that of this host.
	tables *tableChecks
	// saves saves the endpoints.
	saves *onDemand
	// records records the software versions of newcomers.
	records *onDemand
	// absences is nil unless this host leads. Only the goroutine that maintains the
	// recorded software versions uses it.
	absences absences
	// firstSync is closed once another control host has sent its endpoints.
	firstSync  chan struct{}
	markSynced func()
	// failed reports the error with which the replica has failed.
	failed   chan error
	draining atomic.Bool
	stop     context.CancelFunc
	done     sync.WaitGroup

	// mu guards the fields below.
	mu        sync.Mutex
	hosts     *discovery.Table
	directory *directory.Directory
	cursors   map[string]syncCursor
	// cached is the index of the prompt parts that endpoints have processed for
	// the routers.
	cached *prefixes.Index
	// crashers holds the crashing requests that routers found recently, with
	// the time of each report.
	crashers []crasherReport
	// parts holds the evidence about prompt parts that may crash endpoints.
	parts *quarantine.Parts
	// streams holds the origins of the streams that routers report.
	streams *streams.Index
	// speeds holds the sums of the endpoint speeds that routers measure.
	speeds *speeds.Index
	// inFlight holds the control hosts to which a call is in progress.
	inFlight map[string]bool
	// loads holds the load that routers and control hosts report.
	loads *loadSums
	// capabilities holds those of the other control hosts, by address.
	capabilities map[string]capabilities
	// newcomers holds the endpoints that wait for their software version to be recorded.
	// None of them is in the directory.
	newcomers newcomers
	// firstChoices holds the endpoints that routers choose first, by region.
	firstChoices map[string]regionEndpoints
	// roster holds the site's routers.
	roster *roster
}

func newControl(d *Daemon) (*control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{
		settings: d.settings, adapter: d.adapter, log: d.log, self: d.self, started: time.Now(), dialer: d.dialer, storage: d.storage, stop: cancel,
		store: state.NewStore(state.Limits{}), replicator: peer.NewReplicator(d.dialer), failed: make(chan error, 1), quorumLog: stateserver.NewQuorumLogger(d.log),
		hosts: discovery.New(d.settings.PeerAddress(), d.settings.SeedAddresses()), directory: directory.New(),
		cursors: make(map[string]syncCursor), inFlight: make(map[string]bool), cached: prefixes.New(),
		loads: newLoadSums(), streams: streams.New(), speeds: speeds.NewIndex(), firstChoices: make(map[string]regionEndpoints), capabilities: make(map[string]capabilities),
		parts:  edge.NewParts(0), // Control hosts send no requests.
		tables: newTableChecks(), roster: newRoster(time.Now(), d.settings.LimitsColdEndpoints()),
		saves: newOnDemand(), records: newOnDemand(), newcomers: make(newcomers), firstSync: make(chan struct{}),
	}
	c.markSynced = sync.OnceFunc(func() { close(c.firstSync) })
	if err := c.startReplica(); err != nil {
		return nil, errors.Join(err, c.replicator.Close())
	}
	c.server = &quorumServer{Server: stateserver.New(c.replica, c.store), recordsSoftware: c.recordsSoftware}
	c.quorum = peer.NewDynamicQuorum(d.dialer, d.settings.PeerAddress(), c.otherHosts, c.server)
	c.commit = c.execute
	c.done.Go(func() { c.watchReplica() })
	c.done.Go(func() { c.tables.run(ctx, c.checkTable) })
	c.done.Go(func() { runPeriodically(ctx, peerSyncPeriod, c.syncPeers) })
	c.done.Go(func() { runPeriodically(ctx, repairPeriod, c.repair) })
	c.done.Go(func() { c.records.run(ctx, recordRetryPeriod, c.recordNewcomers) })
	c.done.Go(func() { runPeriodically(ctx, softwarePeriod, c.maintainSoftware) })
	c.done.Go(func() { c.followDepartures(ctx) })
	c.done.Go(func() {
		c.restoreEndpoints(ctx)
		c.saves.run(ctx, savePeriod, c.saver())
	})
	return c, nil
}

// otherHosts returns the addresses of the other control hosts.
func (c *control) otherHosts() []string {
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

// Announce records an endpoint's announcement. An endpoint with a new software version is
// in the directory only when that is recorded. A departure is confirmed by the quorum.
func (c *control) Announce(now time.Time, entry directory.Entry) (directory.Change, error) {
	entry.LastSeen, entry.Region = now, c.settings.RegionOf(entry.Zone)
	if err := entry.Validate(); err != nil {
		return directory.Stale, fmt.Errorf("announcement: %w", err)
	}
	c.mu.Lock()
	if c.awaitsRecord(entry) {
		c.newcomers.add(entry)
		c.mu.Unlock()
		c.records.want()
		return directory.Stale, nil
	}
	c.newcomers.remove(entry.ID, entry.Started)
	change := c.directory.Announce(entry)
	c.mu.Unlock()
	logEndpointChange(c.log, change, entry, "announcement")
	if entry.Leaving {
		return change, c.confirmDeparture(entry.ID, entry.Started)
	}
	return change, nil
}

// Leave records that an endpoint leaves.
func (c *control) Leave(now time.Time, id string, started time.Time) (directory.Change, error) {
	entry := directory.Entry{ID: id, Started: started, Leaving: true, LastSeen: now}
	if err := entry.Validate(); err != nil {
		return directory.Stale, fmt.Errorf("departure: %w", err)
	}
	c.mu.Lock()
	if started.IsZero() {
		started = c.directory.Started(id)
	}
	c.newcomers.remove(id, cmp.Or(started, now))
	change := c.directory.Leave(now, id, started)
	c.mu.Unlock()
	logEndpointChange(c.log, change, directory.Entry{ID: id}, "announcement")
	return change, c.confirmDeparture(id, started)
}

// Close stops the replica and waits for it.
func (c *control) Close() error {
	c.stop()
	err := c.replica.Close()
	c.done.Wait()
	return errors.Join(err, c.replicator.Close())
}
