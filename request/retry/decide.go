package retry

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Policy is what a request's class and deadline allow.
type Policy struct {
	Idempotent bool // the work may be run again
	// MaxAttempts includes the first. Default 3.
	MaxAttempts int
	// MaxGates bounds the gates that are asked, of which most refuse at once
	// when an attempt does not reach a target. With 0 it is MaxAttempts, and an
	// overloaded gate counts as a sign that others are overloaded too.
	MaxGates int
	// BudgetTaken tells that the next attempt was already taken from the budget.
	BudgetTaken bool
	// Deadline bounds all attempts.
	Deadline time.Time
	// MinRemaining is the least time before the deadline that makes another
	// attempt worthwhile, usually the median latency of the class.
	MinRemaining time.Duration
	// Hedge allows a second attempt of idempotent short work after HedgeAfter,
	// usually the 95th percentile of the latency of the class.
	Hedge      bool
	HedgeAfter time.Duration
	Long       bool // long work is never hedged

	retryAny bool // for tests: ignore whether work may have run
}

// Attempt is what is known about one attempt of the request.
type Attempt struct {
	Target, Node, Domain string
	Started              time.Time
	InProgress           bool
	Hedge                bool
	Verdict              attempt.Verdict // empty when the gate did not answer
	Reason               attempt.Reason
	Status               int // of the target's answer
	// NeverStarted is set when it is proved that the attempt did not run and
	// never will, other than by Verdict: nothing was sent, or the gate answered
	// a withdrawal so.
	NeverStarted bool
	// WithdrawRequested is set once the gate was asked to withdraw the attempt,
	// whatever its answer.
	WithdrawRequested bool
}

// proved reports that the attempt did not run and never will.
func (a Attempt) proved() bool { return a.NeverStarted || a.Verdict.NeverStarted() }

// answered reports a whole answer of the target, of any status.
func (a Attempt) answered() bool {
	return a.Verdict == attempt.VerdictRan && a.Reason == attempt.ReasonNone
}

// overloaded reports a refusal for want of capacity: a full queue, or a start
// expected after the deadline.
func (a Attempt) overloaded() bool {
	return a.Verdict.NeverStarted() &&
		(a.Reason == attempt.ReasonOverload || a.Reason == attempt.ReasonDeadline || a.Reason == attempt.ReasonTargetRefused)
}

// Reached reports that the attempt may have arrived at a target, which counts
// against the attempts of the request and against the budget.
func (a Attempt) Reached() bool {
	return !a.proved() || a.Reason == attempt.ReasonTargetRefused || a.Reason == attempt.ReasonIncarnationMismatch
}

// CountReached counts the attempts that may have arrived at a target. The type
// is Attempt, or one that embeds it.
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
	Wait     Action = "wait"     // an attempt is in progress; ask again at Decision.At
	Withdraw Action = "withdraw" // ask the gate of attempt Number whether it started, then ask again
)

// Decision is the next step and its reason.
type Decision struct {
	Action Action
	Why    string
	// Outcome is set with Stop.
	Outcome attempt.Outcome
	// Number of the next attempt with Retry and Hedge, of the attempt to
	// withdraw with Withdraw.
	Number int
	// ExcludeTargets were tried; ExcludeNodes refused for overload.
	ExcludeTargets, ExcludeNodes []string
	// AvoidDomains were tried; another failure domain is preferred.
	AvoidDomains []string
	// FreeSlotOnly requires a target whose reported load shows free capacity.
	FreeSlotOnly bool
	// At is when to ask again, with Wait; zero when nothing will change.
	At time.Time
}

const defaultMaxAttempts = 3

// Decide returns the next step of a request from its attempts so far, oldest
// first. A Retry or Hedge has already been taken from the budget.
func Decide(now time.Time, p Policy, history []Attempt, b *Budget) Decision {
	if p.MaxAttempts == 0 {
		p.MaxAttempts = defaultMaxAttempts
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
		return decideHedge(now, p, history, b)
	}
	return decideRetry(now, p, history, b)
}

func decideHedge(now time.Time, p Policy, history []Attempt, b *Budget) Decision {
	wait := func(why string) Decision { return Decision{Action: Wait, Why: why} }
	switch {
	case !p.Hedge || !p.Idempotent || p.Long:
		return wait("in progress; this work is not hedged")
	case CountReached(history) > 1 || (len(history) > 1 && p.MaxGates == 0):
		return wait("in progress; only a sole first attempt is hedged")
	case CountReached(history) >= p.MaxAttempts:
		return wait("in progress; no attempts left")
	}
	due := history[len(history)-1].Started.Add(p.HedgeAfter)
	if now.Before(due) {
		return Decision{Action: Wait, Why: "in progress", At: due}
	}
	if p.Deadline.Sub(now) < p.MinRemaining {
		return wait("in progress; too little time left to hedge")
	}
	if !b.Take(now) {
		return wait("in progress; retry budget exhausted")
	}
	d := where(history)
	d.Action, d.Why, d.FreeSlotOnly = Hedge, "no answer after the usual latency of the class", true
	return d
}

func decideRetry(now time.Time, p Policy, history []Attempt, b *Budget) Decision {
	last := history[len(history)-1]
	stop := func(why string) Decision {
		return Decision{Action: Stop, Why: why, Outcome: outcome(history)}
	}
	if last.proved() && finalRefusal(last.Reason) {
		return stop("refused: " + string(last.Reason))
	}
	// An earlier attempt that may have run forbids a retry just as the last one.
	if !p.Idempotent && !p.retryAny {
		for i, a := range history {
			if a.proved() {
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
	if CountReached(history) >= p.MaxAttempts || len(history) >= max(p.MaxGates, p.MaxAttempts) {
		return stop("no attempts left")
	}
	if remaining := p.Deadline.Sub(now); remaining <= 0 || remaining < p.MinRemaining {
		return stop("too little time left before the deadline")
	}
	overloads := 0
	for _, a := range history {
		if a.overloaded() {
			overloads++
		}
	}
	if overloads > 1 && p.MaxGates == 0 {
		return stop("refused for overload by two gates")
	}
	// An attempt that reached no target costs targets nothing. Overload is the
	// exception: another gate is likely to be as busy.
	free := last.Reason == attempt.ReasonBusy || (p.MaxGates > 0 && !last.Reached())
	if !p.BudgetTaken && !free && !b.Take(now) {
		return stop("retry budget exhausted")
	}
	d := where(history)
	d.Action, d.Why, d.FreeSlotOnly = Retry, "previous attempt: "+describe(last), overloads > 0 && p.MaxGates == 0
	return d
}

// finalRefusal reports refusals that every other gate would repeat.
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

func where(history []Attempt) Decision {
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

// outcome of a request that gets no further attempt.
func outcome(history []Attempt) attempt.Outcome {
	for _, a := range history {
		if a.answered() {
			return attempt.Answered
		}
	}
	for _, a := range history {
		if !a.proved() {
			return attempt.Unknown
		}
	}
	return attempt.NotRun
}

func describe(a Attempt) string {
	switch {
	case a.Reason != attempt.ReasonNone:
		return string(a.Reason)
	case a.answered():
		return "error status"
	case a.Verdict == "":
		return "no answer from the gate"
	default:
		return string(a.Verdict)
	}
}
