package scheduler

import "slices"

// holdersPerPrefix bounds the number of endpoints remembered for one prefix.
const holdersPerPrefix = 4

// prefixHistory maps hashes of prompt prefixes to the endpoints that are likely
// to have them cached. It discards the older half when it is full.
type prefixHistory struct {
	limit             int
	current, previous map[uint64][]*endpoint
}

func newPrefixHistory(limit int) prefixHistory {
	return prefixHistory{limit: limit, current: make(map[uint64][]*endpoint)}
}

// addAll records that e has the prefixes cached.
func (h *prefixHistory) addAll(hashes []uint64, e *endpoint) {
	for _, hash := range hashes {
		h.add(hash, e)
	}
}

func (h *prefixHistory) add(hash uint64, e *endpoint) {
	holders, ok := h.current[hash]
	if !ok {
		holders = h.previous[hash]
	}
	if len(holders) > 0 && holders[0] == e && ok {
		return
	}
	next := make([]*endpoint, 1, holdersPerPrefix)
	next[0] = e
	for _, o := range holders {
		if o != e && !o.replaced && len(next) < holdersPerPrefix {
			next = append(next, o)
		}
	}
	if !ok && len(h.current) >= h.limit/2 {
		h.previous = h.current
		h.current = make(map[uint64][]*endpoint)
	}
	h.current[hash] = next
}

// holder returns the free endpoint with the longest cached prefix for which
// accept returns true, or nil.
func (h *prefixHistory) holder(prefix []uint64, accept func(*endpoint) bool) *endpoint {
	for _, hash := range slices.Backward(prefix) {
		holders, ok := h.current[hash]
		if !ok {
			holders = h.previous[hash]
		}
		for _, e := range holders {
			if e.position >= 0 && accept(e) {
				return e
			}
		}
	}
	return nil
}
