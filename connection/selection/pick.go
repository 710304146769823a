package selection

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
)

// Query describes the attempt that needs a target.
type Query struct {
	Service string
	// ExcludeTargets are targets that were tried before, and ExcludeNodes gates
	// that refused the request.
	ExcludeTargets, ExcludeNodes []string
	// AvoidDomains are failure domains that were tried before; others are preferred.
	AvoidDomains []string
	// Long marks long work, which competes only with the long requests at a target.
	Long bool
	// RemoteCostFactor scales the cost of targets outside this node's failure
	// domain; 0 means 1. It is high for requests that move many bytes.
	RemoteCostFactor float64
	// FreeSlotOnly requires a target whose last report showed a free slot.
	FreeSlotOnly bool
	// ClaimTrickle, if set, claims the trickle slot of an ejected target, usually
	// with health.Tracker.ClaimTrickle. It is set for first attempts of idempotent
	// work.
	ClaimTrickle func(target string) bool
}

// Choice is the target chosen for an attempt.
type Choice struct {
	Target, Node, Domain string
	Load                 float64 // requests running and queued per slot
	Trickle              bool    // the attempt uses the trickle slot of an ejected target
	Why                  string  // reason for the choice, in words
}

const (
	// maxDraws bounds the random draws per tier, as targets that are excluded,
	// ejected or of low weight are drawn without result.
	maxDraws = 6
	// suspectPathCost makes targets behind a suspect path the last choice when all
	// targets are compared.
	suspectPathCost = 100
)

// Pick chooses a target, or returns false if no usable target is in rotation.
func (s *Selector) Pick(now time.Time, q Query, state func(target string) health.State) (Choice, bool) {
	svc := s.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	if q.ClaimTrickle != nil {
		if m := s.pickTrickle(svc, &q, state); m != nil {
			return s.newChoice(now, m, true, "trickle request to an ejected target"), true
		}
	}
	if q.RemoteCostFactor == 0 {
		q.RemoteCostFactor = 1
	}
	if len(q.AvoidDomains) == 0 && !q.FreeSlotOnly {
		if m := s.pickOfTwo(now, svc, &q, state); m != nil {
			return s.newChoice(now, m, false, tierReason[m.tier]), true
		}
	}
	if m := s.pickLeastCost(now, svc, &q, state); m != nil {
		return s.newChoice(now, m, false, "least cost of all usable targets"), true
	}
	return Choice{}, false
}

var tierReason = [tierCount]string{
	ownDomain:   "own failure domain",
	ownRegion:   "less loaded than the own failure domain",
	otherRegion: "less loaded than the own region",
}

func (s *Selector) newChoice(now time.Time, m *member, trickle bool, why string) Choice {
	return Choice{Target: m.candidate.Target, Node: m.candidate.Node, Domain: m.candidate.Domain, Load: s.load(now, m, false, 0), Trickle: trickle, Why: why}
}

// pickTrickle checks one random target and returns it if it is ejected or its
// failure domain is unreachable, and its trickle slot could be claimed. One check
// per request keeps the cost independent of the size of the subset; an ejected
// target is checked within a few requests.
func (s *Selector) pickTrickle(svc *service, q *Query, state func(string) health.State) *member {
	if len(svc.members) == 0 {
		return nil
	}
	m := svc.members[s.rand.IntN(len(svc.members))]
	if excluded(m, q) {
		return nil
	}
	st := state(m.candidate.Target)
	if (st.Ejected || st.DomainUnreachable) && q.ClaimTrickle(m.candidate.Target) {
		return m
	}
	return nil
}

// pickOfTwo compares two random targets of each tier and returns the one of least
// cost. It skips a tier whose cost alone is not below the best cost so far. With shared
// loads it stays in the own failure domain while the chosen target likely has a free slot:
// in the balance pattern of the bench fewer requests leave their domain and fewer find no
// slot than by the costs alone.
func (s *Selector) pickOfTwo(now time.Time, svc *service, q *Query, state func(string) health.State) *member {
	var best *member
	bestCost := 0.0
	costs := s.tierCosts(q.RemoteCostFactor)
	for tier, members := range svc.byTier {
		if len(members) == 0 || (best != nil && costs[tier] >= bestCost) {
			continue
		}
		var first, tierBest *member
		tierCost, overdue := 0.0, 0
		for draws := 0; draws < maxDraws; draws++ {
			m := members[s.rand.IntN(len(members))]
			if m == first || excluded(m, q) {
				continue
			}
			st := state(m.candidate.Target)
			if !s.acceptByWeight(now, m, st.Weight) {
				continue
			}
			if cost := s.cost(now, m, q, &st); tierBest == nil || cost < tierCost {
				tierBest, tierCost, overdue = m, cost, st.Overdue
			}
			if first != nil || len(members) == 1 || s.options.disabled.twoChoices {
				break
			}
			first = m
		}
		if tierBest == nil {
			continue
		}
		if e, ok := s.estimate(now, tierBest, q.Long, overdue); ok { // a drawn load is no reason to leave the failure domain
			if tier == ownDomain && e.Mean+e.Deviation < 1 {
				return tierBest
			}
			tierCost = e.Mean + costs[tier]
		}
		if best == nil || tierCost < bestCost {
			best, bestCost = tierBest, tierCost
		}
	}
	return best
}

// acceptByWeight accepts a target with a probability equal to its weight.
func (s *Selector) acceptByWeight(now time.Time, m *member, weight float64) bool {
	if weight > 0 {
		weight *= s.slowStartWeight(now, m)
	}
	return weight >= 1 || (weight > 0 && s.rand.Float64() < weight)
}

// pickLeastCost returns the usable target of least cost in the whole subset. It
// is used for retries and for services of which most targets are out of rotation.
func (s *Selector) pickLeastCost(now time.Time, svc *service, q *Query, state func(string) health.State) *member {
	var best *member
	bestCost, ties := 0.0, 0
	for _, m := range svc.members {
		if excluded(m, q) || (q.FreeSlotOnly && !(m.hasFreeSlot() && s.load(now, m, false, 0) < 1)) {
			continue
		}
		st := state(m.candidate.Target)
		if st.Ejected || st.Weight <= 0 {
			continue
		}
		cost := s.cost(now, m, q, &st) / (st.Weight * s.slowStartWeight(now, m))
		if st.DomainUnreachable || st.PathSuspicion >= 1 {
			cost += suspectPathCost
		}
		if slices.Contains(q.AvoidDomains, m.candidate.Domain) {
			cost += suspectPathCost / 2
		}
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = m, cost, 1
		case cost == bestCost:
			if ties++; s.rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

func excluded(m *member, q *Query) bool {
	return slices.Contains(q.ExcludeTargets, m.candidate.Target) || slices.Contains(q.ExcludeNodes, m.candidate.Node)
}
