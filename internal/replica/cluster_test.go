package replica_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/raft"
	"oleanderramp/internal/replica"
	"oleanderramp/internal/wire"
)

// recordingMachine is a machine that records the applied commands.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *recordingMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return fmt.Appendf(nil, "%d:%s", len(m.commands), command)
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.commands)
}

func (m *recordingMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return json.Unmarshal(snapshot, &m.commands)
}

func (m *recordingMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.commands...)
}

// cluster is a set of replicas that exchange messages through function calls.
type cluster struct {
	tb       testing.TB
	folder   string
	mu       sync.Mutex
	replicas map[string]*replica.Replica
	isolated map[string]bool
	machines map[string]*recordingMachine
	disks    map[string]*fullStorage
	nextID   uint64
	config   replica.Config
	// counting makes the machines count commands instead of recording them.
	counting bool
}

func newCluster(tb testing.TB) *cluster {
	return &cluster{
		tb:       tb,
		folder:   tb.TempDir(),
		replicas: make(map[string]*replica.Replica),
		isolated: make(map[string]bool),
		machines: make(map[string]*recordingMachine),
		disks:    make(map[string]*fullStorage),
	}
}

// Send delivers a message, unless its sender or its receiver is isolated.
func (c *cluster) Send(host string, message *wire.RaftMessage) {
	c.mu.Lock()
	target := c.replicas[host]
	if c.isolated[host] || c.isolated[message.GetFrom().GetHost()] {
		target = nil
	}
	c.mu.Unlock()
	if target != nil {
		target.Receive(message)
	}
}

func (c *cluster) path(host string) string { return filepath.Join(c.folder, host) }

func (c *cluster) open(host string, options disk.Options) *disk.Store {
	fs, err := disk.OpenFolder(c.path(host))
	qt.Assert(c.tb, err, qt.IsNil)
	c.nextID++
	options.Host = host
	options.NewReplica = c.nextID
	store, err := disk.Open(fs, options)
	qt.Assert(c.tb, err, qt.IsNil)
	return store
}

// run starts a replica on a store. A nil bootstrap list makes it join.
func (c *cluster) run(store *disk.Store, bootstrap []raft.Member) *replica.Replica {
	cfg := c.config
	cfg.Raft.Random = rand.New(rand.NewPCG(store.Identity().Replica, 1))
	cfg.Bootstrap = bootstrap
	cfg.Join = bootstrap == nil
	host := store.Identity().Host
	recording := &recordingMachine{}
	var machine replica.Machine = recording
	if c.counting {
		machine = &countingMachine{}
	}
	storage := &fullStorage{Storage: store}
	r, err := replica.New(cfg, storage, machine, c)
	qt.Assert(c.tb, err, qt.IsNil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas[host] = r
	c.machines[host] = recording
	c.disks[host] = storage
	return r
}

// bootstrap starts a new quorum.
func (c *cluster) bootstrap(options disk.Options, hosts ...string) {
	var stores []*disk.Store
	var members []raft.Member
	for _, host := range hosts {
		store := c.open(host, options)
		stores = append(stores, store)
		members = append(members, store.Identity())
	}
	for _, store := range stores {
		c.run(store, members)
	}
}

func (c *cluster) close() {
	for _, r := range c.running() {
		qt.Check(c.tb, r.Close(), qt.IsNil)
	}
}

func (c *cluster) running() map[string]*replica.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := make(map[string]*replica.Replica)
	for host, r := range c.replicas {
		running[host] = r
	}
	return running
}

func (c *cluster) stop(host string) {
	c.mu.Lock()
	r := c.replicas[host]
	c.mu.Unlock()
	qt.Assert(c.tb, r.Close(), qt.IsNil)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replicas, host)
}

func (c *cluster) setIsolated(host string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[host] = isolated
}

// leader waits for a leader that is not isolated, and returns it.
func (c *cluster) leader() *replica.Replica {
	const attempts = 3000
	for range attempts {
		for host, r := range c.running() {
			c.mu.Lock()
			isolated := c.isolated[host]
			c.mu.Unlock()
			if r.Status().IsLeader() && !isolated {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.tb.Fatal("timed out waiting for a leader")
	return nil
}

// eventually waits for a condition.
func (c *cluster) eventually(what string, condition func() bool) {
	const attempts = 3000
	for range attempts {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.tb.Fatalf("timed out waiting for condition: %s", what)
}
