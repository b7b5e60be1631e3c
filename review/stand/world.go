package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones are those of the deployment, one in each region. Two regions have two control
// hosts and one has one.
var zones = []string{"levant-a", "gulf-a", "europe-a"}

func regionOf(zone string) string { return zone[:len(zone)-2] }

// The routing of the deployment.
const (
	host         = "desk.example"
	streamPrefix = "/chat/"
	streamSvc    = "assistant"
	key          = "asnmgkcuyj8pjbvk9m68"
	peerPort     = 7400
	controlPort  = 8785
	callersPort  = 8783
	readyPort    = 8780
)

// world is a deployment on loopback addresses: the system's processes, and stand-ins for
// engines, clients and the platform.
type world struct {
	dir     string
	net     byte // The second byte of all addresses.
	started time.Time
	control []*process
	routers []*process
	relays  []*relay
	record  *os.File

	mu      sync.Mutex
	running map[*exec.Cmd]bool
	clean   []func()
}

// process is one process of the system.
type process struct {
	w        *world
	name     string
	zone     string
	ip       string // On which it listens.
	address  string // By which others know it.
	role     string
	memoryMB int
	first    bool
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
}

func newWorld(caseDir string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, started: time.Now(), record: record, running: make(map[*exec.Cmd]bool)}
	if w.net, err = freeNet(); err != nil {
		return nil, err
	}
	return w, nil
}

// freeNet returns the second byte of a loopback network on which the ports are free.
func freeNet() (byte, error) {
	for range 50 {
		n := byte(2 + rand.IntN(250))
		free := true
		for _, port := range []int{peerPort, controlPort, callersPort, readyPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.1:%d", n, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback network")
}

// addr returns a loopback address of the deployment.
func (w *world) addr(group, host int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, group, host) }

func (w *world) now() float64 { return time.Since(w.started).Seconds() }

// note writes a line to the record and to standard output.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", w.now(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// detail writes a line to the record only.
func (w *world) detail(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", w.now(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line) // After the end of the case it is closed.
}

// addControl adds the control hosts, of which others know the address of a relay.
func (w *world) addControl(count int) error {
	for i := range count {
		p := &process{
			w: w, name: fmt.Sprintf("core-%d", i+1), zone: zones[i%len(zones)], role: "replica", memoryMB: 280, first: true,
			ip: w.addr(2, i+1), address: w.addr(1, i+1),
		}
		r, err := newRelay(fmt.Sprintf("%s:%d", p.address, peerPort), p.ip, fmt.Sprintf("%s:%d", p.ip, peerPort))
		if err != nil {
			return err
		}
		w.relays = append(w.relays, r)
		w.control = append(w.control, p)
	}
	return nil
}

func (w *world) addRouters(count, memoryMB int) {
	for i := range count {
		ip := w.addr(3, i+1)
		w.routers = append(w.routers, &process{
			w: w, name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], role: "router", memoryMB: memoryMB, first: true, ip: ip, address: ip,
		})
	}
}

// settings returns the settings as the templates in deploy/ make them. "peers" lets the
// relay stand between the processes.
func (p *process) settings() map[string]any {
	var zoneList []map[string]string
	for _, z := range zones {
		zoneList = append(zoneList, map[string]string{"zone": z, "region": regionOf(z)})
	}
	var seeds []string
	for i := range min(3, len(p.w.control)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", p.w.control[i].address, controlPort))
	}
	s := map[string]any{
		"host": p.name, "region": regionOf(p.zone), "zone": p.zone, "zones": zoneList, "roles": []string{p.role},
		"address": p.address, "peer_ports": []int{peerPort, peerPort + 15}, "seeds": seeds,
		"tolerated_hosts": (len(p.w.control) - 1) / 2, "memory_mb": p.memoryMB, "max_descriptors": 4096, "shutdown_s": 8, "share_window_s": 4,
		"retries":       map[string]any{"ratio": 0.2, "slack": 54, "window_s": 10},
		"shared_speeds": true, "log": map[string]string{"level": "info", "format": "json"},
	}
	listen := map[string]string{"metrics": p.ip + ":9464", "peers": fmt.Sprintf("%s:%d", p.ip, peerPort)}
	if p.first {
		s["first_start"] = true
	}
	if p.role == "replica" {
		listen["control"] = fmt.Sprintf("%s:%d", p.ip, controlPort)
		s["data_folder"] = p.dataFolder()
	} else {
		listen["callers"], listen["readiness"] = p.callers(), fmt.Sprintf("%s:%d", p.ip, readyPort)
	}
	s["listen"] = listen
	return s
}

func (p *process) callers() string { return fmt.Sprintf("%s:%d", p.ip, callersPort) }

func (p *process) dataFolder() string { return filepath.Join(p.w.dir, p.name+".data") }

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	data, err := json.MarshalIndent(p.settings(), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(p.w.dir, p.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(p.w.dir, p.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/oleanderramp", "site")
	cmd.Env = []string{"OLEANDERRAMP_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.first = cmd, exited, false
	p.w.mu.Lock()
	p.w.running[cmd] = true
	p.w.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.w.mu.Lock()
		delete(p.w.running, cmd)
		p.w.mu.Unlock()
		close(exited)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// close ends all processes and removes the folder, unless KEEP is set.
func (w *world) close() {
	for _, f := range w.clean {
		f()
	}
	for _, list := range [][]*process{w.routers, w.control} {
		for _, p := range list {
			if p.cmd != nil {
				p.kill()
			}
		}
	}
	for _, r := range w.relays {
		r.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
	_ = w.record.Close()
}

// desiredState returns a desired state with the version.
func desiredState(version int) []byte {
	engine := map[string]any{
		"slots": 64, "kvCapacityTokens": 410109, "kvTokenBytes": 18432, "linkMbps": 130000.0, "moves": false, "backups": false, "stride": 7, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]string{{"name": "m"}},
	}
	state := map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-chat", "host": host, "pathPrefix": streamPrefix, "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 500, "priority": 1,
			"service": streamSvc, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 500,
		}},
		"services": []map[string]any{{"name": streamSvc, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": engine}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
		"tenants":  []map[string]any{{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	}
	data, _ := json.Marshal(state) // Maps of strings and numbers can always be encoded.
	return data
}

var operator = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// putState sends the desired state until a control host acknowledges it.
func (w *world) putState(version int) error {
	for i := range 200 {
		p := w.control[i%len(w.control)]
		response, err := operator.Post(fmt.Sprintf("http://%s:%d/Config.Replace", p.ip, controlPort), "application/json", bytes.NewReader(desiredState(version)))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == 200 {
				w.note("desired state %d acknowledged by %s", version, p.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("desired state %d not acknowledged", version)
}

// startAll starts all processes, sends the desired state and waits until all routers are
// ready.
func (w *world) startAll() error {
	for _, list := range [][]*process{w.control, w.routers} {
		for _, p := range list {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	if err := w.putState(1); err != nil {
		return err
	}
	for _, p := range w.routers {
		ready := false
		for range 100 {
			if ready = p.ready(); ready {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !ready {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	w.note("%d control hosts and %d routers run, all routers ready", len(w.control), len(w.routers))
	return nil
}

// ready asks the process whether it is ready, as the platform does.
func (p *process) ready() bool {
	response, err := operator.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}
