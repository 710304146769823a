package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against refusals by gates that use up MaxAttempts, which bounds only the
// attempts that reached a target, and against more such attempts than it allows.
func TestGateRefusalsDoNotCountAsAttempts(t *testing.T) {
	p := Policy{Idempotent: true, MaxAttempts: 2, MaxGates: 20, Deadline: start.Add(time.Minute)}
	refused := Attempt{Verdict: attempt.VerdictRefused, Reason: attempt.ReasonTargetFailing}
	failed := Attempt{Verdict: attempt.VerdictRan, Status: 500}
	var history []Attempt
	b := NewBudget(Options{PerSecond: 1e-9, Share: 1e-9}) // grants nothing
	for range 10 {
		history = append(history, refused)
		if d := Decide(start, p, history, b); d.Action != Retry {
			t.Fatalf("after %d refusals: %+v", len(history), d)
		}
	}
	history = append(history, failed)
	if d := Decide(start, p, history, b); d.Action != Stop {
		t.Errorf("retried without budget: %+v", d)
	}
	b = NewBudget(Options{})
	if d := Decide(start, p, history, b); d.Action != Retry {
		t.Errorf("second target not tried: %+v", d)
	}
	history = append(history, failed)
	if d := Decide(start, p, history, b); d.Action != Stop || d.Why != "no attempts left" {
		t.Errorf("third target tried: %+v", d)
	}
	for len(history) < p.MaxGates {
		history = append([]Attempt{refused}, history...)
	}
	history[len(history)-1] = refused
	if d := Decide(start, p, history, b); d.Action != Stop {
		t.Errorf("more than MaxGates attempts: %+v", d)
	}
}

// Guards against an attempt that a target refused and that is not counted, so that
// more retries arrive at targets than the budget allows.
func TestTargetRefusalsCountAsReached(t *testing.T) {
	for reason, reached := range map[attempt.Reason]bool{
		attempt.ReasonTargetRefused: true, attempt.ReasonIncarnationMismatch: true,
		attempt.ReasonTargetFailing: false, attempt.ReasonOverload: false, attempt.ReasonLeaving: false,
	} {
		if a := (Attempt{Verdict: attempt.VerdictRefused, Reason: reason}); a.Reached() != reached {
			t.Errorf("%s: reached %v", reason, a.Reached())
		}
	}
	if !(Attempt{}).Reached() || (Attempt{NeverStarted: true}).Reached() {
		t.Error("an attempt without a response must count as reached, an attempt that was never sent must not")
	}
}

// Guards against a request that asks every gate for a retry after the budget of the
// service is used up.
func TestStopsAfterBudgetRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := Policy{Idempotent: true, MaxAttempts: 2, MaxGates: 64, Deadline: now.Add(time.Minute)}
	history := []Attempt{{Target: "t0", Started: now, Verdict: attempt.VerdictRan, Status: 500}}
	for i := range maxBudgetRefusals {
		if d := Decide(now, policy, history, NewBudget(Options{Unlimited: true})); d.Action != Retry {
			t.Fatalf("after %d refusals for the budget: %+v", i, d)
		}
		history = append(history, Attempt{Target: fmt.Sprint("t", i+1), Started: now, Verdict: attempt.VerdictRefused, Reason: attempt.ReasonRetryBudget})
	}
	if d := Decide(now, policy, history, NewBudget(Options{Unlimited: true})); d.Action != Stop || d.Outcome != attempt.Answered {
		t.Errorf("after %d refusals for the budget: %+v, want the answered first attempt", maxBudgetRefusals, d)
	}
}
