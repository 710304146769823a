package retry

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against gates' refusals that use up the attempts of a request, whose
// bound is on targets, and against more targets than the bound.
func TestRefusalsOfGatesAreNotAttempts(t *testing.T) {
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
		t.Errorf("a retry without budget: %+v", d)
	}
	b = NewBudget(Options{})
	if d := Decide(start, p, history, b); d.Action != Retry {
		t.Errorf("the second target is not tried: %+v", d)
	}
	history = append(history, failed)
	if d := Decide(start, p, history, b); d.Action != Stop || d.Why != "no attempts left" {
		t.Errorf("a third target is tried: %+v", d)
	}
	for len(history) < p.MaxGates {
		history = append([]Attempt{refused}, history...)
	}
	history[len(history)-1] = refused
	if d := Decide(start, p, history, b); d.Action != Stop {
		t.Errorf("asks without end: %+v", d)
	}
}

// Guards against a request that was sent to a target which refused it and counts
// as never sent, so that more repeats arrive than the budget has.
func TestRefusalsOfTargetsReachedThem(t *testing.T) {
	for reason, reached := range map[attempt.Reason]bool{
		attempt.ReasonTargetRefused: true, attempt.ReasonIncarnationMismatch: true,
		attempt.ReasonTargetFailing: false, attempt.ReasonOverload: false, attempt.ReasonLeaving: false,
	} {
		if a := (Attempt{Verdict: attempt.VerdictRefused, Reason: reason}); a.Reached() != reached {
			t.Errorf("%s: reached %v", reason, a.Reached())
		}
	}
	if !(Attempt{}).Reached() || (Attempt{NeverStarted: true}).Reached() {
		t.Error("an attempt without an answer may have arrived, one of which nothing was sent has not")
	}
}
