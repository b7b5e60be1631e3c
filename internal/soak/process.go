package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oleanderramp/internal/settings"
)

// Process is one daemon of the site, across all its restarts. Its methods are
// safe for concurrent use.
type Process struct {
	program  string
	settings *settings.Site
	folder   string
	// onUnexpectedExit is called when the program exits without having been
	// signalled to.
	onUnexpectedExit func(string)
	// stopMu is held by the fault that stops the process, so that no other
	// fault does so meanwhile.
	stopMu sync.Mutex

	// mu guards the fields below.
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopRequested means that SIGTERM or SIGKILL was sent since the last start.
	stopRequested bool
	// lifetime is the number of starts so far.
	lifetime int
	// stopped is set together with stopRequested, until the next start.
	stopped bool
	paused  bool
}

func (p *Process) name() string { return p.settings.Host }

func (p *Process) settingsPath() string { return filepath.Join(p.folder, p.name()+".json") }

// start starts the program unless it is running.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.folder, p.name()+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name(), err)
	}
	defer output.Close() // The program has its own descriptor.
	cmd := exec.Command(p.program, "site", "--settings", p.settingsPath())
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name(), err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopRequested, p.stopped, p.paused = cmd, exited, false, false, false
	p.lifetime++
	go p.wait(cmd, exited)
	return nil
}

// wait waits for the program to exit.
func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	requested := p.stopRequested
	p.cmd = nil
	p.mu.Unlock()
	close(exited)
	if !requested {
		p.onUnexpectedExit(fmt.Sprintf("exited unexpectedly: %v", err))
	}
}

// writeSettings writes the settings file. The caller must hold p.mu.
func (p *Process) writeSettings() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", p.name(), err)
	}
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return fmt.Errorf("data folder of %s: %w", p.name(), err)
		}
	}
	if err := os.WriteFile(p.settingsPath(), data, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", p.name(), err)
	}
	return nil
}

// changeSettings changes the settings and writes them to the file. The running
// program is not notified.
func (p *Process) changeSettings(change func(*settings.Site)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.settings)
	return p.writeSettings()
}

// signal sends a signal to the program if it is running.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.stopRequested, p.stopped = true, true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	_ = p.cmd.Process.Signal(s) // It may have just exited.
}

// kill kills the program and waits up to one minute for it to exit.
func (p *Process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitEnd(time.Minute)
}

// awaitEnd waits for the program to exit. It returns false if the program is
// still running after the timeout, which counts the time in which this process runs.
func (p *Process) awaitEnd(timeout time.Duration) bool {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	if !running {
		return true
	}
	return awaitWhileRunning(exited, timeout)
}

// state returns the number of the current start, and whether the program is
// running, not paused and not signalled to stop.
func (p *Process) state() (lifetime int, serving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lifetime, p.cmd != nil && !p.stopped && !p.paused
}
