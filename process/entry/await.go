package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/fallback"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// awaitInterval is the time between checks for a target, or for the start of
	// this node.
	awaitInterval = 50 * time.Millisecond
	// maxAwaitTime limits the wait for a target. A starting node learns of the
	// targets of other nodes within about a second.
	maxAwaitTime = 2 * time.Second
)

// awaitFirstTarget waits for a short time when the service has no known target, as after
// a start of this node or of all nodes. It reports whether the request should look for
// a target again.
func (q *request) awaitFirstTarget(ctx context.Context) bool {
	now := q.entry.now()
	if !q.entry.options.HTTPProfile.StrictStatus || len(q.history) > 0 || now.Sub(q.start) > maxAwaitTime || q.deadline.Sub(now) < 2*awaitInterval {
		return false
	}
	return sleep(ctx, awaitInterval)
}

// refusals returns the refusals for lack of room and of failing targets since the last
// wait. It returns none in the default profile, where gates refuse only work that cannot
// meet its deadline, so that it need not queue elsewhere.
func (q *request) refusals() []fallback.Refusal {
	if !q.entry.options.HTTPProfile.StrictStatus {
		return nil
	}
	var list []fallback.Refusal
	for _, a := range q.history[q.round:] {
		switch {
		case a.Reached() || !a.Verdict.NeverStarted():
		case a.Reason == attempt.ReasonOverload || a.allowLate:
			list = append(list, fallback.Refusal{Target: a.Target, Late: a.allowLate, Wait: a.retryAfter})
		case a.Reason == attempt.ReasonTargetFailing:
			list = append(list, fallback.Refusal{Target: a.Target, Failing: true, Wait: a.retryAfter})
		}
	}
	return list
}

// attemptFallback begins an attempt for a request that the targets in rotation refused.
// It may wait instead, and then returns lookAgain.
func (q *request) attemptFallback(ctx context.Context, next retry.Decision, refusals []fallback.Refusal) (active *activeAttempt, lookAgain bool) {
	if len(q.history) >= maxGatesPerRequest-1 {
		return nil, false
	}
	e := q.entry
	e.mu.Lock()
	decision := fallback.Decide(e.now(), fallback.Request{Start: q.start, Deadline: q.deadline, Objective: time.Duration(q.class.Objective),
		ServiceTime: q.policy().MinRemaining, Called: q.called, Refusals: refusals}, e.rand)
	e.mu.Unlock()
	switch decision.Step {
	case fallback.QueueLate:
		return q.attemptLate(ctx, decision.Target), false
	case fallback.Wait:
		q.round = len(q.history)
		return nil, sleep(ctx, decision.Delay)
	case fallback.Force:
		if !q.refusedForBudget() { // at a failing target the request would most likely need another retry
			active, _ = q.attemptLastResort(ctx, next)
		}
	}
	q.rejectAfter = decision.RetryAfter
	return active, false
}

// refusedForBudget reports whether a gate had no retry left for the request.
func (q *request) refusedForBudget() bool {
	return slices.ContainsFunc(q.history, func(a attemptState) bool { return a.Reason == attempt.ReasonRetryBudget })
}

// attemptLate begins an attempt that may queue at the target although it will miss its
// objective. It returns nil when the target has left.
func (q *request) attemptLate(ctx context.Context, key string) *activeAttempt {
	e, f := q.entry, q.entry.fleet.Load()
	e.mu.Lock()
	target, candidates, ok := q.claimTarget(e.now(), f, selection.Choice{Target: key}, !f.targets[key].leaving())
	e.mu.Unlock()
	if !ok {
		return nil
	}
	active := q.beginAttempt(ctx, len(q.history)+1, target, false, "all targets have queues, this one the shortest", candidates)
	active.allowLate = true
	return active
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
