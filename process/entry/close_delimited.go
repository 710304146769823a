package entry

import (
	"context"
	"net"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// ConnContext is for http.Server.ConnContext. Without it, a response that an HTTP/1.0 caller
// gets without a length may break off and look complete.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

const (
	resetOnClose   = 0  // seconds for SetLinger: bytes that are not sent yet are dropped
	orderedOnClose = -1 // the default
)

// setLinger sets how the kernel ends the caller's connection once it is closed. It does so,
// too, when the process is killed.
func (q *request) setLinger(seconds int) {
	if conn, ok := q.callerRequest.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(seconds) // fails only if the connection is closed
	}
}
