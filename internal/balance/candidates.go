package balance

import (
	"cmp"
	"slices"

	"oleanderramp/internal/directory"
)

const (
	// maxCompared is the number of endpoints up to which all endpoints of a service
	// are compared for a request.
	maxCompared = 24
	// minNear is the number of endpoints from which on the region of a larger
	// service suffices for its routers, as long as one of them has capacity.
	minNear = 12
	// groupSize is the number of endpoints of a larger service that are compared
	// at a time. Routers learn of each other's requests late: if all of them
	// compared all endpoints, they would send their requests to the same one.
	groupSize = 24
	// minSharedTokens is the length of the shared prompt parts from which on
	// requests with the same parts prefer the same endpoints. Reading fewer takes
	// less time than waiting for others that do.
	minSharedTokens = 256
)

// preferenceKey returns the key of the demand's order of preference. Demands that
// share a long prompt prefix have the same order at all routers, so that they meet
// where the prefix is cached. Others spread by their seed.
func preferenceKey(d Demand, chain []link) uint64 {
	if len(chain) >= 2 && sharedTokens(chain) >= minSharedTokens {
		return chain[len(chain)-2].key
	}
	return d.Seed
}

// groups returns the eligible endpoints in the groups in which they are compared: all
// at once if there are few. Otherwise the groups follow the order of preference for the
// key, by rendezvous hashing. Endpoints of the region come first if there are minNear of
// them.
func groups(eligible []*endpoint, region string, key uint64) [][]*endpoint {
	if len(eligible) <= maxCompared {
		return [][]*endpoint{eligible}
	}
	ordered := slices.Clone(eligible)
	near := 0
	for _, e := range ordered {
		e.score = mixHash(e.hash ^ key)
		if e.entry.Region == region {
			near++
		}
	}
	slices.SortFunc(ordered, func(a, b *endpoint) int {
		aNear, bNear := a.entry.Region == region, b.entry.Region == region
		if near >= minNear && aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	return slices.Collect(slices.Chunk(ordered, groupSize))
}

// FirstChoice returns the IDs of the endpoints that routers of the region choose
// first: those of the region for services that are compared in groups and have
// minNear of them there, and otherwise all. The routers need to hear of the others
// less often.
func FirstChoice(entries []directory.Entry, region string) map[string]bool {
	total, near := make(map[string]int), make(map[string]int)
	for _, e := range entries {
		total[e.Service]++
		if e.Region == region {
			near[e.Service]++
		}
	}
	first := make(map[string]bool, len(entries))
	for _, e := range entries {
		nearSuffices := total[e.Service] > maxCompared && near[e.Service] >= minNear
		if e.Region == region || !nearSuffices {
			first[e.ID] = true
		}
	}
	return first
}
