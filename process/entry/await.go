package entry

import (
	"context"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const (
	// awaitPoll is the time between looks for a target while none is known.
	awaitPoll = 50 * time.Millisecond
	// awaitMost bounds the wait for a target. A node that starts learns of the
	// targets of others within about a second.
	awaitMost = 2 * time.Second
)

// awaitTarget waits a moment while the service has no usable target, as after a
// start of this node or of all. It reports whether another look is worth it.
// Requests that reached a gate do not wait here.
func (q *request) awaitTarget(ctx context.Context) bool {
	now := q.e.now()
	if len(q.history) > 0 || !q.e.o.Surface.StrictStatus || now.Sub(q.start) > awaitMost || q.deadline.Sub(now) < 2*awaitPoll {
		return false
	}
	return pause(ctx, awaitPoll)
}

// awaitStart waits until this node serves: it has a configuration and has joined
// the others.
func (q *request) awaitStart() (attempt.Reason, string) {
	for {
		reason, why := attempt.ReasonNone, ""
		switch {
		case q.e.suffix.Load() == nil:
			reason, why = attempt.ReasonNotReady, "this node has not joined the others yet"
		case q.routing == nil:
			reason, why = attempt.ReasonNotReady, "this node has no configuration yet"
		}
		if reason == attempt.ReasonNone || !q.e.o.Surface.StrictStatus || q.e.now().Sub(q.start) > awaitMost {
			return reason, why
		}
		if !pause(q.r.Context(), awaitPoll) {
			return reason, why
		}
		q.routing = q.e.routing.Load()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
