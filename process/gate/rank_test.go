package gate

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against calls of less urgent work that go before urgent work at the called
// service, also at the end of a chain of calls, and against a rank that a customer's
// request takes from the work on the host of its entry.
func TestCallsInheritTheRankOfTheirCaller(t *testing.T) {
	g := newBudgetGate(t, &fakeClock{now: time.Unix(1000, 0)})
	run := func(id, class string, rank int) *exchange {
		e := newExchange(g, false)
		e.id.Request, e.class, e.rank, e.started = attempt.RequestID(id), class, rank, true
		g.active[e.id] = e
		return e
	}
	if _, ok := g.MostUrgentRank(); ok {
		t.Error("an idle gate has a rank")
	}
	for range 16 {
		g.callers.Observe("direct", "shop")
		g.callers.Observe("call", "orders")
	}
	run("a", "direct", 51)
	g.callers.Observe("direct", "orders")
	urgent := run("b", "direct", 34)
	call := run("c", "call", 0) // counts with the rank of its caller, not with that of its class
	call.callerRank = 40
	if rank, ok := g.MostUrgentRank(); !ok || rank != 34 {
		t.Errorf("rank %d %v, want 34", rank, ok)
	}
	urgent.ticketEnded = true
	if rank, _ := g.MostUrgentRank(); rank != 40 {
		t.Errorf("rank %d after the urgent work, want 40 of the call", rank)
	}
	call.ticketEnded = true
	if rank, _ := g.MostUrgentRank(); rank != 51 {
		t.Errorf("rank %d after the call, want 51", rank)
	}
	call.ticketEnded, call.callerRank = false, -1
	if rank, _ := g.MostUrgentRank(); rank != 0 {
		t.Errorf("rank %d with a call whose entry sends no inherited rank, want 0 of its own", rank)
	}
	for class, want := range map[string]int{"call": 34, "direct": 17} {
		e := newExchange(g, false)
		e.class, e.rank, e.callerRank = class, 17, 34
		if got := e.workRank(); got != want {
			t.Errorf("%s: rank %d, want %d", class, got, want)
		}
	}
}
