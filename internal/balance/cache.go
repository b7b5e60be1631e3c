package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCachedParts bounds the prompt parts recorded for an endpoint.
	maxCachedParts = 4096
	// maxCacheAge and minCacheAge bound the time for which an unused part is
	// assumed to stay in an engine's memory.
	maxCacheAge = 30 * time.Second
	minCacheAge = time.Second
	// newTokenFraction is the fraction of a request's tokens that takes new
	// memory. The rest is shared with other requests.
	newTokenFraction = 0.6
)

// link identifies a part of a prompt together with all parts before it.
type link struct {
	key uint64
	// tokens is the length of this part alone.
	tokens int
}

// prefixChain returns the links of a prompt.
func prefixChain(parts []Part) []link {
	chain := make([]link, len(parts))
	var before [8]byte
	for i, part := range parts {
		digest := xxhash.New()
		_, _ = digest.Write(before[:])     // Writing to a digest never fails.
		_, _ = digest.WriteString(part.ID) // Writing to a digest never fails.
		chain[i] = link{key: digest.Sum64(), tokens: part.Tokens}
		binary.LittleEndian.PutUint64(before[:], chain[i].key)
	}
	return chain
}

// mixHash spreads the bits of two hashes combined by XOR.
func mixHash(x uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], x)
	return xxhash.Sum64(bytes[:])
}

// cache maps the shared prompt parts that an endpoint has read to the time of
// their last use.
type cache map[uint64]time.Time

// touch records that the endpoint used the part at the given time. A full cache
// first drops the parts that were not used for half of maxCacheAge; if it is
// still full, the part is not recorded.
func (c cache) touch(now, used time.Time, key uint64) {
	if len(c) >= maxCachedParts {
		for other, last := range c {
			if now.Sub(last) >= maxCacheAge/2 {
				delete(c, other)
			}
		}
	}
	if len(c) < maxCachedParts && used.After(c[key]) {
		c[key] = used
	}
}

// expectedTokens returns the expected number of prompt tokens that the endpoint
// has cached and need not read. The probability that a part is still cached is
// taken to fall linearly with the time since its last use and to reach 0 at the
// lifetime of unused parts.
func (c cache) expectedTokens(now time.Time, chain []link, lifetime time.Duration) int {
	tokens := 0.0
	for _, l := range sharedLinks(chain) {
		age := now.Sub(c[l.key]) // A part that was never read has the greatest age.
		if age >= lifetime {
			break
		}
		tokens += float64(l.tokens) * (1 - float64(max(age, 0))/float64(lifetime))
	}
	return int(tokens)
}

// cacheLifetime returns how long an unused part stays in an engine's memory.
// Engines evict the least recently used parts to make room for running requests,
// so the lifetime is the time in which the new tokens fill the memory that the
// running requests leave free.
func (s *service) cacheLifetime(load Load) time.Duration {
	memory := float64(s.engine.MemoryTokens)
	if memory == 0 || load.Memory == 0 {
		return maxCacheAge
	}
	perMS := newTokenFraction * float64(load.Memory) / s.runMS
	free := max(memory-float64(load.Memory), 0)
	return min(max(duration(free/perMS), minCacheAge), maxCacheAge)
}

// sharedLinks returns the links without the last one, which is specific to the
// request.
func sharedLinks(chain []link) []link { return chain[:max(len(chain)-1, 0)] }

// sharedTokens returns the number of tokens in the shared parts.
func sharedTokens(chain []link) int {
	tokens := 0
	for _, l := range sharedLinks(chain) {
		tokens += l.tokens
	}
	return tokens
}
