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
	// cachedFor is how long an unused part is taken to be there yet.
	cachedFor = 30 * time.Second
)

// link is a part of a prompt together with all parts before it.
type link struct {
	key uint64
	// tokens counts this part alone.
	tokens int
}

// chainOf returns the links of a prompt.
func chainOf(parts []Part) []link {
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

// mix spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], x)
	return xxhash.Sum64(bytes[:])
}

// cache remembers which shared prompt parts an endpoint has read, and when
// they were last used.
type cache map[uint64]time.Time

// use records that the endpoint has read the part.
func (c cache) use(now, used time.Time, key uint64) {
	if len(c) >= maxCachedParts {
		for other, last := range c {
			if now.Sub(last) >= cachedFor/2 {
				delete(c, other)
			}
		}
	}
	if len(c) < maxCachedParts && used.After(c[key]) {
		c[key] = used
	}
}

// held returns how many tokens of the prompt the endpoint need not read.
func (c cache) held(now time.Time, chain []link) int {
	tokens := 0
	for _, l := range shared(chain) {
		if used, ok := c[l.key]; !ok || now.Sub(used) >= cachedFor {
			break
		}
		tokens += l.tokens
	}
	return tokens
}

// shared returns the links without the last one, which is the request's own.
func shared(chain []link) []link { return chain[:max(len(chain)-1, 0)] }

// sharedTokens returns the length of the shared parts.
func sharedTokens(chain []link) int {
	tokens := 0
	for _, l := range shared(chain) {
		tokens += l.tokens
	}
	return tokens
}
