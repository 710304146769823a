package entry

import (
	"context"
	"errors"
	"slices"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const maxKeyedAttempts = 3

// runKeyed sends an order with a key to the only gate that may run it. That gate
// recognizes the key, so the order can be retried there after a broken connection.
func (q *request) runKeyed(ctx context.Context) {
	unresolved := false // an attempt without a response may still arrive at the gate
	var exclude, failing []string
	for number := 1; ; number++ {
		target, ok, why := q.ownerTarget(exclude)
		force := !ok && len(failing) > 0
		if force { // all targets of the gate are failing, and without an attempt the order fails anyway
			exclude = slices.DeleteFunc(exclude, func(key string) bool { return slices.Contains(failing, key) })
			target, ok, why = q.ownerTarget(exclude)
			failing = nil
		}
		if !ok {
			outcome := attempt.Unknown
			if len(q.history) > 0 && !unresolved {
				outcome = attempt.NotRun
			}
			q.concludeKeyed(outcome, attempt.ReasonKeyOwnerGone, why)
			return
		}
		active := q.beginAttempt(ctx, number, target, false, "the gate that owns the order key", nil)
		active.force = force
		r := active.run()
		q.recordResult(&r)
		if r.resp != nil {
			q.conclude(attempt.Answered, &r, "")
			return
		}
		active.cancel(nil)
		noVerdict := r.verdict == ""
		unresolved = unresolved || (noVerdict && !r.nothingSent)
		mayRetry := number < maxKeyedAttempts+len(exclude) && ctx.Err() == nil && q.replayable()
		switch {
		case noVerdict && mayRetry && !errors.Is(context.Cause(ctx), context.Canceled):
			q.lastAttempt().record.Next = "the same gate, which knows the order key"
		case r.verdict.NeverStarted() && mayRetry && otherTargetMayAccept(r.reason):
			exclude = append(exclude, target.key)
			if r.reason == attempt.ReasonTargetFailing && !force {
				failing = append(failing, target.key)
			}
			q.lastAttempt().record.Next = "another target of the same gate"
		default:
			outcome := attempt.Unknown
			if (r.verdict.NeverStarted() && !unresolved) || ((noVerdict || r.verdict.NeverStarted()) && q.withdrawAll()) {
				outcome = attempt.NotRun
			}
			q.conclude(outcome, nil, "no further attempt")
			return
		}
	}
}

// withdrawAll withdraws the attempts of an order that got no response from the
// gate. It reports whether the gate proves that the order has not run and that no
// attempt will run it. An attempt of which nothing was sent proves only the latter,
// as the order may have run for an earlier request.
func (q *request) withdrawAll() bool {
	for i := range q.history {
		a := &q.history[i]
		switch {
		case a.Verdict.NeverStarted():
		case a.Verdict != "" || !q.withdraw(a.record.Number):
			return false
		}
	}
	return true
}

// otherTargetMayAccept reports whether another target of the same gate may accept
// an attempt that was refused for this reason.
func otherTargetMayAccept(reason attempt.Reason) bool {
	switch reason {
	case attempt.ReasonLeaving, attempt.ReasonNoTarget, attempt.ReasonTargetCrashed, attempt.ReasonTargetFailed,
		attempt.ReasonTargetFailing, attempt.ReasonOverload:
		return true
	}
	return false
}

// concludeKeyed ends an order for which its gate has no target.
func (q *request) concludeKeyed(outcome attempt.Outcome, reason attempt.Reason, why string) {
	if len(q.history) > 0 {
		q.conclude(outcome, nil, why)
		return
	}
	q.refuse(outcome, reason, why, 0)
}

// ownerTarget picks a target of the service at the gate that owns the key, or
// returns why there is none.
func (q *request) ownerTarget(exclude []string) (gateTarget, bool, string) {
	e, f := q.entry, q.entry.fleet.Load()
	member := f.members[q.orderKey.Owner.Node]
	if member == nil || member.Incarnation != q.orderKey.Owner.Incarnation {
		return gateTarget{}, false, "the gate that owns the order key is gone; the order may have run there"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var best gateTarget
	found, bestWeight, ties := false, 0.0, 0
	for _, t := range member.Targets {
		target := f.targets[targetKey(member, t.ID)]
		if target.key == "" || t.Service != q.service || contains(exclude, target.key) {
			continue
		}
		weight := e.ownerWeight(target)
		switch {
		case !found || weight > bestWeight:
			best, found, bestWeight, ties = target, true, weight, 1
		case weight == bestWeight:
			if ties++; e.rand.IntN(ties) == 0 {
				best = target
			}
		}
	}
	if found {
		e.selector.Started(e.now(), best.key, q.long)
	}
	return best, found, "the gate that owns the order key has no target of the service"
}

// ownerWeight ranks the targets of one gate by their health, with leaving targets
// last. The caller holds e.mu.
func (e *Entry) ownerWeight(target gateTarget) float64 {
	if target.leaving() {
		return -1
	}
	state := e.health.State(target.key)
	if state == (health.State{Why: state.Why}) { // not in this entry's subset
		return 1
	}
	return state.Weight
}
