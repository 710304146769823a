package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// awaitInterval is the time between checks for a target, or for the start of
	// this node.
	awaitInterval = 50 * time.Millisecond
	// overloadRetryDelay is the delay before overloaded gates are tried again. A
	// service of the platform frees a slot in about that time.
	overloadRetryDelay = 80 * time.Millisecond
	// maxAwaitTime limits the wait for a target. A starting node learns of the
	// targets of other nodes within about a second.
	maxAwaitTime = 2 * time.Second
)

// awaitTarget waits for a short time when the service has no usable target, as
// after a start of this node or of all nodes, or when a gate was overloaded. It
// reports whether the request should look for a target again.
func (q *request) awaitTarget(ctx context.Context) bool {
	now := q.entry.now()
	switch {
	case !q.entry.options.HTTPProfile.StrictStatus || len(q.history) >= maxGatesPerRequest-1:
		return false
	case q.overloaded():
		q.entry.mu.Lock()
		minRemaining := q.policy().MinRemaining
		q.entry.mu.Unlock()
		waited := now.Sub(q.start) + overloadRetryDelay
		return waited < q.maxOverloadWait() && q.deadline.Sub(now) > minRemaining+overloadRetryDelay && sleep(ctx, overloadRetryDelay)
	case len(q.history) > 0 || now.Sub(q.start) > maxAwaitTime || q.deadline.Sub(now) < 2*awaitInterval:
		return false
	}
	return sleep(ctx, awaitInterval)
}

// overloadWaitShare is the share of the objective for which gates of an
// overloaded service are retried. A caller that is refused early still has time
// for something else.
const overloadWaitShare = 0.125

// maxOverloadWait returns the time for which a request waits for capacity.
func (q *request) maxOverloadWait() time.Duration {
	objective := time.Duration(q.class.Objective)
	if objective == 0 {
		objective = q.deadline.Sub(q.start)
	}
	return time.Duration(overloadWaitShare * float64(objective))
}

// overloaded reports whether a gate refused the request for lack of capacity.
func (q *request) overloaded() bool {
	return slices.ContainsFunc(q.history, func(a attemptState) bool {
		return a.Verdict.NeverStarted() && a.Reason == attempt.ReasonOverload
	})
}

// retryAllGates returns the decision to try all targets again, except those that
// the request may have reached.
func (q *request) retryAllGates() retry.Decision {
	decision := retry.Decision{Action: retry.Retry, Number: len(q.history) + 1, Why: "retried after a delay"}
	for _, a := range q.history {
		if a.Reached() {
			decision.ExcludeTargets = append(decision.ExcludeTargets, a.Target)
		}
	}
	return decision
}

// awaitStart waits until this node has a configuration and has joined the other
// nodes. It returns the reason for a refusal when the wait is over before that.
func (q *request) awaitStart() (attempt.Reason, string) {
	limit := maxAwaitTime
	if ms, err := strconv.ParseInt(q.callerRequest.Header.Get(q.entry.options.HTTPProfile.Timeout), 10, 64); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond/2) // the rest is for the work
	}
	for {
		reason, why := attempt.ReasonNone, ""
		switch {
		case q.entry.attemptSuffix.Load() == nil:
			reason, why = attempt.ReasonNotReady, "this node has not joined the others yet"
		case q.routing == nil:
			reason, why = attempt.ReasonNotReady, "this node has no configuration yet"
		}
		if reason == attempt.ReasonNone || !q.entry.options.HTTPProfile.StrictStatus || q.entry.now().Sub(q.start) > limit {
			return reason, why
		}
		if !sleep(q.callerRequest.Context(), awaitInterval) {
			return reason, why
		}
		q.routing = q.entry.routing.Load()
	}
}

// sleep waits for the duration. It reports false if ctx ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
