package gate

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// retryBudgetSafetyFactor is the part of the budget that gates use. Calls that a
	// retried request makes are retries too, but no gate can recognize them. With
	// 0.75, service orders of deployment sunbake had 204 retries in 10 s on day scale-1
	// of a load test, where 182 were allowed; a third of them were calls made by
	// retried page reads.
	retryBudgetSafetyFactor = 0.5
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
}

// chargeRetryBudget counts a first attempt in the retry budget, or takes a retry from
// it. It refuses the retry when the budget is exhausted.
func (e *exchange) chargeRetryBudget() bool {
	g := e.gate
	if g.options.AdditionalRetries <= 0 {
		return true
	}
	g.mu.Lock()
	t := g.targets[e.targetID]
	allowed := true
	if t != nil {
		now, budget := g.now(), g.retryBudget(t.Service)
		if e.retry {
			allowed = budget.Take(now)
		} else {
			budget.CountFirstAttempt(now)
		}
	}
	g.mu.Unlock()
	if !allowed {
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonRetryBudget, "the retry budget of the service is exhausted", 0)
	}
	return allowed
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
	if n := g.targetCounts[service]; n > 0 && g.now().Sub(g.targetCountsSince) >= targetCountSettleTime {
		perSecond = retryBudgetSafetyFactor * g.options.AdditionalRetries / g.options.RetryWindow.Seconds() / float64(n)
	}
	budget.SetPerSecond(perSecond)
	return budget
}
