package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// capacity is that of 5 targets of 11 slots and 120 ms, in requests/s.
const capacity = 5 * 11 / 0.12

// within returns the share of the offered work of a class that ended within its objective.
func (s *sim) within(class string, objective time.Duration) float64 {
	good, offered := 0, 0
	for _, d := range s.latency[class] {
		if d <= objective {
			good++
		}
	}
	for _, n := range s.offered[class] {
		offered += n
	}
	return float64(good) / float64(max(1, offered))
}

// Guards against urgent work that is refused during a burst of less urgent work: 5
// targets of 11 slots and 120 ms, of which urgent work needs 0.4, while the other class
// grows from 0.5 to 1.7 or 4 times the capacity for 6 of 10 s.
func TestUrgentWorkIsServedInBurst(t *testing.T) {
	classes := map[string]Class{"urgent": {Objective: 600 * time.Millisecond}, "other": {Objective: 1200 * time.Millisecond}}
	for _, burst := range []float64{1.7, 4} {
		run := func(o Options) (urgent, all float64) {
			s := newSim(o, 7, 5, 11, 0, classes)
			s.run(30*time.Second, stream{class: "urgent", rank: 17, rate: constant(0.4 * capacity),
				meanService: 120 * time.Millisecond, shape: 4, deadline: 4 * time.Second},
				stream{class: "other", rank: 34, rate: surge(0.5*capacity, burst*capacity, 4*time.Second, 10*time.Second),
					meanService: 120 * time.Millisecond, shape: 4, deadline: 6 * time.Second})
			urgent = s.within("urgent", 600*time.Millisecond)
			return urgent, 30*0.4*capacity*urgent + s.within("other", 1200*time.Millisecond)*30*capacity*(0.4*0.5+0.6*burst)
		}
		urgent, all := run(Options{})
		before, allBefore := run(Options{noRank: true})
		t.Logf("burst %.1f: %.3f of the urgent work in time, without ranks %.3f; of all %.0f and %.0f", burst, urgent, before, all, allBefore)
		if urgent < 0.9 || before > urgent || all < 0.95*allBefore {
			t.Errorf("burst %.1f: %.3f of the urgent work in time, want 0.9, without ranks %.3f; of all %.0f and %.0f", burst, urgent, before, all, allBefore)
		}
	}
}

// Guards against a rank that is absent being taken for the most urgent, and against an
// order that differs from that without ranks where all are equal.
func TestAbsentRankIsThatOfTheClass(t *testing.T) {
	c := New(Options{}, invariant.PanicReporter{})
	c.SetTarget(epoch, Target{ID: "t", Slots: 1, Classes: map[string]Class{"order": {Priority: Order, Rank: 34}, "browse": {Priority: Interactive, Rank: 17}}})
	submit := func(class string, rank int) Ticket {
		return c.Submit(epoch, Work{Target: "t", Class: class, Rank: rank, Deadline: epoch.Add(time.Minute)}).Ticket
	}
	running := submit("order", 0)
	want := []Ticket{0, 0, 0, 0}
	want[3], want[1], want[0], want[2] = submit("order", -1), submit("browse", -1), submit("order", 16), submit("browse", 33)
	for i, ticket := range want {
		started := c.Finish(epoch, running, Result{})
		if len(started) != 1 || started[0].Ticket != ticket {
			t.Fatalf("start %d: got %+v, want ticket %d of %v", i, started, ticket, want)
		}
		running = ticket
	}
}

// Guards against less urgent work that waits for a part of its objective and is then
// refused, as more urgent work arrives meanwhile: the urgent work grows from 0.4 to 1.2
// times the capacity of 5 targets for 2 of 5 s.
func TestOvertakenWorkIsRefusedEarly(t *testing.T) {
	classes := map[string]Class{"urgent": {Objective: 1500 * time.Millisecond}, "other": {Objective: 3 * time.Second}}
	run := func(o Options) (held, refused int, other float64) {
		s := newSim(o, 11, 5, 11, 0, classes)
		s.run(20*time.Second, stream{class: "urgent", rank: 17, rate: surge(0.4*capacity, 1.2*capacity, 3*time.Second, 5*time.Second),
			meanService: 120 * time.Millisecond, shape: 4, deadline: 6 * time.Second},
			stream{class: "other", rank: 34, rate: constant(0.7 * capacity), meanService: 120 * time.Millisecond, shape: 4, deadline: 12 * time.Second})
		for _, d := range s.refusedAfter["other"] {
			refused++
			if d > 500*time.Millisecond {
				held++
			}
		}
		return held, refused, s.within("other", 3*time.Second)
	}
	held, refused, other := run(Options{})
	heldBefore, refusedBefore, otherBefore := run(Options{noOvertaking: true})
	t.Logf("%d of %d refusals after 0.5 s, without the mechanism %d of %d; %.3f and %.3f of the less urgent work in time", held, refused, heldBefore, refusedBefore, other, otherBefore)
	if 2*held > heldBefore || other < otherBefore {
		t.Errorf("%d of %d refusals after 0.5 s, without the mechanism %d of %d; %.3f and %.3f in time", held, refused, heldBefore, refusedBefore, other, otherBefore)
	}
}

// Guards against an account that sends six times its usual demand and crowds out the
// others: of 20 accounts one uses 0.2 of the capacity, and 1.2 for 6 of 10 s; the others
// use 0.6 together, each less than its fair share.
func TestHotAccountLeavesOthersTheirShare(t *testing.T) {
	run := func(o Options) (hot, least float64) {
		s := newSim(o, 3, 5, 11, 0, map[string]Class{"c": {Objective: 1500 * time.Millisecond}})
		s.byCustomer = true
		account := func(i int, rate func(time.Duration) float64) stream {
			return stream{class: "c", customer: fmt.Sprint("a", i), rank: 17, rate: rate, meanService: 120 * time.Millisecond, shape: 4, deadline: 6 * time.Second}
		}
		streams := []stream{account(0, surge(0.2*capacity, 1.2*capacity, 4*time.Second, 10*time.Second))}
		for i := range 19 {
			streams = append(streams, account(i+1, constant(0.6/19*capacity)))
		}
		s.run(30*time.Second, streams...)
		least = 1
		for i := range 19 {
			least = min(least, s.within(fmt.Sprint("a", i+1), 1500*time.Millisecond))
		}
		return s.within("a0", 1500*time.Millisecond), least
	}
	hot, least := run(Options{})
	hotBefore, leastBefore := run(Options{noFairness: true})
	t.Logf("served in time: hot account %.3f, least of the others %.3f; without fair shares %.3f and %.3f", hot, least, hotBefore, leastBefore)
	if least < 0.9 || leastBefore >= least || hot < 0.25 {
		t.Errorf("served in time: hot account %.3f, least of the others %.3f, want 0.25 and 0.9; without fair shares %.3f and %.3f", hot, least, hotBefore, leastBefore)
	}
}
