package admission

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// objectiveController returns a Controller with one target whose only slot is in
// use, work of 100 ms with an objective of 1 s for it, and the ticket of the
// running work.
func objectiveController(t *testing.T) (*Controller, Work, Ticket) {
	t.Helper()
	var violations collector
	controller := New(Options{QueuePerSlot: 100}, &violations)
	controller.SetTarget(epoch, Target{ID: "t", Slots: 1, Classes: map[string]Class{"c": {Priority: Order, Objective: time.Second}}})
	work := Work{Target: "t", Class: "c"}
	for i := range 20 { // so that the estimate becomes 100 ms
		startedAt := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		work.Deadline = startedAt.Add(time.Minute)
		decision := controller.Submit(startedAt, work)
		controller.Finish(startedAt.Add(100*time.Millisecond), decision.Ticket, Result{OK: true})
	}
	now := epoch.Add(2 * time.Second)
	work.Deadline = now.Add(time.Minute)
	return controller, work, controller.Submit(now, work).Ticket
}

// Guards against work that waits until its deadline although it will miss its
// objective, instead of a refusal at once.
func TestWorkThatMissesItsObjectiveDoesNotQueue(t *testing.T) {
	controller, work, _ := objectiveController(t)
	now, queued := epoch.Add(2*time.Second), 0
	for range 30 {
		if d := controller.Submit(now, work); d.Kind == Queued {
			queued++
		} else if d.Reason != attempt.ReasonOverload {
			t.Fatalf("refused for %s", d.Reason)
		}
	}
	if queued < 5 || queued > 10 {
		t.Errorf("%d of 30 wait for a slot of 100 ms with an objective of 1 s, want 5 to 10", queued)
	}
	work.ArrivedAt = now.Add(-950 * time.Millisecond) // spent at other targets
	if d := controller.Submit(now, work); d.Kind != Refused {
		t.Error("work whose objective has nearly passed waits")
	}
}

// Guards against work that waits until its deadline for the slot of hanging work.
func TestWorkLeavesQueueOfHangingTarget(t *testing.T) {
	controller, work, hanging := objectiveController(t)
	now := epoch.Add(2 * time.Second)
	if d := controller.Submit(now, work); d.Kind != Queued {
		t.Fatalf("got %+v", d)
	}
	if out := controller.Tick(now.Add(300 * time.Millisecond)); len(out) != 0 {
		t.Fatalf("refused after 0.3 s: %+v", out)
	}
	out := controller.Tick(now.Add(500 * time.Millisecond))
	if len(out) != 1 || out[0].Kind != Refused || out[0].Reason != attempt.ReasonOverload {
		t.Fatalf("still waits after half of its objective: %+v", out)
	}
	if out = controller.Finish(now.Add(time.Second), hanging, Result{}); len(out) != 0 {
		t.Errorf("refused work starts: %+v", out)
	}
}

// Guards against work that will miss its objective starting before work that can
// still meet it.
func TestLateWorkGoesLast(t *testing.T) {
	controller, work, running := objectiveController(t)
	now := epoch.Add(2 * time.Second)
	work.ArrivedAt = now.Add(-700 * time.Millisecond)
	late := controller.Submit(now, work)
	work.ArrivedAt = time.Time{}
	work.Deadline = now.Add(2 * time.Minute) // later, so that the deadline alone would put it last
	fresh := controller.Submit(now, work)
	if late.Kind != Queued || fresh.Kind != Queued {
		t.Fatalf("got %+v and %+v", late, fresh)
	}
	out := controller.Finish(now.Add(250*time.Millisecond), running, Result{})
	if len(out) != 1 || out[0].Ticket != fresh.Ticket {
		t.Errorf("started %+v, want ticket %d", out, fresh.Ticket)
	}
}

// Guards against work that is rejected while it could still be served late, against more
// such work than may reach a slot in time, and against calls that are refused although
// the run that waits for them would fail with them.
func TestLateWorkQueuesWhereItMay(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		controller, work, _ := objectiveController(t)
		controller.options.noLateQueue = !enabled
		now, late := epoch.Add(2*time.Second), 0
		work.ArrivedAt = now.Add(-950 * time.Millisecond) // the objective has nearly passed
		work.AllowLate = true
		for range 10 {
			if controller.Submit(now, work).Kind == Queued {
				late++
			}
		}
		calls := 0
		work.Called = true
		work.Deadline = now.Add(3 * time.Second)
		for range 30 {
			if controller.Submit(now, work).Kind == Queued {
				calls++
			}
		}
		// One slot, 100 ms each: one late request, and calls for half of 3 s.
		if want := map[bool][2]int{true: {1, 14}, false: {0, 0}}[enabled]; late != want[0] || calls < want[1]-1 || calls > want[1]+1 {
			t.Errorf("late queue %v: %d late requests and %d calls wait, want %d and about %d", enabled, late, calls, want[0], want[1])
		}
	}
}

// Guards against a call that waits behind work that has not begun.
func TestCalledWorkGoesFirst(t *testing.T) {
	controller, work, running := objectiveController(t)
	now := epoch.Add(2 * time.Second)
	first := controller.Submit(now, work)
	work.Called = true
	call := controller.Submit(now.Add(time.Millisecond), work)
	if first.Kind != Queued || call.Kind != Queued {
		t.Fatalf("got %+v and %+v", first, call)
	}
	started := controller.Finish(now.Add(100*time.Millisecond), running, Result{OK: true})
	if len(started) != 1 || started[0].Ticket != call.Ticket {
		t.Errorf("started %+v, want the call %d", started, call.Ticket)
	}
}

// Guards against work that is held for most of its time and then rejected, when its
// caller can do nothing else any more.
func TestUntriedWorkIsRejectedEarly(t *testing.T) {
	controller, work, _ := objectiveController(t)
	now := epoch.Add(2 * time.Second)
	work.ArrivedAt, work.AllowLate = now, true
	work.Deadline = now.Add(500 * time.Millisecond)
	d := controller.Submit(now, work)
	if d.Kind != Queued {
		t.Fatalf("got %+v", d)
	}
	if out := controller.Tick(now.Add(150 * time.Millisecond)); len(out) != 0 {
		t.Fatalf("refused after 150 of 500 ms: %+v", out)
	}
	if out := controller.Tick(now.Add(250 * time.Millisecond)); len(out) != 1 || out[0].Kind != Refused {
		t.Errorf("still waits after half of its time: %+v", out)
	}
}

// Guards against brief work that misses its objective in a queue of long requests, as
// lookups on a new route of a busy service, while it would delay none of them.
func TestBriefWorkGoesFirst(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		controller, work, running := objectiveController(t)
		controller.options.noBriefFirst = !enabled
		target := controller.targets["t"].Target
		target.Classes["brief"] = Class{Priority: Order, Objective: 300 * time.Millisecond}
		now := epoch.Add(2 * time.Second)
		controller.SetTarget(now, target)
		for range 4 {
			if d := controller.Submit(now, work); d.Kind != Queued {
				t.Fatalf("got %+v", d)
			}
		}
		work.Class = "brief"
		brief := controller.Submit(now, work)
		if (brief.Kind == Queued) != enabled {
			t.Errorf("brief first %v: got %+v", enabled, brief)
		}
		started := controller.Finish(now.Add(100*time.Millisecond), running, Result{OK: true})
		if len(started) != 1 || (started[0].Ticket == brief.Ticket) != enabled {
			t.Errorf("brief first %v: started %+v, the brief work is %d", enabled, started, brief.Ticket)
		}
	}
}
