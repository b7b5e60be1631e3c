package state

import "oleanderramp/internal/wire"

// CodeBadRouting refuses a routing table without a version or a document.
const CodeBadRouting = "bad_routing"

// routingTable is the routing table with the highest version received.
type routingTable struct {
	version uint64
	// document is in the form of wire.RoutingState. It is never modified in
	// place.
	document []byte
}

// replaceRouting stores the routing table if its version is higher than the
// stored one. A table with the same or a lower version is accepted without any
// effect.
func (m *Machine) replaceRouting(command *wire.ReplaceRouting) *wire.Result {
	if command.GetVersion() == 0 || len(command.GetDocument()) == 0 {
		return errorResult(CodeBadRouting, "a routing table needs a version and a document")
	}
	if command.GetVersion() > m.routing.version {
		m.routing = routingTable{version: command.GetVersion(), document: command.GetDocument()}
		m.revision++
	}
	return &wire.Result{}
}

// Routing returns the current routing table, or nil if there is none.
func (m *Machine) Routing() *wire.RoutingState {
	if m.routing.version == 0 {
		return nil
	}
	return &wire.RoutingState{Version: m.routing.version, Document: m.routing.document}
}
