package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// rateWindow is the time in which a target counts its requests.
const rateWindow = 4 * time.Second

// mostInWindow returns the largest number of starts within rateWindow.
func mostInWindow(starts []time.Time) int {
	most := 0
	for i, at := range starts {
		end, _ := slices.BinarySearchFunc(starts, at.Add(rateWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// Guards against more requests than a target names, although its slots are free, and
// against orders that are refused while other work starts.
func TestTargetGetsTheRateThatItNames(t *testing.T) {
	simulate := func(seed uint64, named bool) (most int, rate float64, orderShare, otherShare float64) {
		random := rand.New(rand.NewPCG(seed, 1))
		rate = []float64{0.5, 1, 2.4, 4.1, 12}[seed%5]
		controller := New(Options{}, invariant.PanicReporter{})
		controller.SetTarget(epoch, Target{ID: "t", Slots: 8, Classes: map[string]Class{
			"order": {Priority: Order, Objective: 2 * time.Second}, "read": {Priority: Background, Objective: 2 * time.Second}}})
		var starts []time.Time
		offered, started := map[string]int{}, map[string]int{}
		ends := map[Ticket]time.Time{}
		start := func(now time.Time, decisions ...Decision) {
			for _, d := range decisions {
				if d.Kind == Started {
					if ok, _ := controller.Confirm(now, d.Ticket); ok {
						starts = append(starts, now)
						started[d.Work.Class]++
						ends[d.Ticket] = now.Add(time.Duration((0.5 + random.Float64()) * 100 * float64(time.Millisecond)))
					}
				}
			}
		}
		for now := epoch; now.Before(epoch.Add(40 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if now.Equal(epoch.Add(2*time.Second)) && named {
				controller.ObserveRate(now, "t", now, rate, true)
				starts = nil
			}
			for ticket, end := range ends {
				if !now.Before(end) {
					delete(ends, ticket)
					start(now, controller.Finish(now, ticket, Result{OK: true})...)
				}
			}
			start(now, controller.Tick(now)...)
			if random.Float64() < 0.01*max(1, 1.5*rate) { // half more than the target takes, with bursts of up to 4
				for range 1 + random.IntN(4) {
					class := []string{"order", "read", "read"}[random.IntN(3)]
					offered[class]++
					d := controller.Submit(now, Work{Target: "t", Class: class, Deadline: now.Add(5 * time.Second)})
					if d.Kind == Refused && named && d.Reason == attempt.ReasonOverload && d.RetryAfter <= 0 {
						t.Errorf("seed %d: refused without the time to wait", seed)
					}
					start(now, d)
					start(now, d.Displaced...)
				}
			}
		}
		return mostInWindow(starts), rate, share(started["order"], offered["order"]), share(started["read"], offered["read"])
	}
	exceeded, allOrders, allReads := 0, 0.0, 0.0
	for seed := range uint64(30) {
		most, rate, orders, reads := simulate(seed, true)
		allOrders, allReads = allOrders+orders/30, allReads+reads/30
		if allowed := 1.5*rate*rateWindow.Seconds() + 5; float64(most) > allowed {
			t.Errorf("seed %d: %d requests in 4 s, %.0f allowed", seed, most, allowed)
		}
		if most, rate, _, _ := simulate(seed, false); float64(most) > 1.5*rate*rateWindow.Seconds()+5 {
			exceeded++
		}
	}
	t.Logf("%.2f of the orders and %.2f of the reads started; without the named rate %d of 30 seeds exceed it", allOrders, allReads, exceeded)
	if allOrders < 1.1*allReads {
		t.Errorf("%.2f of the orders and %.2f of the reads started", allOrders, allReads)
	}
	if exceeded < 15 {
		t.Errorf("without the named rate, %d of 30 seeds exceed it: the test does not cover the mechanism", exceeded)
	}
}

func share(part, whole int) float64 { return float64(part) / max(1, float64(whole)) }

// Guards against work that waits for the rate of a target until its deadline has passed.
func TestWorkThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	controller := New(Options{}, invariant.PanicReporter{})
	controller.SetTarget(epoch, Target{ID: "t", Slots: 8})
	controller.ObserveRate(epoch, "t", epoch, 0.5, true)
	queued := 0
	for range 5 {
		switch d := controller.Submit(epoch, Work{Target: "t", Deadline: epoch.Add(5 * time.Second)}); d.Kind {
		case Queued:
			queued++
		case Refused:
			if want := time.Duration(queued+1) * 2 * time.Second; d.Reason != attempt.ReasonOverload || d.RetryAfter != want {
				t.Errorf("refused for %s, retry after %s, want %s", d.Reason, d.RetryAfter, want)
			}
		default:
			t.Errorf("started without a token: %+v", d)
		}
	}
	if queued != 2 { // at 2 s and 4 s
		t.Errorf("%d requests wait, want 2", queued)
	}
}

// Guards against a limit that outlives the process that named it, or the target's last
// word on it.
func TestRateEndsWithTheProcess(t *testing.T) {
	controller := New(Options{}, invariant.PanicReporter{})
	settings := Target{ID: "t", Slots: 8, Incarnation: attempt.Incarnation{StartedMS: 1}}
	controller.SetTarget(epoch, settings)
	controller.ObserveRate(epoch, "t", epoch, 1, true)
	if d := controller.Submit(epoch, Work{Target: "t"}); d.Kind != Queued {
		t.Fatalf("got %+v", d)
	}
	now := epoch.Add(10 * time.Millisecond)
	if _, decisions := controller.ObserveRate(now, "t", now, 0, false); len(decisions) != 1 || decisions[0].Kind != Started {
		t.Errorf("waiting work when the target takes its limit back: %+v", decisions)
	}
	controller.ObserveRate(now, "t", now, 1, true)
	settings.Incarnation.StartedMS = 2
	controller.SetTarget(now, settings)
	if _, limited := controller.Rate("t"); limited {
		t.Error("a new process has the limit of the one before")
	}
}

// Guards against tokens that are lost with work that was never sent.
func TestWorkThatWasNotSentReturnsItsToken(t *testing.T) {
	controller := New(Options{}, invariant.PanicReporter{})
	controller.SetTarget(epoch, Target{ID: "t", Slots: 8})
	controller.ObserveRate(epoch, "t", epoch, 1, true)
	now := epoch.Add(time.Second)
	first := controller.Submit(now, Work{Target: "t", Deadline: now.Add(time.Second)})
	if first.Kind != Started {
		t.Fatalf("got %+v", first)
	}
	if ok, _ := controller.Confirm(now.Add(time.Second), first.Ticket); ok {
		t.Fatal("started after its deadline")
	}
	if d := controller.Submit(now.Add(time.Second), Work{Target: "t"}); d.Kind != Started {
		t.Errorf("the next request waits: %+v", d)
	}
}
