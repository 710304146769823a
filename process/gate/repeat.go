package gate

import (
	"net"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

const (
	// repeatSafety is the part of the budget that gates use. The rest is for
	// what they cannot count: calls of repeated runs are known as a share of the
	// runs at the caller's host only.
	repeatSafety = 0.8
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
		switch {
		case x.repeat:
			allowed = b.Take(now)
		case x.isCall: // the budget grows with the requests of callers only
			b.Spend(now, x.share)
		default:
			b.First(now)
		}
	}
	g.mu.Unlock()
	if !allowed {
		x.refuse(attempt.VerdictRefused, attempt.ReasonRetryBudget, "the budget of repeats of the service is used up", 0)
	}
	return allowed
}

// CallShare returns which share of the runs of the target at an IP address repeats
// a request, or is itself a call of such a run, and whether a target is there. A
// target that makes calls while no run is known, as after its caller is gone, is
// taken to repeat.
func (g *Gate) CallShare(ip string) (float64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		if host, _, err := net.SplitHostPort(t.Address); err == nil && host == ip {
			return t.repeatShare(), true
		}
	}
	return 0, false
}

// repeatShare is the share of the target's runs that repeat a request. The
// gate's mu is held.
func (t *target) repeatShare() float64 {
	if len(t.inFlight) == 0 {
		return 1
	}
	repeats := 0.0
	for x := range t.inFlight {
		if x.repeat {
			repeats++
		} else {
			repeats += x.share
		}
	}
	return repeats / float64(len(t.inFlight))
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
