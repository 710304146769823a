package entry

import (
	"context"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

// failingFor is the time for which an entry leaves out a target that its gate
// called failing, unless the gate names a time.
const failingFor = 300 * time.Millisecond

// lastResortWeight is the weight of a target out of rotation that is asked when
// there is no other: any other target is preferred.
const lastResortWeight = 0.01

// noteFailing notes a gate's word on whether its target fails. e.mu is held.
func (e *Entry) noteFailing(now time.Time, r *result) {
	switch {
	case r.verdict == attempt.VerdictRefused && r.reason == attempt.ReasonTargetFailing:
		wait := r.retryIn
		if wait <= 0 {
			wait = failingFor
		}
		e.failing[r.t.l.key] = now.Add(wait)
	case r.verdict == attempt.VerdictRan && r.status < 500:
		delete(e.failing, r.t.l.key)
	}
}

// rotation returns the state of targets with those out of rotation that their
// gates called failing. e.mu is held.
func (e *Entry) rotation(now time.Time) func(string) health.State {
	return func(key string) health.State {
		s := e.health.State(key)
		if until, ok := e.failing[key]; ok {
			if now.Before(until) {
				s.Weight = 0
			} else {
				delete(e.failing, key)
			}
		}
		return s
	}
}

// chooseFailing picks a target for which its gate must make an exception: all
// usable targets fail or were refused for it, so that the request has nothing to
// lose. A target of which only the connection was given up is one of them, also
// when its path counts as down by then: a new connection may work.
func (q *request) chooseFailing(ctx context.Context, d retry.Decision) (*try, bool) {
	e := q.e
	var exclude []string // targets that the request may have reached
	replaced := map[string]bool{}
	for _, a := range q.history {
		switch {
		case a.replaced:
			replaced[a.Target] = true
		case a.Reason != attempt.ReasonTargetFailing:
			exclude = append(exclude, a.Target)
		}
	}
	state := func(key string) health.State {
		s := e.health.State(key)
		if replaced[key] && s.Weight <= 0 {
			s.Weight = lastResortWeight
		}
		return s
	}
	f := e.fleet.Load()
	e.mu.Lock()
	now := e.now()
	query := selection.Query{Service: q.service, ExcludeTargets: exclude, Long: q.long, RemoteCostFactor: e.distance(q.match.Route.ID)}
	c, ok := e.selector.Pick(now, query, state)
	l, seen, ok := q.take(now, f, c, ok)
	e.mu.Unlock()
	if !ok {
		return nil, false
	}
	t := q.begin(ctx, max(d.Number, len(q.history)+1), l, false, "all targets in rotation fail; "+c.Why, seen)
	t.force = true
	return t, true
}
