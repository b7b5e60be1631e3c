package sessions_test

import (
	"bufio"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// usageSample is the resource usage of a daemon: its resident memory now, the
// other values since it started.
type usageSample struct {
	cpuSeconds       float64
	memoryBytes      float64
	controlBytes     float64
	crossRegionBytes float64
}

// sampleUsage reads the usage of daemon n from its metrics.
func sampleUsage(f *fleet, n int) (usageSample, error) {
	var s usageSample
	text, err := get(f.operatorsURL(n) + "/metrics")
	if err != nil {
		return s, err
	}
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			continue
		}
		switch {
		case name == "process_cpu_seconds_total":
			s.cpuSeconds = number
		case name == "process_resident_memory_bytes":
			s.memoryBytes = number
		case strings.HasPrefix(name, "oleanderramp_control_bytes_total"):
			s.controlBytes += number
			if strings.Contains(name, "cross_region") {
				s.crossRegionBytes += number
			}
		}
	}
	return s, nil
}

// usage holds, for each resource, the highest usage among some daemons over a
// period.
type usage struct{ corePercent, megabytes, kbPerSecond, crossRegionKBPerSecond float64 }

func measureUsage(f *fleet, from, to int, span time.Duration) (usage, error) {
	var before []usageSample
	for n := from; n <= to; n++ {
		s, err := sampleUsage(f, n)
		if err != nil {
			return usage{}, err
		}
		before = append(before, s)
	}
	time.Sleep(span)
	var highest usage
	for n := from; n <= to; n++ {
		after, err := sampleUsage(f, n)
		if err != nil {
			return usage{}, err
		}
		b := before[n-from]
		seconds := span.Seconds()
		highest.corePercent = max(highest.corePercent, 100*(after.cpuSeconds-b.cpuSeconds)/seconds)
		highest.megabytes = max(highest.megabytes, after.memoryBytes/(1<<20))
		highest.kbPerSecond = max(highest.kbPerSecond, (after.controlBytes-b.controlBytes)/seconds/1000)
		highest.crossRegionKBPerSecond = max(highest.crossRegionKBPerSecond, (after.crossRegionBytes-b.crossRegionBytes)/seconds/1000)
	}
	return highest, nil
}

func (u usage) report(b *testing.B, who string) {
	b.ReportMetric(u.corePercent, who+"-core-%")
	b.ReportMetric(u.megabytes, who+"-MB")
	b.ReportMetric(u.kbPerSecond, who+"-KB/s")
	b.ReportMetric(u.crossRegionKBPerSecond, who+"-cross-KB/s")
}

// BenchmarkIdleFleet measures the overhead of the control plane on the busiest
// control host and the busiest router, in fleets of several sizes with 4 control
// hosts in 3 regions, one engine and no requests. Run it with -benchtime 1x.
func BenchmarkIdleFleet(b *testing.B) {
	const controlHosts = 4
	const span = 10 * time.Second
	for _, size := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b.TempDir(), size)
				f.controlHosts, f.replicas = controlHosts, 3
				defer f.closeAll()
				if err := f.startIdle(16); err != nil {
					b.Fatal(err)
				}
				control, err := measureUsage(f, 1, controlHosts, span)
				if err != nil {
					b.Fatal(err)
				}
				control.report(b, "control")
				router, err := measureUsage(f, controlHosts+1, size, span)
				if err != nil {
					b.Fatal(err)
				}
				router.report(b, "router")
			}
		})
	}
}

// BenchmarkAccounts measures the resource usage, above all the memory, of idle
// daemons by the number of client accounts in the bundle. Run it with
// -benchtime 1x.
func BenchmarkAccounts(b *testing.B) {
	const controlHosts, size = 4, 6
	const span = 5 * time.Second
	for _, accounts := range []int{16, 140, 550, 1100, 2200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b.TempDir(), size)
				f.controlHosts, f.replicas = controlHosts, 3
				defer f.closeAll()
				if err := f.startIdle(accounts); err != nil {
					b.Fatal(err)
				}
				control, err := measureUsage(f, 1, controlHosts, span)
				if err != nil {
					b.Fatal(err)
				}
				router, err := measureUsage(f, controlHosts+1, size, span)
				if err != nil {
					b.Fatal(err)
				}
				control.report(b, "control")
				router.report(b, "router")
			}
		})
	}
}

// startIdle starts the fleet and one engine, with a bundle of the given number
// of client accounts in force.
func (f *fleet) startIdle(accounts int) error {
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.accept(newDocument(accounts, 0)); err != nil {
		return err
	}
	for n := 1; n <= f.size; n++ {
		if err := f.awaitVersion(n, 1); err != nil {
			return err
		}
	}
	return f.startStandin("engine", "engine-1", 1, "--service", "assistant", "--region", "maz", "--zone", "maz-a")
}

// BenchmarkBundlePropagation measures the time from the acceptance of a bundle,
// as an operator sees it, until it is in force at every daemon, in fleets of
// several sizes.
func BenchmarkBundlePropagation(b *testing.B) {
	const controlHosts, replicas = 7, 5
	for _, size := range []int{7, 16, 32, 64} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			f := newFleet(b.TempDir(), size)
			f.controlHosts, f.replicas = controlHosts, replicas
			defer f.closeAll()
			if err := f.startAll(); err != nil {
				b.Fatal(err)
			}
			version := uint64(0)
			var longest time.Duration
			for b.Loop() {
				if err := f.accept(newDocument(int(version%20)+1, version)); err != nil {
					b.Fatal(err)
				}
				accepted := time.Now()
				version++
				for n := 1; n <= f.size; n++ {
					if err := f.awaitVersion(n, version); err != nil {
						b.Fatal(err)
					}
				}
				longest = max(longest, time.Since(accepted))
			}
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
		})
	}
}

// BenchmarkLoadedFleet measures the resource usage of control hosts and routers
// at several request rates, in a fleet of 4 control hosts, 4 routers and 3
// engines that respond without delay. Run it with -benchtime 1x.
func BenchmarkLoadedFleet(b *testing.B) {
	const controlHosts, size = 4, 8
	const span = 10 * time.Second
	for _, rate := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprintf("requests=%d", rate), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b.TempDir(), size)
				f.controlHosts, f.replicas = controlHosts, 3
				defer f.closeAll()
				if err := f.startIdle(16); err != nil {
					b.Fatal(err)
				}
				for i, region := range []string{"maz", "wlkp", "mlp"} {
					if err := f.startStandin("engine", "fast-"+region, 10+i, "--service", "assistant", "--region", region,
						"--zone", region+"-a", "--slots", "64", "--token-interval", "-1ns", "--first-token", "-1ns"); err != nil {
						b.Fatal(err)
					}
				}
				stop := f.startRequests(controlHosts+1, size, rate)
				control, err := measureUsage(f, 1, controlHosts, span)
				if err != nil {
					b.Fatal(err)
				}
				router, err := measureUsage(f, controlHosts+1, size, span)
				if err != nil {
					b.Fatal(err)
				}
				answered, failed := stop()
				control.report(b, "control")
				router.report(b, "router")
				b.ReportMetric(float64(answered)/(2*span.Seconds()), "answered/s")
				b.ReportMetric(float64(failed), "failed")
			}
		})
	}
}

// startRequests sends rate requests per second to the daemons from to to in
// turn. The returned function stops it and returns how many requests were
// answered and how many failed.
func (f *fleet) startRequests(from, to, rate int) (stop func() (answered, failed int)) {
	const body = `{"model":"standin","max_tokens":1,"messages":[{"role":"user","content":"hall 4"}]}`
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var answered, failed atomic.Int64
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			n := from + i%(to-from+1)
			group.Go(func() {
				text, err := doRequest(f, []string{strconv.Itoa(n), "exhibitor-01", "POST", "/v1/chat/completions", body})
				if err != nil || !strings.HasPrefix(text, "200\n") {
					failed.Add(1)
					return
				}
				answered.Add(1)
			})
		}
	})
	return func() (int, int) {
		cancel()
		group.Wait()
		return int(answered.Load()), int(failed.Load())
	}
}
