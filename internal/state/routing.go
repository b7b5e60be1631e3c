package state

import "oleanderramp/internal/wire"

// CodeBadRouting refuses a routing table without a version or a document.
const CodeBadRouting = "bad_routing"

// routingTable holds the routing table with the highest version.
type routingTable struct {
	version uint64
	// document is as in wire.RoutingState; never changed in place.
	document []byte
}

// replaceRouting keeps the table if its version is higher than that held. A
// repeated or overtaken one is accepted and changes nothing.
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

// Routing returns the routing table in force; nil when there is none.
func (m *Machine) Routing() *wire.RoutingState {
	if m.routing.version == 0 {
		return nil
	}
	return &wire.RoutingState{Version: m.routing.version, Document: m.routing.document}
}
