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

// clock is a time that a test sets.
type clock struct{ now time.Time }

// exchangeAt returns an exchange of the target t1 that repeats a request or not.
func exchangeAt(g *Gate, repeat bool) *exchange {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil)
	return &exchange{g: g, w: httptest.NewRecorder(), r: r, target: "t1", idText: "x", repeat: repeat}
}

func newBudgetGate(t *testing.T, c *clock) *Gate {
	t.Helper()
	g := New(Options{Node: "g1", Now: func() time.Time { return c.now }, Rand: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(),
		Reporter: invariant.PanicReporter{}, RetryShare: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second})
	if _, err := g.Announce("t1", Announcement{Service: "shop", Address: "127.0.0.1:1", Slots: 4}); err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against gates that together let more repeats through than the budget of
// the service, also right after a start, when a gate knows few others.
func TestGatesShareTheBudgetOfRepeats(t *testing.T) {
	const gates, requests = 5, 100
	c := &clock{now: time.Unix(1000, 0)}
	passed := 0
	for i := range gates {
		g := newBudgetGate(t, c)
		g.SetTargetCounts(map[string]int{"shop": 1}) // as right after the start
		for range 5 {
			if exchangeAt(g, true).passRepeat() {
				t.Fatalf("gate %d passes a repeat although it has just started", i)
			}
		}
		c.now = c.now.Add(sharersKnown)
		g.SetTargetCounts(map[string]int{"shop": gates})
		for range requests {
			if !exchangeAt(g, false).passRepeat() {
				t.Fatal("a first attempt is refused")
			}
		}
		for range requests {
			if exchangeAt(g, true).passRepeat() {
				passed++
			}
		}
	}
	if most := 0.2*gates*requests + 60; float64(passed) > most || float64(passed) < 0.4*most {
		t.Errorf("%d repeats pass, the budget is %v", passed, most)
	}
}

// Guards against gates that refuse repeats where entries keep the budget.
func TestNoBudgetAtTheGate(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	g := newBudgetGate(t, c)
	g.o.RetrySlack = 0
	for range 100 {
		if !exchangeAt(g, true).passRepeat() {
			t.Fatal("a repeat is refused")
		}
	}
}

// Guards against non-idempotent work that is sent to a target which has just
// failed, and against a request with no other target that is refused too.
func TestFailingTargetIsLeftOut(t *testing.T) {
	b := newBench(t, 4, false)
	b.x.SetFaults(standin.Faults{TruncateShare: 1})
	if r := b.send(id("r1"), "/a", time.Second); r.verdict != "failed" {
		t.Fatalf("first attempt: %+v", r)
	}
	for i := range 5 {
		if r := b.send(id(fmt.Sprint("n", i)), "/a", time.Second); r.verdict != "refused" || r.reason != "target-failing" {
			t.Errorf("attempt at a failing target: %s %s", r.verdict, r.reason)
		}
	}
	b.x.SetFaults(standin.Faults{})
	if r := b.send(id("r2"), "/a", time.Second, attempt.HeaderForce, "1"); r.verdict != "ran" {
		t.Errorf("forced attempt: %s %s", r.verdict, r.reason)
	}
	if r := b.send(id("r3"), "/a", time.Second); r.verdict != "ran" {
		t.Errorf("after a success: %s %s", r.verdict, r.reason)
	}
}

// Guards against a gate that has just started and sends work to a target that
// fails at once, since it does not know the usual time of the work yet.
func TestFirstErrorOpensTheBreaker(t *testing.T) {
	b := newBench(t, 4, false)
	b.x.SetFaults(standin.Faults{FailShare: 1})
	if r := b.send(id("r1"), "/a", time.Minute); r.status != http.StatusInternalServerError {
		t.Fatalf("first attempt: %+v", r)
	}
	if r := b.send(id("r2"), "/a", time.Minute); r.reason != "target-failing" {
		t.Errorf("an order after the first error: %d %s %s", r.status, r.verdict, r.reason)
	}
}

// Guards against a process that is replaced at its address and stays in use, and
// against a late announcement of the old one that removes the new one.
func TestNewProcessAtAnAddress(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	g := newBudgetGate(t, c)
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
		t.Error("the announcement of a replaced process is taken")
	}
	for _, x := range g.Targets() {
		if x.ID == "old" {
			t.Error("the replaced process is still announced")
		}
	}
}
