package sessions_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"oleanderramp/pkg/bundle"
	"oleanderramp/pkg/client"
)

// Parameters of the register history.
const (
	registerOperators = 4
	registerTimeout   = 2 * time.Second
	// propagationLimit is how long an accepted bundle may take until it is in
	// force at every daemon.
	propagationLimit = 4 * time.Second
)

var (
	conflictDigest = regexp.MustCompile(`digest ([0-9a-f]+)`)
	versionMetric  = regexp.MustCompile(`(?m)^oleanderramp_bundle_version (\d+)$`)
)

// perform carries out one operation of an operator and records its result. A
// read whose response was lost isn't recorded, as it tells nothing.
func (h *history) perform(id int, in registerInput, do func(ctx context.Context) (client.BundleStatus, error)) registerOutput {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	op := porcupine.Operation{ClientId: id, Call: h.now(), Input: in}
	status, err := do(ctx)
	op.Return = h.now()
	out := registerOutput{ok: err == nil}
	var refusal *client.Error
	switch {
	case err == nil:
		out.version, out.digest = status.Version, status.Digest
	case errors.As(err, &refusal) && refusal.Code() == client.CodeBundleConflict:
		out.digest = conflictDigest.FindStringSubmatch(refusal.Message())[1]
	case errors.As(err, &refusal) && refusal.Code() != client.CodeNoQuorum:
		// The operation was refused. The model rejects a refusal that isn't a
		// conflict.
	default:
		out.lost = true
		op.Return = endOfHistory
	}
	op.Output = out
	if in.kind != opRead || !out.lost {
		h.add(op)
	}
	return out
}

// runOperator simulates one operator until stop: it reads the version, proposes
// the next one, signs it off and accepts it. Each request goes through a random
// daemon and is repeated if the response was lost.
func (h *history) runOperator(f *fleet, id int, random *rand.Rand, stop <-chan struct{}) {
	newClient := func(key int) *client.Client {
		config := client.Config{Server: f.operatorsURL(1 + random.IntN(f.size)), Key: fmt.Sprintf("key-of-operator-%d", key)}
		c, err := client.New(config)
		if err != nil {
			panic(err)
		}
		return c
	}
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	retryLost := func(in registerInput, do func(ctx context.Context, c *client.Client) (client.BundleStatus, error)) registerOutput {
		for {
			out := h.perform(id, in, func(ctx context.Context) (client.BundleStatus, error) { return do(ctx, newClient(1+id%2)) })
			if !out.lost || stopped() {
				return out
			}
		}
	}
	for round := 0; !stopped(); round++ {
		seen := retryLost(registerInput{kind: opRead}, func(ctx context.Context, c *client.Client) (client.BundleStatus, error) {
			accepted, err := c.Bundle(ctx, "accepted")
			return accepted.BundleStatus, err
		})
		if seen.lost {
			continue
		}
		document := newDocument(4, seen.version)
		document.Note = fmt.Sprintf("operator %d, turn %d", id, round)
		data := encode(document)
		digest := digestOf(data)
		proposed := retryLost(registerInput{kind: opPropose, parent: seen.version, digest: digest},
			func(ctx context.Context, c *client.Client) (client.BundleStatus, error) { return c.Propose(ctx, data) })
		if !proposed.ok {
			continue
		}
		for !stopped() {
			ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
			_, err := newClient(2-id%2).SignOff(ctx, digest)
			cancel()
			if err == nil {
				break
			}
		}
		if !stopped() {
			retryLost(registerInput{kind: opAccept, digest: digest},
				func(ctx context.Context, c *client.Client) (client.BundleStatus, error) { return c.Accept(ctx, digest) })
		}
	}
}

func digestOf(data []byte) string {
	parsed, err := bundle.Parse(data)
	if err != nil {
		panic(err)
	}
	return parsed.Digest().String()
}

// watchVersions polls the version in force at daemon n until stop and reports an
// error each time it decreases. Version 0 is ignored: a daemon without a bundle
// reports it.
func (f *fleet) watchVersions(c *qt.C, n int, stop <-chan struct{}) {
	highest := uint64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		version, err := f.version(n)
		if err != nil || version == 0 {
			continue
		}
		if version < highest {
			c.Errorf("daemon %d went back from version %d to %d", n, highest, version)
		}
		highest = max(highest, version)
	}
}

// version returns the version in force at daemon n.
func (f *fleet) version(n int) (uint64, error) {
	body, err := get(f.operatorsURL(n) + "/metrics")
	if err != nil {
		return 0, err
	}
	match := versionMetric.FindStringSubmatch(body)
	if match == nil {
		return 0, errors.New("oleanderramp_bundle_version is missing in the metrics")
	}
	return strconv.ParseUint(match[1], 10, 64)
}

// TestRegisterHistory has concurrent operators change the bundle through all
// daemons while daemons are killed, wiped, frozen and disconnected. It checks
// the history against registerModel, and that no daemon goes back to an earlier
// version.
func TestRegisterHistory(t *testing.T) {
	c := qt.New(t)
	seed := seedOf(c)
	f := startRelayedFleet(c, 5, 3)
	h := &history{started: time.Now()}
	stop := make(chan struct{})
	var operators sync.WaitGroup
	for id := range registerOperators {
		operators.Go(func() { h.runOperator(f, id, rand.New(rand.NewPCG(seed, uint64(id))), stop) })
	}
	stopWatching := make(chan struct{})
	var watchers sync.WaitGroup
	for n := 1; n <= f.size; n++ {
		watchers.Go(func() { f.watchVersions(c, n, stopWatching) })
	}
	f.injectRegisterFaults(c, rand.New(rand.NewPCG(seed, 99)))
	close(stop)
	operators.Wait()
	healed := time.Now()
	final := h.perform(0, registerInput{kind: opRead}, func(ctx context.Context) (client.BundleStatus, error) {
		accepted, err := f.operatorClient(1).Bundle(ctx, "accepted")
		return accepted.BundleStatus, err
	})
	c.Assert(final.ok, qt.IsTrue)
	for n := 1; n <= f.size; n++ {
		c.Check(f.awaitVersion(n, final.version), qt.IsNil)
	}
	c.Check(time.Since(healed) < propagationLimit, qt.IsTrue)
	close(stopWatching)
	watchers.Wait()
	c.Logf("%d operations, version %d", len(h.ops), final.version)
	c.Assert(final.version > 10, qt.IsTrue)
	checkHistory(c, registerModel, h.ops)
}

// injectRegisterFaults injects faults in an order that the seed determines. A
// majority of the three replicas stays available.
func (f *fleet) injectRegisterFaults(c *qt.C, random *rand.Rand) {
	all := []int{1, 2, 3, 4, 5}
	wipe := func() {
		n := 4 + random.IntN(2)
		c.Check(f.kill(f.host(n)), qt.IsNil)
		c.Check(os.RemoveAll(f.dataFolder(n)), qt.IsNil)
		c.Check(f.startDaemon(n, false), qt.IsNil)
	}
	faults := map[string]func(){
		"kill leader": func() {
			if n := f.leader(4); n != 0 {
				c.Check(f.restart(n), qt.IsNil)
			}
		},
		"kill replica": func() { c.Check(f.restart(1+random.IntN(3)), qt.IsNil) },
		"wipe":         wipe,
		"wipe again":   wipe,
		"freeze": func() {
			n := 1 + random.IntN(f.size)
			c.Check(f.signal(f.host(n), syscall.SIGSTOP), qt.IsNil)
			time.Sleep(2500 * time.Millisecond)
			c.Check(f.signal(f.host(n), syscall.SIGCONT), qt.IsNil)
		},
		"cut": func() {
			n := 1 + random.IntN(f.size)
			f.relays.cut([]int{n}, all)
			time.Sleep(1500 * time.Millisecond)
			f.relays.heal([]int{n}, all)
		},
		"silence": func() { f.relays.silence(all, all) },
	}
	names := []string{"kill leader", "kill replica", "wipe", "wipe again", "freeze", "cut", "silence"}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	c.Logf("faults: %v", names)
	for _, name := range names {
		faults[name]()
		time.Sleep(time.Second) // Let operators make progress between faults.
	}
}
