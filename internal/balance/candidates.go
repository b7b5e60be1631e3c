package balance

import (
	"cmp"
	"slices"

	"oleanderramp/internal/directory"
)

// maxCandidates is the number of endpoints among which a request's endpoint is
// chosen, and nearCandidates the number of those that are of the router's region
// if the region has fewer than maxCandidates. Routers learn of each other's
// requests late: if all of them compared all endpoints, they would send their
// requests to the same one.
const (
	maxCandidates  = 24
	nearCandidates = 16
)

// order returns the endpoints of the service in the order of preference for the
// key, by rendezvous hashing. Endpoints of the region are first if there are
// maxCandidates of them; otherwise nearCandidates of each maxCandidates are of the
// region, as long as there are that many. A service with few endpoints keeps its
// order, as all of them are compared.
func (s *service) order(region string, key uint64) []*endpoint {
	if len(s.endpoints) <= maxCandidates {
		return slices.Clone(s.endpoints)
	}
	var near, far []*endpoint
	for _, e := range s.endpoints {
		e.score = mixHash(e.hash ^ key)
		if e.entry.Region == region {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	byScore := func(a, b *endpoint) int { return cmp.Compare(b.score, a.score) }
	slices.SortFunc(near, byScore)
	slices.SortFunc(far, byScore)
	if len(near) >= maxCandidates {
		return append(near, far...)
	}
	ordered := make([]*endpoint, 0, len(s.endpoints))
	for len(near)+len(far) > 0 {
		ofNear := min(len(near), max(nearCandidates, maxCandidates-len(far)))
		ofFar := min(len(far), maxCandidates-ofNear)
		ordered = append(append(ordered, near[:ofNear]...), far[:ofFar]...)
		near, far = near[ofNear:], far[ofFar:]
	}
	return ordered
}

// FirstChoice returns the IDs of the endpoints that routers of the region choose
// first: those of the region for services that have enough of them there, and
// otherwise all. The routers need to hear of the others less often.
func FirstChoice(entries []directory.Entry, region string) map[string]bool {
	near := make(map[string]int)
	for _, e := range entries {
		if e.Region == region {
			near[e.Service]++
		}
	}
	first := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Region == region || near[e.Service] < maxCandidates {
			first[e.ID] = true
		}
	}
	return first
}
