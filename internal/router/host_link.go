package router

import (
	"errors"
	"slices"
	"time"

	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
)

// hostLink returns the link to the host, creating its entry if necessary.
func (s *dispatchState) hostLink(host string) *hostLink {
	l, ok := s.links[host]
	if !ok {
		l = &hostLink{host: host}
		s.links[host] = l
	}
	return l
}

// addToBatch applies change to the next batch for the host. Without an open
// link the change is not needed: the initial batch holds the full state.
func (s *dispatchState) addToBatch(now time.Time, host string, change func(*wire.RouterBatch)) {
	if host == "" {
		return
	}
	l := s.hostLink(host)
	if l.link == nil {
		s.open(now, l)
		return
	}
	if l.batch == nil {
		l.batch = &wire.RouterBatch{}
	}
	change(l.batch)
}

// open opens the link and prepares its initial batch.
func (s *dispatchState) open(now time.Time, l *hostLink) {
	if now.Before(l.reopenAfter) {
		return
	}
	l.reopenAfter = now.Add(reopenInterval)
	var link Link
	link = s.cfg.Links.Open(l.host,
		func(batch *wire.SchedulerBatch) {
			s.enqueue(func(now time.Time, s *dispatchState) { s.handleBatch(now, l.host, batch) })
		},
		func(err error) {
			s.enqueue(func(now time.Time, s *dispatchState) { s.handleLinkClosed(now, l, link, err) })
		})
	l.link = link
	l.batch = s.initialBatch(now, l)
}

// initialBatch returns the first batch of a link, with the full state that the
// host must know.
func (s *dispatchState) initialBatch(now time.Time, l *hostLink) *wire.RouterBatch {
	batch := &wire.RouterBatch{Router: s.cfg.Self, Region: s.cfg.Region, Completions: slices.Clone(l.completions)}
	for _, w := range s.waiting {
		if w.host == l.host {
			batch.Demands = append(batch.Demands, w.demandWithWait(now))
		}
	}
	for _, r := range s.running {
		if r.host == l.host {
			batch.Running = append(batch.Running, r.state)
		}
	}
	for _, announced := range s.endpoints {
		if announced.host == l.host {
			batch.Announcements = append(batch.Announcements, announced.announcement)
		}
	}
	for key, service := range s.virtualService {
		if s.schedulerHost(now, key.service, s.cfg.Region) == l.host {
			batch.Accounts = append(batch.Accounts,
				&wire.AccountService{Service: key.service, Account: key.account, VirtualService: service})
		}
	}
	return batch
}

// handleLinkClosed handles the end of a link.
func (s *dispatchState) handleLinkClosed(now time.Time, l *hostLink, link Link, err error) {
	if l.link != link {
		return
	}
	l.markClosed(now)
	event.SchedulerLinkLost.Log(s.cfg.Log, event.Fields{"peer": l.host, "error": errorText(err)})
}

// markClosed clears the state of a closed link.
func (l *hostLink) markClosed(now time.Time) {
	if l.established {
		l.lostAt = now
	}
	l.link, l.batch, l.established = nil, nil, false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// flush sends the pending batches and opens the links that are needed.
func (s *dispatchState) flush(now time.Time) {
	for _, l := range s.links {
		if l.link == nil && s.needsLink(l.host) {
			s.open(now, l)
		}
		if l.link == nil || l.batch == nil {
			continue
		}
		batch := l.batch
		l.batch = nil
		if !l.link.Send(batch) {
			l.markClosed(now)
		}
	}
}

// needsLink reports whether a request or an endpoint is assigned to the host.
func (s *dispatchState) needsLink(host string) bool {
	for _, w := range s.waiting {
		if w.host == host {
			return true
		}
	}
	for _, r := range s.running {
		if r.host == host {
			return true
		}
	}
	for _, announced := range s.endpoints {
		if announced.host == host {
			return true
		}
	}
	return false
}

// close closes all links and waits for them.
func (s *dispatchState) close() error {
	var errs []error
	for _, l := range s.links {
		if l.link != nil {
			errs = append(errs, l.link.Close())
		}
	}
	return errors.Join(errs...)
}
