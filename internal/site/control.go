package site

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/disk"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/event"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/repair"
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
	quorum     *peer.Quorum
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
	// leader and voting are as last logged.
	leader raft.Member
	voting map[raft.Member]bool
}

// crasherNews is a crasher with its time.
type crasherNews struct {
	crasher edge.Crasher
	at      time.Time
}

// crasherNewsFor is how long a control host passes a crasher on.
const crasherNewsFor = 3 * time.Second

// report is a load with its time.
type report struct {
	load *wire.LoadReport
	at   time.Time
}

// quorumHost serves the replicated state to the other control hosts.
type quorumHost struct{ *statehost.Host }

// errNotServed answers calls that a site has no use for.
var errNotServed = errors.New("not served at a site that finds its hosts by itself")

// Watch is not served: routers get the routing table by Exchange.
func (quorumHost) Watch(context.Context, *wire.WatchBundleRequest, func(*wire.BundleUpdate) error) error {
	return errNotServed
}

// Change is not served: the quorum repairs itself.
func (quorumHost) Change(context.Context, *wire.QuorumChangeRequest) (*wire.QuorumChangeResponse, error) {
	return nil, errNotServed
}

func newControl(d *Daemon) (*control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{
		settings: d.settings, adapter: d.adapter, log: d.log, self: d.self, started: time.Now(), dialer: d.dialer, stop: cancel,
		store: state.NewStore(state.Limits{}), replicator: peer.NewReplicator(d.dialer), failed: make(chan error, 1),
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
	c.done.Go(func() { c.every(ctx, siblingPeriod, c.callSiblings) })
	c.done.Go(func() { c.every(ctx, repairPeriod, c.repair) })
	c.done.Go(func() { c.every(ctx, savePeriod, c.saver()) })
	return c, nil
}

func (c *control) every(ctx context.Context, period time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work(ctx)
		}
	}
}

// startReplica opens the data folder and starts the replica. At the first
// start of the site, one of the seeds begins the quorum; at any other, a
// replica without data waits until it is added.
func (c *control) startReplica() error {
	folder, err := disk.OpenFolder(c.settings.DataFolder)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	storage, err := disk.Open(folder, disk.Options{Host: c.settings.PeerAddress(), NewReplica: rand.Uint64() | 1})
	var damage *disk.DamageError
	if errors.As(err, &damage) {
		event.LogDamaged.Log(c.log, event.Fields{"error": err.Error()})
	}
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	cfg := replica.Config{Join: !c.begins(), Raft: raft.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}}
	if c.begins() {
		cfg.Bootstrap = []raft.Member{storage.Identity()}
	}
	c.replica, err = replica.New(cfg, storage, c.store, c.replicator)
	if err != nil {
		return errors.Join(err, storage.Close())
	}
	return nil
}

// begins tells whether this daemon begins the site's quorum.
func (c *control) begins() bool {
	seeds := c.settings.SeedAddresses()
	return c.settings.FirstStart && len(seeds) > 0 && slices.Min(seeds) == c.settings.PeerAddress()
}

// watchReplica waits for the replica to stop.
func (c *control) watchReplica() {
	<-c.replica.Done()
	if err := c.replica.Err(); err != nil {
		event.DaemonFailed.Log(c.log, event.Fields{"error": err.Error()})
		c.failed <- err
	}
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

// describe returns what this control host says of itself.
func (c *control) describe() *wire.ControlHost {
	return &wire.ControlHost{
		Address: c.settings.PeerAddress(), Incarnation: c.self.GetIncarnation(), Region: c.settings.Region, Zone: c.settings.Zone,
		Replica: c.replica.Self().Replica, Draining: c.draining.Load(),
	}
}

// Exchange answers another daemon.
func (c *control) Exchange(now time.Time, request *wire.SyncRequest) *wire.SyncResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	sender := request.GetSender().GetHost()
	if request.GetControl() != nil {
		c.heard(now, request.GetControl(), request.GetHosts())
		c.siblings[sender] = report{load: request.GetLoad(), at: now}
	} else if request.GetLoad() != nil {
		c.reports[sender] = report{load: request.GetLoad(), at: now}
	}
	response := &wire.SyncResponse{
		Responder: c.describe(), Hosts: hostsToWire(c.hosts.Alive(now)),
		DirectoryEpoch: c.self.GetIncarnation(), DirectoryRevision: c.directory.Revision(),
	}
	c.takeCached(now, request.GetCached())
	if request.GetControl() == nil {
		c.takeCrashers(now, request.GetCrashers())
	}
	response.Crashers = crashersToWire(now, c.recentCrashers(now))
	since, cachedSince := request.GetDirectoryRevision(), request.GetCacheRevision()
	if request.GetDirectoryEpoch() != c.self.GetIncarnation() {
		since, cachedSince = 0, 0
	}
	response.Endpoints = entriesToWire(now, c.directory.Since(since))
	if request.GetLoad() != nil {
		response.CacheRevision, response.Cached = c.cached.Revision(), cachedToWire(now, c.cached.Since(cachedSince))
	}
	if routing := c.store.Routing(); routing.GetVersion() > 0 {
		response.RoutingVersion = routing.GetVersion()
		if request.GetControl() == nil && routing.GetVersion() > request.GetRoutingVersion() {
			response.RoutingDocument = routing.GetDocument()
		}
	}
	if request.GetLoad() != nil && request.GetControl() == nil {
		response.Load = c.othersLoad(now, sender)
	}
	return response
}

// takeCached takes what endpoints have read. c.mu is held.
func (c *control) takeCached(now time.Time, list []*wire.CachedPart) {
	for _, e := range cachedFromWire(now, list) {
		c.cached.Merge(now, e)
	}
}

// takeCrashers takes what a router has found, and what another control host
// passes on. c.mu is held.
func (c *control) takeCrashers(now time.Time, list []*wire.Crasher) {
	for _, crasher := range crashersFromWire(now, list) {
		known := slices.ContainsFunc(c.crashers, func(n crasherNews) bool {
			return n.crasher.Digest == crasher.Digest && n.crasher.Quarantined == crasher.Quarantined
		})
		if !known {
			c.crashers = append(c.crashers, crasherNews{crasher: crasher, at: now})
		}
	}
}

// recentCrashers returns what came in of late. c.mu is held.
func (c *control) recentCrashers(now time.Time) []edge.Crasher {
	var list []edge.Crasher
	c.crashers = slices.DeleteFunc(c.crashers, func(n crasherNews) bool { return now.Sub(n.at) >= 2*crasherNewsFor })
	for _, n := range c.crashers {
		if now.Sub(n.at) < crasherNewsFor {
			list = append(list, n.crasher)
		}
	}
	return list
}

// othersLoad sums the load of all routers but one. c.mu is held.
func (c *control) othersLoad(now time.Time, router string) *wire.LoadReport {
	var list []*wire.LoadReport
	for name, r := range c.reports {
		if name != router && now.Sub(r.at) < reportHolds {
			list = append(list, r.load)
		}
	}
	for _, r := range c.siblings {
		if now.Sub(r.at) < siblingHolds {
			list = append(list, r.load)
		}
	}
	return sumReports(list)
}

// ownLoad sums the load of the routers that report here, and forgets those
// that do no more. c.mu is held.
func (c *control) ownLoad(now time.Time) *wire.LoadReport {
	var list []*wire.LoadReport
	for name, r := range c.reports {
		if now.Sub(r.at) >= reportHolds {
			delete(c.reports, name)
			continue
		}
		list = append(list, r.load)
	}
	return sumReports(list)
}

// heard takes a sign of life of another control host. c.mu is held.
func (c *control) heard(now time.Time, host *wire.ControlHost, hosts []*wire.ControlHost) {
	if c.hosts.Heard(now, hostFromWire(host)) {
		event.PeerUp.Log(c.log, event.Fields{"peer": host.GetAddress(), "incarnation": host.GetIncarnation()})
	}
	for _, h := range hosts {
		c.hosts.Mentioned(now, hostFromWire(h))
	}
}

// callSiblings calls each other control host that no call is under way to.
func (c *control) callSiblings(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.hosts.Targets(now) {
		if c.calling[address] {
			continue
		}
		c.calling[address] = true
		at := c.marks[address]
		request := &wire.SyncRequest{
			Sender: c.self, Control: c.describe(), Hosts: hostsToWire(c.hosts.Alive(now)), Load: c.ownLoad(now),
			DirectoryEpoch: at.epoch, DirectoryRevision: at.revision, CacheRevision: at.cache,
		}
		c.done.Go(func() { c.callSibling(ctx, address, request) })
	}
}

func (c *control) callSibling(ctx context.Context, address string, request *wire.SyncRequest) {
	response, err := peer.Exchange(ctx, c.dialer, address, exchangeTimeout, request)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calling, address)
	if err != nil {
		return
	}
	c.heard(now, response.GetResponder(), response.GetHosts())
	for _, e := range response.GetEndpoints() {
		entry := entryFromWire(now, e)
		logChange(c.log, c.directory.Merge(entry), entry, address)
	}
	c.marks[address] = mark{
		epoch: response.GetDirectoryEpoch(), revision: response.GetDirectoryRevision(), cache: response.GetCacheRevision(),
	}
	c.takeCached(now, response.GetCached())
	c.takeCrashers(now, response.GetCrashers())
	c.directory.Forget(now)
	c.cached.Forget(now)
}

// repair makes the next change of the quorum's members, if this replica leads.
func (c *control) repair(ctx context.Context) {
	status := c.replica.Status()
	c.logQuorum(status)
	if !status.Leads() || status.ChangePending() || c.draining.Load() {
		return
	}
	change, ok := repair.Next(c.view(time.Now(), status))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	fields := event.Fields{"peer": change.Member.Host, "replica": fmt.Sprintf("%016x", change.Member.Replica), "term": status.Term()}
	var err error
	if change.Kind == raft.AddLearner {
		err = c.replica.AddReplica(ctx, change.Member)
	} else {
		err = c.replica.RemoveReplica(ctx, change.Member)
	}
	if err != nil {
		fields["error"] = err.Error()
		event.RepairFailed.Log(c.log, fields)
		return
	}
	if change.Kind == raft.AddLearner {
		event.ReplicaAdded.Log(c.log, fields)
	}
}

// view returns what this replica knows of the members and their hosts.
func (c *control) view(now time.Time, status replica.Status) repair.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := repair.View{
		Self: c.replica.Self(), Members: status.Members(), Hosts: make(map[string]repair.Host),
		Target: repair.Target(c.settings.ToleratedHosts),
	}
	for _, h := range c.hosts.Alive(now) {
		v.Hosts[h.Address] = repair.Host{Replica: h.Replica, Alive: true, Draining: h.Draining}
	}
	for _, m := range status.Members() {
		if _, alive := v.Hosts[m.Member.Host]; alive {
			continue
		}
		silence, heard := c.hosts.Silence(now, m.Member.Host)
		if !heard {
			silence = now.Sub(c.started)
		}
		v.Hosts[m.Member.Host] = repair.Host{Silence: silence}
	}
	return v
}

// voters counts the voters, and tells whether this replica is one.
func (c *control) voters() (count int, votes bool) {
	for _, m := range c.replica.Status().Members() {
		if m.Voter {
			count++
			votes = votes || m.Member == c.replica.Self()
		}
	}
	return count, votes
}

// logQuorum logs a change of the leader and of the voters.
func (c *control) logQuorum(status replica.Status) {
	if leader := status.Leader(); leader != c.leader {
		c.leader = leader
		if leader.IsZero() {
			event.QuorumLost.Log(c.log, event.Fields{"term": status.Term()})
		} else {
			event.LeaderChanged.Log(c.log, event.Fields{"leader": leader.Host, "term": status.Term()})
		}
	}
	voters := make(map[raft.Member]bool)
	for _, m := range status.Members() {
		if m.Voter {
			voters[m.Member] = true
		}
	}
	for m := range voters {
		if !c.voting[m] {
			event.ReplicaCaughtUp.Log(c.log, event.Fields{"peer": m.Host, "replica": fmt.Sprintf("%016x", m.Replica)})
		}
	}
	for m := range c.voting {
		if !voters[m] {
			event.ReplicaRemoved.Log(c.log, event.Fields{"peer": m.Host, "replica": fmt.Sprintf("%016x", m.Replica)})
		}
	}
	c.voting = voters
}

// Announce takes what an endpoint says of itself.
func (c *control) Announce(now time.Time, entry directory.Entry) directory.Change {
	entry.Heard, entry.Region = now, c.settings.RegionOf(entry.Zone)
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.directory.Merge(entry)
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

// Replace puts a routing table in force.
func (c *control) Replace(ctx context.Context, version uint64, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	if err := c.largeEnough(ctx); err != nil {
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

// largeEnough waits until the quorum has so many voters that a majority of
// them is more than may be lost at once.
func (c *control) largeEnough(ctx context.Context) error {
	ticker := time.NewTicker(growPoll)
	defer ticker.Stop()
	for {
		voters, _ := c.voters()
		if voters >= repair.Target(c.settings.ToleratedHosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the quorum has %d voters of %d", voters, repair.Target(c.settings.ToleratedHosts))
		case <-ticker.C:
		}
	}
}

// errNoRouting says that no routing table was ever put in force.
var errNoRouting = errors.New("there is no routing table yet")

// Routing returns the routing table in force as it was sent.
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

// Close stops the replica and waits for it.
func (c *control) Close() error {
	c.stop()
	err := c.replica.Close()
	c.done.Wait()
	return errors.Join(err, c.replicator.Close())
}
