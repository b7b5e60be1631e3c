package peer

import (
	"context"
	"sync"
	"time"

	"oleanderramp/internal/wire"
)

// Timing of probes.
const (
	// ProbePeriod is the time between two probes of a host that matters at
	// every moment.
	ProbePeriod = 500 * time.Millisecond
	// SlowProbePeriod is the time between two probes of any other host.
	SlowProbePeriod = 4 * time.Second
	probeTimeout    = 400 * time.Millisecond
	// maxMissedProbes is how many failed probes in a row make the prober give up
	// the connection and open a fresh one.
	maxMissedProbes = 2
)

// ProbeSource gives the content of the next probe.
type ProbeSource interface {
	Probe() *wire.ProbeRequest
	// Urgent tells whether the host is to be probed every ProbePeriod rather
	// than every SlowProbePeriod.
	Urgent(now time.Time, host string) bool
}

// ProbeSink takes what a probe brought.
type ProbeSink interface {
	// Answered is called for each answer.
	Answered(now time.Time, host string, response *wire.ProbeResponse)
	// Missed is called for each probe without an answer.
	Missed(now time.Time, host string, err error)
}

// Prober probes the control hosts, each in a goroutine of its own.
type Prober struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewProber starts to probe the hosts.
func NewProber(dialer *Dialer, hosts []string, source ProbeSource, sink ProbeSink) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{cancel: cancel}
	for _, host := range hosts {
		p.done.Go(func() {
			ticker := time.NewTicker(ProbePeriod)
			defer ticker.Stop()
			missed := 0
			var last time.Time
			for {
				if now := time.Now(); source.Urgent(now, host) || now.Sub(last) >= SlowProbePeriod {
					last = now
					missed = probe(ctx, dialer, host, source, sink, missed)
				}
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
			}
		})
	}
	return p
}

// probe sends one probe and returns how many were missed in a row.
func probe(ctx context.Context, dialer *Dialer, host string, source ProbeSource, sink ProbeSink, missed int) int {
	conn, err := dialer.Conn(host)
	if err != nil {
		sink.Missed(time.Now(), host, err)
		return missed + 1
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := wire.NewMembershipClient(conn).Probe(callCtx, source.Probe())
	if err == nil {
		sink.Answered(time.Now(), host, response)
		return 0
	}
	if ctx.Err() != nil {
		return missed
	}
	sink.Missed(time.Now(), host, err)
	if missed+1 >= maxMissedProbes {
		dialer.Drop(host, conn)
		return 0
	}
	return missed + 1
}

// Close ends the probes and waits for them.
func (p *Prober) Close() error {
	p.cancel()
	p.done.Wait()
	return nil
}
