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
	// awaitPoll is the time between looks for a target while none is known.
	awaitPoll = 50 * time.Millisecond
	// overloadPause is the time after which overloaded gates are asked again,
	// about that in which a service of the platform frees a slot.
	overloadPause = 80 * time.Millisecond
	// awaitMost bounds the wait for a target. A node that starts learns of the
	// targets of others within about a second.
	awaitMost = 2 * time.Second
)

// awaitTarget waits a moment while the service has no usable target, as after a
// start of this node or of all, or while all gates are overloaded. It reports
// whether another look is worth it.
func (q *request) awaitTarget(ctx context.Context) bool {
	now := q.e.now()
	switch {
	case !q.e.o.HTTPProfile.StrictStatus || len(q.history) >= maxTries-1:
		return false
	case q.overloaded():
		q.e.mu.Lock()
		least := q.policy().MinRemaining
		q.e.mu.Unlock()
		held := now.Sub(q.start) + overloadPause
		return held < q.patience() && q.deadline.Sub(now) > least+overloadPause && pause(ctx, overloadPause)
	case len(q.history) > 0 || now.Sub(q.start) > awaitMost || q.deadline.Sub(now) < 2*awaitPoll:
		return false
	}
	return pause(ctx, awaitPoll)
}

// patienceShare is the part of the objective for which an overloaded service is
// asked again. A caller that is refused early can still do something else.
const patienceShare = 0.125

// patience is the time for which a request that no gate takes is kept.
func (q *request) patience() time.Duration {
	objective := time.Duration(q.class.Objective)
	if objective == 0 {
		objective = q.deadline.Sub(q.start)
	}
	return time.Duration(patienceShare * float64(objective))
}

// overloaded reports whether a gate refused the request for want of capacity.
func (q *request) overloaded() bool {
	return slices.ContainsFunc(q.history, func(a attemptState) bool {
		return a.Verdict.NeverStarted() && a.Reason == attempt.ReasonOverload
	})
}

// again is the decision to ask all gates once more, except for targets that the
// request may have reached.
func (q *request) again() retry.Decision {
	d := retry.Decision{Action: retry.Retry, Number: len(q.history) + 1, Why: "asked again after a pause"}
	for _, a := range q.history {
		if a.Reached() {
			d.ExcludeTargets = append(d.ExcludeTargets, a.Target)
		}
	}
	return d
}

// awaitStart waits until this node serves: it has a configuration and has joined
// the others.
func (q *request) awaitStart() (attempt.Reason, string) {
	limit := awaitMost
	if ms, err := strconv.ParseInt(q.r.Header.Get(q.e.o.HTTPProfile.Timeout), 10, 64); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond/2) // the rest is for the work
	}
	for {
		reason, why := attempt.ReasonNone, ""
		switch {
		case q.e.suffix.Load() == nil:
			reason, why = attempt.ReasonNotReady, "this node has not joined the others yet"
		case q.routing == nil:
			reason, why = attempt.ReasonNotReady, "this node has no configuration yet"
		}
		if reason == attempt.ReasonNone || !q.e.o.HTTPProfile.StrictStatus || q.e.now().Sub(q.start) > limit {
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
