package fallback

import (
	"strconv"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
)

// rank returns the rank that work is submitted with.
func (c *crest) rank(rank int) int {
	if !c.with.ranks {
		return -1
	}
	return rank
}

// mostUrgentRank is what gate.MostUrgentRank returns, or the rank of the class "call".
func (t *crestTarget) mostUrgentRank() int {
	rank, found := 0, false
	for _, q := range t.running {
		if !q.called && (!found || q.rank < rank) {
			rank, found = q.rank, true
		}
	}
	return rank
}

// Guards against urgent work at five small targets that is refused, while calls of less
// urgent work to them never are: together they need 1.4 times the capacity.
func TestCallsOfLessUrgentWorkDoNotStarveUrgentWork(t *testing.T) {
	const capacity = 5 * targetSlots / 0.12
	type result struct{ direct, order, failed float64 }
	run := func(orderRate float64, with mechanisms) (r result) {
		direct, order, failed, offeredDirect, offeredOrder := 0, 0, 0, 0, 0
		for seed := range uint64(2) {
			c := newCrest(seed, orderRate, with)
			c.addTargets("orders", 60, map[string]admission.Class{"order": {Objective: 2500 * time.Millisecond}})
			c.addTargets("drawings", 5, map[string]admission.Class{"call": {Objective: 500 * time.Millisecond}, "direct": {Objective: 1500 * time.Millisecond}})
			c.every(orderRate, func() {
				c.submitCustomer(&crestRequest{class: "order", rank: 34, service: "orders", deadline: 6 * time.Second, objective: 2500 * time.Millisecond,
					work: c.workTime(470 * time.Millisecond), calls: 2})
			})
			c.every(0.5*capacity, func() {
				c.submitCustomer(&crestRequest{class: "direct", rank: 17, service: "drawings", deadline: 6 * time.Second, objective: 1500 * time.Millisecond,
					work: c.workTime(120 * time.Millisecond), idempotent: true})
			})
			c.run()
			direct, order, failed = direct+c.inTime["direct"], order+c.served["order"], failed+c.failed["order"]
			offeredDirect, offeredOrder = offeredDirect+c.offered["direct"], offeredOrder+c.offered["order"]
		}
		return result{float64(direct) / float64(offeredDirect), float64(order) / float64(offeredOrder), float64(failed) / float64(offeredOrder)}
	}
	for _, calls := range []float64{0.9} {
		with, before := run(calls*capacity/2, mechanisms{lateQueue: true, calledFirst: true, ranks: true}), run(calls*capacity/2, mechanisms{lateQueue: true, calledFirst: true})
		t.Logf("calls %.1f times the capacity: %+.3f, without ranks %+.3f", calls, with, before)
		if with.direct < 0.9 || with.direct <= before.direct {
			t.Errorf("%.3f of the urgent work in time, want 0.9, without ranks %.3f", with.direct, before.direct)
		}
	}
}

// Guards against slots that are filled with rejected work that has returned when its
// objective had passed, while work that could still meet it is refused: five targets of 5
// slots, urgent work of 0.4 times their capacity, and a burst of other work of 1.7 times
// for 6 of 10 s. Callers honour Retry-After up to a third of the time that they have left.
func TestReturningWorkKeepsItsAge(t *testing.T) {
	const capacity = 5 * targetSlots / 0.12
	run := func(returns bool) (urgent float64, other, rejected int) {
		offered := 0
		for seed := range uint64(2) {
			c := newCrest(seed, 0, mechanisms{lateQueue: true, calledFirst: true, ranks: true, returns: returns})
			c.callersReturn = true
			c.addTargets("drawings", 5, map[string]admission.Class{"urgent": {Objective: 1500 * time.Millisecond}, "other": {Objective: 1500 * time.Millisecond}})
			submit := func(class string, rank int) {
				c.submitCustomer(&crestRequest{class: class, rank: rank, service: "drawings", deadline: 6 * time.Second, objective: 1500 * time.Millisecond,
					work: c.workTime(120 * time.Millisecond), idempotent: true})
			}
			c.every(0.4*capacity, func() { submit("urgent", 17) })
			c.every(1.7*capacity, func() {
				if c.now%(10*time.Second) >= 4*time.Second || c.random.Float64() < 0.3/1.7 {
					submit("other", 34)
				}
			})
			c.run()
			urgent, other, rejected, offered = urgent+float64(c.inTime["urgent"]), other+c.inTime["other"], rejected+c.rejected, offered+c.offered["urgent"]
		}
		return urgent / float64(offered), other, rejected
	}
	urgent, other, rejected := run(true)
	_, otherBefore, rejectedBefore := run(false)
	t.Logf("%.3f of the urgent work in time; of the other %d, without the mechanism %d; %d and %d rejections", urgent, other, otherBefore, rejected, rejectedBefore)
	if urgent < 0.9 || other <= otherBefore {
		t.Errorf("%.3f of the urgent work in time, want 0.9; of the other %d, without the mechanism %d", urgent, other, otherBefore)
	}
}

// Guards against a memory of rejected requests that never forgets, or grows without bound.
func TestReturnsForget(t *testing.T) {
	var r Returns
	r.Rejected(start, "a", start.Add(-time.Second))
	if got := r.FirstArrival(start.Add(returnMemory), "a"); !got.Equal(start.Add(-time.Second)) {
		t.Errorf("first arrival %s after one period", got)
	}
	if at := start.Add(2*returnMemory + time.Second); !r.FirstArrival(at, "a").Equal(at) {
		t.Error("a request is remembered after two periods")
	}
	for i := range 3 * maxReturns {
		r.Rejected(start.Add(3*returnMemory), strconv.Itoa(i), start)
	}
	if n := len(r.current) + len(r.previous); n > 2*maxReturns {
		t.Errorf("%d requests are remembered", n)
	}
}
