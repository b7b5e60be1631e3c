package memgate

import (
	"errors"
	"io"
	"sync"
	"time"
)

// discardBuffers holds buffers for bytes that are discarded.
var discardBuffers = sync.Pool{New: func() any { return new([discardStep]byte) }}

// discardStep is the size of a buffer for bytes that are discarded.
const discardStep = 16 << 10

// Discard reads and discards at most limit bytes of a body until a time, and reports
// whether that was all of it. It ends early when all clients together have sent too
// much to discard. A read that waits is ended by the connection's deadline.
func (g *Gate) Discard(body io.Reader, limit int64, until time.Time) (whole bool) {
	buffer := discardBuffers.Get().(*[discardStep]byte)
	defer discardBuffers.Put(buffer)
	for read := int64(0); read <= limit; {
		n, err := body.Read(buffer[:])
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		read += int64(n)
		if !g.AllowDiscard(int64(n)) || !time.Now().Before(until) {
			return false
		}
	}
	return false
}
