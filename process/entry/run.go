package entry

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/fallback"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

// run makes the attempts of a request.
func (q *request) run() {
	u := q.callerRequest.URL
	q.poison = poison.RequestOf(poison.Content{Service: q.service, Method: q.callerRequest.Method, Path: u.Path, Query: u.RawQuery,
		Caller: q.callerName(), Body: q.body, Length: q.bodyLength()})
	ctx, cancel := context.WithDeadline(q.callerRequest.Context(), q.deadline)
	defer cancel()
	ctx, cancelWith := context.WithCancelCause(ctx)
	defer cancelWith(nil)
	q.exemptFromStop = context.AfterFunc(q.entry.stopping, func() { cancelWith(errStopping) })
	defer q.exemptFromStop()
	if q.entry.options.Quarantined(q.poison) {
		q.refuse(attempt.NotRun, attempt.ReasonQuarantined, whyCrashes, 0)
		return
	}
	if !q.orderKey.IsZero() {
		q.runKeyed(ctx)
		return
	}
	q.entry.mu.Lock()
	q.entry.budget(q.service).CountFirstAttempt(q.entry.now())
	q.entry.mu.Unlock()
	next := retry.Decision{Action: retry.Retry, Number: 1}
	var best *result // a response that a further attempt may improve on
	for {
		active, lookAgain := q.nextAttempt(ctx, next)
		if lookAgain {
			next = q.retryAllGates()
			continue
		}
		if active == nil {
			q.conclude(q.provedOutcome(), best, "no further target is in rotation")
			return
		}
		r := q.runWithHedge(ctx, active)
		q.budgetTaken = r.budgetTaken
		decision := q.decide()
		for decision.Action == retry.Withdraw {
			q.withdraw(decision.Number)
			decision = q.decide()
		}
		if r.resp != nil {
			if best != nil {
				best.discard()
			}
			best = &r
		} else {
			active.cancel(nil)
		}
		if decision.Action == retry.Retry && (!q.replayable() || ctx.Err() != nil) {
			decision = retry.Decision{Action: retry.Stop, Why: "the body cannot be sent again or the deadline has passed", Outcome: q.provedOutcome()}
		}
		// The crash that just ended this attempt may have completed the quarantine.
		if decision.Action == retry.Retry && (q.countCrashes() >= maxCrashes || q.entry.options.Quarantined(q.poison)) {
			decision = retry.Decision{Action: retry.Stop, Why: whyCrashes, Outcome: q.provedOutcome()}
		}
		if best != nil && best.streamed && decision.Action != retry.Stop { // a large response is not kept until a better one arrives
			decision = retry.Decision{Action: retry.Stop, Why: "answered", Outcome: attempt.Answered}
		}
		q.lastAttempt().record.Next = decision.Why
		if decision.Action != retry.Retry {
			q.conclude(decision.Outcome, best, decision.Why)
			return
		}
		next = decision
	}
}

// callerName returns the caller that a target sees: the service of this host where the
// profile names it, otherwise the customer.
func (q *request) callerName() string {
	if q.entry.options.HTTPProfile.CallerService != "" {
		return q.entry.options.HostService
	}
	return q.customer
}

// nextAttempt begins the next attempt, at a failing target when there is no other.
// When there is no target at all it may wait for one, and then returns lookAgain to
// request another call.
func (q *request) nextAttempt(ctx context.Context, next retry.Decision) (active *activeAttempt, lookAgain bool) {
	refusals := q.refusals()
	if !fallback.Exhausted(refusals) {
		if active, ok := q.attemptInRotation(ctx, next); ok {
			return active, false
		}
	}
	if len(refusals) > 0 {
		return q.attemptFallback(ctx, next, refusals)
	}
	if active, ok := q.attemptLastResort(ctx, next); ok {
		return active, false
	}
	return nil, q.awaitFirstTarget(ctx)
}

// maxCrashes is the number of targets that one request may crash.
const maxCrashes = 2

const whyCrashes = "two targets crashed while this request ran"

// countCrashes counts the targets that crashed, or may have crashed because the
// gate's connection to them broke.
func (q *request) countCrashes() int {
	n := 0
	for _, a := range q.history {
		if a.Verdict == attempt.VerdictCrashed || (a.Verdict == attempt.VerdictFailed && a.Reason == attempt.ReasonTargetFailed) {
			n++
		}
	}
	return n
}

func (q *request) lastAttempt() *attemptState { return &q.history[len(q.history)-1] }

// maxGatesPerRequest limits the gates that are tried for a request whose class
// limits the targets.
const maxGatesPerRequest = 64

// unknownHedgeDivisor is the part of its time after which a request is hedged while its
// usual duration is not known. In a large fleet an entry sees too few requests of a class
// to learn it, and a request that hangs would use up its time at one target.
const unknownHedgeDivisor = 2

// policy returns the retry policy of the request. The caller holds e.mu.
func (q *request) policy() retry.Policy {
	p := retry.Policy{Idempotent: q.class.Idempotent, MaxAttempts: q.class.MaxAttempts, BudgetTaken: q.budgetTaken, Deadline: q.deadline, Long: q.long}
	if p.MaxAttempts > 0 { // a limit on targets, not on gates
		p.MaxGates = maxGatesPerRequest
	}
	if p50, p95, ok := q.entry.health.DurationPercentiles(q.service, q.healthClass()); ok {
		p.MinRemaining, p.HedgeAfter = p50, p95
		p.Hedge = q.class.Hedge && q.bodyRest == nil
	} else if q.entry.options.HTTPProfile.StrictStatus {
		p.HedgeAfter, p.Hedge = q.deadline.Sub(q.start)/unknownHedgeDivisor, q.class.Hedge && q.bodyRest == nil
	}
	return p
}

// decide returns the retry policy's decision on the attempts so far.
func (q *request) decide() retry.Decision {
	history := make([]retry.Attempt, len(q.history))
	for i, a := range q.history {
		history[i] = a.Attempt
	}
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	return retry.Decide(q.entry.now(), q.policy(), history, q.entry.budget(q.service))
}

// provedOutcome returns the outcome that the attempts so far prove.
func (q *request) provedOutcome() attempt.Outcome {
	outcome := attempt.NotRun
	for _, a := range q.history {
		switch {
		case a.Verdict == attempt.VerdictRan && a.Reason == attempt.ReasonNone:
			return attempt.Answered
		case !a.NeverStarted && !a.Verdict.NeverStarted():
			outcome = attempt.Unknown
		}
	}
	return outcome
}

// hasFreeSlotElsewhere reports whether a target other than the given one is known
// to have a free slot. The caller holds e.mu.
func (e *Entry) hasFreeSlotElsewhere(service, target string, now time.Time, state func(string) health.State) bool {
	query := selection.Query{Service: service, ExcludeTargets: []string{target}, FreeSlotOnly: true}
	_, ok := e.selector.Pick(now, query, state)
	return ok
}

func (q *request) lastReason() attempt.Reason {
	if len(q.history) == 0 {
		return attempt.ReasonNone
	}
	return q.history[len(q.history)-1].Reason
}

// attemptInRotation picks a target in rotation and begins an attempt at it.
func (q *request) attemptInRotation(ctx context.Context, decision retry.Decision) (*activeAttempt, bool) {
	e, service := q.entry, q.service
	query := selection.Query{Service: service, ExcludeTargets: decision.ExcludeTargets, ExcludeNodes: decision.ExcludeNodes,
		AvoidDomains: decision.AvoidDomains, FreeSlotOnly: decision.FreeSlotOnly, Long: q.long}
	for _, a := range q.history {
		if a.abandoned { // a new connection to the same target may serve the request
			query.ExcludeTargets = slices.DeleteFunc(query.ExcludeTargets, func(key string) bool { return key == a.Target })
			query.AvoidDomains = slices.DeleteFunc(query.AvoidDomains, func(domain string) bool { return domain == a.Domain })
		}
	}
	f := e.fleet.Load()
	e.mu.Lock()
	now := e.now()
	query.RemoteCostFactor = e.remoteCostFactor(q.match.Route.ID)
	if query.RemoteCostFactor > 1 { // another failure domain costs more than it helps
		query.AvoidDomains = nil
	}
	switch {
	case decision.Number == 1 && q.class.Idempotent:
		query.ClaimTrickle = func(key string) bool { return e.health.ClaimTrickle(now, key) }
	case decision.Number == 1 && !q.routing.hasIdempotent(service):
		query.ClaimTrickle = func(key string) bool { return e.health.ClaimProbedTrickle(now, key) }
	}
	state := e.rotationState(now, q.class.Idempotent)
	choice, ok := e.selector.Pick(now, query, state)
	if !ok && q.lastReason() == attempt.ReasonBusy { // the busy target is the only one
		query.ExcludeTargets = nil
		choice, ok = e.selector.Pick(now, query, state)
	}
	noWait := ok && decision.Number == 1 && !q.long && !choice.Trickle && e.hasFreeSlotElsewhere(service, choice.Target, now, state)
	target, candidates, ok := q.claimTarget(now, f, choice, ok)
	e.mu.Unlock()
	if !ok {
		return nil, false
	}
	why := choice.Why
	if decision.Number > 1 {
		why = decision.Why + "; " + choice.Why
	}
	active := q.beginAttempt(ctx, decision.Number, target, choice.Trickle, why, candidates)
	active.noWait = noWait
	return active, true
}

// claimTarget counts an attempt at the chosen target with the selector and returns
// the target with the candidates for the record. It reports false when nothing was
// chosen or the target has left the view since. The caller holds e.mu.
func (q *request) claimTarget(now time.Time, f *fleet, choice selection.Choice, chosen bool) (gateTarget, []record.Candidate, bool) {
	target, known := f.targets[choice.Target]
	if !chosen || !known {
		return gateTarget{}, nil, false
	}
	q.entry.selector.Started(now, choice.Target, q.long)
	return target, q.entry.candidates(now, f, q.service), true
}

// beginAttempt prepares an attempt and adds it to the history.
func (q *request) beginAttempt(ctx context.Context, number int, target gateTarget, trickle bool, why string, candidates []record.Candidate) *activeAttempt {
	active := q.newAttempt(ctx, number, target, trickle)
	active.reachedBefore = retry.CountReached(q.history)
	q.history = append(q.history, attemptState{
		Attempt:   retry.Attempt{Target: target.key, Node: target.member.Node, Domain: target.member.Domain, Started: active.startedAt, InProgress: true},
		record:    record.Attempt{Number: number, Target: target.info.ID, Node: target.member.Node, Candidates: candidates, Why: why},
		attemptID: active.id, member: target.member,
	})
	return active
}

// recordResult adds the result of an attempt to the history.
func (q *request) recordResult(r *result) {
	a := &q.history[r.attempt.number-1]
	a.InProgress = false
	a.Verdict, a.Reason, a.Status, a.NeverStarted = r.verdict, r.reason, r.status, r.nothingSent
	a.allowLate = r.attempt.allowLate
	q.called = q.called || r.called
	q.callRefused = r.callRefused
	a.retryAfter, a.detail, a.abandoned = r.retryAfter, r.detail, r.abandoned
	a.record.Verdict, a.record.Reason, a.record.Status = r.verdict, r.reason, r.status
	a.record.DurationMS = float64(r.duration) / float64(time.Millisecond)
	if r.verdict == attempt.VerdictCrashed && r.attempt.target.member.Node != q.entry.options.Node {
		crash := poison.CrashRecord{Target: r.attempt.target.key, Started: r.attempt.startedAt, At: q.entry.now()}
		q.entry.options.OnCrash(poison.CrashReports(q.entry.options.Node+"/entry", q.poison, crash))
	}
}

// runWithHedge makes an attempt, with a hedge in parallel when the class allows one.
func (q *request) runWithHedge(ctx context.Context, active *activeAttempt) result {
	if active.reachedBefore > 0 || !q.class.Hedge || !q.class.Idempotent || q.long || q.bodyRest != nil {
		r := active.run()
		q.recordResult(&r)
		return r
	}
	results := make(chan result, 2)
	go func() { results <- active.run() }()
	for {
		decision := q.decide()
		if decision.Action == retry.Hedge {
			return q.runHedge(ctx, decision, results)
		}
		var due <-chan time.Time
		if !decision.At.IsZero() {
			timer := time.NewTimer(decision.At.Sub(q.entry.now()))
			defer timer.Stop()
			due = timer.C
		}
		select {
		case r := <-results:
			q.recordResult(&r)
			return r
		case <-due:
		}
	}
}

// hedgeAttempt begins the second attempt of a hedged pair, at a target with a free slot. An
// entry that knows of none asks a gate that does not let the attempt wait.
func (q *request) hedgeAttempt(ctx context.Context, decision retry.Decision) (*activeAttempt, bool) {
	second, ok := q.attemptInRotation(ctx, decision)
	if ok || !decision.FreeSlotOnly {
		return second, ok
	}
	decision.FreeSlotOnly = false
	if second, ok = q.attemptInRotation(ctx, decision); ok {
		second.noWait = true
	}
	return second, ok
}

// maxHedgeRefusals is the number of gates that may refuse the second attempt of a pair
// before the first is awaited without one.
const maxHedgeRefusals = 3

// runHedge makes a second attempt and returns the first result without a server
// error.
func (q *request) runHedge(ctx context.Context, decision retry.Decision, results chan result) result {
	var second *activeAttempt
	var r result
	for refusals := 0; ; refusals++ {
		var ok bool
		if second, ok = q.hedgeAttempt(ctx, decision); !ok {
			r := <-results
			q.recordResult(&r)
			return r
		}
		q.lastAttempt().Hedge = true
		go func(a *activeAttempt) { results <- a.run() }(second)
		r = <-results
		q.recordResult(&r)
		if r.attempt != second || !r.verdict.NeverStarted() || refusals >= maxHedgeRefusals {
			break
		}
		decision.ExcludeTargets = append(decision.ExcludeTargets, second.target.key)
		decision.Number = len(q.history) + 1
	}
	if r.resp != nil && r.status < 500 {
		other := second
		if r.attempt == second {
			other = nil
		}
		q.cancelSlower(other, r.attempt, results)
		return r
	}
	other := <-results
	q.recordResult(&other)
	if other.resp == nil && r.resp != nil {
		return r
	}
	if r.resp != nil {
		r.discard()
	}
	return other
}

// cancelSlower cancels the slower attempt of a hedged pair. Its goroutine outlives
// the request only until its connection is closed.
func (q *request) cancelSlower(other, winner *activeAttempt, results chan result) {
	q.entry.mu.Lock()
	for _, active := range q.entry.activeAttempts {
		if active.request == q && active != winner {
			other = active
		}
	}
	q.entry.mu.Unlock()
	if other != nil {
		other.cancel(errOtherResponded)
	}
	for i := range q.history {
		if a := &q.history[i]; a.InProgress {
			a.InProgress, a.record.Reason = false, attempt.ReasonWithdrawn
			a.record.Next = "another attempt got a response first"
		}
	}
	go func() {
		r := <-results
		r.discard()
	}()
}

// conclude delivers the best response or refuses the request.
func (q *request) conclude(outcome attempt.Outcome, best *result, why string) {
	for _, a := range q.history {
		q.record.Attempts = append(q.record.Attempts, a.record)
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
	a := q.decisiveAttempt(outcome)
	detail := a.detail
	if detail == "" {
		detail = why
	}
	reason := a.Reason
	if reason == attempt.ReasonNone {
		reason = attempt.ReasonPathFailed
	}
	switch {
	case q.callerRequest.Context().Err() != nil:
		detail = whyCallerGone
	case q.entry.stopping.Err() != nil:
		reason, detail = attempt.ReasonNodeStopping, errStopping.Error()
	}
	retryAfter := a.retryAfter
	if q.rejectAfter > 0 {
		retryAfter = q.rejectAfter
	}
	q.refuse(outcome, reason, detail, retryAfter)
}

// decisiveAttempt returns the last attempt that explains the outcome.
func (q *request) decisiveAttempt(outcome attempt.Outcome) attemptState {
	for i := len(q.history) - 1; i >= 0; i-- {
		if a := q.history[i]; outcome == attempt.NotRun || (!a.NeverStarted && !a.Verdict.NeverStarted()) {
			return a
		}
	}
	return *q.lastAttempt()
}
