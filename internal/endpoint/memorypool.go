package endpoint

import "sync/atomic"

// memoryPool bounds the memory for one purpose. It is safe for concurrent use.
type memoryPool struct {
	// limit is the maximum of used; 0 for no bound.
	limit int64
	used  atomic.Int64
}

// reserve reserves memory, and reports whether there was enough.
func (p *memoryPool) reserve(bytes int64) bool {
	if p.used.Add(bytes) > p.limit && p.limit > 0 {
		p.used.Add(-bytes)
		return false
	}
	return true
}

func (p *memoryPool) release(bytes int64) { p.used.Add(-bytes) }
