package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// slowMemoryMB is the memory of a front machine on the sheet of waxcaravan.
	slowMemoryMB = 134
	// slowClients is how many clients read slowly, and slowBytes the size of the answers.
	slowClients = 500
	slowBytes   = 200 << 10
)

// slowCase has a crowd read its answers very slowly. The process must stay within the
// memory of its machine; the provider kills it otherwise.
func slowCase(c *play) (bool, error) {
	if err := c.begin(siteConfig{controls: 5, routers: 1, routerMemoryMB: slowMemoryMB}); err != nil {
		return false, err
	}
	body := strings.Repeat("x", slowBytes)
	work := func(_ *engine, w http.ResponseWriter, _ *run) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
	for i := range 12 {
		if err := c.engine(i, "lm-pool", 64, work).start(); err != nil {
			return false, err
		}
	}
	routes := []route{{name: "r-answers", prefix: "/puxa403/", kind: "safe", service: "lm-pool", timeoutMS: 12000, targetMS: 1000, attempts: 1}}
	if err := c.site.configure(routes, []string{"lm-pool"}, nil, []string{"hule930"}); err != nil {
		return false, err
	}
	if err := c.site.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	front := c.site.machine["front-1"]
	killed := make(chan bool)
	stop := make(chan struct{})
	go func() { killed <- c.watchMemory(front, slowMemoryMB, stop) }()
	for range slowClients {
		go c.readSlowly()
		time.Sleep(4 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	return <-killed, nil
}

// watchMemory kills the process once it uses more than its memory, as the provider does,
// and reports whether it did.
func (c *play) watchMemory(p *process, limitMB int, stop chan struct{}) bool {
	highest := 0
	for ticker := time.NewTicker(50 * time.Millisecond); ; {
		select {
		case <-stop:
			ticker.Stop()
			c.rec.say("%s used %d MB at most, of %d MB", p.name, highest>>10, limitMB)
			return false
		case <-ticker.C:
		}
		now := p.anonymousKB()
		if now > highest {
			highest = now
			c.rec.line("%s uses %d MB", p.name, now>>10)
		}
		if now > limitMB<<10 {
			c.rec.say("%s uses %d MB of %d MB: the provider kills it", p.name, now>>10, limitMB)
			p.signal(syscall.SIGKILL)
			return true
		}
	}
}

// readSlowly sends a request and reads a kilobyte of its answer a second.
func (c *play) readSlowly() {
	a := &attempt{
		id: newID(), what: "slow reader", address: c.site.front(1), method: http.MethodGet, target: "/puxa403/answer", key: keyOf("hule930"), timeout: 12 * time.Second,
	}
	c.rec.line("client sends %s (%s): %s %s", a.id, a.what, a.method, a.target)
	conn, err := net.DialTimeout("tcp", a.address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if c.trouble {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	if _, err := conn.Write(a.request()); err != nil {
		return
	}
	read, buffer := 0, make([]byte, 32<<10)
	if c.trouble {
		buffer = buffer[:256]
	}
	for until := time.Now().Add(a.timeout); time.Now().Before(until) && read < slowBytes; {
		_ = conn.SetReadDeadline(until)
		n, err := conn.Read(buffer)
		read += n
		if err != nil {
			break
		}
		if c.trouble {
			time.Sleep(250 * time.Millisecond)
		}
	}
	c.rec.line("client read %d bytes of %s", read, a.id)
}
