package sessions_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderramp/internal/settings"
	"oleanderramp/pkg/client"
)

// awaitTimeout bounds each wait for a condition. It only detects hangs and is not
// a limit on speed.
const awaitTimeout = 60 * time.Second

// getTimeout bounds one read of the metrics or state of a process.
const getTimeout = 2 * time.Second

// Ports of the listeners. They are the same on every host, as each host has its
// own loopback address.
const (
	callersPort   = 9400
	endpointsPort = 9410
	peersPort     = 9420
	operatorsPort = 9430
	standinPort   = 9500
)

// fleetCount numbers the fleets of this test process, so that each gets its own
// loopback addresses.
var fleetCount atomic.Int32

// process is a started daemon or stand-in.
type process struct {
	cmd    *exec.Cmd
	stderr *lockedBuffer
	exited chan struct{}
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// fleet is a set of daemons and stand-ins that share a working folder.
type fleet struct {
	dir    string
	prefix string
	size   int
	// replicas is how many daemons have a replica of the log: daemons 1 to
	// replicas.
	replicas int
	procs    map[string]*process
	// previous holds the processes that a restart has replaced.
	previous []*process
	// controlHosts is how many daemons run on control hosts: daemons 1 to
	// controlHosts.
	controlHosts int
	// relays carries the connections between the daemons; nil if they connect
	// directly.
	relays *relays
}

// regions holds the regions of the daemons in order; larger fleets repeat it.
var regions = []string{"maz", "maz", "wlkp", "mlp", "maz", "wlkp", "mlp"}

func regionOf(n int) string { return regions[(n-1)%len(regions)] }

func newFleet(dir string, size int) *fleet {
	n := fleetCount.Add(1)
	return &fleet{
		dir: dir, size: size, controlHosts: size, replicas: min(size, 5) | 1, procs: make(map[string]*process),
		prefix: fmt.Sprintf("127.%d.%d.", 16+n%200, os.Getpid()%250),
	}
}

// startRelayedFleet starts a fleet whose daemons connect to each other through
// relays, with a first bundle in force. Daemons 1 to replicas have a replica.
// The fleet is stopped when the test ends.
func startRelayedFleet(c *qt.C, size, replicas int) *fleet {
	f := newFleet(c.TempDir(), size)
	f.replicas = replicas
	f.relays = newRelays(f)
	c.Cleanup(func() {
		if c.Failed() {
			f.saveLogs(c)
		}
		f.closeAll()
	})
	c.Assert(f.startAll(), qt.IsNil)
	c.Assert(f.accept(newDocument(4, 0)), qt.IsNil)
	for n := 1; n <= size; n++ {
		c.Assert(f.awaitVersion(n, 1), qt.IsNil)
	}
	return f
}

// saveLogs writes the logs of all processes to the folder that the environment
// variable SESSION_LOGS names, if it is set.
func (f *fleet) saveLogs(c *qt.C) {
	folder := os.Getenv("SESSION_LOGS")
	if folder == "" {
		return
	}
	for name, p := range f.procs {
		_ = os.WriteFile(filepath.Join(folder, name+".log"), []byte(p.stderr.String()), 0o600)
	}
	for i, p := range f.previous {
		name := fmt.Sprintf("past-%d-%s.log", i, filepath.Base(p.cmd.Args[3]))
		_ = os.WriteFile(filepath.Join(folder, name), []byte(p.stderr.String()), 0o600)
	}
	c.Logf("logs are in %s", folder)
}

// awaitEndpoint waits until daemon n reports the endpoint in the given state.
func (f *fleet) awaitEndpoint(n int, name, state string) error {
	return waitFor("endpoint "+name, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		list, err := f.operatorClient(n).Endpoints(ctx)
		for _, e := range list {
			if e.Name == name && e.State == state {
				return nil
			}
		}
		return errors.Join(err, fmt.Errorf("endpoint is not %s: %v", state, list))
	})
}

// quorum returns the state of the replicated log as daemon n reports it.
func (f *fleet) quorum(n int) (client.QuorumStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, err := f.operatorClient(n).Fleet(ctx)
	return status.Quorum, err
}

// leader returns the number of the daemon that daemon n reports as the leader,
// or 0 if there is none.
func (f *fleet) leader(n int) int {
	status, err := f.quorum(n)
	if err != nil || status.Leader == "" {
		return 0
	}
	return int(status.Leader[len(status.Leader)-1] - '0')
}

func (f *fleet) ip(n int) string         { return fmt.Sprintf("%s%d", f.prefix, n) }
func (f *fleet) host(n int) string       { return fmt.Sprintf("host-%d", n) }
func (f *fleet) callersURL(n int) string { return fmt.Sprintf("http://%s:%d", f.ip(n), callersPort) }
func (f *fleet) operatorsURL(n int) string {
	return fmt.Sprintf("http://%s:%d", f.ip(n), operatorsPort)
}
func (f *fleet) dataFolder(n int) string { return filepath.Join(f.dir, "data", f.host(n)) }

// settingsOf returns the settings of daemon n.
func (f *fleet) settingsOf(n int) settings.Settings {
	s := settings.Settings{
		Host: f.host(n), Region: regionOf(n), Zone: regionOf(n) + "-a", DataFolder: f.dataFolder(n),
		Roles: append([]settings.Role{settings.RoleRouter}, f.controlRoles(n)...),
		Listen: settings.Listen{
			Callers:   fmt.Sprintf("%s:%d", f.ip(n), callersPort),
			Endpoints: fmt.Sprintf("%s:%d", f.ip(n), endpointsPort),
			Peers:     fmt.Sprintf("%s:%d", f.ip(n), peersPort),
			Operators: fmt.Sprintf("%s:%d", f.ip(n), operatorsPort),
		},
		TLS: settings.TLS{Plaintext: true},
	}
	for i := 1; i <= f.controlHosts; i++ {
		address := fmt.Sprintf("%s:%d", f.ip(i), peersPort)
		if f.relays != nil && i != n {
			address = f.relays.address(n, i)
		}
		s.ControlHosts = append(s.ControlHosts, settings.ControlHost{
			Host: f.host(i), Region: regionOf(i), Zone: regionOf(i) + "-a", Address: address, Roles: f.controlRoles(i),
		})
	}
	for _, name := range []string{"operator-1", "operator-2"} {
		s.Operators = append(s.Operators, settings.Operator{Name: name, KeySHA256: keyHash("key-of-" + name)})
	}
	return s
}

func (f *fleet) controlRoles(n int) []settings.Role {
	if n > f.controlHosts {
		return nil
	}
	if n <= f.replicas {
		return []settings.Role{settings.RoleScheduler, settings.RoleReplica}
	}
	return []settings.Role{settings.RoleScheduler}
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// startAll starts all daemons and waits until every replica is a voter and has
// caught up.
func (f *fleet) startAll() error {
	for n := 1; n <= f.size; n++ {
		if err := f.startDaemon(n, n == 1); err != nil {
			return err
		}
	}
	return f.awaitQuorum(f.replicas)
}

// startDaemon writes the settings of daemon n and starts it.
func (f *fleet) startDaemon(n int, bootstrap bool) error {
	data, err := json.Marshal(f.settingsOf(n))
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, f.host(n)+".json")
	if err := os.MkdirAll(f.dataFolder(n), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	args := []string{"serve", "--settings", path}
	if bootstrap {
		args = append(args, "--bootstrap")
	}
	return f.startProcess(f.host(n), binaryPath("oleanderramp"), args...)
}

func (f *fleet) startProcess(name, path string, args ...string) error {
	p := &process{cmd: exec.Command(path, args...), stderr: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd.Stderr = p.stderr
	// When the shell that began the tests ends, the stopped processes of its process
	// group get SIGHUP, which ends a frozen daemon.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	if replaced, ok := f.procs[name]; ok {
		f.previous = append(f.previous, replaced)
	}
	f.procs[name] = p
	return nil
}

// TestProcessesHaveTheirOwnGroup guards against a frozen process that SIGHUP ends,
// because its process group is that of a shell that ends before the tests.
func TestProcessesHaveTheirOwnGroup(t *testing.T) {
	c := qt.New(t)
	f := &fleet{procs: make(map[string]*process)}
	c.Assert(f.startProcess("sleeper", "/bin/sleep", "60"), qt.IsNil)
	defer f.closeAll()
	pid := f.procs["sleeper"].cmd.Process.Pid
	group, err := syscall.Getpgid(pid)
	c.Check(err, qt.IsNil)
	c.Check(group, qt.Equals, pid)
}

// signal sends a signal to a process.
func (f *fleet) signal(name string, s syscall.Signal) error {
	p, ok := f.procs[name]
	if !ok {
		return fmt.Errorf("process %s was never started", name)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %v to process %s: %w; its log ends with:\n%s", s, name, err, lastLines(p.stderr.String()))
	}
	return nil
}

// awaitExit waits until a process exits and returns its exit code.
func (f *fleet) awaitExit(name string) (int, error) {
	p, ok := f.procs[name]
	if !ok {
		return 0, fmt.Errorf("process %s was never started", name)
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(awaitTimeout):
		return 0, fmt.Errorf("process %s did not exit in time", name)
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (f *fleet) kill(name string) error {
	if err := f.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	_, err := f.awaitExit(name)
	return err
}

// closeAll kills all running processes and closes the relays.
func (f *fleet) closeAll() {
	for name, p := range f.procs {
		select {
		case <-p.exited:
		default:
			_ = f.signal(name, syscall.SIGCONT)
			_ = f.kill(name)
		}
	}
	if f.relays != nil {
		f.relays.close()
	}
}

// startStandin starts a stand-in that announces itself to all daemons in turn:
// first to those in its own region, which is maz unless args has --region.
func (f *fleet) startStandin(kind, name string, number int, args ...string) error {
	all := []string{
		kind, "--endpoint", name, "--listen", fmt.Sprintf("%s:%d", f.ip(100+number), standinPort),
		"--announce-interval", "200ms",
	}
	region := "maz"
	if i := slices.Index(args, "--region"); i >= 0 {
		region = args[i+1]
	}
	for _, sameRegion := range []bool{true, false} {
		for n := 1; n <= f.size; n++ {
			if (regionOf(n) == region) == sameRegion {
				all = append(all, "--announce-to", fmt.Sprintf("http://%s:%d", f.ip(n), endpointsPort))
			}
		}
	}
	return f.startProcess(name, binaryPath("standin"), append(all, args...)...)
}

// standinURL returns the base URL of a stand-in.
func (f *fleet) standinURL(number int) string {
	return fmt.Sprintf("http://%s:%d", f.ip(100+number), standinPort)
}

// waitFor polls the condition until it returns nil or awaitTimeout has passed.
// The error then names what was awaited.
func waitFor(what string, condition func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %w", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) operatorClient(n int) *client.Client {
	c, err := client.New(client.Config{Server: f.operatorsURL(n), Key: "key-of-operator-1"})
	if err != nil {
		panic(err)
	}
	return c
}

// awaitQuorum waits until daemon 1 reports that the given number of voters have
// caught up.
func (f *fleet) awaitQuorum(voters int) error {
	return waitFor("voters to catch up", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		replicas, err := f.operatorClient(1).Replicas(ctx)
		if err != nil {
			return err
		}
		caughtUp := 0
		for _, r := range replicas {
			if r.Voter && r.CaughtUp {
				caughtUp++
			}
		}
		if caughtUp != voters {
			return fmt.Errorf("%d voters have caught up, want %d", caughtUp, voters)
		}
		return nil
	})
}

// awaitVersion waits until the bundle version is in force at daemon n.
func (f *fleet) awaitVersion(n int, version uint64) error {
	return waitFor(fmt.Sprintf("bundle version %d at daemon %d", version, n), func() error {
		got, err := f.version(n)
		if err == nil && got != version {
			err = fmt.Errorf("version %d is in force", got)
		}
		return err
	})
}

func get(url string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
