package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxCachedParts bounds the prompt parts that are remembered for an endpoint.
const maxCachedParts = 4096

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

// cache remembers which shared prompt parts an endpoint has read. When it is
// full, the half that was used least recently is forgotten.
type cache struct {
	recent, former map[uint64]struct{}
}

func newCache() cache {
	return cache{recent: make(map[uint64]struct{}), former: make(map[uint64]struct{})}
}

// read records that the endpoint has read the prompt. The last part is the
// request's own and not shared.
func (c *cache) read(chain []link) {
	for _, l := range chain[:max(len(chain)-1, 0)] {
		c.recent[l.key] = struct{}{}
	}
	if len(c.recent) >= maxCachedParts/2 {
		c.former, c.recent = c.recent, make(map[uint64]struct{})
	}
}

func (c *cache) has(key uint64) bool {
	if _, ok := c.recent[key]; ok {
		return true
	}
	_, ok := c.former[key]
	return ok
}

// held returns how many tokens of the prompt the endpoint need not read.
// Requests of all routers of the region meet at their home, so their shared
// parts are taken to be there.
func (c *cache) held(chain []link, home bool) int {
	tokens := 0
	for _, l := range chain[:max(len(chain)-1, 0)] {
		if !home && !c.has(l.key) {
			break
		}
		tokens += l.tokens
	}
	return tokens
}
