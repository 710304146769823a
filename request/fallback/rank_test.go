package fallback

import (
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

// mostUrgentRank is what gate.MostUrgentRank returns, or the rank of the class "call". Without
// inherit it leaves out work that is a call.
func (t *crestTarget) mostUrgentRank(inherit bool) int {
	rank, found := 0, false
	for _, q := range t.running {
		if (inherit || !q.called) && (!found || q.rank < rank) {
			rank, found = q.rank, true
		}
	}
	return rank
}

// submitOrdersAndUrgentWork adds orders that make two calls each to five small targets, and
// urgent work at these.
func (c *crest) submitOrdersAndUrgentWork(urgentRate float64) {
	c.addTargets("orders", 60, map[string]admission.Class{"order": {Objective: 2500 * time.Millisecond}})
	c.addTargets("drawings", 5, map[string]admission.Class{"call": {Objective: 500 * time.Millisecond}, "direct": {Objective: 1500 * time.Millisecond}})
	c.every(c.orderRate, func() {
		c.submitCustomer(&crestRequest{class: "order", rank: 34, service: "orders", deadline: 6 * time.Second, objective: 2500 * time.Millisecond,
			work: c.workTime(470 * time.Millisecond), calls: 2})
	})
	c.every(urgentRate, func() {
		c.submitCustomer(&crestRequest{class: "direct", rank: 17, service: "drawings", deadline: 6 * time.Second, objective: 1500 * time.Millisecond,
			work: c.workTime(120 * time.Millisecond), idempotent: true})
	})
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
			c.submitOrdersAndUrgentWork(0.5 * capacity)
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

// Guards against urgent work that is starved by the second calls of a chain, when these go by
// the rank of their class: orders call a service whose targets only run calls, and these call
// five small targets, which would need 1.2 times their capacity with the urgent work.
func TestChainsOfCallsKeepTheRankOfTheirWork(t *testing.T) {
	const capacity = 5 * targetSlots / 0.12
	run := func(inherit bool) (direct, orders float64) {
		inTime, offered, served, placed := 0, 0, 0, 0
		for seed := range uint64(2) {
			c := newCrest(seed, 0.7*capacity/2, mechanisms{lateQueue: true, calledFirst: true, ranks: true, inherit: inherit})
			c.addTargets("orders", 60, map[string]admission.Class{"order": {Objective: 2500 * time.Millisecond}})
			c.addTargets("plans", 30, map[string]admission.Class{"plan": {Objective: time.Second}})
			c.addTargets("drawings", 5, map[string]admission.Class{"call": {Objective: 500 * time.Millisecond}, "direct": {Objective: 1500 * time.Millisecond}})
			c.every(c.orderRate, func() {
				c.submitCustomer(&crestRequest{class: "order", rank: 34, service: "orders", deadline: 6 * time.Second, objective: 2500 * time.Millisecond,
					work: c.workTime(470 * time.Millisecond), calls: 1, relayed: 2})
			})
			c.every(0.5*capacity, func() {
				c.submitCustomer(&crestRequest{class: "direct", rank: 17, service: "drawings", deadline: 6 * time.Second, objective: 1500 * time.Millisecond,
					work: c.workTime(120 * time.Millisecond), idempotent: true})
			})
			c.run()
			inTime, offered, served, placed = inTime+c.inTime["direct"], offered+c.offered["direct"], served+c.served["order"], placed+c.offered["order"]
		}
		return float64(inTime) / float64(offered), float64(served) / float64(placed)
	}
	with, orders := run(true)
	without, ordersWithout := run(false)
	t.Logf("urgent work in time %.3f, orders served %.3f; without inherited ranks of calls %.3f, %.3f", with, orders, without, ordersWithout)
	if with < 0.9 || with <= without {
		t.Errorf("%.3f of the urgent work in time, want 0.9, without inherited ranks of calls %.3f", with, without)
	}
}
