package entry

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

// run makes the attempts of a request.
func (q *request) run() {
	q.digest = poison.DigestOf(q.service, q.r.Method, q.r.URL.Path, q.r.URL.RawQuery, q.body)
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	q.keep = context.AfterFunc(q.e.ending, func() { end(errStopping) })
	defer q.keep()
	if q.e.o.Quarantined(q.digest) {
		q.refuse(attempt.NotRun, attempt.ReasonQuarantined, "two targets crashed while this request ran", 0)
		return
	}
	if !q.key.IsZero() {
		q.runKeyed(ctx)
		return
	}
	q.e.mu.Lock()
	q.e.budget(q.service).CountFirstAttempt(q.e.now())
	q.e.mu.Unlock()
	next := retry.Decision{Action: retry.Retry, Number: 1}
	var best *result // an answer that a further attempt may improve on
	for {
		t, again := q.pick(ctx, next)
		if again {
			next = q.again()
			continue
		}
		if t == nil {
			q.conclude(q.outcome(), best, "no further target is in rotation")
			return
		}
		r := q.race(ctx, t)
		q.prepaid = r.t.replaced
		d := q.decide()
		for d.Action == retry.Withdraw {
			q.withdraw(d.Number)
			d = q.decide()
		}
		if r.resp != nil {
			if best != nil {
				best.discard()
			}
			best = &r
		} else {
			t.cancel(nil)
		}
		if d.Action == retry.Retry && (!q.replayable() || ctx.Err() != nil) {
			d = retry.Decision{Action: retry.Stop, Why: "the body or the time is used up", Outcome: q.outcome()}
		}
		if d.Action == retry.Retry && q.crashes() >= maxCrashes {
			d = retry.Decision{Action: retry.Stop, Why: "two targets crashed while this request ran", Outcome: q.outcome()}
		}
		if best != nil && best.stream && d.Action != retry.Stop { // a large answer is not held for a better one
			d = retry.Decision{Action: retry.Stop, Why: "answered", Outcome: attempt.Answered}
		}
		q.last().record.Next = d.Why
		if d.Action != retry.Retry {
			q.conclude(d.Outcome, best, d.Why)
			return
		}
		next = d
	}
}

// pick chooses the target of the next attempt, a failing one when there is no
// other. Without any it may pause and tell to look again.
func (q *request) pick(ctx context.Context, next retry.Decision) (t *try, again bool) {
	if t, ok := q.choose(ctx, next); ok {
		return t, false
	}
	if t, ok := q.chooseFailing(ctx, next); ok {
		return t, false
	}
	return nil, q.awaitTarget(ctx)
}

// maxCrashes is the number of targets that one request may take down.
const maxCrashes = 2

// crashes counts the targets that went down, or may have: the connection of the
// gate broke.
func (q *request) crashes() int {
	n := 0
	for _, a := range q.history {
		if a.Verdict == attempt.VerdictCrashed || (a.Verdict == attempt.VerdictFailed && a.Reason == attempt.ReasonTargetFailed) {
			n++
		}
	}
	return n
}

func (q *request) last() *attemptState { return &q.history[len(q.history)-1] }

// maxTries bounds the gates that are asked for one request whose class bounds the
// targets.
const maxTries = 64

// policy returns what class and deadline allow. e.mu is held.
func (q *request) policy() retry.Policy {
	p := retry.Policy{Idempotent: q.class.Idempotent, MaxAttempts: q.class.MaxAttempts, BudgetTaken: q.prepaid, Deadline: q.deadline, Long: q.long}
	if p.MaxAttempts > 0 { // a bound on targets, not on gates
		p.MaxGates = maxTries
	}
	if p50, p95, ok := q.e.health.DurationPercentiles(q.service, q.healthClass()); ok {
		p.MinRemaining, p.HedgeAfter = p50, p95
		p.Hedge = q.class.Hedge && q.rest == nil
	}
	return p
}

func (q *request) decide() retry.Decision {
	history := make([]retry.Attempt, len(q.history))
	for i, a := range q.history {
		history[i] = a.Attempt
	}
	q.e.mu.Lock()
	defer q.e.mu.Unlock()
	return retry.Decide(q.e.now(), q.policy(), history, q.e.budget(q.service))
}

// outcome is what is proved about the attempts so far.
func (q *request) outcome() attempt.Outcome {
	out := attempt.NotRun
	for _, a := range q.history {
		switch {
		case a.Verdict == attempt.VerdictRan && a.Reason == attempt.ReasonNone:
			return attempt.Answered
		case !a.NeverStarted && !a.Verdict.NeverStarted():
			out = attempt.Unknown
		}
	}
	return out
}

// freeElsewhere reports whether another target than this is known to have a
// free slot.
func (e *Entry) freeElsewhere(now time.Time, service, target string) bool {
	q := selection.Query{Service: service, ExcludeTargets: []string{target}, FreeSlotOnly: true}
	_, ok := e.selector.Pick(now, q, e.rotation(now))
	return ok
}

func (q *request) lastReason() attempt.Reason {
	if len(q.history) == 0 {
		return attempt.ReasonNone
	}
	return q.history[len(q.history)-1].Reason
}

// choose picks the target of the next attempt.
func (q *request) choose(ctx context.Context, d retry.Decision) (*try, bool) {
	e, service := q.e, q.service
	query := selection.Query{Service: service, ExcludeTargets: d.ExcludeTargets, ExcludeNodes: d.ExcludeNodes,
		AvoidDomains: d.AvoidDomains, FreeSlotOnly: d.FreeSlotOnly, Long: q.long}
	for _, a := range q.history {
		if a.replaced { // a new connection to the same target may serve the request
			query.ExcludeTargets = slices.DeleteFunc(query.ExcludeTargets, func(key string) bool { return key == a.Target })
			query.AvoidDomains = slices.DeleteFunc(query.AvoidDomains, func(domain string) bool { return domain == a.Domain })
		}
	}
	f := e.fleet.Load()
	e.mu.Lock()
	now := e.now()
	query.RemoteCostFactor = e.distance(q.match.Route.ID)
	if query.RemoteCostFactor > 1 { // another failure domain costs more than it helps
		query.AvoidDomains = nil
	}
	switch {
	case d.Number == 1 && q.class.Idempotent:
		query.ClaimTrickle = func(key string) bool { return e.health.ClaimTrickle(now, key) }
	case d.Number == 1 && !q.routing.hasIdempotent(service):
		query.ClaimTrickle = func(key string) bool { return e.health.ClaimProbedTrickle(now, key) }
	}
	c, ok := e.selector.Pick(now, query, e.rotation(now))
	if !ok && q.lastReason() == attempt.ReasonBusy { // that target is the only one
		query.ExcludeTargets = nil
		c, ok = e.selector.Pick(now, query, e.rotation(now))
	}
	noWait := ok && d.Number == 1 && !q.long && !c.Trickle && e.freeElsewhere(now, service, c.Target)
	l, seen, ok := q.take(now, f, c, ok)
	e.mu.Unlock()
	if !ok {
		return nil, false
	}
	why := c.Why
	if d.Number > 1 {
		why = d.Why + "; " + c.Why
	}
	t := q.begin(ctx, d.Number, l, c.Trickle, why, seen)
	t.noWait = noWait
	return t, true
}

// take counts an attempt at the chosen target and returns what is known of the
// candidates. It reports false without a choice, and for a target that left the
// view in between. e.mu is held.
func (q *request) take(now time.Time, f *fleet, c selection.Choice, chosen bool) (located, []record.Candidate, bool) {
	l, known := f.targets[c.Target]
	if !chosen || !known {
		return located{}, nil, false
	}
	q.e.selector.Started(c.Target, q.long)
	return l, q.e.evidenceOf(now, f, q.service), true
}

// begin adds an attempt to the history.
func (q *request) begin(ctx context.Context, number int, l located, trickle bool, why string, seen []record.Candidate) *try {
	t := q.newTry(ctx, number, l, trickle)
	t.reachedBefore = retry.CountReached(q.history)
	q.history = append(q.history, attemptState{
		Attempt: retry.Attempt{Target: l.key, Node: l.member.Node, Domain: l.member.Domain, Started: t.begun, InProgress: true},
		record:  record.Attempt{Number: number, Target: l.target.ID, Node: l.member.Node, Candidates: seen, Why: why},
		id:      t.idText, member: l.member,
	})
	return t
}

// note adds the result of an attempt to the history.
func (q *request) note(r *result) {
	a := &q.history[r.t.number-1]
	a.InProgress = false
	a.Verdict, a.Reason, a.Status, a.NeverStarted = r.verdict, r.reason, r.status, r.never
	a.retryAfter, a.detail, a.replaced = r.retryIn, r.detail, r.stale
	a.record.Verdict, a.record.Reason, a.record.Status = r.verdict, r.reason, r.status
	a.record.DurationMS = float64(r.took) / float64(time.Millisecond)
	if r.verdict == attempt.VerdictCrashed && r.t.l.member.Node != q.e.o.Node {
		q.e.o.OnCrash(poison.Report{Node: q.e.o.Node + "/entry", Digest: q.digest, Crashes: []poison.CrashRecord{
			{Target: r.t.l.key, Started: r.t.begun, At: q.e.now()},
		}})
	}
}

// race makes an attempt, with a hedge beside it when the class allows one.
func (q *request) race(ctx context.Context, t *try) result {
	if t.reachedBefore > 0 || !q.class.Hedge || !q.class.Idempotent || q.long || q.rest != nil {
		r := t.do()
		q.note(&r)
		return r
	}
	results := make(chan result, 2)
	go func() { results <- t.do() }()
	for {
		d := q.decide()
		if d.Action == retry.Hedge {
			return q.hedge(ctx, d, results)
		}
		var due <-chan time.Time
		if !d.At.IsZero() {
			timer := time.NewTimer(d.At.Sub(q.e.now()))
			defer timer.Stop()
			due = timer.C
		}
		select {
		case r := <-results:
			q.note(&r)
			return r
		case <-due:
		}
	}
}

// hedge makes a second attempt and takes the first good answer.
func (q *request) hedge(ctx context.Context, d retry.Decision, results chan result) result {
	second, ok := q.choose(ctx, d)
	if !ok {
		r := <-results
		q.note(&r)
		return r
	}
	q.last().Hedge = true
	go func() { results <- second.do() }()
	r := <-results
	q.note(&r)
	if r.resp != nil && r.status < 500 {
		other := second
		if r.t == second {
			other = nil
		}
		q.abandon(other, r.t, results)
		return r
	}
	other := <-results
	q.note(&other)
	if other.resp == nil && r.resp != nil {
		return r
	}
	if r.resp != nil {
		r.discard()
	}
	return other
}

// abandon ends the slower attempt of a race. Its goroutine outlives the request
// only until its connection is closed.
func (q *request) abandon(other, winner *try, results chan result) {
	q.e.mu.Lock()
	for _, t := range q.e.tries {
		if t.q == q && t != winner {
			other = t
		}
	}
	q.e.mu.Unlock()
	if other != nil {
		other.cancel(errLost)
	}
	for i := range q.history {
		if a := &q.history[i]; a.InProgress {
			a.InProgress, a.record.Reason = false, attempt.ReasonWithdrawn
			a.record.Next = "another attempt answered first"
		}
	}
	go func() {
		r := <-results
		r.discard()
	}()
}

// conclude delivers the answer or refuses the request.
func (q *request) conclude(outcome attempt.Outcome, best *result, why string) {
	for _, a := range q.history {
		q.rec.Attempts = append(q.rec.Attempts, a.record)
	}
	if best != nil {
		if outcome == attempt.Answered {
			q.deliver(best)
			return
		}
		best.discard()
	}
	if len(q.history) == 0 {
		q.refuse(attempt.NotRun, attempt.ReasonNoTarget, "no target of service "+q.service+" is in rotation", time.Second)
		return
	}
	a := q.deciding(outcome)
	detail := a.detail
	if detail == "" {
		detail = why
	}
	reason := a.Reason
	if reason == attempt.ReasonNone {
		reason = attempt.ReasonPathFailed
	}
	switch {
	case q.r.Context().Err() != nil:
		detail = "the caller closed its connection"
	case q.e.ending.Err() != nil:
		reason, detail = attempt.ReasonStopping, errStopping.Error()
	}
	q.refuse(outcome, reason, detail, a.retryAfter)
}

// deciding returns the attempt that explains the outcome.
func (q *request) deciding(outcome attempt.Outcome) attemptState {
	for i := len(q.history) - 1; i >= 0; i-- {
		if a := q.history[i]; outcome == attempt.NotRun || (!a.NeverStarted && !a.Verdict.NeverStarted()) {
			return a
		}
	}
	return *q.last()
}
