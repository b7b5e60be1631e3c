package edge

import "context"

// ConnectionEnd is how a caller's connection ended.
type ConnectionEnd string

// The ways in which a caller's connection ends.
const (
	// ConnectionOpen connections have not ended as far as is known.
	ConnectionOpen ConnectionEnd = "open"
	// ConnectionClosedByCaller connections were closed or reset by the caller, or lost.
	ConnectionClosedByCaller ConnectionEnd = "closed_by_caller"
	// ConnectionClosedByServer connections were closed by this daemon.
	ConnectionClosedByServer ConnectionEnd = "closed_by_server"
	// ConnectionTimedOut connections exceeded a deadline of this daemon.
	ConnectionTimedOut ConnectionEnd = "timed_out"
)

// Connection is the connection that a request arrived on.
type Connection interface {
	// End returns how the connection ended.
	End() ConnectionEnd
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// WithConnection returns the context for the requests of a connection.
func WithConnection(ctx context.Context, c Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionEnd returns how the connection of a request ended.
func connectionEnd(ctx context.Context) ConnectionEnd {
	if c, ok := ctx.Value(connectionKey{}).(Connection); ok {
		return c.End()
	}
	return ConnectionOpen
}

// attributeEnd returns the failure of a request that was abandoned, corrected if
// this daemon and not the caller ended the connection.
func attributeEnd(ctx context.Context, failed *failure) *failure {
	if failed == nil || failed.outcome != OutcomeAbandoned {
		return failed
	}
	switch end := connectionEnd(ctx); end {
	case ConnectionClosedByServer:
		return &failure{outcome: OutcomeFailed, code: CodeConnectionClosed, message: "this daemon closed the caller's connection: " + failed.message}
	case ConnectionTimedOut:
		return &failure{outcome: OutcomeFailed, code: CodeConnectionTimeout, message: "a deadline ended the caller's connection: " + failed.message}
	default:
		return failed
	}
}

// connectionEnded reports whether the caller's connection has ended, so that no
// answer can be written.
func (f *failure) connectionEnded() bool {
	return f.outcome == OutcomeAbandoned || f.code == CodeConnectionClosed || f.code == CodeConnectionTimeout
}
