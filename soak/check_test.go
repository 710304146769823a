package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func answered(work string) Call {
	return Call{Node: "n1", Method: "POST", Path: "/orders", Work: work, Written: at(1), Ended: at(1.1), Status: 200, Outcome: attempt.Answered, Request: "r1"}
}

func ran(target_, work string, second float64) target.Execution {
	return target.Execution{At: at(second), Target: target_, Method: "POST", Work: work, Request: attempt.RequestID("r-" + work)}
}

// kept is a history in which all promises are kept, close to their limits.
func kept() *History {
	notRun := answered("refused")
	notRun.Status, notRun.Outcome, notRun.Reason = 503, attempt.NotRun, attempt.ReasonOverload
	late := Call{Node: "n1", Path: "/kits", Written: at(9), Ended: at(12), Broken: "EOF"} // after the notice of the drain
	unwritten := Call{Node: "n1", Path: "/kits", Ended: at(9), Broken: "connection refused"}
	h := &History{Plan: Plan{Nodes: 3}, Begun: start,
		Calls:      []Call{answered("key a"), answered("b"), notRun, late, unwritten},
		Executions: []target.Execution{ran("t1", "a", 1), ran("t2", "b", 1), ran("t2", "c", 9.9)},
		Stops:      []Stop{{Node: "n1", Begun: at(8), Ended: at(10)}},
		Drains:     []Drain{{Target: "t2", From: at(10), To: at(11)}},
		Views: []View{
			{At: at(1), Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 1}, Version: 4,
				Targets: []telemetry.TargetStatus{{ID: "t1", InSubset: true}, {ID: "t2", InSubset: true, Ejected: true}, {ID: "t3", Leaving: true, Ejected: true}}},
			{At: at(2), Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 2}, Version: 3}, // another process
		},
	}
	for _, id := range []string{"t1", "t2"} {
		h.Executions = append(h.Executions, target.Execution{At: at(3), Target: id, Crash: "poison"})
	}
	for i := range 100 {
		h.Executions = append(h.Executions, target.Execution{At: at(4), Target: "t1", Request: attempt.RequestID(fmt.Sprint("g", i))})
	}
	for i := range 39 { // a tenth of the first runs, and one in a second for each node
		h.Executions = append(h.Executions, target.Execution{At: at(5), Target: "t2", Request: attempt.RequestID(fmt.Sprint("g", i))})
	}
	return h
}

// Guards against checks that report a violation without cause.
func TestKeptPromises(t *testing.T) {
	if v := Check(kept()); len(v) > 0 {
		t.Errorf("violations without cause: %+v", v)
	}
}

// Guards against checks that miss the violation of their promise, as when the
// promise is switched off in the fleet.
func TestEachPromiseIsChecked(t *testing.T) {
	for _, c := range []struct {
		promise Guarantee
		breakIt func(*History)
	}{
		{AtMostOnce, func(h *History) { h.Executions = append(h.Executions, ran("t3", "a", 2)) }},
		{TrueRefusal, func(h *History) { h.Executions = append(h.Executions, ran("t3", "refused", 2)) }},
		{OwnAnswer, func(h *History) {
			h.Calls = append(h.Calls, Call{Path: "/kits", Status: 200, Wrong: "answer of another"})
		}},
		{OwnAnswer, func(h *History) { h.Calls = append(h.Calls, answered("never run")) }},
		{NoCut, func(h *History) {
			h.Calls = append(h.Calls, Call{Node: "n1", Path: "/kits", Written: at(7.9), Ended: at(10), Broken: "EOF"})
		}},
		{NoCut, func(h *History) {
			h.Calls = append(h.Calls, Call{Node: "n1", Path: "/kits", Written: at(8.5), Ended: at(8.6), Broken: "EOF"})
		}},
		{StopsItself, func(h *History) { h.Stuck = []string{"n2"} }},
		{Leaving, func(h *History) { h.Executions = append(h.Executions, ran("t2", "d", 10.1)) }},
		{Floor, func(h *History) { h.Views[0].Targets[0].Ejected = true }},
		{ConfigForward, func(h *History) {
			h.Views = append(h.Views, View{At: at(3), Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 2}, Version: 2})
		}},
		{Budget, func(h *History) {
			for i := range 10 {
				h.Executions = append(h.Executions, target.Execution{At: at(6), Target: "t1", Request: attempt.RequestID(fmt.Sprint("g", 90+i))})
			}
		}},
		{PoisonLimit, func(h *History) {
			h.Executions = append(h.Executions, target.Execution{At: at(3), Target: "t3", Crash: "poison"})
		}},
		{Recovery, func(h *History) { h.Unready = "n2 is not ready" }},
	} {
		h := kept()
		c.breakIt(h)
		v := Check(h)
		if len(v) == 0 || slices.ContainsFunc(v, func(v Violation) bool { return v.Guarantee != c.promise }) {
			t.Errorf("%s: %+v", c.promise, v)
		}
	}
}

// Guards against plans that differ for one seed or repeat for another, and
// against faults that never come.
func TestPlan(t *testing.T) {
	text := func(seed uint64) string { return fmt.Sprint(NewPlan(seed, 4, 6, 10*time.Second).Events) }
	if again := text(7); text(7) != again || text(8) == again {
		t.Error("a plan does not follow from its seed alone")
	}
	seen := map[Kind]bool{}
	for seed := range uint64(50) {
		p := NewPlan(seed, 4, 6, 10*time.Second)
		for _, e := range p.Events {
			seen[e.Kind] = true
			if most := map[bool]int{true: 6, false: 4}[e.ofTarget()]; e.Subject < 0 || e.Subject >= most || e.For <= 0 && e.Kind != Poison {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		if p.poison().At != p.Faults {
			t.Errorf("seed %d: no poison after the faults", seed)
		}
	}
	if len(seen) != len(kinds)+1 {
		t.Errorf("only %d of %d kinds are drawn", len(seen), len(kinds)+1)
	}
}
