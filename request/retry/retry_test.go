package retry

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// ending is how an attempt can end, and whether the work actually ran.
type ending struct {
	verdict      attempt.Verdict
	reason       attempt.Reason
	status       int
	neverStarted bool
	ran          bool
}

var endings = []ending{
	{verdict: attempt.VerdictRan, status: 200, ran: true},
	{verdict: attempt.VerdictRan, status: 404, ran: true},
	{verdict: attempt.VerdictRan, status: 503, ran: true},
	{verdict: attempt.VerdictRan, reason: attempt.ReasonResponseCorrupt, ran: true},
	{verdict: attempt.VerdictFailed, reason: attempt.ReasonTargetFailed, ran: true},
	{verdict: attempt.VerdictCrashed, reason: attempt.ReasonTargetCrashed, ran: true},
	{verdict: attempt.VerdictUnknown, ran: true},
	{verdict: attempt.VerdictRefused, reason: attempt.ReasonOverload},
	{verdict: attempt.VerdictRefused, reason: attempt.ReasonDeadline},
	{verdict: attempt.VerdictRefused, reason: attempt.ReasonLeaving},
	{verdict: attempt.VerdictRefused, reason: attempt.ReasonIncarnationMismatch},
	{verdict: attempt.VerdictRefused, reason: attempt.ReasonQuarantined},
	{verdict: attempt.VerdictRefused, reason: attempt.ReasonKeyExpired},
	{reason: attempt.ReasonPathFailed, ran: true},
	{reason: attempt.ReasonPathFailed, ran: false},
	{reason: attempt.ReasonPathFailed, neverStarted: true},
}

// simulateRequest runs a request to its end with drawn results and returns the
// violations of what the retry policy must guarantee.
func simulateRequest(rt *rapid.T, idempotent, retryAny bool) (violations []string) {
	now := start
	p := Policy{Idempotent: idempotent, Deadline: now.Add(2 * time.Second), MinRemaining: 10 * time.Millisecond,
		MaxAttempts: rapid.IntRange(0, 5).Draw(rt, "attempts"), Hedge: rapid.Bool().Draw(rt, "hedge"),
		HedgeAfter: 50 * time.Millisecond, retryAny: retryAny}
	b := NewBudget(Options{})
	for range rapid.IntRange(0, 40).Draw(rt, "others") {
		b.CountFirstAttempt(now)
		b.Take(now)
	}
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	actual := []ending{}
	var history []Attempt
	next := Decision{Number: 1}
	for step := 0; ; step++ {
		if step > 20 {
			addViolation("no Stop after %v", history)
			return
		}
		// Start the attempt that was decided on.
		if len(history) < next.Number {
			i := len(history)
			history = append(history, Attempt{Target: fmt.Sprintf("t%d", i), Node: fmt.Sprintf("n%d", i),
				Domain: fmt.Sprintf("d%d", i%2), Started: now, InProgress: true})
			actual = append(actual, ending{ran: true})
			for _, x := range next.ExcludeTargets {
				if x == history[i].Target {
					addViolation("attempt goes to the excluded target %s", x)
				}
			}
			if len(next.ExcludeTargets) != i {
				addViolation("attempt %d excludes only %v", i+1, next.ExcludeTargets)
			}
		}
		now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
		last := len(history) - 1
		if d := Decide(now, p, history, b); d.Action == Hedge {
			if !idempotent {
				addViolation("hedge of non-idempotent work")
			}
			next = d
			continue
		}
		for i := range history {
			if history[i].InProgress && (i == last || rapid.Bool().Draw(rt, "ends")) {
				e := rapid.SampledFrom(endings).Draw(rt, "ending")
				actual[i] = e
				history[i].InProgress, history[i].Verdict, history[i].Reason = false, e.verdict, e.reason
				history[i].Status, history[i].NeverStarted = e.status, e.neverStarted
			}
		}
		d := Decide(now, p, history, b)
		for d.Action == Withdraw {
			a := &history[d.Number-1]
			a.WithdrawRequested = true
			a.NeverStarted = !actual[d.Number-1].ran && rapid.Bool().Draw(rt, "gate confirms")
			d = Decide(now, p, history, b)
		}
		if d.Action == Wait {
			next = Decision{Number: 0}
			continue
		}
		ran := slices.ContainsFunc(actual, func(e ending) bool { return e.ran })
		if d.Action == Stop {
			if d.Outcome == attempt.NotRun && ran {
				addViolation("outcome not-run, but the work ran: %+v", history)
			}
			answered := slices.ContainsFunc(history, Attempt.answered)
			if (d.Outcome == attempt.Answered) != answered {
				addViolation("outcome %s, answered %v", d.Outcome, answered)
			}
			return
		}
		if ran && !idempotent {
			addViolation("non-idempotent work that ran is retried: %+v", history)
		}
		overloads := 0
		for _, a := range history {
			if a.overloaded() {
				overloads++
				if !slices.Contains(d.ExcludeNodes, a.Node) || !d.FreeSlotOnly {
					addViolation("retry after overload at %s may go to %+v", a.Node, d)
				}
			}
		}
		if overloads > 1 {
			addViolation("second retry after overload")
		}
		if now.After(p.Deadline) {
			addViolation("retry after the deadline")
		}
		next = d
	}
}

// Guards against a retry of non-idempotent work that may have run, and against
// the outcome not-run for work that ran.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := simulateRequest(rt, rapid.Bool().Draw(rt, "idempotent"), false); len(v) > 0 {
			rt.Fatal(v)
		}
	})
}

// Guards against a property test that does not notice when the rule for
// non-idempotent work is off.
func TestDecideNeedsNonIdempotentRule(t *testing.T) {
	found := 0
	rapid.Check(t, func(rt *rapid.T) { found += len(simulateRequest(rt, false, true)) })
	if found == 0 {
		t.Error("retrying any work shows no violation: the property proves nothing")
	}
}

// maxExcessRetries returns the most retries beyond the budget in any 10 s.
func maxExcessRetries(rt *rapid.T, o Options) float64 {
	b, now := NewBudget(o), start
	type secondCounts struct{ first, retries int }
	var seconds []secondCounts
	for range rapid.IntRange(1, 40).Draw(rt, "seconds") {
		var s secondCounts
		for range rapid.IntRange(0, 60).Draw(rt, "first") {
			b.CountFirstAttempt(now)
			s.first++
			if b.Take(now) { // every attempt fails
				s.retries++
			}
		}
		seconds = append(seconds, s)
		now = now.Add(time.Second)
	}
	worst := -1e9
	for i := range seconds {
		if seconds[i].retries == 0 { // the bound holds whenever a retry is allowed
			continue
		}
		first, retries := 0, 0
		for _, s := range seconds[max(0, i-9) : i+1] {
			first += s.first
			retries += s.retries
		}
		worst = max(worst, float64(retries)-0.1*float64(first)-10)
	}
	return worst
}

// Guards against retries beyond the budget, which multiply the load of an
// overloaded service.
func TestBudget(t *testing.T) {
	exceeded := 0
	rapid.Check(t, func(rt *rapid.T) {
		if excess := maxExcessRetries(rt, Options{}); excess > 1e-9 {
			rt.Fatalf("%.1f retries beyond the budget", excess)
		}
		if maxExcessRetries(rt, Options{Unlimited: true}) > 0 {
			exceeded++
		}
	})
	if exceeded == 0 {
		t.Error("no violation without the budget: the property proves nothing")
	}
}

// Guards against a hedge of work that is not slow and against a second hedge,
// either of which multiplies the load.
func TestHedge(t *testing.T) {
	p := Policy{Idempotent: true, Hedge: true, HedgeAfter: 50 * time.Millisecond, Deadline: start.Add(time.Second)}
	b := NewBudget(Options{})
	first := Attempt{Target: "t0", Node: "n0", Started: start, InProgress: true}
	if d := Decide(start, p, []Attempt{first}, b); d.Action != Wait || !d.At.Equal(start.Add(p.HedgeAfter)) {
		t.Errorf("before the usual latency: %+v", d)
	}
	if d := Decide(start.Add(p.HedgeAfter), p, []Attempt{first}, b); d.Action != Hedge || d.Number != 2 || !d.FreeSlotOnly {
		t.Errorf("after the usual latency: %+v", d)
	}
	if d := Decide(start.Add(p.HedgeAfter), p, []Attempt{first, first}, b); d.Action != Wait {
		t.Errorf("beside a hedge: %+v", d)
	}
	p.Long = true
	if d := Decide(start.Add(p.HedgeAfter), p, []Attempt{first}, b); d.Action != Wait {
		t.Errorf("long work: %+v", d)
	}
}

// Guards against retries that two bursts take within one window, the first late in the
// second with which it begins and the other early in its last second.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	const window, perSecond = 10 * time.Second, 2.0
	b := NewBudget(Options{Share: 1e-9, PerSecond: perSecond, Window: window})
	var taken []time.Time
	for _, at := range []time.Duration{950 * time.Millisecond, 9500 * time.Millisecond, 10100 * time.Millisecond, 20500 * time.Millisecond} {
		now := time.Unix(1000, 0).Add(at)
		for range 100 {
			if b.Take(now) {
				taken = append(taken, now)
			}
		}
	}
	for i, from := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if n > int(perSecond*window.Seconds()) {
			t.Fatalf("%d retries in the 10 s from %s, 20 allowed", n, from.Sub(time.Unix(1000, 0)))
		}
	}
	if len(taken) < 40 {
		t.Errorf("%d retries in all, want 40", len(taken))
	}
}
