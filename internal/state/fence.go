package state

import (
	"cmp"
	"slices"

	"oleanderramp/internal/wire"
)

// maxLeaseMS is the longest lease of a fence.
const maxLeaseMS = 3_600_000

// fence is a named lease with a fencing token. The token increases with each
// new holder, and when an expired lease is acquired again.
type fence struct {
	token     uint64
	holder    process
	expiresMS int64
}

func (f fence) toWire(c *clock) *wire.Fence {
	return &wire.Fence{Number: f.token, Holder: f.holder.toWire(), ExpiresUnixMs: c.toUnixMS(f.expiresMS)}
}

// fenceTable holds the fences. A fence is never removed, because its token must
// never decrease.
type fenceTable struct {
	limits Limits
	byName map[string]fence
}

func newFenceTable(limits Limits) *fenceTable {
	return &fenceTable{limits: limits, byName: make(map[string]fence)}
}

func (m *Machine) acquireFence(request *wire.AcquireFence) *wire.Result {
	if !isValidText(request.GetName(), maxNameBytes) || request.GetLeaseMs() > maxLeaseMS {
		return errorResult(CodeBadCommand, "a fence needs a name and a lease of at most %d ms", maxLeaseMS)
	}
	holder := processFromWire(request.GetHolder())
	if !holder.valid() {
		return errorResult(CodeBadCommand, "the holder needs a host and an incarnation")
	}
	if m.processes.hasEnded(holder) {
		return errorResult(CodeProcessAbandoned, "process %d of host %s was superseded or abandoned", holder.incarnation, holder.host)
	}
	return m.fences.acquire(&m.clock, request.GetName(), holder, int64(request.GetLeaseMs()))
}

func (t *fenceTable) acquire(c *clock, name string, holder process, leaseMS int64) *wire.Result {
	held, found := t.byName[name]
	if !found && len(t.byName) >= t.limits.MaxFences {
		return errorResult(CodeFencesFull, "there is no room for another fence")
	}
	live := held.expiresMS > c.nowMS
	if live && held.holder != holder {
		refused := errorResult(CodeFenceHeld, "host %s holds the fence", held.holder.host)
		refused.Body = &wire.Result_Fence{Fence: held.toWire(c)}
		return refused
	}
	if !live {
		held.token++
	}
	held.holder = holder
	held.expiresMS = c.nowMS + leaseMS
	t.byName[name] = held
	return &wire.Result{Body: &wire.Result_Fence{Fence: held.toWire(c)}}
}

// Fence returns the latest lease of the name, which may have expired.
func (m *Machine) Fence(name string) (*wire.Fence, bool) {
	held, found := m.fences.byName[name]
	if !found {
		return nil, false
	}
	return held.toWire(&m.clock), true
}

func (t *fenceTable) sorted() []*wire.NamedFence {
	fences := make([]*wire.NamedFence, 0, len(t.byName))
	for name, held := range t.byName {
		fences = append(fences, &wire.NamedFence{
			Name: name, Number: held.token, Holder: held.holder.toWire(), ExpiresMs: held.expiresMS,
		})
	}
	slices.SortFunc(fences, func(a, b *wire.NamedFence) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return fences
}
