package gate

import (
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// repeatSafety is the part of the budget that gates use for services whose
	// calls are known as such. The rest is for calls of runs whose caller is gone.
	repeatSafety = 0.9
	// blindSafety is the part for other services: calls that a repeated run makes
	// count as repeats, and without names that tell, they made a third of all at
	// orders of sunbake's scale-1.
	blindSafety = 0.5
	// callsKnown is the time for which a service's calls count as known after one
	// was told.
	callsKnown = time.Minute
	// sharersKnown is the time after the first view of the fleet during which the
	// number of gates that share a budget may be too low. Until then only the
	// share of first attempts counts.
	sharersKnown = 5 * time.Second
)

// SetSharers tells how many targets each service has in the whole fleet. Their
// gates share the budget of repeats in equal parts, so that no gate needs to ask
// another one; an entry that one gate refuses asks the next.
func (g *Gate) SetSharers(counts map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		g.since = g.now()
	}
	g.sharers = counts
}

// countRequest counts a request once, with its first attempt, whether this gate
// takes it or not.
func (x *exchange) countRequest() {
	g := x.g
	if g.o.RetrySlack <= 0 || x.id.Number != 1 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[x.target]
	if t == nil {
		return
	}
	now := g.now()
	if !x.isCall {
		g.repeatBudget(t.Service).First(now)
		return
	}
	g.calledAt[t.Service] = now // the budget grows with the requests of callers only
	g.repeatBudget(t.Service).Spend(now, x.share)
}

// passRepeat refuses a repeat that the budget does not have.
func (x *exchange) passRepeat() bool {
	g := x.g
	if g.o.RetrySlack <= 0 || !x.repeat {
		return true
	}
	g.mu.Lock()
	t := g.targets[x.target]
	allowed := t == nil || g.repeatBudget(t.Service).Take(g.now())
	g.mu.Unlock()
	if !allowed {
		x.refuse(attempt.VerdictRefused, attempt.ReasonRetryBudget, "the budget of repeats of the service is used up", 0)
	}
	return allowed
}

// CallShare tells whether a request is a call that a target of this gate makes
// while it runs another request, and which part of the call counts as a repeat:
// all of it when that run repeats a request or is a call of such a run. The name
// of a call begins with that of the request for which it is made.
func (g *Gate) CallShare(id attempt.RequestID) (float64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		for x := range t.inFlight {
			if parent := x.id.Request; len(parent) >= minParent && len(id) > len(parent) && strings.HasPrefix(string(id), string(parent)) {
				if x.repeat {
					return 1, true
				}
				return x.share, true
			}
		}
	}
	return 0, false
}

// minParent is the length from which names of requests are taken to be unlike
// each other by chance.
const minParent = 8

// repeatBudget returns this gate's part of a service's budget. g.mu is held.
func (g *Gate) repeatBudget(service string) *retry.Budget {
	b := g.repeats[service]
	if b == nil {
		b = retry.NewBudget(retry.Options{Window: g.o.RetryWindow, Earlier: true})
		g.repeats[service] = b
	}
	now, safety := g.now(), blindSafety
	if at, ok := g.calledAt[service]; ok && now.Sub(at) < callsKnown {
		safety = repeatSafety
	}
	perSecond := 0.0
	if n := g.sharers[service]; n > 0 && now.Sub(g.since) >= sharersKnown {
		perSecond = safety * g.o.RetrySlack / g.o.RetryWindow.Seconds() / float64(n)
	}
	b.SetPart(safety*g.o.RetryShare, perSecond)
	return b
}
