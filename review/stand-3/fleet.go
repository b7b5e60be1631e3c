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
	"sync"
	"syscall"
	"time"
)

// zones and regions of the small site that all scripts use.
var zones = []map[string]string{{"zone": "z-a", "region": "r-a"}, {"zone": "z-b", "region": "r-b"}, {"zone": "z-c", "region": "r-c"}}

// program is the command of deploy/system.toml; scripts run in the repository's root.
const program = "target/oleanderramp"

// fleet is a small site: control hosts and routers as processes of their own.
type fleet struct {
	rec      *record
	dir      string
	net      string // The first three bytes of all addresses.
	peerPort int
	controls []*daemon
	routers  []*daemon
	hosts    int
}

// daemon is one process of the site, across its restarts.
type daemon struct {
	fleet    *fleet
	name     string
	settings map[string]any
	ip       string
	callers  string
	ready    string
	control  string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	expected bool
	ended    int // How often the process has ended by itself.
}

// newFleet returns a site whose processes are not started yet.
func newFleet(rec *record, controls, routers, tolerated int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	if f.peerPort, err = freePort(f.net + ".1"); err != nil {
		return nil, err
	}
	var seeds []string
	for range controls {
		d, err := f.addDaemon("core")
		if err != nil {
			return nil, err
		}
		f.controls = append(f.controls, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for range routers {
		d, err := f.addDaemon("front")
		if err != nil {
			return nil, err
		}
		f.routers = append(f.routers, d)
	}
	for _, d := range append(append([]*daemon{}, f.controls...), f.routers...) {
		d.settings["seeds"], d.settings["tolerated_hosts"], d.settings["first_start"] = seeds, tolerated, true
	}
	return f, nil
}

// addDaemon returns a daemon with the settings of the templates in deploy/.
func (f *fleet) addDaemon(class string) (*daemon, error) {
	f.hosts++
	ip := fmt.Sprintf("%s.%d", f.net, f.hosts)
	zone := zones[(f.hosts-1)%len(zones)]
	d := &daemon{fleet: f, name: fmt.Sprintf("%s-%d", class, f.hosts), ip: ip}
	metrics, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	s := map[string]any{
		"host": d.name, "region": zone["region"], "zone": zone["zone"], "zones": zones, "address": ip,
		"peer_ports": []int{f.peerPort, f.peerPort}, "shutdown_s": 8, "share_window_s": 4, "shared_speeds": true,
		"retries": map[string]any{"ratio": 0.2, "slack": 54, "window_s": 10},
		"log":     map[string]any{"level": "info", "format": "json"},
	}
	listen := map[string]any{"metrics": fmt.Sprintf("%s:%d", ip, metrics)}
	first, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	second, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	if class == "core" {
		d.control = fmt.Sprintf("%s:%d", ip, first)
		listen["control"] = d.control
		s["roles"], s["memory_mb"], s["max_descriptors"] = []string{"replica"}, 280, 4096
		s["data_folder"] = filepath.Join(f.dir, d.name+".data")
		if err := os.MkdirAll(filepath.Join(f.dir, d.name+".data"), 0o700); err != nil {
			return nil, err
		}
	} else {
		d.callers, d.ready = fmt.Sprintf("%s:%d", ip, first), fmt.Sprintf("%s:%d", ip, second)
		listen["callers"], listen["readiness"] = d.callers, d.ready
		s["roles"], s["memory_mb"], s["max_descriptors"] = []string{"router"}, 284, 4100
	}
	s["listen"], d.settings = listen, s
	return d, nil
}

// freePort returns a port that is free at the address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// start starts all daemons.
func (f *fleet) start() error {
	for _, d := range append(append([]*daemon{}, f.controls...), f.routers...) {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the program with the command of the deploy file.
func (d *daemon) start() error {
	data, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.fleet.dir, d.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.fleet.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "site")
	cmd.Env = append(os.Environ(), "OLEANDERRAMP_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	// A script that is itself killed must not leave processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited, d.expected = cmd, exited, false
	d.settings["first_start"] = false
	d.fleet.rec.printf("%s starts", d.name)
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		if !d.expected {
			d.ended++
			d.fleet.rec.printf("%s ENDED BY ITSELF: %v", d.name, err)
		}
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.expected = true
	}
	d.fleet.rec.printf("%s gets %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// stop kills the process and waits for its end.
func (d *daemon) stop() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	d.signal(syscall.SIGKILL)
	<-exited
}

// endedByItself returns how often the process has ended by itself.
func (d *daemon) endedByItself() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// close ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) close() {
	for _, d := range append(append([]*daemon{}, f.controls...), f.routers...) {
		d.stop()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// call makes one call at a control host.
func call(method, address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// replace sends a desired state to the control hosts in turn until one acknowledges it.
func (f *fleet) replace(document []byte, limit time.Duration) error {
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		d := f.controls[i%len(f.controls)]
		status, answer, err := call("POST", d.control, "/Config.Replace", document, 5*time.Second)
		if err == nil && status == 200 {
			return nil
		}
		if err == nil && status == 400 {
			return fmt.Errorf("refused: %s", answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no control host acknowledged the desired state")
}

// awaitReady waits until the routers say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range f.routers {
		for {
			status, _, err := call("GET", d.ready, "/ready", nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
