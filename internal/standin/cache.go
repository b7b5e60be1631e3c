package standin

import (
	"container/list"
	"sync"

	"oleanderramp/internal/endpoint"
)

// announcedHashes is the maximum number of block hashes in an announcement.
const announcedHashes = 256

// prefixCache is an LRU cache of the hashes of prompt blocks.
type prefixCache struct {
	capacity int

	mu sync.Mutex
	// order holds the hashes, most recently used first.
	order list.List
	// elements maps each hash to its element in order.
	elements map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, elements: make(map[uint64]*list.Element)}
}

// use returns how many leading blocks of the chain were cached, and caches the
// whole chain.
func (c *prefixCache) use(chain []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(chain) && c.elements[chain[hits]] != nil {
		hits++
	}
	// The first block is touched last, so that it is evicted last: without it
	// the later blocks of the chain cannot be hit.
	for i := len(chain) - 1; i >= 0; i-- {
		c.touch(chain[i])
	}
	for c.order.Len() > c.capacity {
		delete(c.elements, c.order.Remove(c.order.Back()).(uint64))
	}
	return hits
}

func (c *prefixCache) touch(hash uint64) {
	if element := c.elements[hash]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.elements[hash] = c.order.PushFront(hash)
}

// announced returns the most recently used hashes, at most announcedHashes.
func (c *prefixCache) announced() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hashes []string
	for element := c.order.Front(); element != nil && len(hashes) < announcedHashes; element = element.Next() {
		hashes = append(hashes, endpoint.FormatHash(element.Value.(uint64)))
	}
	return hashes
}
