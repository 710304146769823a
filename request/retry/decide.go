package retry

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Policy holds the limits that a request's class and deadline set on its attempts.
type Policy struct {
	Idempotent bool // the work may be run again
	// MaxAttempts includes the first. Default 3.
	MaxAttempts int
	// MaxGates bounds all attempts, including those that a gate refused before
	// they reached a target. With 0 it is MaxAttempts, and overload at one gate
	// is a sign that other gates are overloaded too.
	MaxGates int
	// BudgetTaken is set when the next attempt was already taken from the budget.
	BudgetTaken bool
	// Deadline bounds all attempts.
	Deadline time.Time
	// MinRemaining is the shortest time before the deadline in which another
	// attempt is made, usually the median latency of the class.
	MinRemaining time.Duration
	// Hedge allows a second attempt of idempotent short work after HedgeAfter,
	// usually the 95th percentile of the latency of the class.
	Hedge      bool
	HedgeAfter time.Duration
	Long       bool // long work is never hedged

	retryAny bool // for tests: retries non-idempotent work that may have run
}

// Attempt is what is known about one attempt of the request.
type Attempt struct {
	Target, Node, Domain string
	Started              time.Time
	InProgress           bool
	Hedge                bool
	Verdict              attempt.Verdict // empty when the gate did not respond
	Reason               attempt.Reason
	Status               int // of the target's response
	// NeverStarted is set when something other than Verdict proves that the
	// attempt did not run and never will: nothing was sent, or the gate confirmed
	// it in response to a withdrawal.
	NeverStarted bool
	// WithdrawRequested is set after a withdrawal of the attempt was requested from
	// the gate, whatever its response.
	WithdrawRequested bool
}

// provedNotRun reports whether the attempt is proved not to have run and never to run.
func (a Attempt) provedNotRun() bool { return a.NeverStarted || a.Verdict.NeverStarted() }

// answered reports whether the target gave a complete response, of any status.
func (a Attempt) answered() bool {
	return a.Verdict == attempt.VerdictRan && a.Reason == attempt.ReasonNone
}

// overloaded reports whether the attempt was refused for lack of capacity: the
// queue was full, the work could only have started after the deadline, or the
// target itself refused the attempt.
func (a Attempt) overloaded() bool {
	return a.Verdict.NeverStarted() &&
		(a.Reason == attempt.ReasonOverload || a.Reason == attempt.ReasonDeadline || a.Reason == attempt.ReasonTargetRefused)
}

// Reached reports whether the attempt may have arrived at a target. Such an
// attempt counts against MaxAttempts and the budget.
func (a Attempt) Reached() bool {
	return !a.provedNotRun() || a.Reason == attempt.ReasonTargetRefused || a.Reason == attempt.ReasonIncarnationMismatch
}

// CountReached counts the attempts that may have arrived at a target. A is Attempt
// or a type that embeds it.
func CountReached[A interface{ Reached() bool }](history []A) int {
	n := 0
	for i := range history {
		if history[i].Reached() {
			n++
		}
	}
	return n
}

// Action is the next step of a request.
type Action string

const (
	Stop     Action = "stop"     // no further attempt
	Retry    Action = "retry"    // another attempt now
	Hedge    Action = "hedge"    // another attempt beside the one in progress
	Wait     Action = "wait"     // an attempt is in progress; call Decide again at Decision.At
	Withdraw Action = "withdraw" // withdraw attempt Number at its gate, then call Decide again
)

// Decision is the next step and its reason.
type Decision struct {
	Action Action
	Why    string
	// Outcome is set with Stop.
	Outcome attempt.Outcome
	// Number is that of the next attempt with Retry and Hedge, and that of the
	// attempt to withdraw with Withdraw.
	Number int
	// ExcludeTargets were already tried. ExcludeNodes refused for overload.
	ExcludeTargets, ExcludeNodes []string
	// AvoidDomains were already tried. Another failure domain is preferred.
	AvoidDomains []string
	// FreeSlotOnly requires a target whose reported load shows free capacity.
	FreeSlotOnly bool
	// At is when to call Decide again, with Wait. It is zero when only the end of
	// an attempt can change the decision.
	At time.Time
}

const defaultMaxAttempts = 3

// Decide returns the next step of a request from its attempts so far, oldest
// first. A Retry or Hedge that it returns is already taken from the budget, unless
// it needs none.
func Decide(now time.Time, policy Policy, history []Attempt, budget *Budget) Decision {
	if policy.MaxAttempts == 0 {
		policy.MaxAttempts = defaultMaxAttempts
	}
	if len(history) == 0 {
		return Decision{Action: Stop, Why: "no attempt made", Outcome: attempt.NotRun}
	}
	for _, a := range history {
		if !a.InProgress && a.answered() && a.Status < 500 {
			return Decision{Action: Stop, Why: "answered", Outcome: attempt.Answered}
		}
	}
	if slices.ContainsFunc(history, func(a Attempt) bool { return a.InProgress }) {
		return decideHedge(now, policy, history, budget)
	}
	return decideRetry(now, policy, history, budget)
}

// decideHedge returns the next step while an attempt is in progress.
func decideHedge(now time.Time, policy Policy, history []Attempt, budget *Budget) Decision {
	wait := func(why string) Decision { return Decision{Action: Wait, Why: why} }
	switch {
	case !policy.Hedge || !policy.Idempotent || policy.Long:
		return wait("in progress; this work is not hedged")
	case CountReached(history) > 1 || (len(history) > 1 && policy.MaxGates == 0):
		return wait("in progress; only a single first attempt is hedged")
	case CountReached(history) >= policy.MaxAttempts:
		return wait("in progress; no attempts left")
	}
	due := history[len(history)-1].Started.Add(policy.HedgeAfter)
	if now.Before(due) {
		return Decision{Action: Wait, Why: "in progress", At: due}
	}
	if policy.Deadline.Sub(now) < policy.MinRemaining {
		return wait("in progress; too little time left to hedge")
	}
	if !budget.Take(now) {
		return wait("in progress; retry budget exhausted")
	}
	d := nextAttempt(history)
	d.Action, d.Why, d.FreeSlotOnly = Hedge, "no response after the usual latency of the class", true
	return d
}

// decideRetry returns the next step when no attempt is in progress.
func decideRetry(now time.Time, policy Policy, history []Attempt, budget *Budget) Decision {
	last := history[len(history)-1]
	stop := func(why string) Decision {
		return Decision{Action: Stop, Why: why, Outcome: outcome(history)}
	}
	if last.provedNotRun() && finalRefusal(last.Reason) {
		return stop("refused: " + string(last.Reason))
	}
	// An earlier attempt that may have run forbids a retry as much as the last one.
	if !policy.Idempotent && !policy.retryAny {
		for i, a := range history {
			if a.provedNotRun() {
				continue
			}
			if a.Verdict == "" || a.Verdict == attempt.VerdictUnknown {
				if !a.WithdrawRequested {
					return Decision{Action: Withdraw, Why: "the attempt may have started", Number: i + 1}
				}
			}
			return stop("non-idempotent work may have run")
		}
	}
	if countBudgetRefusals(history) >= maxBudgetRefusals {
		return stop("retry budgets of the gates exhausted")
	}
	if CountReached(history) >= policy.MaxAttempts || len(history) >= max(policy.MaxGates, policy.MaxAttempts) {
		return stop("no attempts left")
	}
	if remaining := policy.Deadline.Sub(now); remaining <= 0 || remaining < policy.MinRemaining {
		return stop("too little time left before the deadline")
	}
	overloads := 0
	for _, a := range history {
		if a.overloaded() {
			overloads++
		}
	}
	if overloads > 1 && policy.MaxGates == 0 {
		return stop("refused for overload by two gates")
	}
	// An attempt that reached no target puts no load on targets, so its retry is
	// exempt from the budget. Without MaxGates only a busy refusal is exempt: after
	// one for overload, other gates are likely to be overloaded too.
	exempt := last.Reason == attempt.ReasonBusy || (policy.MaxGates > 0 && !last.Reached())
	if !policy.BudgetTaken && !exempt && !budget.Take(now) {
		return stop("retry budget exhausted")
	}
	d := nextAttempt(history)
	d.Action, d.Why, d.FreeSlotOnly = Retry, "previous attempt: "+describe(last), overloads > 0 && policy.MaxGates == 0
	return d
}

// maxBudgetRefusals is the number of gates that may refuse a retry for lack of budget.
// They have equal shares of it, so that the others are likely to have none either.
const maxBudgetRefusals = 4

func countBudgetRefusals(history []Attempt) (n int) {
	for _, a := range history {
		if a.Reason == attempt.ReasonRetryBudget {
			n++
		}
	}
	return n
}

// finalRefusal reports whether every other gate would refuse for the same reason.
func finalRefusal(r attempt.Reason) bool {
	switch r {
	case attempt.ReasonOverload, attempt.ReasonBusy, attempt.ReasonDeadline, attempt.ReasonLeaving, attempt.ReasonNotReady, attempt.ReasonNoTarget,
		attempt.ReasonIncarnationMismatch, attempt.ReasonPathFailed, attempt.ReasonTargetFailed,
		attempt.ReasonTargetCrashed, attempt.ReasonTargetRefused, attempt.ReasonTargetFailing, attempt.ReasonRetryBudget, attempt.ReasonWithdrawn, attempt.ReasonNone:
		return false
	default:
		return true
	}
}

// nextAttempt returns the number of the next attempt and the targets, nodes and
// domains that it should not go to.
func nextAttempt(history []Attempt) Decision {
	d := Decision{Number: len(history) + 1}
	for _, a := range history {
		d.ExcludeTargets = append(d.ExcludeTargets, a.Target)
		if a.overloaded() {
			d.ExcludeNodes = append(d.ExcludeNodes, a.Node)
		}
		if a.Domain != "" && a.Reason != attempt.ReasonBusy && a.Reason != attempt.ReasonTargetFailing && a.Reason != attempt.ReasonRetryBudget {
			d.AvoidDomains = append(d.AvoidDomains, a.Domain)
		}
	}
	return d
}

// outcome returns the outcome of a request that gets no further attempt.
func outcome(history []Attempt) attempt.Outcome {
	for _, a := range history {
		if a.answered() {
			return attempt.Answered
		}
	}
	for _, a := range history {
		if !a.provedNotRun() {
			return attempt.Unknown
		}
	}
	return attempt.NotRun
}

// describe returns why the attempt did not succeed.
func describe(a Attempt) string {
	switch {
	case a.Reason != attempt.ReasonNone:
		return string(a.Reason)
	case a.answered():
		return "error status"
	case a.Verdict == "":
		return "no response from the gate"
	default:
		return string(a.Verdict)
	}
}
