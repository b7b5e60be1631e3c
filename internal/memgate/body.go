package memgate

import (
	"context"
	"io"
	"time"

	"oleanderramp/internal/membudget"
)

const (
	// firstBytes is the first size of the buffer of a body. The buffer then doubles
	// with what has arrived, so that a body costs at most twice what its client sent.
	firstBytes = 16 << 10
	// unknownBytes is the first size for a body of unknown length.
	unknownBytes = 4 << 10
)

// ReadBody reads a whole body into memory that the claim covers. length is its size,
// or -1 if that is unknown. Errors of the body are returned as they are.
func (c *Claim) ReadBody(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	size := int64(unknownBytes)
	if length >= 0 {
		size = min(length, firstBytes)
	}
	if err := c.Grow(ctx, size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		if int64(len(buffer)) == length {
			return buffer, readEnd(body)
		}
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = c.enlarge(ctx, buffer, length); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, shortBody(int64(len(buffer)), length)
		}
		if err != nil {
			if c.Evicted() {
				err = ErrEvicted
			}
			return nil, err
		}
		if c.Evicted() {
			return nil, ErrEvicted
		}
		if cap(buffer) > firstBytes {
			c.Progress(time.Now())
		}
	}
}

// enlarge doubles a full buffer. Both buffers count until the old one is copied.
func (c *Claim) enlarge(ctx context.Context, buffer []byte, length int64) ([]byte, error) {
	size := int64(2 * cap(buffer))
	if length >= 0 {
		size = min(size, length)
	}
	if err := c.Grow(ctx, size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	c.Shrink(int64(cap(buffer)))
	return larger, nil
}

// readEnd reads the end of a body of which all bytes were read, for readers that act on
// it.
func readEnd(body io.Reader) error {
	var one [1]byte
	_, err := body.Read(one[:])
	if err == io.EOF {
		return nil
	}
	return err
}

func shortBody(got, want int64) error {
	if want >= 0 && got < want {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// OpenBody returns a claim for the body of a request.
func (g *Gate) OpenBody(holder string, evict func()) *Claim {
	return g.Open(holder, membudget.Body, evict)
}
