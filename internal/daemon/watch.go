package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/peer"
	"oleanderramp/internal/settings"
	"oleanderramp/internal/wire"
)

// Timing of a bundle watch.
const (
	// watchTimeout is how long a watch may go without an update. The replica
	// sends one every confirmPeriod.
	watchTimeout    = 2500 * time.Millisecond
	watchRetryDelay = 200 * time.Millisecond
)

// watcher keeps the bundle in force up to date by a watch on a replica. It uses
// this daemon's own replica if there is one. Otherwise it tries the replica hosts
// in turn, those of its own region first.
type watcher struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// newWatcher starts to watch. local is this daemon's own replica, or nil.
func newWatcher(s *settings.Settings, self *wire.Process, dialer *peer.Dialer, local peer.StateHandler, bundles *bundleHolder) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{stop: cancel}
	hosts := replicaHosts(s)
	w.done.Go(func() {
		for attempt := 0; ctx.Err() == nil; attempt++ {
			request := &wire.WatchBundleRequest{Watcher: self, Have: bundles.ResumeVersion()}
			if local != nil {
				_ = watchLocal(ctx, local, request, bundles) // Retried after watchRetryDelay.
			} else if len(hosts) > 0 {
				_ = watchRemote(ctx, dialer, hosts[attempt%len(hosts)], request, bundles) // Retried after watchRetryDelay.
			}
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
		}
	})
	return w
}

// replicaHosts returns the hosts with the role replica, those of the daemon's
// own region first.
func replicaHosts(s *settings.Settings) []string {
	var sameRegion, otherRegions []string
	for _, h := range s.ControlHosts {
		switch {
		case !slices.Contains(h.Roles, settings.RoleReplica):
		case h.Region == s.Region:
			sameRegion = append(sameRegion, h.Host)
		default:
			otherRegions = append(otherRegions, h.Host)
		}
	}
	return append(sameRegion, otherRegions...)
}

func watchLocal(ctx context.Context, local peer.StateHandler, request *wire.WatchBundleRequest, bundles *bundleHolder) error {
	return local.Watch(ctx, request, func(u *wire.BundleUpdate) error { return bundles.update(time.Now(), u) })
}

// errWatchTimedOut cancels a watch that got no update for watchTimeout.
var errWatchTimedOut = errors.New("bundle watch timed out without an update")

func watchRemote(ctx context.Context, dialer *peer.Dialer, host string, request *wire.WatchBundleRequest, bundles *bundleHolder) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := dialer.Conn(host)
	if err != nil {
		return err
	}
	watchdog := time.AfterFunc(watchTimeout, func() {
		cancel(errWatchTimedOut)
		dialer.Drop(host, conn)
	})
	defer watchdog.Stop()
	stream, err := wire.NewStateClient(conn).WatchBundle(ctx, request)
	if err != nil {
		return err
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(watchTimeout)
		if err := bundles.update(time.Now(), u); err != nil {
			return err
		}
	}
}

// Close stops the watch and waits for the goroutine.
func (w *watcher) Close() error {
	w.stop()
	w.done.Wait()
	return nil
}
