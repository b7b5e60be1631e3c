// Package soak runs the programs of a site as separate processes, spoils what
// they depend on as a seed says, and checks the promises that callers,
// endpoints and operators were given, from what those see.
//
// Faults come from outside: relays on loopback between the processes, signals,
// lost disks and torn writes, endpoints that fail. A seed fixes which faults
// are made; their times are those of the machine.
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

// Config says what a run is like.
type Config struct {
	// Program is the path of the program, Folder where settings, data and logs
	// go.
	Program string
	Folder  string
	Seed    uint64
	// Network is the second and third byte of the addresses in 127.0.0.0/8, of
	// which the run uses four networks from there on.
	Network [2]byte
	// Controls, Routers, Endpoints and Callers are how many there are. Of the
	// endpoints half are engines.
	Controls, Routers, Endpoints, Callers int
	// Faults is how long faults are made.
	Faults time.Duration
}

// Defaults fills the fields that are unset.
func (c *Config) Defaults() {
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

// Report is what a run came to.
type Report struct {
	Findings []Finding
	// Faults lists what was done, with the time.
	Faults []string
	// Requests and Served count the requests of callers, Versions the routing
	// tables that were sent.
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
	// seedCount is how many control hosts a process is told of.
	seedCount = 3
	// shutdownTimeout is how long a process may take to stop.
	shutdownTimeout = 8 * time.Second
)

// Site is a site under test.
type Site struct {
	config    Config
	recorder  *recorder
	ledger    *ledger
	versions  *versions
	controls  []*Process
	routers   []*Process
	endpoints []*Endpoint
	// relays stand before the control hosts, in their order.
	relays []*relay.Relay
	// background holds all that runs beside, and activeFaults the faults.
	background, activeFaults sync.WaitGroup
	// faultFreeFrom and faultFreeUntil bound the time without faults, since the start; 0
	// for not ended.
	faultFreeFrom, faultFreeUntil time.Duration

	// mu guards what follows.
	mu            sync.Mutex
	lastDiskFault time.Time
	// callerCount numbers the callers.
	callerCount int
}

// Run makes one run. The error says that it could not be made.
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

// address returns an address of the run: of a control host or router to the
// others (net 0) and its own (net 1), of an endpoint to the others (net 2) and
// its own (net 3).
func (s *Site) address(network, number, port int) string {
	n := s.config.Network
	return fmt.Sprintf("127.%d.%d.%d:%d", n[0], int(n[1])+network, number+1, port)
}

const firstRouterNumber = 100

func (s *Site) controlAddress(i int) string { return s.address(0, i, controlPort) }

func (s *Site) routerAddress(i int) string { return s.address(0, firstRouterNumber+i, callersPort) }

func (s *Site) zone(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount) }

// zoneCount is how many regions there are, with a zone each.
const zoneCount = 3

// since returns the time since the start.
func (s *Site) since() time.Duration { return s.recorder.since() }

// build starts relays, processes and endpoints.
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

// newProcess describes a daemon. At the first start all know the same seeds.
func (s *Site) newProcess(name string, number int, role settings.Role, listen settings.SiteListen) *Process {
	listen.Peers = s.address(1, number, peersPort)
	host, _, _ := net.SplitHostPort(s.address(0, number, peersPort)) // It is one.
	siteSettings := &settings.Site{
		Host: name, Region: s.zone(number), Zone: s.zone(number), Roles: []settings.Role{role}, Address: host, PeerPorts: []int{peersPort},
		Listen: listen, FirstStart: true, ToleratedHosts: (s.config.Controls - 1) / 2, ShutdownS: shutdownTimeout.Seconds(),
	}
	for i := range zoneCount {
		siteSettings.Zones = append(siteSettings.Zones, settings.Zone{Zone: s.zone(i), Region: s.zone(i)})
	}
	for i := range min(seedCount, s.config.Controls) {
		siteSettings.Seeds = append(siteSettings.Seeds, s.controlAddress(i))
	}
	if role == settings.RoleReplica {
		siteSettings.DataFolder = filepath.Join(s.config.Folder, name)
	}
	siteSettings.Defaults()
	return &Process{
		program: s.config.Program, settings: siteSettings, folder: s.config.Folder,
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

// close ends all that was started.
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
