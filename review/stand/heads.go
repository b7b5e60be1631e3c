package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// unfinishedHead returns a header of legal size and with a legal number of fields, without
// its end.
func unfinishedHead() string {
	const fields, fieldBytes = 252, 63
	var head strings.Builder
	fmt.Fprintf(&head, "POST %sx HTTP/1.1\r\nHost: %s\r\n", streamPrefix, host)
	for i := range fields {
		name := fmt.Sprintf("x-%x", i)
		fmt.Fprintf(&head, "%s: %s\r\n", name, strings.Repeat("v", fieldBytes-len(name)-len(": \r\n")))
	}
	return head.String()
}

// crowd is a process of clients that stop within the header of their requests. It is a
// process of its own, as it has as many files open as a router.
type crowd struct {
	w      *world
	cmd    *exec.Cmd
	output bytes.Buffer
}

func (w *world) startCrowd(target string, size int, length time.Duration) (*crowd, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &crowd{w: w, cmd: exec.Command(program, "crowd", target, w.addr(5, 0), strconv.Itoa(size), strconv.Itoa(int(length.Milliseconds())))}
	c.cmd.Stdout, c.cmd.Stderr = &c.output, os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c, c.cmd.Start()
}

// wait waits for the end of the crowd. It returns how many connections it has opened, and
// how many were open at a time at most.
func (c *crowd) wait() (opened, atOnce int64) {
	if err := c.cmd.Wait(); err != nil {
		c.w.note("crowd: %v", err)
	}
	_, _ = fmt.Sscan(c.output.String(), &opened, &atOnce) // Without output, both stay 0.
	return opened, atOnce
}

// runCrowd is the process of a crowd. args are as in startCrowd.
func runCrowd(args []string) error {
	const sources = 64
	size, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	ms, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	head, stop := []byte(unfinishedHead()), time.Now().Add(time.Duration(ms)*time.Millisecond)
	network := net.ParseIP(args[1]).To4()
	var opened, open, most atomic.Int64
	var all sync.WaitGroup
	for i := range size {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(network[0], network[1], network[2], byte(1+i%sources))}}
			for time.Now().Before(stop) {
				conn, err := dialer.Dial("tcp", args[0])
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				opened.Add(1)
				now := open.Add(1)
				for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
				}
				_, _ = conn.Write(head)
				_ = conn.SetReadDeadline(stop)
				_, _ = conn.Read(make([]byte, 512)) // Until the router ends it.
				conn.Close()
				open.Add(-1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	all.Wait()
	fmt.Println(opened.Load(), most.Load())
	return nil
}

// heads plays a crowd of clients that stop within the header of their requests, at two of
// the routers.
func heads(w *world, trouble bool) (bool, error) {
	const (
		engines, fronts, memoryMB = 12, 7, 134
		attacked, crowd           = 2, 3000
		length                    = 40 * time.Second
	)
	if err := w.addControl(5); err != nil {
		return false, err
	}
	w.addRouters(fronts, memoryMB)
	if err := w.startAll(); err != nil {
		return false, err
	}
	for i := range engines {
		e, err := newEngine(w, i, "v1")
		if err != nil {
			return false, err
		}
		e.announce()
		w.clean = append(w.clean, e.crash)
	}
	time.Sleep(2 * time.Second)
	p := newPlatform(w)
	var clients sync.WaitGroup
	stop := time.Now().Add(4*time.Second + length)
	var complete, all, made, most atomic.Int64
	clients.Go(func() {
		for time.Now().Before(stop) {
			clients.Go(func() {
				all.Add(1)
				if p.ask(12 * time.Second).complete {
					complete.Add(1)
				}
			})
			time.Sleep(12 * time.Millisecond)
		}
	})
	w.note("clients begin about 80 streams a second")
	v := &watcher{most: make([]float64, fronts), kills: make([]int, fronts)}
	if err := v.run(w, time.Now().Add(4*time.Second)); err != nil {
		return false, err
	}
	if trouble {
		head := unfinishedHead()
		w.note("crowds of %d clients each come to %d routers: each sends %d bytes of a header with %d fields, and then nothing",
			crowd, attacked, len(head), strings.Count(head, "\n")-1)
		for _, target := range w.routers[:attacked] {
			c, err := w.startCrowd(target.callers(), crowd, time.Until(stop))
			if err != nil {
				return false, err
			}
			clients.Go(func() {
				opened, atOnce := c.wait()
				made.Add(opened)
				most.Store(max(most.Load(), atOnce))
			})
		}
	}
	if err := v.run(w, stop); err != nil {
		return false, err
	}
	clients.Wait()
	ended := 0
	for _, kills := range v.kills {
		if kills >= 3 {
			ended++
		}
	}
	w.note("%d connections of the crowds, at most %d at a time at one router", made.Load(), most.Load())
	w.note("%d streams, %d complete; most memory of each router in MB: %.0f; ends of each: %d", all.Load(), complete.Load(), v.most, v.kills)
	w.note("on %d of %d routers the process ended by itself three times (the rule allows 1)", ended, fronts)
	return ended >= 2, nil
}
