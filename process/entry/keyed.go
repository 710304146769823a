package entry

import (
	"context"
	"errors"
	"slices"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const maxKeyedAttempts = 3

// runKeyed sends an order to the one gate that may run it. The gate knows the
// key, so the order can be sent there again after a broken connection.
func (q *request) runKeyed(ctx context.Context) {
	inDoubt := false // an attempt without an answer of the gate may still arrive there
	var exclude, failing []string
	for number := 1; ; number++ {
		l, ok, why := q.ownerTarget(exclude)
		force := !ok && len(failing) > 0
		if force { // all others fail too: the order has nothing to lose
			exclude = slices.DeleteFunc(exclude, func(key string) bool { return slices.Contains(failing, key) })
			l, ok, why = q.ownerTarget(exclude)
			failing = nil
		}
		if !ok {
			outcome := attempt.Unknown
			if len(q.history) > 0 && !inDoubt {
				outcome = attempt.NotRun
			}
			q.concludeKeyed(outcome, attempt.ReasonKeyOwnerGone, why)
			return
		}
		t := q.begin(ctx, number, l, false, "the gate that owns the order key", nil)
		t.force = force
		r := t.do()
		q.note(&r)
		if r.resp != nil {
			q.conclude(attempt.Answered, &r, "")
			return
		}
		t.cancel(nil)
		silent := r.verdict == ""
		inDoubt = inDoubt || (silent && !r.never)
		more := number < maxKeyedAttempts+len(exclude) && ctx.Err() == nil && q.replayable()
		switch {
		case silent && more && !errors.Is(context.Cause(ctx), context.Canceled):
			q.last().record.Next = "the same gate, which knows the order key"
		case r.verdict.NeverStarted() && more && movable(r.reason):
			exclude = append(exclude, l.key)
			if r.reason == attempt.ReasonTargetFailing && !force {
				failing = append(failing, l.key)
			}
			q.last().record.Next = "another target of the same gate"
		default:
			outcome := attempt.Unknown
			if (r.verdict.NeverStarted() && !inDoubt) || ((silent || r.verdict.NeverStarted()) && q.withdrawAll()) {
				outcome = attempt.NotRun
			}
			q.conclude(outcome, nil, "no further attempt")
			return
		}
	}
}

// withdrawAll withdraws the attempts of an order that the gate has not answered
// and reports whether the gate proves that the order has not run and that none
// of them will. That nothing was sent proves only the latter: the order may have
// run for an earlier request.
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

// movable reports refusals that another target of the same gate need not
// repeat.
func movable(r attempt.Reason) bool {
	switch r {
	case attempt.ReasonLeaving, attempt.ReasonNoTarget, attempt.ReasonTargetCrashed, attempt.ReasonTargetFailed,
		attempt.ReasonTargetFailing, attempt.ReasonOverload:
		return true
	}
	return false
}

func (q *request) concludeKeyed(outcome attempt.Outcome, reason attempt.Reason, why string) {
	if len(q.history) > 0 {
		q.conclude(outcome, nil, why)
		return
	}
	q.refuse(outcome, reason, why, 0)
}

// ownerTarget picks a target of the service at the gate that owns the key.
func (q *request) ownerTarget(exclude []string) (located, bool, string) {
	e, f := q.e, q.e.fleet.Load()
	m := f.members[q.key.Owner.Node]
	if m == nil || m.Incarnation != q.key.Owner.Incarnation {
		return located{}, false, "the gate that owns the order key is gone; the order may have run there"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var best located
	found, bestWeight, ties := false, 0.0, 0
	for _, t := range m.Targets {
		l := f.targets[targetKeyOf(m, t.ID)]
		if l.key == "" || t.Service != q.service || contains(exclude, l.key) {
			continue
		}
		weight := e.ownerWeight(l)
		switch {
		case !found || weight > bestWeight:
			best, found, bestWeight, ties = l, true, weight, 1
		case weight == bestWeight:
			if ties++; e.rand.IntN(ties) == 0 {
				best = l
			}
		}
	}
	if found {
		e.selector.Started(best.key, q.long)
	}
	return best, found, "the gate that owns the order key has no target of the service"
}

// ownerWeight orders the targets of one gate: leaving ones last, then by what
// is known of their health.
func (e *Entry) ownerWeight(l located) float64 {
	if l.leaving() {
		return -1
	}
	s := e.health.State(l.key)
	if s == (health.State{Why: s.Why}) { // not in this entry's subset
		return 1
	}
	return s.Weight
}
