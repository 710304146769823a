package selection

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
)

// Query describes the attempt that needs a target.
type Query struct {
	Service string
	// ExcludeTargets were tried before; ExcludeNodes refused the request.
	ExcludeTargets, ExcludeNodes []string
	// AvoidDomains were tried before: another failure domain is preferred.
	AvoidDomains []string
	// Long work is placed by the long work at each target.
	Long bool
	// RemoteCostFactor scales the costs of targets outside the own failure domain; 0
	// means 1. What moves many bytes has a high one.
	RemoteCostFactor float64
	// FreeSlotOnly requires a reported idle slot.
	FreeSlotOnly bool
	// ClaimTrickle, if set, claims the trickle slot of an ejected target; usually
	// health.Tracker.ClaimTrickle. Set it for first attempts of idempotent work.
	ClaimTrickle func(target string) bool
}

// Choice is the target of an attempt.
type Choice struct {
	Target, Node, Domain string
	Load                 float64 // requests running and queued per slot
	Trickle              bool    // uses the target's trickle slot
	Why                  string
}

const (
	// drawLimit bounds the random draws for one of the two choices; targets of
	// low weight and ejected ones are drawn in vain.
	drawLimit = 6
	// suspectPathCost keeps targets behind a suspect path for last when all
	// targets are scanned.
	suspectPathCost = 100
)

// Pick chooses a target, or reports false if none is in rotation.
func (s *Selector) Pick(now time.Time, q Query, state func(target string) health.State) (Choice, bool) {
	svc := s.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	if q.ClaimTrickle != nil {
		if m := s.trickle(svc, &q, state); m != nil {
			return s.choice(now, m, true, "trickle request to an ejected target"), true
		}
	}
	if q.RemoteCostFactor == 0 {
		q.RemoteCostFactor = 1
	}
	if len(q.AvoidDomains) == 0 && !q.FreeSlotOnly {
		if m := s.draw(now, svc, &q, state); m != nil {
			return s.choice(now, m, false, whyTier[m.tier]), true
		}
	}
	if m := s.scan(now, svc, &q, state); m != nil {
		return s.choice(now, m, false, "least cost of all usable targets"), true
	}
	return Choice{}, false
}

var whyTier = [tiers]string{
	ownDomain:   "own failure domain",
	ownRegion:   "less loaded than the own failure domain",
	otherRegion: "less loaded than the own region",
}

func (s *Selector) choice(now time.Time, m *member, trickle bool, why string) Choice {
	return Choice{Target: m.c.Target, Node: m.c.Node, Domain: m.c.Domain, Load: s.load(now, m, false, 0), Trickle: trickle, Why: why}
}

// trickle looks at one random target, so that the cost does not grow with the
// subset; an ejected target gets its turn within a few requests.
func (s *Selector) trickle(svc *service, q *Query, state func(string) health.State) *member {
	if len(svc.members) == 0 {
		return nil
	}
	m := svc.members[s.rand.IntN(len(svc.members))]
	if excluded(m, q) {
		return nil
	}
	st := state(m.c.Target)
	if (st.Ejected || st.DomainUnreachable) && q.ClaimTrickle(m.c.Target) {
		return m
	}
	return nil
}

// draw takes the less costly of two random targets of each tier. A farther tier
// is not looked at while its distance alone exceeds the best cost.
func (s *Selector) draw(now time.Time, svc *service, q *Query, state func(string) health.State) *member {
	var best *member
	bestCost := 0.0
	distance := s.distances(q.RemoteCostFactor)
	for tier, members := range svc.byTier {
		if len(members) == 0 || (best != nil && distance[tier] >= bestCost) {
			continue
		}
		var first *member
		for draws := 0; draws < drawLimit; draws++ {
			m := members[s.rand.IntN(len(members))]
			if m == first || excluded(m, q) {
				continue
			}
			st := state(m.c.Target)
			if !s.accept(now, m, st.Weight) {
				continue
			}
			if c := s.cost(now, m, q, &st); best == nil || c < bestCost {
				best, bestCost = m, c
			}
			if first != nil || len(members) == 1 || s.o.off.twoChoices {
				break
			}
			first = m
		}
	}
	return best
}

// accept draws a target in proportion to its weight.
func (s *Selector) accept(now time.Time, m *member, w float64) bool {
	if w > 0 {
		w *= s.warmth(now, m)
	}
	return w >= 1 || (w > 0 && s.rand.Float64() < w)
}

// scan returns the least costly usable target of all. It serves retries, and
// services of which most targets are out of rotation.
func (s *Selector) scan(now time.Time, svc *service, q *Query, state func(string) health.State) *member {
	var best *member
	bestCost, ties := 0.0, 0
	for _, m := range svc.members {
		if excluded(m, q) || (q.FreeSlotOnly && !(m.free && s.load(now, m, false, 0) < 1)) {
			continue
		}
		st := state(m.c.Target)
		if st.Ejected || st.Weight <= 0 {
			continue
		}
		c := s.cost(now, m, q, &st) / (st.Weight * s.warmth(now, m))
		if st.DomainUnreachable || st.PathSuspicion >= 1 {
			c += suspectPathCost
		}
		if slices.Contains(q.AvoidDomains, m.c.Domain) {
			c += suspectPathCost / 2
		}
		switch {
		case best == nil || c < bestCost:
			best, bestCost, ties = m, c, 1
		case c == bestCost:
			if ties++; s.rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

func excluded(m *member, q *Query) bool {
	return slices.Contains(q.ExcludeTargets, m.c.Target) || slices.Contains(q.ExcludeNodes, m.c.Node)
}
