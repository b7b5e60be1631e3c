package site

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/balance"
	"oleanderramp/internal/directory"
	"oleanderramp/internal/discovery"
	"oleanderramp/internal/edge"
	"oleanderramp/internal/event"
	"oleanderramp/internal/prefixes"
	"oleanderramp/internal/quarantine"
	"oleanderramp/internal/ratelimit"
	"oleanderramp/internal/share"
	"oleanderramp/internal/wire"
)

// maxDocumentBytes bounds the size of a routing table as the operator sends it.
const maxDocumentBytes = 16 << 20

// errDocumentTooLarge is the error of a routing table of more than
// maxDocumentBytes.
var errDocumentTooLarge = fmt.Errorf("routing table is larger than %d bytes", maxDocumentBytes)

// compress returns the document in its stored and transmitted form.
func compress(document []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestCompression) // The level is valid.
	_, _ = w.Write(document)                             // Writing to a bytes.Buffer never fails.
	_ = w.Close()                                        // As above.
	return out.Bytes()
}

// checkSize returns errDocumentTooLarge for a document that decompress would
// refuse.
func checkSize(document []byte) error {
	if len(document) > maxDocumentBytes {
		return errDocumentTooLarge
	}
	return nil
}

// decompress reverses compress. It returns errDocumentTooLarge instead of a
// part of a document that is too large.
func decompress(data []byte) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("decompress routing table: %w", err)
	case len(document) > maxDocumentBytes:
		return nil, errDocumentTooLarge
	}
	return document, nil
}

// milliseconds returns an age in its transmitted form. Negative ages become 0.
func milliseconds(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

func hostToWire(h discovery.Host) *wire.ControlHost {
	return &wire.ControlHost{
		Address: h.Address, Incarnation: h.Incarnation, Region: h.Region, Zone: h.Zone, Replica: h.Replica, Draining: h.Draining,
	}
}

func hostFromWire(h *wire.ControlHost) discovery.Host {
	return discovery.Host{
		Address: h.GetAddress(), Incarnation: h.GetIncarnation(), Region: h.GetRegion(), Zone: h.GetZone(),
		Replica: h.GetReplica(), Draining: h.GetDraining(),
	}
}

func hostsToWire(hosts []discovery.Host) []*wire.ControlHost {
	list := make([]*wire.ControlHost, len(hosts))
	for i, h := range hosts {
		list[i] = hostToWire(h)
	}
	return list
}

// maxKnown bounds the time since the start of an endpoint as daemons tell it each other.
const maxKnown = 24 * time.Hour

func entriesToWire(now time.Time, entries []directory.Entry) []*wire.EndpointEntry {
	list := make([]*wire.EndpointEntry, len(entries))
	for i, e := range entries {
		list[i] = &wire.EndpointEntry{
			Id: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone, Region: e.Region, Sequence: e.Sequence,
			Slots: uint32(e.Slots), Leaving: e.Leaving, HeardMsAgo: milliseconds(now.Sub(e.LastSeen)),
			RateLimit: rateLimitToWire(now, e.RateLimit), Software: e.Software, ColdMs: milliseconds(e.ColdFor),
		}
		if !e.FirstSeen.IsZero() {
			list[i].KnownMs = milliseconds(min(e.LastSeen.Sub(e.FirstSeen), maxKnown))
		}
		if !e.Started.IsZero() {
			list[i].BornMs = e.Started.UnixMilli()
		}
	}
	return list
}

func entryFromWire(now time.Time, e *wire.EndpointEntry) directory.Entry {
	entry := directory.Entry{
		ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), Zone: e.GetZone(), Region: e.GetRegion(),
		Sequence: e.GetSequence(), Slots: int(e.GetSlots()), Leaving: e.GetLeaving(),
		LastSeen:  now.Add(-time.Duration(e.GetHeardMsAgo()) * time.Millisecond),
		RateLimit: rateLimitFromWire(now, e.GetRateLimit()),
		Software:  e.GetSoftware(),
		ColdFor:   time.Duration(e.GetColdMs()) * time.Millisecond,
	}
	if known := e.GetKnownMs(); known != 0 {
		entry.FirstSeen = entry.LastSeen.Add(-time.Duration(known) * time.Millisecond)
	}
	if e.GetBornMs() != 0 {
		entry.Started = time.UnixMilli(e.GetBornMs())
	}
	return entry
}

// entriesFromWire returns the valid entries of the list, which another daemon has sent or
// an earlier one has saved, and logs the others. source names where they come from.
func entriesFromWire(l log.Interface, now time.Time, list []*wire.EndpointEntry, source string) []directory.Entry {
	entries := make([]directory.Entry, 0, len(list))
	for _, e := range list {
		entry := entryFromWire(now, e)
		if err := entry.Validate(); err != nil {
			event.AnnouncementRefused.Log(l, event.Fields{"endpoint": fmt.Sprintf("%.64s", entry.ID), "error": err.Error(), "remote": source})
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}

// rateLimitToWire returns nil for an endpoint that has stated nothing.
func rateLimitToWire(now time.Time, l directory.RateLimit) *wire.RateLimit {
	if l.StatedAt.IsZero() {
		return nil
	}
	return &wire.RateLimit{PerSecond: l.PerSecond, StatedMsAgo: milliseconds(now.Sub(l.StatedAt))}
}

func rateLimitFromWire(now time.Time, l *wire.RateLimit) directory.RateLimit {
	if l == nil {
		return directory.RateLimit{}
	}
	return directory.RateLimit{
		PerSecond: l.GetPerSecond(), StatedAt: now.Add(-time.Duration(l.GetStatedMsAgo()) * time.Millisecond),
	}
}

func rateLimitReportsToWire(now time.Time, reports []balance.RateLimitReport) []*wire.RateLimitReport {
	list := make([]*wire.RateLimitReport, len(reports))
	for i, r := range reports {
		list[i] = &wire.RateLimitReport{Endpoint: r.Endpoint, Limit: rateLimitToWire(now, r.Limit)}
		if !r.Started.IsZero() {
			list[i].BornMs = r.Started.UnixMilli()
		}
	}
	return list
}

func cachedToWire(now time.Time, entries []prefixes.Entry) []*wire.CachedPart {
	list := make([]*wire.CachedPart, len(entries))
	for i, e := range entries {
		list[i] = &wire.CachedPart{Key: e.Key, Endpoint: e.Endpoint, UsedMsAgo: milliseconds(now.Sub(e.Used))}
	}
	return list
}

func cachedFromWire(now time.Time, list []*wire.CachedPart) []prefixes.Entry {
	entries := make([]prefixes.Entry, len(list))
	for i, p := range list {
		entries[i] = prefixes.Entry{
			Key: p.GetKey(), Endpoint: p.GetEndpoint(), Used: now.Add(-time.Duration(p.GetUsedMsAgo()) * time.Millisecond),
		}
	}
	return entries
}

func crashersToWire(now time.Time, crashers []edge.Crasher) []*wire.Crasher {
	list := make([]*wire.Crasher, len(crashers))
	for i, c := range crashers {
		list[i] = &wire.Crasher{Digest: c.Digest[:], Quarantined: c.Quarantined, LeftMs: milliseconds(c.Until.Sub(now))}
	}
	return list
}

func crashersFromWire(now time.Time, list []*wire.Crasher) []edge.Crasher {
	var crashers []edge.Crasher
	for _, c := range list {
		crasher := edge.Crasher{Quarantined: c.GetQuarantined(), Until: now.Add(time.Duration(c.GetLeftMs()) * time.Millisecond)}
		if copy(crasher.Digest[:], c.GetDigest()) == len(crasher.Digest) {
			crashers = append(crashers, crasher)
		}
	}
	return crashers
}

func partsToWire(now time.Time, reports []quarantine.PartReport) []*wire.PartReport {
	list := make([]*wire.PartReport, len(reports))
	for i, r := range reports {
		list[i] = &wire.PartReport{Part: r.Part[:], Crash: r.Crash, EndedMsAgo: milliseconds(now.Sub(r.At))}
		if r.Crash != 0 {
			list[i].SentMsAgo = milliseconds(now.Sub(r.SentAt))
		}
	}
	return list
}

func partsFromWire(now time.Time, list []*wire.PartReport) []quarantine.PartReport {
	var reports []quarantine.PartReport
	for _, r := range list {
		report := quarantine.PartReport{
			Crash: r.GetCrash(), At: now.Add(-time.Duration(r.GetEndedMsAgo()) * time.Millisecond),
			SentAt: now.Add(-time.Duration(r.GetSentMsAgo()) * time.Millisecond),
		}
		if copy(report.Part[:], r.GetPart()) == len(report.Part) {
			reports = append(reports, report)
		}
	}
	return reports
}

func reportToWire(loads map[string]balance.Load, uses []share.Use, routers int) *wire.LoadReport {
	report := &wire.LoadReport{Routers: uint32(routers)}
	for id, l := range loads {
		report.Endpoints = append(report.Endpoints, &wire.EndpointLoad{
			Id: id, Running: uint32(l.Running), PrefillTokens: uint64(l.Prefill), MemoryTokens: uint64(l.Memory),
			RecentRequests: uint32(l.Recent.Requests), RecentUse: l.Recent.Use,
		})
	}
	for _, u := range uses {
		report.Accounts = append(report.Accounts, &wire.AccountLoad{
			Account: u.Account, Asked: uint64(u.Asked), Admitted: uint64(u.Admitted), Shed: uint64(u.Shed),
			Unplaced: uint64(u.Unplaced), Placed: uint64(u.Placed),
		})
	}
	return report
}

func reportFromWire(report *wire.LoadReport) (map[string]balance.Load, []share.Use) {
	loads := make(map[string]balance.Load, len(report.GetEndpoints()))
	for _, l := range report.GetEndpoints() {
		loads[l.GetId()] = balance.Load{
			Running: int(l.GetRunning()), Prefill: int(l.GetPrefillTokens()), Memory: int(l.GetMemoryTokens()),
			Recent: ratelimit.Sent{Requests: int(l.GetRecentRequests()), Use: l.GetRecentUse()},
		}
	}
	uses := make([]share.Use, len(report.GetAccounts()))
	for i, u := range report.GetAccounts() {
		uses[i] = share.Use{
			Account: u.GetAccount(), Asked: float64(u.GetAsked()), Admitted: float64(u.GetAdmitted()),
			Shed: float64(u.GetShed()), Unplaced: float64(u.GetUnplaced()), Placed: float64(u.GetPlaced()),
		}
	}
	return loads, uses
}

// sumReports returns the sum of the load of several routers.
func sumReports(reports []*wire.LoadReport) *wire.LoadReport {
	loads := make(map[string]balance.Load)
	uses := make(map[string]share.Use)
	routers, counting := 0, uint32(0)
	for _, report := range reports {
		routers += int(report.GetRouters())
		counting += report.GetCountingRouters()
		more, used := reportFromWire(report)
		for id, l := range more {
			loads[id] = loads[id].Add(l)
		}
		for _, u := range used {
			uses[u.Account] = u.Add(uses[u.Account])
		}
	}
	list := make([]share.Use, 0, len(uses))
	for _, u := range uses {
		list = append(list, u)
	}
	sum := reportToWire(loads, list, routers)
	sum.CountingRouters = counting
	return sum
}
