// Package soak runs the daemons of a site as separate processes, injects faults
// that a seed selects, and checks the system's invariants from what callers,
// endpoints and operators observe.
//
// Faults are injected from outside the processes: by relays on the loopback
// connections between them, signals, lost disks, torn writes and failing
// endpoints. A seed determines which faults are injected; their exact timing
// depends on the machine.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"oleanderramp/internal/relay"
	"oleanderramp/internal/settings"
)

// Config configures a run.
type Config struct {
	// Program is the path of the daemon's program, Folder the folder for
	// settings, data and logs.
	Program string
	Folder  string
	// ControlProgram is the path of the program of control hosts; Program if empty. It
	// is started with the same arguments.
	ControlProgram string
	Seed           uint64
	// Network is the second and third byte of the first of the four consecutive
	// /24 networks in 127.0.0.0/8 that the run uses.
	Network [2]byte
	// Controls, Routers, Endpoints and Callers are the number of each. Every
	// other endpoint is an engine.
	Controls, Routers, Endpoints, Callers int
	// Faults is how long faults are injected.
	Faults time.Duration
	// Pauses is how long sound endpoints pause now and then afterwards; 0 means that
	// they do not.
	Pauses time.Duration
	// FinalFault means that the run ends with a loss of disks while all processes are
	// killed. Half of the runs also begin with one, right after the first order.
	FinalFault bool
}

// Defaults fills the fields that are unset.
func (c *Config) Defaults() {
	setDefault(&c.ControlProgram, c.Program)
	setDefault(&c.Controls, 5)
	setDefault(&c.Routers, 3)
	setDefault(&c.Endpoints, 6)
	setDefault(&c.Callers, 12)
	setDefault(&c.Faults, 12*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Report is the result of a run.
type Report struct {
	Findings []Finding
	// Faults lists the injected faults with their times.
	Faults []string
	// Requests is the number of requests of callers, Served the number of those
	// with a complete answer and a status below 300, and Versions the number of
	// routing versions that were sent.
	Requests, Served, Versions int
}

// The ports, the same on all addresses.
const (
	callersPort   = 18701
	readinessPort = 18702
	controlPort   = 18703
	peersPort     = 18710
	endpointPort  = 18801
)

const (
	// seedCount is the number of control hosts in the settings of a process.
	seedCount = 3
	// shutdownTimeout is how long a process may take to exit after SIGTERM.
	shutdownTimeout = 8 * time.Second
)

// Site is the site under test: its daemons, its endpoints and the relays
// between them.
type Site struct {
	config    Config
	recorder  *recorder
	ledger    *ledger
	versions  *versions
	controls  []*Process
	routers   []*Process
	endpoints []*Endpoint
	// relays holds the relay in front of each control host, by index.
	relays []*relay.Relay
	// background tracks the goroutines of callers, readers and probes,
	// activeFaults those of the faults.
	background, activeFaults sync.WaitGroup
	// faultFreeFrom and faultFreeUntil bound the period without faults, as
	// times since the start; faultFreeUntil is 0 while it has not ended.
	faultFreeFrom, faultFreeUntil time.Duration

	// evacuations holds the times in which zones must get no requests.
	evacuations []evacuation

	// mu guards the fields below.
	mu            sync.Mutex
	lastDiskFault time.Time
	// callerCount is the number of callers so far, and the next one's number.
	callerCount int
	// pauses holds the pauses of endpoints that have ended, stalls the times in which
	// this process did not run.
	pauses []endpointPause
	stalls []stall
}

// Run executes one run. It returns an error if the site could not be started;
// violated invariants are in the report.
func Run(config Config) (Report, error) {
	config.Defaults()
	s := &Site{config: config, recorder: &recorder{started: time.Now()}, ledger: newLedger(), versions: newVersions()}
	defer s.close()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	s.run(rand.New(rand.NewPCG(config.Seed, 0)))
	s.checkLedger()
	return s.report(), nil
}

// address returns an address of the run. Network 0 has the addresses at which
// others reach a control host or router, network 1 those that it listens on for
// its peers. Networks 2 and 3 are the same for endpoints.
func (s *Site) address(network, number, port int) string {
	n := s.config.Network
	return fmt.Sprintf("127.%d.%d.%d:%d", n[0], int(n[1])+network, number+1, port)
}

const firstRouterNumber = 100

func (s *Site) controlAddress(i int) string { return s.address(0, i, controlPort) }

func (s *Site) routerAddress(i int) string { return s.address(0, firstRouterNumber+i, callersPort) }

func (s *Site) zone(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount) }

// tolerated returns the number of control hosts whose loss the site tolerates.
func (s *Site) tolerated() int { return (s.config.Controls - 1) / 2 }

// zoneCount is the number of zones. Each zone is a region of its own.
const zoneCount = 3

// since returns the time since the start of the run.
func (s *Site) since() time.Duration { return s.recorder.since() }

// build starts the relays, the processes and the endpoints.
func (s *Site) build() error {
	for i := range s.config.Controls {
		listener, err := net.Listen("tcp", s.address(0, i, peersPort))
		if err != nil {
			return fmt.Errorf("relay of control host %d: %w", i, err)
		}
		s.relays = append(s.relays, relay.New(listener, s.address(1, i, peersPort)))
		s.controls = append(s.controls, s.newProcess(fmt.Sprintf("control-%d", i), i, settings.RoleReplica, settings.SiteListen{Control: s.controlAddress(i)}))
	}
	for i := range s.config.Routers {
		listen := settings.SiteListen{Callers: s.routerAddress(i), Readiness: s.address(0, firstRouterNumber+i, readinessPort)}
		s.routers = append(s.routers, s.newProcess(fmt.Sprintf("router-%d", i), firstRouterNumber+i, settings.RoleRouter, listen))
	}
	for _, p := range slices.Concat(s.controls, s.routers) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range s.config.Endpoints {
		listener, err := net.Listen("tcp", s.address(2, i, endpointPort))
		if err != nil {
			return fmt.Errorf("relay of endpoint %d: %w", i, err)
		}
		e := &Endpoint{
			site: s, number: i, service: []string{engineService, plainService}[i%2], listen: s.address(3, i, endpointPort),
			relay: relay.New(listener, s.address(3, i, endpointPort)),
		}
		s.endpoints = append(s.endpoints, e)
		if err := e.start(e.service); err != nil {
			return err
		}
	}
	return nil
}

// newProcess returns a daemon that is not started yet. All daemons get the same
// seeds for their first start.
func (s *Site) newProcess(name string, number int, role settings.Role, listen settings.SiteListen) *Process {
	listen.Peers = s.address(1, number, peersPort)
	// address always returns a valid host and port.
	host, _, _ := net.SplitHostPort(s.address(0, number, peersPort))
	siteSettings := &settings.Site{
		Host: name, Region: s.zone(number), Zone: s.zone(number), Roles: []settings.Role{role}, Address: host, PeerPorts: []int{peersPort},
		Listen: listen, FirstStart: true, ToleratedHosts: s.tolerated(), ShutdownS: shutdownTimeout.Seconds(),
	}
	for i := range zoneCount {
		siteSettings.Zones = append(siteSettings.Zones, settings.Zone{Zone: s.zone(i), Region: s.zone(i)})
	}
	for i := range min(seedCount, s.config.Controls) {
		siteSettings.Seeds = append(siteSettings.Seeds, s.controlAddress(i))
	}
	program := s.config.Program
	if role == settings.RoleReplica {
		program = s.config.ControlProgram
		siteSettings.DataFolder = filepath.Join(s.config.Folder, name)
	}
	siteSettings.Defaults()
	return &Process{
		program: program, settings: siteSettings, folder: s.config.Folder,
		onUnexpectedExit: func(what string) { s.recorder.addFinding("ENDED", "%s %s", name, what) },
	}
}

func (s *Site) report() Report {
	r := Report{Findings: s.recorder.findings, Faults: s.recorder.faults, Requests: len(s.ledger.requests)}
	_, r.Versions = s.versions.known()
	for _, request := range s.ledger.requests {
		if request.complete && request.status < http.StatusMultipleChoices {
			r.Served++
		}
	}
	return r
}

// close stops all endpoints, processes and relays.
func (s *Site) close() {
	for _, e := range s.endpoints {
		e.crash()
		e.relay.Close()
	}
	for _, p := range slices.Concat(s.controls, s.routers) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, r := range s.relays {
		r.Close()
	}
}
