package soak

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

var startTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func atSecond(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func answeredCall(work string) Call {
	return Call{Node: "n1", Method: "POST", Path: "/orders", Work: work, WrittenAt: atSecond(1), EndedAt: atSecond(1.1), Status: 200, Outcome: attempt.Answered, Request: "r1"}
}

func execution(targetID, work string, second float64) target.Execution {
	return target.Execution{At: atSecond(second), Target: targetID, Method: "POST", Work: work, Request: attempt.RequestID("r-" + work), Account: openAccount}
}

// compliantHistory returns a history without violations that comes close to the limits
// of the guarantees.
func compliantHistory() *History {
	notRun := answeredCall("refused")
	notRun.Status, notRun.Outcome, notRun.Reason = 503, attempt.NotRun, attempt.ReasonOverload
	afterNotice := Call{Node: "n1", Path: "/kits", WrittenAt: atSecond(9), EndedAt: atSecond(12), Incomplete: "EOF"} // after the drain notice
	unwritten := Call{Node: "n1", Path: "/kits", EndedAt: atSecond(9), Incomplete: "connection refused"}
	h := &History{Plan: Plan{Nodes: 3}, StartedAt: startTime,
		Calls:      []Call{answeredCall("key a"), answeredCall("b"), notRun, afterNotice, unwritten},
		Executions: []target.Execution{execution("t1", "a", 1), execution("t2", "b", 1), execution("t2", "c", 9.9)},
		Stops:      []Stop{{Node: "n1", StartedAt: atSecond(8), EndedAt: atSecond(10)}},
		Ends: []ProcessEnd{
			{Process: "n1", StartedAt: startTime, EndedAt: atSecond(10), ReloadAt: atSecond(9), TermAt: atSecond(8)},
			{Process: "n2", StartedAt: startTime, EndedAt: atSecond(5), Status: -1, Signal: "killed", KillAt: atSecond(5)},
			{Process: "n2", StartedAt: atSecond(6), EndedAt: atSecond(6.01), Status: -1, Signal: "hangup", Silent: true, ReloadAt: atSecond(6.01)},
			{Process: "t1", StartedAt: startTime, EndedAt: atSecond(3.1), Status: 1}, // by a poison request
		},
		Drains: []Drain{{Target: "t2", From: atSecond(10), To: atSecond(11)}},
		Views: []View{
			{At: atSecond(1), Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 1}, Version: 4,
				Targets: []telemetry.TargetStatus{{ID: "t1", InSubset: true}, {ID: "t2", InSubset: true, Ejected: true}, {ID: "t3", Leaving: true, Ejected: true}}},
			{At: atSecond(2), Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 2}, Version: 3}, // another process
		},
	}
	for _, id := range []string{"t1", "t2"} {
		h.Executions = append(h.Executions, target.Execution{At: atSecond(3), Target: id, Account: openAccount, Crash: "poison"})
	}
	for i := range 100 {
		h.Executions = append(h.Executions, target.Execution{At: atSecond(4), Target: "t1", Account: openAccount, Request: attempt.RequestID(fmt.Sprint("g", i))})
	}
	h.RateLimits = []RateLimit{{Target: "t4", From: atSecond(20), To: atSecond(30), Rate: 3}}
	h.Executions = append(h.Executions, execution("t4", "", 21))
	for i := range 23 { // as many as 1.5 times the rate and 5 allow in 4 s
		h.Executions = append(h.Executions, execution("t4", "", 23+float64(i)*0.17))
	}
	h.Plan.Events = []Event{{Kind: KeyChange}, {Kind: HostileLines}}
	for i := range 97 { // as many as the limit allows in a window
		h.Executions = append(h.Executions, target.Execution{At: atSecond(40 + float64(i)*0.05), Target: "t5", Account: limitedAccount(0), Request: attempt.RequestID(fmt.Sprint("l", i))})
	}
	h.Executions = append(h.Executions, h.Executions[len(h.Executions)-1]) // a retry is no further request
	for i := range h.Calls {
		h.Calls[i].Key = stableKey
	}
	h.KeysChangedAt = atSecond(50)
	h.Pauses = []Pause{{Node: "n2", From: atSecond(59), To: atSecond(60)}}
	refused := keyCall(removedKey, 55)
	refused.Status, refused.Outcome, refused.Reason = 401, attempt.NotRun, attempt.ReasonUnauthenticated
	h.Calls = append(h.Calls, keyCall(removedKey, 52.4), keyCall(removedKey, 62.9), keyCall(addedKey, 55), refused)
	h.Ends[0].PeakKiB = hostMemoryKiB
	for i := range 39 { // a tenth of the first runs, and one per second for each node
		h.Executions = append(h.Executions, target.Execution{At: atSecond(5), Target: "t2", Account: openAccount, Request: attempt.RequestID(fmt.Sprint("g", i))})
	}
	return h
}

// keyCall returns a call with an API key that node n2 served.
func keyCall(key string, second float64) Call {
	return Call{Node: "n2", Path: "/kits", Key: key, WrittenAt: atSecond(second), EndedAt: atSecond(second + 0.1), Status: 200, Outcome: attempt.Answered, Request: "key"}
}

// accountExecution returns an execution for the account.
func accountExecution(targetID, work string, second float64, account string) target.Execution {
	run := execution(targetID, work, second)
	run.Account = account
	return run
}

// Guards against checks that report a violation in a history without one.
func TestNoFalseViolations(t *testing.T) {
	if v := Check(compliantHistory()); len(v) > 0 {
		t.Errorf("violations without cause: %+v", v)
	}
}

// Guards against checks that miss a violation of their guarantee, as happens when the
// fleet no longer enforces it.
func TestEachGuaranteeIsChecked(t *testing.T) {
	for _, c := range []struct {
		guarantee Guarantee
		violate   func(*History)
	}{
		{AtMostOnce, func(h *History) { h.Executions = append(h.Executions, execution("t3", "a", 2)) }},
		{NotRun, func(h *History) { h.Executions = append(h.Executions, execution("t3", "refused", 2)) }},
		{OwnAnswer, func(h *History) {
			h.Calls = append(h.Calls, Call{Path: "/kits", Status: 200, Mismatch: "response to another request"})
		}},
		{OwnAnswer, func(h *History) { h.Calls = append(h.Calls, answeredCall("never run")) }},
		{NoCut, func(h *History) {
			h.Calls = append(h.Calls, Call{Node: "n1", Path: "/kits", WrittenAt: atSecond(7.9), EndedAt: atSecond(10), Incomplete: "EOF"})
		}},
		{NoCut, func(h *History) {
			h.Calls = append(h.Calls, Call{Node: "n1", Path: "/kits", WrittenAt: atSecond(8.5), EndedAt: atSecond(8.6), Incomplete: "EOF"})
		}},
		{NoCut, func(h *History) { // the transport sent the request again
			h.Calls = append(h.Calls, Call{Node: "n1", Path: "/kits", WrittenAt: atSecond(7.9), ResentAt: atSecond(8.2), EndedAt: atSecond(8.3), Status: 200})
		}},
		{GracefulStop, func(h *History) { h.Stuck = []string{"n2"} }},
		{Leaving, func(h *History) { h.Executions = append(h.Executions, execution("t2", "d", 10.1)) }},
		{Floor, func(h *History) { h.Views[0].Targets[0].Ejected = true }},
		{ConfigForward, func(h *History) {
			h.Views = append(h.Views, View{At: atSecond(3), Node: "n1", Incarnation: attempt.Incarnation{StartedMS: 2}, Version: 2})
		}},
		{Budget, func(h *History) {
			for i := range 10 {
				h.Executions = append(h.Executions, target.Execution{At: atSecond(6), Target: "t1", Account: openAccount, Request: attempt.RequestID(fmt.Sprint("g", 90+i))})
			}
		}},
		{PoisonLimit, func(h *History) {
			h.Executions = append(h.Executions, target.Execution{At: atSecond(3), Target: "t3", Account: openAccount, Crash: "poison"})
		}},
		{Recovery, func(h *History) { h.Unready = "n2 is not ready" }},
		{TargetRates, func(h *History) { h.Executions = append(h.Executions, execution("t4", "", 25)) }},
		{RequestedEnd, func(h *History) { h.Ends[0].Signal, h.Ends[0].Status = "hangup", -1 }}, // during its drain
		{RequestedEnd, func(h *History) { h.Ends[0].Status = 3 }},                              // as after a second SIGTERM
		{RequestedEnd, func(h *History) { h.Ends[0].TermAt = time.Time{} }},
		{RequestedEnd, func(h *History) { h.Ends[1].KillAt = time.Time{} }},
		{RequestedEnd, func(h *History) { h.Ends[2].Silent = false }},
		{RequestedEnd, func(h *History) { h.Ends[3].StartedAt = atSecond(3.05) }}, // after the poison request
		{AccountLimit, func(h *History) {
			h.Executions = append(h.Executions, accountExecution("t5", "one more", 41, limitedAccount(0)))
		}},
		{AccountKey, func(h *History) { h.Calls = append(h.Calls, keyCall(removedKey, 52.6)) }},
		{AccountKey, func(h *History) { h.Calls = append(h.Calls, keyCall(removedKey, 63.1)) }}, // after a pause
		{AccountKey, func(h *History) { // another node was paused
			call := keyCall(removedKey, 59.5)
			call.Node = "n3"
			h.Calls = append(h.Calls, call)
		}},
		{AccountKey, func(h *History) { h.AddedKeyFails = []string{"node n1: status 401"} }},
		{AccountKey, func(h *History) { h.Executions[0].SecretIn = attempt.HeaderAccountKey }},
		{AccountKey, func(h *History) { h.Executions[0].Account = "" }},
		{OwnUpload, func(h *History) { h.Executions[0].Altered = "100 of 200 bytes" }},
		{AccountKey, func(h *History) { h.Executions[0].Account = limitedAccount(2) }}, // known by its order
		{AccountKey, func(h *History) {
			run := accountExecution("t1", "", 6, limitedAccount(2))
			run.Request = "key"
			h.Executions = append(h.Executions, run)
		}},
		{Memory, func(h *History) { h.Ends[0].PeakKiB++ }},
	} {
		h := compliantHistory()
		c.violate(h)
		v := Check(h)
		if len(v) == 0 || slices.ContainsFunc(v, func(v Violation) bool { return v.Guarantee != c.guarantee }) {
			t.Errorf("%s: %+v", c.guarantee, v)
		}
	}
}

// Guards against plans that differ between calls with one seed or are the same for
// two seeds, and against kinds of faults that are never drawn.
func TestPlan(t *testing.T) {
	planText := func(seed uint64) string { return fmt.Sprint(NewPlan(seed, 4, 6, 10*time.Second).Events) }
	if events := planText(7); planText(7) != events || planText(8) == events {
		t.Error("the plan is not determined by its seed, or two seeds give the same plan")
	}
	seen := map[Kind]bool{}
	for seed := range uint64(50) {
		p := NewPlan(seed, 4, 6, 10*time.Second)
		for _, e := range p.Events {
			seen[e.Kind] = true
			if subjects := map[bool]int{true: 6, false: 4}[e.concernsTarget()]; e.Subject < 0 || e.Subject >= subjects || e.Duration <= 0 && e.Kind != Poison {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		if p.poisonEvent().At != p.Faults {
			t.Errorf("seed %d: the poison event is not at the end of the faults", seed)
		}
	}
	if kinds := len(kindWeights) + 1 + len(drawnApart); len(seen) != kinds { // with Poison
		t.Errorf("only %d of %d kinds are drawn", len(seen), kinds)
	}
}

// drawnApart are the kinds that have random sources of their own.
var drawnApart = append([]Kind{NodeReload, StoreRestore, StoreTurnAway, TargetRate, KeyChange, AccountSurge}, hostileKinds...)

// Guards against events drawn apart that change the other events of a seed, so that the
// seeds that failed before plans had them no longer give the plans that failed.
func TestReloadsLeaveOtherEvents(t *testing.T) {
	hash := fnv.New64a()
	for seed := range uint64(50) {
		events := slices.DeleteFunc(NewPlan(seed, 4, 6, 10*time.Second).Events, func(e Event) bool {
			return slices.Contains(drawnApart, e.Kind)
		})
		for i := range events {
			events[i].Reloads, events[i].StartReloads = nil, nil
		}
		_, _ = fmt.Fprint(hash, events) // never fails
	}
	if got := hash.Sum64(); got != plansWithoutReloads {
		t.Errorf("the other events have the hash %#x, want %#x", got, uint64(plansWithoutReloads))
	}
}

// plansWithoutReloads is the hash of the plans before events were drawn apart.
const plansWithoutReloads = 0xd9ebeba1691ffcac

// Guards against plans without reloads in one of the phases of a graceful stop, at the
// start of a process or in series.
func TestReloadPhases(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(50) {
		for _, e := range NewPlan(seed, 4, 6, 10*time.Second).Events {
			seen["restart"] = seen["restart"] || len(e.StartReloads) > 0
			seen["single"] = seen["single"] || e.Kind == NodeReload && len(e.Reloads) == 1
			seen["series"] = seen["series"] || e.Kind == NodeReload && len(e.Reloads) > 1
			if e.Kind != NodeStop {
				continue
			}
			for _, at := range e.Reloads {
				seen["before"] = seen["before"] || at < 0
				seen["at"] = seen["at"] || at == 0
				seen["notice"] = seen["notice"] || at > 0 && at < drainNotice
				seen["after notice"] = seen["after notice"] || at > time.Second
			}
		}
	}
	if len(seen) != 7 || slices.Contains(slices.Collect(maps.Values(seen)), false) {
		t.Errorf("reloads in these phases: %v", seen)
	}
}
