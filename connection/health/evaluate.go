package health

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

const (
	// minRamp is the shortest time over which a returned target regains its share.
	minRamp = 2 * time.Second
	// rampStartShare is the share of a target that just returned.
	rampStartShare = 0.1
	// unreachableWeight is the share of targets in an unreachable domain.
	unreachableWeight = 0.01
	// minHintShare is the smallest share to which an endpoint hint alone may reduce
	// a target.
	minHintShare = 0.5
	// hintExpiry is how long a hint is used.
	hintExpiry = 10 * time.Second
	// probeThreshold is the suspicion from which a probe helps to decide.
	probeThreshold = 0.2
	// peerFactor is the multiple of its peers' evidence that a target must exceed,
	// so that load which slows all of them ejects none.
	peerFactor = 2
)

// relativeScore returns the evidence on a target beyond what its peers show.
func (t *Tracker) relativeScore(now time.Time, tgt *target) float64 {
	return tgt.score(now, t.opts) - peerFactor*tgt.svc.baseline
}

// ejectionCandidate is a target that is or would be ejected, if the floor allows
// it. The floor keeps the candidates of the lowest rank in rotation.
type ejectionCandidate struct {
	target *target
	rank   float64
	why    string
	byPath bool
}

// evaluate decides which targets of a service are ejected: the most suspect ones,
// as far as the floor allows.
func (t *Tracker) evaluate(now time.Time, s *service) {
	t.setBaselines(now, s)
	candidates := t.ejectionCandidates(now, s)
	allowed := len(s.targets) - t.floorOf(s)
	if t.opts.disabled.floor {
		allowed = len(s.targets)
	}
	for i, c := range candidates {
		if i < allowed {
			t.eject(now, c)
		} else {
			t.blockEjection(now, c, allowed)
		}
	}
	ejected := 0
	for _, tgt := range s.targets {
		if !slices.ContainsFunc(candidates, func(c ejectionCandidate) bool { return c.target == tgt }) {
			tgt.ejectionBlocked = false
			if tgt.ejected {
				t.reinstate(now, tgt, tgt.returnReason())
			}
		}
		if tgt.ejected {
			ejected++
		}
		t.requestReport(tgt)
		t.refreshState(now, tgt)
	}
	minInRotation := t.floorOf(s)
	t.reporter.Check(invariant.Floor, len(s.targets)-ejected >= minInRotation,
		"service %s: %d of %d targets ejected, floor is %d", s.id, ejected, len(s.targets), minInRotation)
}

// floorOf returns the number of targets of a service that must stay in rotation.
func (t *Tracker) floorOf(s *service) int {
	floor := 0.0
	for _, tgt := range s.targets {
		floor = max(floor, tgt.info.Floor)
	}
	const rounding = 1e-9 // 0.7×10 is slightly more than 7
	return min(int(math.Ceil(floor*float64(len(s.targets))-rounding)), len(s.targets))
}

// setBaselines computes the common counts of a service, and the lower quartile of
// the scores of its targets in rotation.
func (t *Tracker) setBaselines(now time.Time, s *service) {
	t.setCommon(s)
	scores := make([]float64, 0, len(s.targets))
	for _, tgt := range s.targets {
		if !tgt.ejected {
			scores = append(scores, tgt.score(now, t.opts))
		}
	}
	slices.Sort(scores)
	// The highest score is left out: it is that of the target to be compared.
	s.baseline = 0
	if n := len(scores); n > 1 {
		s.baseline = t.quartile(scores[:n-1], 0, false)
	}
}

// commonShare is the share of the peers, those with the fewest bad requests, that
// show what all targets have in common. With less than half, more than half of the
// targets may fail at once without hiding each other.
const commonShare = 0.4

// setCommon computes the requests of the better peers of a service, with the rates
// of errors and slowness that its targets have in common.
func (t *Tracker) setCommon(s *service) {
	s.common = counts{}
	if t.opts.disabled.peers {
		return
	}
	var peers []counts
	for _, tgt := range s.targets {
		if !tgt.ejected {
			c := tgt.recent
			slowPending := 0.0
			for i := range tgt.pending {
				if tgt.pending[i].slow {
					slowPending++
				}
			}
			c.add(counts{all: slowPending, slow: slowPending}, 1)
			peers = append(peers, c)
		}
	}
	// The worst peer is left out: it is the target to be compared.
	n := int(math.Ceil(float64(len(peers)-1) * commonShare))
	if n < 1 {
		return
	}
	best := func(value func(counts) float64) counts {
		slices.SortFunc(peers, func(a, b counts) int {
			return cmp.Compare(value(a)/(a.all+1), value(b)/(b.all+1))
		})
		var sum counts
		for _, c := range peers[:n] {
			sum.add(c, 1)
		}
		if total, majority := widespread(peers, value); majority {
			sum.add(total, widespreadWeight/(total.all+1))
		}
		return sum
	}
	errors := best(func(c counts) float64 { return c.errors })
	slow := best(func(c counts) float64 { return c.slow })
	// The two sums are over different peers: scale the errors to the number of
	// requests of the other sum.
	s.common = counts{all: slow.all, slow: slow.slow, errors: errors.errors * (slow.all + 5) / (errors.all + 5)}
}

// widespreadWeight is the number of requests, at the mean rate of all peers, that
// are added to the common counts when most peers show bad requests: the better
// peers may have shown none so far by chance.
const widespreadWeight = 40

// widespread returns the sum of the recent requests of all peers but the worst,
// and whether more than half of these peers had bad requests as counted by value.
// The peers are sorted, the worst last.
func widespread(peers []counts, value func(counts) float64) (total counts, majority bool) {
	const someBad = 0.2
	withBad := 0
	for _, c := range peers[:len(peers)-1] {
		total.add(c, 1)
		if value(c) > someBad {
			withBad++
		}
	}
	return total, 2*withBad > len(peers)-1
}

// ejectionCandidates returns the targets that should be ejected or stay ejected, by
// descending rank.
func (t *Tracker) ejectionCandidates(now time.Time, s *service) []ejectionCandidate {
	var list []ejectionCandidate
	for _, tgt := range s.targets {
		rank, why := t.relativeScore(now, tgt), ""
		if rank < t.opts.Threshold {
			tgt.aboveThresholdSince = time.Time{}
		}
		switch {
		case tgt.ejected && tgt.ejectedByPath && tgt.node.ejectsTargets():
			rank, why = t.opts.Threshold*1.5, tgt.state.Why
		case tgt.ejected && tgt.ejectedByPath:
			continue
		case tgt.ejected && !tgt.mayReturn(now, t.opts):
			why = tgt.state.Why
			rank = math.Max(rank, t.opts.Threshold) + t.opts.Threshold/2 // only a clearly worse target takes its place
		case tgt.ejected:
			continue
		case rank >= t.opts.Threshold && t.confirmed(now, tgt):
			why = t.explain(now, tgt)
		case tgt.node.ejectsTargets():
			list = append(list, ejectionCandidate{tgt, math.Max(rank, tgt.node.score()), "the gate is unresponsive", true})
			continue
		default:
			continue
		}
		list = append(list, ejectionCandidate{tgt, rank, why, false})
	}
	slices.SortFunc(list, func(a, b ejectionCandidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.target.info.ID, b.target.info.ID))
	})
	return list
}

const (
	// confirmWait delays an ejection while many peers look suspect too, so that a
	// cause that all targets share has time to show at all of them.
	confirmWait = 300 * time.Millisecond
	// confirmScore is the share of the threshold from which a peer looks suspect,
	// and confirmShare the share of suspect peers from which they are many.
	confirmScore = 0.15
	confirmShare = 0.25
)

// confirmed reports whether the evidence on tgt may eject it now: few peers look
// suspect, or the evidence has been above the threshold for confirmWait.
func (t *Tracker) confirmed(now time.Time, tgt *target) bool {
	if tgt.ejectionBlocked || t.opts.disabled.peers {
		return true
	}
	if tgt.aboveThresholdSince.IsZero() {
		tgt.aboveThresholdSince = now
	}
	peers, suspectPeers := 0, 0
	for _, peer := range tgt.svc.targets {
		if peer == tgt || peer.ejected {
			continue
		}
		peers++
		if peer.score(now, t.opts) >= confirmScore*t.opts.Threshold {
			suspectPeers++
		}
	}
	return float64(suspectPeers) < confirmShare*float64(peers) || now.Sub(tgt.aboveThresholdSince) >= confirmWait
}

func (t *Tracker) explain(now time.Time, tgt *target) string {
	return fmt.Sprintf("evidence %.1f of %.1f: errors %.1f, slow %.1f, in progress %.1f, wrong %.1f, crashes %.1f, probes %.1f, reports of %d entries",
		tgt.score(now, t.opts), t.opts.Threshold, tgt.errorSum*tgt.errorScale(), tgt.slowSum*tgt.svc.slowScale(), tgt.overdueSum*tgt.svc.slowScale(), tgt.severeSum, tgt.crashSum, tgt.probeSum, len(tgt.reports))
}

func (t *Tracker) eject(now time.Time, c ejectionCandidate) {
	c.target.ejectionBlocked = false
	if c.target.ejected {
		return
	}
	if c.target.ejectedByPath = c.byPath; c.byPath {
		c.target.ejected, c.target.ejectedAt, c.target.consecutiveSuccesses = true, now, 0 // the ejection time is that of the path
	} else {
		c.target.startEjection(now)
	}
	c.target.goodProbes = 0
	t.scheduleTrickle(now, c.target)
	// The evidence of these attempts has been counted. Those that end after the
	// target has returned must not count again.
	for i := range c.target.pending {
		c.target.pending[i].excluded = true
	}
	t.emitChange(Eject, c.target, c.why)
}

func (t *Tracker) blockEjection(now time.Time, c ejectionCandidate, allowed int) {
	if c.target.ejected {
		t.reinstate(now, c.target, "floor: other targets are more suspect")
	}
	if !c.target.ejectionBlocked {
		c.target.ejectionBlocked = true
		t.emitChange(EjectionBlocked, c.target, fmt.Sprintf("floor allows %d ejections; %s", allowed, c.why))
	}
}

// ejectsTargets reports whether the state of the path is enough to eject the
// node's targets. The targets of an unreachable domain are not ejected for it.
func (n *node) ejectsTargets() bool { return n.ejected && !n.dom.unreachable }

func (tgt *target) returnReason() string {
	switch {
	case !tgt.ejectedByPath:
		return "trickle requests succeed"
	case tgt.node.dom.unreachable:
		return "its failure domain is unreachable; the target is not ejected for its path"
	default:
		return "the gate responds again"
	}
}

// reinstate returns a target to rotation, without its evidence.
func (t *Tracker) reinstate(now time.Time, tgt *target, why string) {
	tgt.ejected, tgt.ejectedByPath, tgt.returnedAt, tgt.rampStartedAt = false, false, now, now
	tgt.reset()
	t.emitChange(Return, tgt, why)
}

func (t *Tracker) emitChange(k ChangeKind, tgt *target, why string) {
	if k != ReportDue {
		tgt.state.Why = why
	}
	t.emit(Change{Kind: k, Target: tgt.info.ID, Node: tgt.info.Node, Domain: tgt.info.Domain, Service: tgt.svc.id, Why: why})
}

// requestReport emits ReportDue when the own evidence has grown by a further
// reportThreshold, so that entries with little traffic each can detect a failure
// together.
func (t *Tracker) requestReport(tgt *target) {
	share := min(tgt.trafficEvidence()/t.opts.Threshold, 1)
	switch {
	case share < reportThreshold:
		tgt.reportedShare = 0
	case share >= tgt.reportedShare+reportThreshold && tgt.reportedShare < 1:
		tgt.reportedShare = share
		t.emitChange(ReportDue, tgt, tgt.state.Why)
	}
}

// refreshState recomputes the state that package selection reads.
func (t *Tracker) refreshState(now time.Time, tgt *target) {
	shareOfThreshold := func(x float64) float64 { return math.Min(math.Max(x/t.opts.Threshold, 0), 1) }
	s := State{
		Ejected:           tgt.ejected,
		Suspicion:         shareOfThreshold(t.relativeScore(now, tgt)),
		PathSuspicion:     shareOfThreshold(tgt.node.score()),
		DomainUnreachable: tgt.node.dom.unreachable,
		EjectionBlocked:   tgt.ejectionBlocked,
		Why:               tgt.state.Why,
	}
	if tgt.ejected {
		s.Suspicion = 1
	} else if !tgt.ejectionBlocked {
		s.Overdue = tgt.overdueCount()
	}
	if tgt.node.ejected || s.DomainUnreachable {
		s.PathSuspicion = 1
	}
	s.ProbeWanted = s.Suspicion >= probeThreshold || s.PathSuspicion >= probeThreshold
	s.Weight = t.weight(now, tgt, s)
	tgt.state = s
}

// maxOverdue is the largest State.Overdue. Two hung requests are enough to eject a
// target; further ones count as load.
const maxOverdue = 2

// overdueCount returns the number of requests in progress that seem to hang.
func (tgt *target) overdueCount() int {
	n := 0
	for i := range tgt.pending {
		if tgt.pending[i].ageEvidence > 0 {
			n++
		}
	}
	if tgt.svc.slowScale() < 0.7 { // all targets are slow: the requests queue
		return 0
	}
	return min(n, maxOverdue)
}

func (t *Tracker) weight(now time.Time, tgt *target, s State) float64 {
	switch {
	case s.Ejected:
		return 0
	case s.DomainUnreachable:
		return unreachableWeight
	case s.EjectionBlocked:
		return 1
	}
	w := 1 - s.Suspicion/2
	if ramp := max(tgt.ejectionTime(t.opts), minRamp); !tgt.rampStartedAt.IsZero() && now.Sub(tgt.rampStartedAt) < ramp {
		w *= rampStartShare + (1-rampStartShare)*float64(now.Sub(tgt.rampStartedAt))/float64(ramp)
	}
	if !tgt.hintAt.IsZero() && now.Sub(tgt.hintAt) < hintExpiry {
		w *= math.Max(tgt.hint, minHintShare)
	}
	return w
}
