package admission

import (
	"math"
	"testing"
	"time"
)

var testClasses = map[string]Class{
	"order": {Priority: Order}, "browse": {Priority: Interactive}, "download": {Priority: Background, Long: true},
}

// simulateOverload raises the demand from second 10 on, within 2 s, to 5 times
// its base. With slowdown > 1 the service times of one target grow by that factor
// from second 15 on, and the entry ejects it one second later, which is the bound
// on detection. It returns the ratio of responses in time to min(offered,
// capacity) in the worst second and over the whole run, and the share of orders
// answered in time.
//
// The targets and slots are those of one Sunbake service. Service times have a
// coefficient of variation of 0.5: with exponential ones the capacity of these
// targets itself varies by 2.3 % (one standard deviation) from second to second,
// and the worst of 28 seconds would say nothing about the Controller.
func simulateOverload(o Options, seed uint64, queueLimit int, deadline time.Duration, slowdown float64) (worst, mean, orders float64) {
	const targets, slots, shape = 8, 6, 4
	const service = 25 * time.Millisecond
	const end, onset = 30 * time.Second, 15 * time.Second
	sim := newSim(o, seed, targets, slots, queueLimit, testClasses)
	if slowdown > 1 {
		sim.schedule(onset, func() { sim.slowdown["t0"] = slowdown })
		sim.schedule(onset+time.Second, func() { sim.ejected["t0"] = true })
	}
	targetCapacity := slots / service.Seconds()
	demand := func(share float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			factor := 1 + 4*min(1, max(0, (at-10*time.Second).Seconds()/2))
			return share * 0.3 * targetCapacity * targets * factor
		}
	}
	sim.run(end,
		stream{class: "order", customer: "a", rate: demand(0.1), meanService: service, shape: shape, deadline: deadline},
		stream{class: "browse", customer: "a", rate: demand(0.45), meanService: service, shape: shape, deadline: deadline},
		stream{class: "browse", customer: "b", rate: demand(0.45), meanService: service, shape: shape, deadline: deadline})
	worst = math.Inf(1)
	var totalInTime, totalPossible, ordersOffered, ordersAnswered float64
	for second := 2; second < int(end/time.Second)-1; second++ {
		capacity := targetCapacity * targets
		if slowdown > 1 && second >= int(onset/time.Second) {
			capacity = targetCapacity * (targets - 1)
		}
		inTime := float64(sim.answered["order"][second] + sim.answered["browse"][second])
		possible := min(capacity, float64(sim.offered["order"][second]+sim.offered["browse"][second]))
		worst = min(worst, inTime/possible)
		totalInTime, totalPossible = totalInTime+inTime, totalPossible+possible
		ordersOffered += float64(sim.offered["order"][second])
		ordersAnswered += float64(sim.answered["order"][second])
	}
	return worst, totalInTime / totalPossible, ordersAnswered / ordersOffered
}

// Guards against wasted capacity and orders without a response in time at five
// times the base demand.
func TestOverloadBound(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		worst, mean, orders := simulateOverload(Options{}, seed, 0, 500*time.Millisecond, 1)
		t.Logf("seed %d: worst second %.3f, whole run %.3f, orders %.4f", seed, worst, mean, orders)
		if worst < 0.95 || orders < 0.99 {
			t.Errorf("seed %d: worst second %.3f (bound 0.95), orders %.4f (bound 0.99)", seed, worst, orders)
		}
	}
}

// Guards against a target that becomes ten times slower and reduces the responses
// of the others.
func TestOverloadBoundWithSlowTarget(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		worst, mean, orders := simulateOverload(Options{}, seed, 0, 500*time.Millisecond, 10)
		t.Logf("seed %d: worst second %.3f, whole run %.3f, orders %.4f", seed, worst, mean, orders)
		if worst < 0.95 || orders < 0.99 {
			t.Errorf("seed %d: worst second %.3f (bound 0.95), orders %.4f (bound 0.99)", seed, worst, orders)
		}
	}
}

// Proves that the bound on orders needs priority, and that with long queues the
// bound on responses in time needs the refusal of work that cannot end in time.
func TestOverloadNeedsPriorityAndRefusal(t *testing.T) {
	t.Parallel()
	if _, _, orders := simulateOverload(Options{noPriority: true}, 1, 0, 500*time.Millisecond, 1); orders >= 0.99 {
		t.Errorf("orders %.4f without priority, want below 0.99", orders)
	}
	// The queue holds far more work than can end before the deadline. The bound
	// applies to the whole run.
	worst, with, _ := simulateOverload(Options{}, 1, 400, 250*time.Millisecond, 1)
	worstWithout, without, _ := simulateOverload(Options{noFeasibilityCheck: true}, 1, 400, 250*time.Millisecond, 1)
	t.Logf("queue of 400: %.3f in time with refusal (worst second %.3f), %.3f without (%.3f)", with, worst, without, worstWithout)
	if with < 0.95 || without >= 0.95 {
		t.Errorf("%.3f in time with refusal, %.3f without; want at least 0.95 and below it", with, without)
	}
}

// simulateBlocking offers short work that needs the given part of all slots, with
// or without downloads, and returns the p99 latency of the short work and the
// downloads per second.
func simulateBlocking(o Options, seed uint64, load float64, downloads bool) (short time.Duration, downloadRate float64) {
	const targets, slots = 6, 4
	sim := newSim(o, seed, targets, slots, 0, testClasses)
	const service, end = 25 * time.Millisecond, 60 * time.Second
	targetCapacity := slots / service.Seconds()
	streams := []stream{
		{class: "order", customer: "a", rate: constant(0.1 * targetCapacity * targets), meanService: service, shape: 1, deadline: 2 * time.Second},
		{class: "browse", customer: "b", rate: constant((load - 0.1) * targetCapacity * targets), meanService: service, shape: 1, deadline: 2 * time.Second},
	}
	if downloads { // twice what half of the slots can serve
		streams = append(streams, stream{class: "download", customer: "c", rate: constant(2 * targets * slots / 2), meanService: time.Second, shape: 1, deadline: 60 * time.Second})
	}
	sim.run(end, streams...)
	answeredDownloads := 0
	for _, answered := range sim.answered["download"] {
		answeredDownloads += answered
	}
	return p99(append(sim.latency["order"], sim.latency["browse"]...)), float64(answeredDownloads) / end.Seconds()
}

// Guards against short work whose p99 latency grows by more than a quarter because
// it waits behind downloads.
func TestBlockingBound(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		base, _ := simulateBlocking(Options{}, seed, 0.5, false)
		withDownloads, rate := simulateBlocking(Options{}, seed, 0.5, true)
		withoutShares, rateWithoutShares := simulateBlocking(Options{noReserve: true}, seed, 0.5, true)
		ratio, ratioWithoutShares := float64(withDownloads)/float64(base), float64(withoutShares)/float64(base)
		t.Logf("seed %d: p99 %v alone, %v with %.1f downloads/s (×%.3f); without shares %v with %.1f/s (×%.3f)", seed, base, withDownloads, rate, ratio, withoutShares, rateWithoutShares, ratioWithoutShares)
		if ratio > 1.25 {
			t.Errorf("seed %d: p99 grows ×%.3f with downloads, bound 1.25", seed, ratio)
		}
		if ratioWithoutShares <= 1.25 {
			t.Errorf("seed %d: p99 grows only ×%.3f without shares; the test proves nothing", seed, ratioWithoutShares)
		}
	}
}

// Guards against short work that loses a quarter of its slots to downloads when it
// needs nearly all of them: with short work on 60 % of the slots the bound holds
// only with LongStartInterval.
func TestBlockingBoundAtHighLoad(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		base, _ := simulateBlocking(Options{}, seed, 0.6, false)
		withDownloads, rate := simulateBlocking(Options{LongStartInterval: 2 * time.Second}, seed, 0.6, true)
		withoutInterval, rateWithoutInterval := simulateBlocking(Options{}, seed, 0.6, true)
		ratio, ratioWithoutInterval := float64(withDownloads)/float64(base), float64(withoutInterval)/float64(base)
		t.Logf("seed %d: ×%.3f with %.1f downloads/s; without LongStartInterval ×%.3f with %.1f/s", seed, ratio, rate, ratioWithoutInterval, rateWithoutInterval)
		if ratio > 1.25 || ratioWithoutInterval <= 1.25 || rate == 0 {
			t.Errorf("seed %d: p99 grows ×%.3f (bound 1.25), without LongStartInterval ×%.3f; %.1f downloads/s", seed, ratio, ratioWithoutInterval, rate)
		}
	}
}
