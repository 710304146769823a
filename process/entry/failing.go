package entry

import (
	"context"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

// defaultFailingTime is the time for which an entry leaves out a target after its
// gate refused an attempt as target-failing without a time to wait.
const defaultFailingTime = 300 * time.Millisecond

// lastResortWeight is the weight of a target out of rotation that is used when
// there is no other. It is so low that any other target is preferred.
const lastResortWeight = 0.01

// unreachableTime is the time for which an entry leaves out a target after a dial of
// its gate got no response. Each dial takes gateDialTimeout of a request's time, and the
// health tracker wants more than one before it takes the path as down.
const unreachableTime = time.Second

// maxFailingTime bounds the time for which an entry leaves out a target after a refusal
// as target-failing, since other entries may close its breaker meanwhile.
const maxFailingTime = time.Second

// failingKey names a target and the kind of work that its breaker refused. Idempotent work
// may try a failing target sooner than other work.
type failingKey struct {
	target     string
	idempotent bool
}

// updateFailing marks a target as failing when its gate refused the attempt as
// target-failing or did not respond to a dial, and as usable after a response without
// a server error. The caller holds e.mu.
func (e *Entry) updateFailing(now time.Time, r *result) {
	target := r.attempt.target.key
	mark := func(idempotent bool, wait time.Duration) {
		e.failingUntil[failingKey{target, idempotent}] = now.Add(wait)
	}
	switch {
	case r.verdict == attempt.VerdictRefused && r.reason == attempt.ReasonTargetFailing:
		wait := r.retryAfter
		if wait <= 0 {
			wait = defaultFailingTime
		}
		wait = min(wait, maxFailingTime)
		e.selector.ObserveFailing(now, target)
		mark(false, wait)
		if r.attempt.request.class.Idempotent {
			mark(true, wait)
		}
	case r.nothingSent && r.fault == health.GateUnresponsive:
		mark(false, unreachableTime)
		mark(true, unreachableTime)
	case r.verdict == attempt.VerdictRan && r.status < 500:
		delete(e.failingUntil, failingKey{target, false})
		delete(e.failingUntil, failingKey{target, true})
	}
}

// rotationState returns a function that gives the health state of a target, with
// weight 0 for targets that updateFailing marked for this kind of work, and for those whose
// breakers refused this or another entry, as far as shared loads show. The caller holds e.mu.
func (e *Entry) rotationState(now time.Time, idempotent bool) func(string) health.State {
	return func(key string) health.State {
		state := e.health.State(key)
		failing := failingKey{key, idempotent}
		if until, ok := e.failingUntil[failing]; ok {
			if now.Before(until) {
				state.Weight = 0
			} else {
				delete(e.failingUntil, failing)
			}
		}
		if e.selector.KnownFailing(now, key, idempotent) {
			state.Weight = 0
		}
		return state
	}
}

// attemptLastResort begins an attempt that the gate must make although its target
// is failing: no other target is left, and without an attempt the request fails
// anyway. The choice includes targets whose attempt this entry gave up because of its
// connection or an ejection, even if their path is down by now: a new connection may
// work, and the target has not failed the request.
func (q *request) attemptLastResort(ctx context.Context, decision retry.Decision) (*activeAttempt, bool) {
	e := q.entry
	var exclude []string // targets that the request may have reached
	abandoned := map[string]bool{}
	for _, a := range q.history {
		switch {
		case a.abandoned:
			abandoned[a.Target] = true
		case a.Reason != attempt.ReasonTargetFailing:
			exclude = append(exclude, a.Target)
		}
	}
	stateOf := func(key string) health.State {
		state := e.health.State(key)
		if abandoned[key] && state.Weight <= 0 {
			state.Weight = lastResortWeight
		}
		return state
	}
	f := e.fleet.Load()
	e.mu.Lock()
	now := e.now()
	query := selection.Query{Service: q.service, ExcludeTargets: exclude, Long: q.long, RemoteCostFactor: e.remoteCostFactor(q.match.Route.ID)}
	choice, ok := e.selector.Pick(now, query, stateOf)
	target, candidates, ok := q.claimTarget(now, f, choice, ok)
	e.mu.Unlock()
	if !ok {
		return nil, false
	}
	active := q.beginAttempt(ctx, max(decision.Number, len(q.history)+1), target, false, "all targets in rotation fail; "+choice.Why, candidates)
	active.force = true
	return active, true
}
