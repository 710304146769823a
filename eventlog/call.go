package eventlog

import (
	"context"
	"time"
)

// CallOptions change how a client of the log service makes a call.
type CallOptions struct {
	// NewConnection opens a connection for the call, since the kept ones may have gone
	// silent.
	NewConnection bool
	// ResponseTimeout bounds the time until a response begins, besides the time for which
	// the log service may wait. 0 for the client's own.
	ResponseTimeout time.Duration
}

type callOptionsKey struct{}

// WithCallOptions returns a context whose calls have the options.
func WithCallOptions(ctx context.Context, o CallOptions) context.Context {
	return context.WithValue(ctx, callOptionsKey{}, o)
}

// CallOptionsOf returns the options of a call.
func CallOptionsOf(ctx context.Context) CallOptions {
	o, _ := ctx.Value(callOptionsKey{}).(CallOptions)
	return o
}
