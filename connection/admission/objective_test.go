package admission

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// objectiveGate returns a gate whose target has one slot, in use, and work of
// 100 ms with an objective of 1 s.
func objectiveGate(t *testing.T) (*Controller, Work, Ticket) {
	t.Helper()
	var bad collector
	g := New(Options{QueuePerSlot: 100}, &bad)
	g.SetTarget(epoch, Target{ID: "t", Slots: 1, Classes: map[string]Class{"c": {Priority: Order, Objective: time.Second}}})
	w := Work{Target: "t", Class: "c"}
	for i := range 20 { // the estimate learns 100 ms
		begun := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		w.Deadline = begun.Add(time.Minute)
		d := g.Submit(begun, w)
		g.Finish(begun.Add(100*time.Millisecond), d.Ticket, Result{OK: true})
	}
	now := epoch.Add(2 * time.Second)
	w.Deadline = now.Add(time.Minute)
	return g, w, g.Submit(now, w).Ticket
}

// Guards against work that waits for its deadline although it misses its
// objective, while its caller could do something else.
func TestWorkThatMissesItsObjectiveDoesNotQueue(t *testing.T) {
	g, w, _ := objectiveGate(t)
	now, queued := epoch.Add(2*time.Second), 0
	for range 30 {
		if d := g.Submit(now, w); d.Kind == Queued {
			queued++
		} else if d.Reason != attempt.ReasonOverload {
			t.Fatalf("refused for %s", d.Reason)
		}
	}
	if queued < 5 || queued > 10 {
		t.Errorf("%d of 30 wait for a slot of 100 ms with an objective of 1 s, want 5 to 10", queued)
	}
	w.ArrivedAt = now.Add(-950 * time.Millisecond) // spent elsewhere
	if d := g.Submit(now, w); d.Kind != Refused {
		t.Error("work whose objective has nearly passed waits")
	}
}

// Guards against work that waits behind a slot that hangs until its node is
// killed or its deadline passes.
func TestWorkLeavesAHangingQueue(t *testing.T) {
	g, w, hanging := objectiveGate(t)
	now := epoch.Add(2 * time.Second)
	if d := g.Submit(now, w); d.Kind != Queued {
		t.Fatalf("got %+v", d)
	}
	if out := g.Tick(now.Add(300 * time.Millisecond)); len(out) != 0 {
		t.Fatalf("left after 0.3 s: %+v", out)
	}
	out := g.Tick(now.Add(500 * time.Millisecond))
	if len(out) != 1 || out[0].Kind != Refused || out[0].Reason != attempt.ReasonOverload {
		t.Fatalf("still waits after half of its objective: %+v", out)
	}
	if out = g.Finish(now.Add(time.Second), hanging, Result{}); len(out) != 0 {
		t.Errorf("refused work starts: %+v", out)
	}
}

// Guards against late work that goes before work which can still meet its
// objective.
func TestLateWorkGoesLast(t *testing.T) {
	g, w, running := objectiveGate(t)
	now := epoch.Add(2 * time.Second)
	w.ArrivedAt = now.Add(-700 * time.Millisecond)
	late := g.Submit(now, w)
	w.ArrivedAt = time.Time{}
	w.Deadline = now.Add(2 * time.Minute) // later, so that the deadline alone would put it last
	fresh := g.Submit(now, w)
	if late.Kind != Queued || fresh.Kind != Queued {
		t.Fatalf("got %+v and %+v", late, fresh)
	}
	out := g.Finish(now.Add(250*time.Millisecond), running, Result{})
	if len(out) != 1 || out[0].Ticket != fresh.Ticket {
		t.Errorf("started %+v, want ticket %d", out, fresh.Ticket)
	}
}
