package gate

import (
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// repeatSafety is the part of the budget that gates use. Calls that a
	// repeated run makes count as repeats too, and no gate can tell them: with
	// 0.75, sunbake's scale-1 had 204 repeats in 10 s at orders where 182 were
	// allowed, a third of them calls of repeated page reads.
	repeatSafety = 0.5
	// sharersKnown is the time after the first view of the fleet during which the
	// number of gates that share a budget may be too low. Until then only the
	// share of first attempts counts.
	sharersKnown = 5 * time.Second
)

// SetTargetCounts tells how many targets each service has in the whole fleet. Their
// gates share the budget of repeats in equal parts, so that no gate needs to ask
// another one; an entry that one gate refuses asks the next.
func (g *Gate) SetTargetCounts(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		g.since = g.now()
	}
	g.sharers = counts
}

// passRepeat counts an attempt and refuses a repeat that the budget does not
// have.
func (x *exchange) passRepeat() bool {
	g := x.g
	if g.o.RetrySlack <= 0 {
		return true
	}
	g.mu.Lock()
	t := g.targets[x.target]
	allowed := true
	if t != nil {
		now, b := g.now(), g.repeatBudget(t.Service)
		if x.repeat {
			allowed = b.Take(now)
		} else {
			b.CountFirstAttempt(now)
		}
	}
	g.mu.Unlock()
	if !allowed {
		x.refuse(attempt.VerdictRefused, attempt.ReasonRetryBudget, "the budget of repeats of the service is used up", 0)
	}
	return allowed
}

// repeatBudget returns this gate's part of a service's budget. g.mu is held.
func (g *Gate) repeatBudget(service string) *retry.Budget {
	b := g.repeats[service]
	if b == nil {
		b = retry.NewBudget(retry.Options{Share: repeatSafety * g.o.RetryShare, Window: g.o.RetryWindow})
		g.repeats[service] = b
	}
	perSecond := 0.0
	if n := g.sharers[service]; n > 0 && g.now().Sub(g.since) >= sharersKnown {
		perSecond = repeatSafety * g.o.RetrySlack / g.o.RetryWindow.Seconds() / float64(n)
	}
	b.SetPerSecond(perSecond)
	return b
}
