package memgate

import (
	"context"
	"time"

	"github.com/apex/log"

	"oleanderramp/internal/membudget"
)

const (
	// smallBytes is the size up to which a claim may use the reserved part of the
	// budget: the body of an ordinary request of up to 72 KB, while it is copied.
	smallBytes = 192 << 10
	// stallTime is the time without progress after which a claim may be evicted while
	// there is too little memory.
	stallTime = 500 * time.Millisecond
)

// NewForProcess returns the gate of a process with the setting memory_mb, or 0. It also
// returns memory to the system that is free after a load, until Close.
func NewForProcess(memoryMB int, l log.Interface) *Gate {
	g := New(membudget.Config{Bytes: membudget.BytesFor(ProcessBytes(memoryMB)), SmallBytes: smallBytes, StallTime: stallTime}, l)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.done.Go(func() { g.releaseFreed(ctx) })
	return g
}

// Close ends what NewForProcess started.
func (g *Gate) Close() {
	if g.stop != nil {
		g.stop()
	}
	g.done.Wait()
}
