package periodic

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a call before the first interval or after the end of the context, and
// against calls that are made up for after a slow one.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 6500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		err := Run(ctx, time.Second, func() {
			calls = append(calls, time.Since(start))
			if len(calls) == 2 {
				time.Sleep(2500 * time.Millisecond)
			}
		})
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != 6500*time.Millisecond {
			t.Errorf("Run returned %v after %s", err, time.Since(start))
		}
		want := []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond, 5 * time.Second, 6 * time.Second}
		if !slices.Equal(calls, want) {
			t.Errorf("calls at %v, want %v", calls, want)
		}
	})
}
