package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the stand-in site. They are the same on all machines, as on the platform.
const (
	frontPort   = 8783
	readyPort   = 8780
	controlPort = 8785
	metricsPort = 9464
	enginePort  = 8080
)

// site is a small deployment: machines with addresses of their own on the loopback
// network, whose processes are started with the command of the deploy file.
type site struct {
	rec     *recorder
	root    string // The repository.
	dir     string // A temporary folder.
	network string // The first two numbers of all addresses.
	taken   net.Listener
	config  siteConfig
	machine map[string]*process
	names   []string
	client  *http.Client
	version int
}

// siteConfig is the size of the deployment.
type siteConfig struct {
	controls, routers int
	routerMemoryMB    int
}

// process is a machine's process.
type process struct {
	site     *site
	name, ip string
	zone     int
	settings string
	log      *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	exit     string
	stopping bool
	// closed is set at the end of the case; the process does not start again then.
	closed bool
	// ends counts the times that the process has ended by itself.
	ends int
}

var zones = []string{"maz-a", "wlkp-a", "mlp-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

func newSite(rec *recorder, root string, config siteConfig) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		rec: rec, root: root, dir: dir, config: config, machine: make(map[string]*process),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if s.network, s.taken, err = takeNetwork(); err != nil {
		return nil, err
	}
	for i := range config.controls {
		s.add(fmt.Sprintf("core-%d", i+1), s.address(1, i+1), i)
	}
	for i := range config.routers {
		s.add(fmt.Sprintf("front-%d", i+1), s.address(2, i+1), i)
	}
	return s, nil
}

// takeNetwork takes the beginning of loopback addresses that no other case uses, as long as
// the listener is open.
func takeNetwork() (string, net.Listener, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, controlPort))
		if err == nil {
			return network, listener, nil
		}
	}
	return "", nil, errors.New("no free loopback addresses")
}

func (s *site) address(group, number int) string {
	return fmt.Sprintf("%s.%d.%d", s.network, group, number)
}

func (s *site) add(name, ip string, zone int) {
	s.machine[name] = &process{site: s, name: name, ip: ip, zone: zone % len(zones), settings: filepath.Join(s.dir, name+".json")}
	s.names = append(s.names, name)
}

func (s *site) controls() []string {
	var list []string
	for i := range s.config.controls {
		list = append(list, fmt.Sprintf("%s:%d", s.address(1, i+1), controlPort))
	}
	return list
}

func (s *site) front(router int) string {
	return fmt.Sprintf("%s:%d", s.address(2, router), frontPort)
}

// settingsFor returns what the templates of the deploy file render for a machine of the
// site tw-ramp.
func (s *site) settingsFor(p *process, firstStart bool) []byte {
	zoneList := []map[string]string{}
	for _, z := range zones {
		zoneList = append(zoneList, map[string]string{"zone": z, "region": regionOf(z)})
	}
	control := strings.HasPrefix(p.name, "core")
	settings := map[string]any{
		"host": p.name, "region": regionOf(zones[p.zone]), "zone": zones[p.zone], "zones": zoneList,
		"address": p.ip, "peer_ports": []int{7400, 7415}, "seeds": s.controls()[:min(3, s.config.controls)],
		"tolerated_hosts": (s.config.controls - 1) / 2, "shutdown_s": 8, "share_window_s": 4,
		"retries":       map[string]any{"ratio": 0.2, "slack": 54, "window_s": 10},
		"shared_speeds": true, "log": map[string]string{"level": "info", "format": "json"},
	}
	if firstStart {
		settings["first_start"] = true
	}
	metrics := fmt.Sprintf("%s:%d", p.ip, metricsPort)
	if control {
		settings["roles"], settings["data_folder"] = []string{"replica"}, filepath.Join(s.dir, p.name)
		settings["listen"] = map[string]string{"control": fmt.Sprintf("%s:%d", p.ip, controlPort), "metrics": metrics}
		settings["memory_mb"], settings["max_descriptors"] = 280, 4096
	} else {
		settings["roles"] = []string{"router"}
		settings["listen"] = map[string]string{
			"callers": fmt.Sprintf("%s:%d", p.ip, frontPort), "readiness": fmt.Sprintf("%s:%d", p.ip, readyPort), "metrics": metrics,
		}
		settings["memory_mb"], settings["max_descriptors"] = s.config.routerMemoryMB, 4100
	}
	return mustJSON(settings)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// start starts all machines for the first time.
func (s *site) start() error {
	for _, name := range s.names {
		if err := s.machine[name].start(true); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (p *process) start(firstStart bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("the case has ended")
	}
	if err := os.MkdirAll(filepath.Join(p.site.dir, p.name), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, p.site.settingsFor(p, firstStart), 0o644); err != nil {
		return err
	}
	if p.log == nil {
		file, err := os.Create(filepath.Join(p.site.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = file
	}
	cmd := exec.Command(filepath.Join(p.site.root, "target", "oleanderramp"), "site")
	cmd.Dir = p.site.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.site.dir, "LANG=C", "OLEANDERRAMP_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopping = cmd, done, false
	p.site.rec.line("machine %s started as %s", p.name, p.ip)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exit = fmt.Sprint(err)
		if !p.stopping {
			p.ends++
			p.site.rec.say("process of %s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.stopping = true
	}
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// anonymousKB returns the resident memory of the process without that of files.
func (p *process) anonymousKB() (size int) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		_, _ = fmt.Sscanf(line, "RssAnon: %d kB", &size)
	}
	return size
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, name := range s.names {
		p := s.machine[name]
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		_ = p.log.Close()
	}
	_ = s.taken.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(s.dir, keep)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// route is a route of a desired state.
type route struct {
	name, prefix, kind, service string
	timeoutMS, targetMS         int
	attempts                    int
	resumable                   bool
	public                      bool
}

const host = "ficu95.example"

// keyOf returns the API key of a tenant.
func keyOf(tenant string) string { return "key-of-" + tenant }

// configure sends a desired state until it is acknowledged.
func (s *site) configure(routes []route, engines, plain, tenants []string) error {
	s.version++
	var routeList, serviceList, tenantList []any
	for _, r := range routes {
		routeList = append(routeList, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMS, "targetLatencyMs": r.targetMS,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts, "public": r.public, "sticky": r.kind == "streaming",
			"resumable": r.resumable, "gapTargetMs": 500,
		})
	}
	for _, name := range engines {
		serviceList = append(serviceList, map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 539177, "kvTokenBytes": 18432, "linkMbps": 130000.0, "moves": true, "backups": true,
				"stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]string{"name": "m"}},
			},
		})
	}
	for _, name := range plain {
		serviceList = append(serviceList, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false})
	}
	for _, name := range tenants {
		tenantList = append(tenantList, map[string]any{"name": name, "apiKeys": []string{keyOf(name)}, "priority": 1})
	}
	body := mustJSON(map[string]any{
		"version": s.version, "routes": routeList, "services": serviceList, "tenants": tenantList,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
	})
	until := time.Now().Add(25 * time.Second)
	for try := 0; time.Now().Before(until); try++ {
		address := s.controls()[try%s.config.controls]
		status, answer := s.call(http.MethodPost, address, "/Config.Replace", body)
		s.rec.line("operator sends version %d to %s: %d %s", s.version, address, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the desired state was not acknowledged")
}

// call makes a call to a control address; the status is 0 if there was no answer.
func (s *site) call(method, address, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// awaitReady waits until all routers say that they are ready.
func (s *site) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for router := 1; router <= s.config.routers; router++ {
		for !s.ready(router) {
			if time.Now().After(until) {
				return fmt.Errorf("router %d is not ready", router)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) ready(router int) bool {
	status, _ := s.call(http.MethodGet, fmt.Sprintf("%s:%d", s.address(2, router), readyPort), "/ready", nil)
	return status == http.StatusOK
}
