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

// smallService is the capacity in requests/s of the five targets that the patterns below
// call, and use for urgent work of half of it.
const smallService = 5 * targetSlots / 0.12

// withRanks are the mechanisms of a deployment in which ranks differ.
var withRanks = mechanisms{lateQueue: true, calledFirst: true, ranks: true, inherit: true}

// rankResult has shares of the urgent work and of the less urgent orders that were offered.
type rankResult struct {
	urgent, served, failed, calledFull float64
	total                              float64 // requests served, mean of a run
}

// playRanks replays orders that make two calls each to five small targets, directly or
// through a service whose targets only run calls, and urgent work at these targets. calls
// is the rate of the calls as a part of their capacity.
func playRanks(seeds uint64, calls float64, chain bool, with mechanisms) rankResult {
	inTime, served, failed, calledFull, total, urgent, orders := 0, 0, 0, 0, 0, 0, 0
	for seed := range seeds {
		c := newCrest(seed, calls*smallService/2, with)
		c.addTargets("orders", 60, map[string]admission.Class{"order": {Objective: 2500 * time.Millisecond}})
		perOrder, relayed := 2, 0
		if chain {
			c.addTargets("plans", 30, map[string]admission.Class{"plan": {Objective: time.Second}})
			perOrder, relayed = 1, 2
		}
		c.addTargets("drawings", 5, map[string]admission.Class{"call": {Objective: 500 * time.Millisecond}, "direct": {Objective: 1500 * time.Millisecond}})
		c.every(c.orderRate, func() {
			c.submitCustomer(&crestRequest{class: "order", rank: 34, service: "orders", deadline: 6 * time.Second, objective: 2500 * time.Millisecond,
				work: c.workTime(470 * time.Millisecond), calls: perOrder, relayed: relayed})
		})
		c.every(0.5*smallService, func() {
			c.submitCustomer(&crestRequest{class: "direct", rank: 17, service: "drawings", deadline: 6 * time.Second, objective: 1500 * time.Millisecond,
				work: c.workTime(120 * time.Millisecond), idempotent: true})
		})
		c.run()
		inTime, served, failed, calledFull = inTime+c.inTime["direct"], served+c.served["order"], failed+c.failed["order"], calledFull+c.calledFull["order"]
		total += c.served["order"] + c.served["direct"]
		urgent, orders = urgent+c.offered["direct"], orders+c.offered["order"]
	}
	of := func(n, offered int) float64 { return float64(n) / float64(offered) }
	return rankResult{of(inTime, urgent), of(served, orders), of(failed, orders), of(calledFull, orders), of(total, int(seeds))}
}

// Guards against urgent work at five small targets that is refused, while calls of less
// urgent work to them never are: together they need 1.4 times the capacity.
func TestCallsOfLessUrgentWorkDoNotStarveUrgentWork(t *testing.T) {
	with, before := playRanks(2, 0.9, false, withRanks), playRanks(2, 0.9, false, mechanisms{lateQueue: true, calledFirst: true})
	t.Logf("%+.3f, without ranks %+.3f", with, before)
	if with.urgent < 0.9 || with.urgent <= before.urgent {
		t.Errorf("%.3f of the urgent work in time, want 0.9, without ranks %.3f", with.urgent, before.urgent)
	}
}

// Guards against urgent work that is starved by the second calls of a chain, when these go by
// the rank of their class: orders call a service whose targets only run calls, and these call
// five small targets, which would need 1.2 times their capacity with the urgent work.
func TestChainsOfCallsKeepTheRankOfTheirWork(t *testing.T) {
	classRank := withRanks
	classRank.inherit = false
	with, without := playRanks(2, 0.7, true, withRanks), playRanks(2, 0.7, true, classRank)
	t.Logf("%+.3f, without inherited ranks of calls %+.3f", with, without)
	if with.urgent < 0.9 || with.urgent <= without.urgent {
		t.Errorf("%.3f of the urgent work in time, want 0.9, without inherited ranks of calls %.3f", with.urgent, without.urgent)
	}
}
