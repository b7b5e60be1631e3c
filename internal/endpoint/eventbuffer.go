package endpoint

import "errors"

const (
	// freeEventBytes is the size of an incomplete event that every stream may hold.
	freeEventBytes = 16 << 10
	// minEventBuffer is the first size of the buffer for an incomplete event.
	minEventBuffer = 4 << 10
)

var (
	errEventTooLarge = errors.New("an event of the stream is too large")
	errNoEventMemory = errors.New("too many large events are incomplete")
)

// eventBuffer holds the bytes of a stream after its last complete event.
type eventBuffer struct {
	// maxBytes is the largest size of an incomplete event.
	maxBytes int
	// pool is the memory for large events of all calls.
	pool *memoryPool
	// pending never has a capacity above reserved, once that is above freeEventBytes.
	pending []byte
	// reserved is what has been reserved in pool for pending.
	reserved int64
}

// add appends the next bytes of the stream. It fails if there is no memory for them.
func (b *eventBuffer) add(p []byte) error {
	needed := len(b.pending) + len(p)
	if needed <= cap(b.pending) {
		b.pending = append(b.pending, p...)
		return nil
	}
	size := int64(max(needed, 2*cap(b.pending), minEventBuffer))
	if size > max(freeEventBytes, b.reserved) {
		if !b.pool.reserve(size - b.reserved) {
			return errNoEventMemory
		}
		b.reserved = size
	}
	larger := make([]byte, len(b.pending), size)
	copy(larger, b.pending)
	b.pending = append(larger, p...)
	return nil
}

// release releases what is reserved, once the stream has ended.
func (b *eventBuffer) release() { b.pool.release(b.reserved) }

// discard removes the first bytes, which have been forwarded. It fails if what is left is
// larger than an event may be.
func (b *eventBuffer) discard(length int) error {
	b.pending = append(b.pending[:0], b.pending[length:]...)
	if len(b.pending) > b.maxBytes {
		return errEventTooLarge
	}
	return nil
}
