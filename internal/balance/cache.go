package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCachedParts bounds the prompt parts that are remembered for an
	// endpoint.
	maxCachedParts = 4096
	// maxCacheAge is how long an unused part is taken to be there yet, at the
	// most, and cachedLeast at the least.
	maxCacheAge = 30 * time.Second
	minCacheAge = time.Second
	// newTokenFraction is the part of a request's tokens that takes new memory: the rest
	// is shared with others.
	newTokenFraction = 0.6
)

// link is a part of a prompt together with all parts before it.
type link struct {
	key uint64
	// tokens counts this part alone.
	tokens int
}

// prefixChain returns the links of a prompt.
func prefixChain(parts []Part) []link {
	chain := make([]link, len(parts))
	var before [8]byte
	for i, part := range parts {
		digest := xxhash.New()
		_, _ = digest.Write(before[:])     // A digest takes all bytes.
		_, _ = digest.WriteString(part.ID) // As above.
		chain[i] = link{key: digest.Sum64(), tokens: part.Tokens}
		binary.LittleEndian.PutUint64(before[:], chain[i].key)
	}
	return chain
}

// mixHash spreads the bits of a combined hash.
func mixHash(x uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], x)
	return xxhash.Sum64(bytes[:])
}

// cache remembers which shared prompt parts an endpoint has read, and when
// they were last used.
type cache map[uint64]time.Time

// touch records that the endpoint has read the part.
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

// expectedTokens returns how many tokens of the prompt the endpoint need not read, as far
// as can be expected: an unused part is the less likely to be there the nearer
// its age is to the lifetime of unused parts.
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

// cacheLifetime returns how long an unused part stays in an engine's memory. The
// least recently used parts yield to what runs, so that is the time in which as
// many new tokens come as there is memory beside the running requests.
func (s *service) cacheLifetime(load Load) time.Duration {
	memory := float64(s.engine.MemoryTokens)
	if memory == 0 || load.Memory == 0 {
		return maxCacheAge
	}
	perMS := newTokenFraction * float64(load.Memory) / s.runMS
	free := max(memory-float64(load.Memory), 0)
	return min(max(duration(free/perMS), minCacheAge), maxCacheAge)
}

// sharedLinks returns the links without the last one, which is the request's own.
func sharedLinks(chain []link) []link { return chain[:max(len(chain)-1, 0)] }

// sharedTokens returns the length of the shared parts.
func sharedTokens(chain []link) int {
	tokens := 0
	for _, l := range sharedLinks(chain) {
		tokens += l.tokens
	}
	return tokens
}
