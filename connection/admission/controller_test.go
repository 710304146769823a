package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// collector is an invariant.Reporter that collects violations.
type collector []string

func (c *collector) Check(name invariant.Name, ok bool, format string, args ...any) {
	if !ok {
		*c = append(*c, fmt.Sprintf("%s: ", name)+fmt.Sprintf(format, args...))
	}
}

// Guards against a first byte that is sent after a pause of the process although
// the deadline has passed or the target has begun to drain meanwhile.
func TestConfirmAfterPause(t *testing.T) {
	for _, testCase := range []struct {
		name       string
		o          Options
		drain      bool
		want       bool
		violations int
	}{
		{"late", Options{}, false, false, 0},
		{"late, off", Options{noDeadline: true}, false, true, 1},
		{"leaving", Options{}, true, false, 0},
		{"leaving, off", Options{noDrainCheck: true}, true, true, 1},
	} {
		var violations collector
		controller := New(testCase.o, &violations)
		controller.SetTarget(epoch, Target{ID: "t", Slots: 1})
		now := epoch
		decision := controller.Submit(now, Work{Target: "t", Deadline: now.Add(time.Second)})
		if testCase.drain {
			controller.Drain(now, "t")
		} else {
			now = now.Add(time.Minute)
		}
		ok, _ := controller.Confirm(now, decision.Ticket)
		if ok != testCase.want || len(violations) != testCase.violations {
			t.Errorf("%s: confirmed %v with violations %q, want %v and %d", testCase.name, ok, violations, testCase.want, testCase.violations)
		}
		if load := controller.Load(now, "t"); !ok && load.Running != 0 {
			t.Errorf("%s: slot is not freed: %+v", testCase.name, load)
		}
	}
}

// Guards against a customer that floods a target and takes the slots of others: a
// customer that needs less than its fair share must get nearly all of its requests
// answered in time.
func TestFairBetweenCustomers(t *testing.T) {
	answeredShare := func(o Options) float64 {
		sim := newSim(o, 1, 1, 6, 0, testClasses)
		const targetCapacity = 6 / 0.025
		rate := func(factor float64) func(time.Duration) float64 {
			return func(time.Duration) float64 { return factor * targetCapacity }
		}
		sim.run(20*time.Second,
			stream{class: "browse", customer: "flood", rate: rate(3), meanService: 25 * time.Millisecond, shape: 4, deadline: 500 * time.Millisecond},
			stream{class: "light", customer: "light", rate: rate(0.3), meanService: 25 * time.Millisecond, shape: 4, deadline: 500 * time.Millisecond})
		offered, answered := 0, 0
		for i := range sim.offered["light"] {
			offered, answered = offered+sim.offered["light"][i], answered+sim.answered["light"][i]
		}
		return float64(answered) / float64(offered)
	}
	withFairness, withoutFairness := answeredShare(Options{}), answeredShare(Options{noFairness: true})
	t.Logf("light customer answered: %.3f, without fair shares %.3f", withFairness, withoutFairness)
	if withFairness < 0.95 || withoutFairness >= 0.95 {
		t.Errorf("light customer answered: %.3f, without fair shares %.3f; want at least 0.95 and below it", withFairness, withoutFairness)
	}
}

// Guards against too much concurrency at a target that slows down under it: the
// limit must fall, but not below a third of the slots, and recover afterwards.
func TestLimitFollowsLatency(t *testing.T) {
	simulate := func(o Options) (lowest, after int, worst time.Duration) {
		controller := New(o, invariant.PanicReporter{})
		controller.SetTarget(epoch, Target{ID: "t", Slots: 12})
		now, lowest := epoch, 12
		var running []Ticket
		step := func(service time.Duration) {
			for len(running) < controller.Load(now, "t").Limit {
				running = append(running, controller.Submit(now, Work{Target: "t"}).Ticket)
			}
			duration := time.Duration(float64(service) * math.Pow(max(1, float64(len(running))/6), 3))
			now = now.Add(duration)
			for _, id := range running {
				controller.Finish(now, id, Result{OK: true})
			}
			running = running[:0]
			lowest = min(lowest, controller.Load(now, "t").Limit)
			worst = max(worst, duration)
		}
		for range 100 { // one request at a time shows the minimum latency
			d := controller.Submit(now, Work{Target: "t"})
			now = now.Add(10 * time.Millisecond)
			controller.Finish(now, d.Ticket, Result{OK: true})
		}
		for range 50 {
			step(10 * time.Millisecond)
		}
		congested := lowest
		for range 20 {
			step(time.Second) // slow for another reason: the limit must not fall below its floor
		}
		if lowest < 4 {
			t.Errorf("limit %d below a third of 12 slots", lowest)
		}
		for range 400 {
			d := controller.Submit(now, Work{Target: "t"})
			now = now.Add(10 * time.Millisecond)
			controller.Finish(now, d.Ticket, Result{OK: true})
		}
		return congested, controller.Load(now, "t").Limit, worst
	}
	lowest, after, _ := simulate(Options{})
	withoutAdaptation, _, _ := simulate(Options{noLimitAdaptation: true})
	t.Logf("limit of 12 slots under congestion: %d, afterwards %d; without adaptation %d", lowest, after, withoutAdaptation)
	if lowest > 9 || after != 12 || withoutAdaptation != 12 {
		t.Errorf("limit of 12 slots under congestion: %d (want at most 9), afterwards %d (want 12); without adaptation %d (want 12)", lowest, after, withoutAdaptation)
	}
}

// Guards against an estimate that is never corrected because it makes the
// Controller refuse all work of the class.
func TestRefusalByEstimateEnds(t *testing.T) {
	controller := New(Options{}, invariant.PanicReporter{})
	controller.SetTarget(epoch, Target{ID: "t", Slots: 2, Classes: testClasses})
	now := epoch
	decision := controller.Submit(now, Work{Target: "t", Class: "browse"})
	now = now.Add(10 * time.Second)
	controller.Finish(now, decision.Ticket, Result{OK: true})
	controller.Submit(now, Work{Target: "t", Class: "order"}) // keeps the target from being idle
	for i := range 100 {
		if controller.Submit(now, Work{Target: "t", Class: "browse", Deadline: now.Add(time.Second)}).Kind == Started {
			t.Logf("started %v after the slow response", time.Duration(i)*100*time.Millisecond)
			return
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Error("still refused 10 s after one slow response")
}

// Guards against work of an earlier process that frees a slot of the new one, and
// an announcement of an earlier process that ends a drain.
func TestIncarnations(t *testing.T) {
	controller := New(Options{}, invariant.PanicReporter{})
	target := Target{ID: "t", Slots: 1, Incarnation: attempt.Incarnation{StartedMS: 2}}
	controller.SetTarget(epoch, target)
	old := controller.Submit(epoch, Work{Target: "t"})
	target.Incarnation.StartedMS = 3
	controller.SetTarget(epoch, target)
	if d := controller.Submit(epoch, Work{Target: "t"}); d.Kind != Started {
		t.Fatalf("new process: %+v", d)
	}
	controller.Finish(epoch, old.Ticket, Result{})
	if load := controller.Load(epoch, "t"); load.Running != 1 {
		t.Errorf("load %+v after old work ended, want 1 running", load)
	}
	controller.Drain(epoch, "t")
	target.Incarnation.StartedMS = 1
	controller.SetTarget(epoch, target)
	if d := controller.Submit(epoch, Work{Target: "t"}); d.Reason != attempt.ReasonLeaving {
		t.Errorf("old announcement ended the drain: %+v", d)
	}
}

// BenchmarkSubmitFinish measures one Submit and Finish, by the number of waiting
// requests.
func BenchmarkSubmitFinish(b *testing.B) {
	for _, queued := range []int{0, 24, 96, 384} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			controller := New(Options{}, invariant.PanicReporter{})
			controller.SetTarget(epoch, Target{ID: "t", Slots: 6, QueueLimit: queued + 6, Classes: testClasses})
			var running []Ticket
			now := epoch
			submit := func(i int) {
				d := controller.Submit(now, Work{Target: "t", Class: "browse", Customer: fmt.Sprint("c", i%50), Deadline: now.Add(time.Hour)})
				if d.Kind == Started {
					running = append(running, d.Ticket)
				}
			}
			for i := range queued + 6 {
				submit(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				if queued == 0 {
					controller.Finish(now, running[0], Result{OK: true})
					running = running[1:]
					submit(i)
					continue
				}
				submit(i)
				ds := controller.Finish(now, running[0], Result{OK: true})
				running = running[1:]
				for _, d := range ds {
					if d.Kind == Started {
						running = append(running, d.Ticket)
					}
				}
			}
		})
	}
}
