package gate

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// retryBudgetSafetyFactor is the part of the budget that gates use. The rest is for
	// calls that retried requests make after the budget was used up, which cannot be
	// refused (request/retry, TestBudgetHoldsInDeepGraphs), and for targets that leave.
	retryBudgetSafetyFactor = 0.8
	// targetCountSettleTime is the time after the first target counts during which
	// they may be too low. Until then no additional retries are allowed, only the
	// share of first attempts.
	targetCountSettleTime = 5 * time.Second
)

// SetTargetCounts sets the number of targets of each service in the whole fleet. Each
// gate of a service takes the additional retries of its budget divided by that number,
// without calls to other gates; an entry that one gate refuses tries the next.
func (g *Gate) SetTargetCounts(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targetCountsSince.IsZero() {
		g.targetCountsSince = g.now()
	}
	g.targetCounts = counts
	if g.targetCountsSettled() {
		g.callers.SetHosts(counts)
	}
}

// targetCountsSettled reports whether the gate has had the time to learn of the targets of
// other hosts. The caller holds g.mu.
func (g *Gate) targetCountsSettled() bool {
	return g.now().Sub(g.targetCountsSince) >= targetCountSettleTime
}

// chargeRetryBudget counts a first attempt in the retry budget, or takes a retry from
// it. It refuses the retry when the budget is exhausted, or nearly that of a service that
// the target calls. A first attempt may be a call by work that is itself a retry, which
// counts as a retry at the called service; it is charged by the share of such work on the
// host that it comes from.
func (e *exchange) chargeRetryBudget() bool {
	g := e.gate
	if g.options.AdditionalRetries <= 0 {
		return true
	}
	g.mu.Lock()
	t := g.targets[e.targetID]
	exhausted := ""
	if t != nil {
		now, budget := g.now(), g.retryBudget(t.Service)
		if e.retry {
			if !g.calledRoom.AllowsRetry(now) {
				exhausted = "the retry budget of a called service is nearly exhausted"
			} else if !budget.Take(now) {
				exhausted = "the retry budget of the service is exhausted"
			}
		} else {
			budget.CountFirstAttempt(now)
			if g.callers.MayBeCalled(e.class) {
				budget.Charge(now, e.callerRetries)
			}
		}
	}
	g.mu.Unlock()
	if exhausted != "" {
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonRetryBudget, exhausted, 0)
	}
	return exhausted == ""
}

// NoteCalledRoom records how much is left of the retry budget of a service that targets of
// this host call, as one of its gates reports it.
func (g *Gate) NoteCalledRoom(service string, room float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calledRoom.Observe(g.now(), service, room)
}

// budgetRoom returns how much is left of the retry budgets that a retry of the work would
// use, that of this gate and those of the services that its target calls. It is false for
// work of customers. The caller holds Gate.mu.
func (e *exchange) budgetRoom() (float64, bool) {
	g := e.gate
	t := g.targets[e.targetID]
	if t == nil || g.options.AdditionalRetries <= 0 || !g.callers.MayBeCalled(e.class) {
		return 0, false
	}
	now := g.now()
	return min(g.retryBudget(t.Service).Room(now), g.calledRoom.Room(now)), true
}

// RetryShare returns the share of the work in progress at this gate that is a retry, or
// was called by one.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, retries := 0, 0.0
	for _, e := range g.active {
		if !e.started || e.ticketEnded {
			continue
		}
		running++
		if e.retry {
			retries++
		} else {
			retries += e.callerRetries
		}
	}
	if running == 0 {
		return 0
	}
	return retries / float64(running)
}

// retryBudget returns this gate's part of a service's retry budget. The caller holds
// g.mu.
func (g *Gate) retryBudget(service string) *retry.Budget {
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(retry.Options{Share: retryBudgetSafetyFactor * g.options.RetryShare, Window: g.options.RetryWindow})
		g.retryBudgets[service] = budget
	}
	perSecond := 0.0
	if n := g.targetCounts[service]; n > 0 && g.targetCountsSettled() {
		perSecond = retryBudgetSafetyFactor * g.options.AdditionalRetries / g.options.RetryWindow.Seconds() / float64(n)
	}
	budget.SetPerSecond(perSecond)
	return budget
}
