package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against accepted work that the end of the drain is expected to cut, and against
// refused work that ends in time.
func TestHandoverAccepts(t *testing.T) {
	const s = time.Second
	h := Handover{Until: epoch.Add(2500 * time.Millisecond), End: epoch.Add(5400 * time.Millisecond)}
	endless := Handover{Until: h.Until}
	for _, c := range []struct {
		name                         string
		h                            Handover
		now, deadline, wait, service time.Duration // deadline 0: none
		known, want                  bool
	}{
		{"ends by its deadline", h, s, 5400 * time.Millisecond, 9 * s, 9 * s, false, true},
		{"deadline after the end, unknown service time", h, s, 5401 * time.Millisecond, 0, 0, false, false},
		{"no deadline, unknown service time", h, s, 0, 0, 0, false, false},
		{"no deadline, ends by the estimate", h, s, 0, 0, 4400 * time.Millisecond, true, true},
		{"ends by the estimate", h, s, 60 * s, 2 * s, 2400 * time.Millisecond, true, true},
		{"waits too long", h, s, 60 * s, 2001 * time.Millisecond, 2400 * time.Millisecond, true, false},
		{"unknown service time", h, s, 60 * s, 0, 0, false, false},
		{"at the end of the handover", h, 2500 * time.Millisecond, 3 * s, 0, 0, true, false},
		{"drain without end", endless, 2499 * time.Millisecond, 0, 60 * s, 60 * s, false, true},
		{"drain without end, at the end of the handover", endless, 2500 * time.Millisecond, 3 * s, 0, 0, true, false},
	} {
		work := Work{}
		if c.deadline > 0 {
			work.Deadline = epoch.Add(c.deadline)
		}
		if got := c.h.Accepts(epoch.Add(c.now), work, c.wait, c.service, c.known); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
}

// drainResult is what a replay of the load of a target with a draining node shows.
type drainResult struct {
	served int // responses after the signal
	cut    int // requests that arrived after the signal and run at the end of the drain
}

// replayDrain sends browsing, orders and reports of seconds to a target whose node drains
// with a timeout of 6 s after 5 s of load, and accepts work for the handover.
func replayDrain(handover, end time.Duration) drainResult {
	s := newSim(Options{}, 7, 1, 40, 0, map[string]Class{"browse": {Priority: Interactive}, "order": {Priority: Order}, "report": {Priority: Background}})
	const signal, timeout = 5 * time.Second, 6 * time.Second
	h := Handover{Until: epoch.Add(signal + handover)}
	if end > 0 {
		h.End = epoch.Add(signal + end)
	}
	s.schedule(signal, func() { s.apply(s.controller.BeginDrain(epoch.Add(s.now), h)) })
	s.schedule(signal+handover, func() { s.apply(s.controller.DrainAll(epoch.Add(s.now)).Refused) })
	s.run(signal+timeout,
		stream{class: "browse", customer: "a", rate: constant(40), meanService: 40 * time.Millisecond, shape: 1, deadline: 8 * time.Second},
		stream{class: "order", customer: "b", rate: constant(10), meanService: 60 * time.Millisecond, shape: 1, deadline: time.Second},
		stream{class: "slow order", customer: "c", rate: constant(4), meanService: 4 * time.Second, shape: 2, deadline: 12 * time.Second},
		stream{class: "report", customer: "d", rate: constant(2), meanService: 4 * time.Second, shape: 2, deadline: 20 * time.Second})
	var out drainResult
	for _, perSecond := range s.answered {
		for _, n := range perSecond[signal/time.Second:] {
			out.served += n
		}
	}
	for _, req := range s.requests {
		if req.arrived >= signal {
			out.cut++
		}
	}
	return out
}

// Guards against a target that gets no work from the signal on, and against requests that
// are cut because the gate accepted them in the handover.
func TestDrainWithHandoverKeepsTargetBusy(t *testing.T) {
	on := replayDrain(2500*time.Millisecond, 5400*time.Millisecond)
	off := replayDrain(0, 5400*time.Millisecond)
	all := replayDrain(2500*time.Millisecond, 0)
	t.Logf("with handover: %+v; refused at once: %+v; all accepted: %+v", on, off, all)
	if on.cut > 0 || off.cut > 0 {
		t.Errorf("the handover cuts %d requests, a drain without it %d", on.cut, off.cut)
	}
	if on.served-off.served < 100 { // 2.5 s of 50 requests/s, less the last ones
		t.Errorf("with handover %d requests are served after the signal, without it %d", on.served, off.served)
	}
	if all.cut == 0 {
		t.Error("the load does not need the check: no request is cut when all work is accepted")
	}
}

// Guards, in random histories, against work that starts after the handover or that the end
// of the drain may cut, and against waiting work that is lost.
func TestHandoverHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		operations := history.Draw(t, "history")
		if violations := runHistoryWithHandover(Options{}, operations, rapid.IntRange(0, len(operations)-1).Draw(t, "drainAt")); len(violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
	found := 0
	for seed := range 50 {
		if operations := history.Example(seed); len(runHistoryWithHandover(Options{noDrainCheck: true}, operations, len(operations)/4)) > 0 {
			found++
		}
	}
	if found == 0 {
		t.Error("no history finds a violation without the check")
	}
}
