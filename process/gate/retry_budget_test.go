package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	standin "github.com/hyssopsill/hyssopsill/standin/target"
)

// fakeClock holds a time that a test sets.
type fakeClock struct{ now time.Time }

// newExchange returns an exchange with the target t1.
func newExchange(g *Gate, isRetry bool) *exchange {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil)
	return &exchange{gate: g, w: httptest.NewRecorder(), r: r, targetID: "t1", idText: "x", retry: isRetry}
}

func newBudgetGate(t *testing.T, clock *fakeClock) *Gate {
	t.Helper()
	g := New(Options{Node: "g1", Now: func() time.Time { return clock.now }, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		Reporter: invariant.PanicReporter{}, RetryShare: 0.2, AdditionalRetries: 60, RetryWindow: 10 * time.Second})
	if _, err := g.Announce("t1", Announcement{Service: "shop", Address: "127.0.0.1:1", Slots: 4}); err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against gates that together admit more retries than the budget of the
// service, also right after a start, when a gate knows few others.
func TestGatesShareRetryBudget(t *testing.T) {
	const gates, requests = 5, 100
	clock := &fakeClock{now: time.Unix(1000, 0)}
	admitted := 0
	for i := range gates {
		g := newBudgetGate(t, clock)
		g.SetTargetCounts(map[string]int{"shop": 1}) // as right after the start
		for range 5 {
			if newExchange(g, true).chargeRetryBudget() {
				t.Fatalf("gate %d admits a retry right after its start", i)
			}
		}
		clock.now = clock.now.Add(targetCountSettleTime)
		g.SetTargetCounts(map[string]int{"shop": gates})
		for range requests {
			if !newExchange(g, false).chargeRetryBudget() {
				t.Fatal("a first attempt is refused")
			}
		}
		for range requests {
			if newExchange(g, true).chargeRetryBudget() {
				admitted++
			}
		}
	}
	if budget := 0.2*gates*requests + 60; float64(admitted) > budget || float64(admitted) < 0.4*budget {
		t.Errorf("%d retries were admitted, the budget is %v", admitted, budget)
	}
}

// Guards against a budget that counts no calls of retried requests, which are retries at
// the called service, or that counts the requests of customers on the same host with them.
func TestCallsOfRetriesAreCharged(t *testing.T) {
	admitted := func(called bool, callerRetries float64) (n int) {
		clock := &fakeClock{now: time.Unix(1000, 0)}
		g := newBudgetGate(t, clock)
		g.SetTargetCounts(map[string]int{"shop": 1})
		clock.now = clock.now.Add(targetCountSettleTime)
		services := []string{"shop"}
		if !called {
			services = []string{"shop", "library"}
		}
		for i := range 100 {
			e := newExchange(g, false)
			e.class, e.callerRetries = "stock", callerRetries
			g.callers.Observe("stock", services[i%len(services)])
			e.chargeRetryBudget()
		}
		for range 200 {
			if newExchange(g, true).chargeRetryBudget() {
				n++
			}
		}
		return n
	}
	without, customers, calls := admitted(true, 0), admitted(false, 0.5), admitted(true, 0.5)
	// The first request of customers is charged, as it may be a call: no other service has sent one yet.
	if customers < without-1 || customers > without || calls != without-50 {
		t.Errorf("%d retries are admitted without retries at the caller, %d for customers, %d for calls, want %d, at least %d and %d", without, customers, calls, without, without-1, without-50)
	}
}

// Guards against retries that make their calls again at a service whose budget is used up,
// and against callers that are not told how much is left of it.
func TestRetryNeedsRoomAtCalledServices(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	g := newBudgetGate(t, clock)
	g.SetTargetCounts(map[string]int{"shop": 1})
	clock.now = clock.now.Add(targetCountSettleTime)
	reported := func() string {
		e := newExchange(g, false)
		e.class = "stock"
		h := http.Header{}
		e.setLoadHeaders(h)
		return h.Get(attempt.HeaderBudgetRoom)
	}
	if room := reported(); room != "" {
		t.Errorf("work that is no call gets room %s", room)
	}
	for range 20 {
		g.callers.Observe("stock", "shop")
	}
	if room := reported(); room != "1.00" {
		t.Errorf("room %q before any retry, want 1.00", room)
	}
	for range 10 {
		g.NoteCalledRoom("library", 0)
	}
	if newExchange(g, true).chargeRetryBudget() {
		t.Error("a retry is admitted while the called service has no room")
	}
	if !newExchange(g, false).chargeRetryBudget() {
		t.Error("a first attempt is refused")
	}
	if room := reported(); room == "1.00" || room == "" {
		t.Errorf("room %q while the called service has none", room)
	}
	for range 10 {
		g.NoteCalledRoom("library", 1)
	}
	if !newExchange(g, true).chargeRetryBudget() {
		t.Error("a retry is refused though the called service has room again")
	}
}

// Guards against a share of retries that counts work which has ended or not begun.
func TestRetryShareOfRunningWork(t *testing.T) {
	g := newBudgetGate(t, &fakeClock{now: time.Unix(1000, 0)})
	if share := g.RetryShare(); share != 0 {
		t.Errorf("share %v without work", share)
	}
	for i, e := range []*exchange{{started: true, retry: true}, {started: true}, {started: true, callerRetries: 0.5}, {started: true}, {retry: true}, {started: true, ticketEnded: true, retry: true}} {
		g.active[attempt.ID{Number: i}] = e
	}
	if share := g.RetryShare(); share != 1.5/4 {
		t.Errorf("share %v, want 0.375", share)
	}
}

// Guards against an error that a failed call explains and that still opens the breaker,
// and against entries that are not told that the work is a call.
func TestErrorAfterFailedCall(t *testing.T) {
	for _, failedCall := range []bool{true, false} {
		f := newFixture(t, 4, false)
		f.target.SetFaults(standin.Faults{FailShare: 1})
		e := newExchange(f.gate, false)
		f.gate.mu.Lock()
		e.target, e.started, e.sentAt = f.gate.targets["t1"], true, f.gate.now()
		f.gate.mu.Unlock()
		time.Sleep(time.Millisecond)
		if failedCall {
			f.gate.NoteFailedCall()
		}
		e.reportStatus(http.StatusInternalServerError)
		if open := e.target.breaker.Open(); open == failedCall {
			t.Errorf("failed call %v: breaker open %v", failedCall, open)
		}
	}
}

// Guards against gates that refuse retries where entries enforce the budget.
func TestRetriesPassWhenEntriesEnforceBudget(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	g := newBudgetGate(t, clock)
	g.options.AdditionalRetries = 0
	for range 100 {
		if !newExchange(g, true).chargeRetryBudget() {
			t.Fatal("a retry is refused")
		}
	}
}

// Guards against non-idempotent work that is sent to a target which has just failed,
// and against the refusal of a request that has no other target.
func TestOpenBreakerRefusesWork(t *testing.T) {
	f := newFixture(t, 4, false)
	f.target.SetFaults(standin.Faults{TruncateShare: 1})
	if r := f.send(attemptID("r1"), "/a", time.Second); r.verdict != "failed" {
		t.Fatalf("first attempt: %+v", r)
	}
	for i := range 5 {
		if r := f.send(attemptID(fmt.Sprint("n", i)), "/a", time.Second); r.verdict != "refused" || r.reason != "target-failing" {
			t.Errorf("attempt at a failing target: %s %s", r.verdict, r.reason)
		}
	}
	f.target.SetFaults(standin.Faults{})
	if r := f.send(attemptID("r2"), "/a", time.Second, attempt.HeaderForce, "1"); r.verdict != "ran" {
		t.Errorf("forced attempt: %s %s", r.verdict, r.reason)
	}
	if r := f.send(attemptID("r3"), "/a", time.Second); r.verdict != "ran" {
		t.Errorf("after a success: %s %s", r.verdict, r.reason)
	}
}

// Guards against a gate that has just started and keeps sending work to a target that
// fails at once, since it does not know the expected service time yet.
func TestFirstErrorOpensTheBreaker(t *testing.T) {
	f := newFixture(t, 4, false)
	f.target.SetFaults(standin.Faults{FailShare: 1})
	if r := f.send(attemptID("r1"), "/a", time.Minute); r.status != http.StatusInternalServerError {
		t.Fatalf("first attempt: %+v", r)
	}
	if r := f.send(attemptID("r2"), "/a", time.Minute); r.reason != "target-failing" {
		t.Errorf("non-idempotent attempt after the first error: %d %s %s", r.status, r.verdict, r.reason)
	}
}

// Guards against a process that stays in use after another one replaced it at its
// address, and against a late announcement of the old one that removes the new one.
func TestNewProcessReplacesOldOneAtAddress(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	g := newBudgetGate(t, clock)
	announce := func(name string, started int64) error {
		_, err := g.Announce(name, Announcement{Service: "shop", Address: "127.0.0.1:2", Slots: 4,
			Incarnation: attempt.Incarnation{StartedMS: started, Random: 1}.String()})
		return err
	}
	if err := announce("old", 10); err != nil {
		t.Fatal(err)
	}
	if err := announce("new", 20); err != nil {
		t.Fatal(err)
	}
	if err := announce("old", 10); err == nil {
		t.Error("the announcement of a replaced process is accepted")
	}
	for _, target := range g.Targets() {
		if target.ID == "old" {
			t.Error("the replaced process is still announced")
		}
	}
}
