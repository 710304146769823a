package periodic

import (
	"context"
	"time"
)

// Run calls fn at the end of each interval until ctx ends, and returns the error of ctx.
// Calls do not overlap; the ends of intervals that pass during a call count as one.
func Run(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			fn()
		}
	}
}
