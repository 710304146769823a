package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// collector notes violations of invariants.
type collector []string

func (c *collector) Check(name invariant.Name, ok bool, format string, args ...any) {
	if !ok {
		*c = append(*c, fmt.Sprintf("%s: ", name)+fmt.Sprintf(format, args...))
	}
}

// Guards against a first byte that is sent after a pause, although the
// deadline has passed or the target was withdrawn meanwhile.
func TestConfirmAfterPause(t *testing.T) {
	for _, c := range []struct {
		name  string
		o     Options
		drain bool
		want  bool
		bad   int
	}{
		{"late", Options{}, false, false, 0},
		{"late, off", Options{noDeadline: true}, false, true, 1},
		{"leaving", Options{}, true, false, 0},
		{"leaving, off", Options{noDrainCheck: true}, true, true, 1},
	} {
		var bad collector
		g := New(c.o, &bad)
		g.SetTarget(epoch, Target{ID: "t", Slots: 1})
		now := epoch
		d := g.Submit(now, Work{Target: "t", Deadline: now.Add(time.Second)})
		if c.drain {
			g.Drain(now, "t")
		} else {
			now = now.Add(time.Minute)
		}
		ok, _ := g.Confirm(now, d.Ticket)
		if ok != c.want || len(bad) != c.bad {
			t.Errorf("%s: confirmed %v with violations %q, want %v and %d", c.name, ok, bad, c.want, c.bad)
		}
		if l := g.Load("t"); !ok && l.Running != 0 {
			t.Errorf("%s: slot is not freed: %+v", c.name, l)
		}
	}
}

// Guards against a customer that floods a target and takes the slots of the
// others: a light customer that asks for less than its share gets nearly all.
func TestFairBetweenCustomers(t *testing.T) {
	share := func(o Options) float64 {
		s := newSim(o, 1, 1, 6, 0, testClasses)
		const one = 6 / 0.025
		rate := func(f float64) func(time.Duration) float64 {
			return func(time.Duration) float64 { return f * one }
		}
		s.run(20*time.Second,
			stream{class: "browse", customer: "flood", rate: rate(3), mean: 25 * time.Millisecond, shape: 4, deadline: 500 * time.Millisecond},
			stream{class: "light", customer: "light", rate: rate(0.3), mean: 25 * time.Millisecond, shape: 4, deadline: 500 * time.Millisecond})
		offered, answered := 0, 0
		for i := range s.offered["light"] {
			offered, answered = offered+s.offered["light"][i], answered+s.answered["light"][i]
		}
		return float64(answered) / float64(offered)
	}
	on, off := share(Options{}), share(Options{noFair: true})
	t.Logf("light customer answered: %.3f, without fair shares %.3f", on, off)
	if on < 0.95 || off >= 0.95 {
		t.Errorf("light customer answered: %.3f, without fair shares %.3f; want 0.95 kept and broken", on, off)
	}
}

// Guards against a target that slows down under concurrency: the limit falls,
// but not below a third of the slots, and returns afterwards.
func TestLimitFollowsLatency(t *testing.T) {
	run := func(o Options) (lowest, after int, worst time.Duration) {
		g := New(o, invariant.PanicReporter{})
		g.SetTarget(epoch, Target{ID: "t", Slots: 12})
		now, lowest := epoch, 12
		var running []Ticket
		step := func(service time.Duration) {
			for len(running) < g.Load("t").Limit {
				running = append(running, g.Submit(now, Work{Target: "t"}).Ticket)
			}
			took := time.Duration(float64(service) * math.Pow(max(1, float64(len(running))/6), 3))
			now = now.Add(took)
			for _, id := range running {
				g.Finish(now, id, Result{OK: true})
			}
			running = running[:0]
			lowest = min(lowest, g.Load("t").Limit)
			worst = max(worst, took)
		}
		for range 100 { // idle: one at a time shows the minimum
			d := g.Submit(now, Work{Target: "t"})
			now = now.Add(10 * time.Millisecond)
			g.Finish(now, d.Ticket, Result{OK: true})
		}
		for range 50 {
			step(10 * time.Millisecond)
		}
		congested := lowest
		for range 20 {
			step(time.Second) // slow for another reason: the floor holds
		}
		if lowest < 4 {
			t.Errorf("limit %d below a third of 12 slots", lowest)
		}
		for range 400 {
			d := g.Submit(now, Work{Target: "t"})
			now = now.Add(10 * time.Millisecond)
			g.Finish(now, d.Ticket, Result{OK: true})
		}
		return congested, g.Load("t").Limit, worst
	}
	lowest, after, _ := run(Options{})
	off, _, _ := run(Options{noAdaptive: true})
	t.Logf("limit of 12 slots under congestion: %d, afterwards %d; without adaption %d", lowest, after, off)
	if lowest > 9 || after != 12 || off != 12 {
		t.Errorf("limit of 12 slots under congestion: %d (want at most 9), afterwards %d (want 12); without adaption %d", lowest, after, off)
	}
}

// Guards against an estimate that refuses a class for ever.
func TestRefusalByEstimateEnds(t *testing.T) {
	g := New(Options{}, invariant.PanicReporter{})
	g.SetTarget(epoch, Target{ID: "t", Slots: 2, Classes: testClasses})
	now := epoch
	d := g.Submit(now, Work{Target: "t", Class: "browse"})
	now = now.Add(10 * time.Second)
	g.Finish(now, d.Ticket, Result{OK: true})
	g.Submit(now, Work{Target: "t", Class: "order"}) // keeps the target from being idle
	for i := range 100 {
		if g.Submit(now, Work{Target: "t", Class: "browse", Deadline: now.Add(time.Second)}).Kind == Started {
			t.Logf("started %v after the slow answer", time.Duration(i)*100*time.Millisecond)
			return
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Error("still refused 10 s after one slow answer")
}

// Guards against old work that frees a slot of a new process, and an old
// announcement that ends a drain.
func TestIncarnations(t *testing.T) {
	g := New(Options{}, invariant.PanicReporter{})
	target := Target{ID: "t", Slots: 1, Incarnation: attempt.Incarnation{StartedMS: 2}}
	g.SetTarget(epoch, target)
	old := g.Submit(epoch, Work{Target: "t"})
	target.Incarnation.StartedMS = 3
	g.SetTarget(epoch, target)
	if d := g.Submit(epoch, Work{Target: "t"}); d.Kind != Started {
		t.Fatalf("new process: %+v", d)
	}
	g.Finish(epoch, old.Ticket, Result{})
	if l := g.Load("t"); l.Running != 1 {
		t.Errorf("load %+v after old work ended, want 1 running", l)
	}
	g.Drain(epoch, "t")
	target.Incarnation.StartedMS = 1
	g.SetTarget(epoch, target)
	if d := g.Submit(epoch, Work{Target: "t"}); d.Reason != attempt.ReasonLeaving {
		t.Errorf("old announcement ended the drain: %+v", d)
	}
}

// Measures one submit and finish while queue entries wait.
func BenchmarkSubmitFinish(b *testing.B) {
	for _, queued := range []int{0, 24, 96, 384} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			g := New(Options{}, invariant.PanicReporter{})
			g.SetTarget(epoch, Target{ID: "t", Slots: 6, QueueLimit: queued + 6, Classes: testClasses})
			var running []Ticket
			now := epoch
			submit := func(i int) {
				d := g.Submit(now, Work{Target: "t", Class: "browse", Customer: fmt.Sprint("c", i%50), Deadline: now.Add(time.Hour)})
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
					g.Finish(now, running[0], Result{OK: true})
					running = running[1:]
					submit(i)
					continue
				}
				submit(i)
				ds := g.Finish(now, running[0], Result{OK: true})
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
