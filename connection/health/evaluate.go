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
	// rampMin is the least time over which a returned target regains its share.
	rampMin = 2 * time.Second
	// rampStart is the share of a target that just returned.
	rampStart = 0.1
	// unreachableWeight is the share of targets in an unreachable domain.
	unreachableWeight = 0.01
	// hintFloor is the least share that an endpoint hint alone may leave.
	hintFloor = 0.5
	// hintExpiry is how long a hint counts.
	hintExpiry = 10 * time.Second
	// probeFrom is the suspicion from which a probe helps to decide.
	probeFrom = 0.2
	// peerFactor is how far a target must exceed its peers' own evidence: more
	// than twice, so that load which slows all of them ejects none.
	peerFactor = 2
)

// relative is the evidence on a target beyond what its peers show.
func (t *Tracker) relative(now time.Time, g *target) float64 {
	return g.score(now, t.o) - peerFactor*g.svc.baseline
}

// suspect is a target that the evidence would eject.
type suspect struct {
	g    *target
	rank float64
	why  string
	path bool
}

// evaluate judges the targets of a service, and ejects the most suspect ones as
// far as the floor allows.
func (t *Tracker) evaluate(now time.Time, s *service) {
	t.setBaselines(now, s)
	suspects := t.suspects(now, s)
	allowed := len(s.targets) - t.floorOf(s)
	if t.o.off.floor {
		allowed = len(s.targets)
	}
	for i, v := range suspects {
		if i < allowed {
			t.eject(now, v)
		} else {
			t.distrust(now, v, allowed)
		}
	}
	out := 0
	for _, g := range s.targets {
		if !slices.ContainsFunc(suspects, func(v suspect) bool { return v.g == g }) {
			g.distrusted = false
			if g.out {
				t.back(now, g, g.returnReason())
			}
		}
		if g.out {
			out++
		}
		t.report(g)
		t.refresh(now, g)
	}
	least := t.floorOf(s)
	t.reporter.Check(invariant.Floor, len(s.targets)-out >= least,
		"service %s: %d of %d targets ejected, floor is %d", s.id, out, len(s.targets), least)
}

// floorOf returns the number of targets that must stay in rotation.
func (t *Tracker) floorOf(s *service) int {
	floor := 0.0
	for _, g := range s.targets {
		floor = max(floor, g.info.Floor)
	}
	const rounding = 1e-9 // 0.7×10 is slightly more than 7
	return min(int(math.Ceil(floor*float64(len(s.targets))-rounding)), len(s.targets))
}

// setBaselines computes the lower quartile of the scores in rotation.
func (t *Tracker) setBaselines(now time.Time, s *service) {
	t.setCommon(s)
	scores := make([]float64, 0, len(s.targets))
	for _, g := range s.targets {
		if !g.out {
			scores = append(scores, g.score(now, t.o))
		}
	}
	slices.Sort(scores)
	// Without the greatest one, which is the candidate to be judged.
	s.baseline = 0
	if n := len(scores); n > 1 {
		s.baseline = t.quartile(scores[:n-1], 0, false)
	}
}

// commonShare of the peers, those with the fewest bad requests, show what all
// targets have in common. More than half of the targets may fail at once
// without hiding each other.
const commonShare = 0.4

func (t *Tracker) setCommon(s *service) {
	s.common = counts{}
	if t.o.off.peers {
		return
	}
	var peers []counts
	for _, g := range s.targets {
		if !g.out {
			c := g.recent
			late := 0.0
			for i := range g.progress {
				if g.progress[i].late {
					late++
				}
			}
			c.add(counts{all: late, slow: late}, 1)
			peers = append(peers, c)
		}
	}
	// Without the worst one, which is the candidate to be judged.
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
		if pool, wide := widespread(peers, value); wide {
			sum.add(pool, widespreadWeight/(pool.all+1))
		}
		return sum
	}
	errors := best(func(c counts) float64 { return c.errors })
	slow := best(func(c counts) float64 { return c.slow })
	// Two sums over different peers, brought to one number of requests.
	s.common = counts{all: slow.all, slow: slow.slow, errors: errors.errors * (slow.all + 5) / (errors.all + 5)}
}

// widespreadWeight is the number of requests at the rate of all peers that
// count in when most peers show bad requests: then the better ones may have shown
// none by chance so far.
const widespreadWeight = 40

// widespread returns the recent requests of all peers but the worst, and
// whether more than half of them had bad ones by value. The peers are sorted.
func widespread(peers []counts, value func(counts) float64) (pool counts, wide bool) {
	const someBad = 0.2
	with := 0
	for _, c := range peers[:len(peers)-1] {
		pool.add(c, 1)
		if value(c) > someBad {
			with++
		}
	}
	return pool, 2*with > len(peers)-1
}

func (t *Tracker) suspects(now time.Time, s *service) []suspect {
	var list []suspect
	for _, g := range s.targets {
		rank, why := t.relative(now, g), ""
		if rank < t.o.Threshold {
			g.aboveSince = time.Time{}
		}
		switch {
		case g.out && g.byPath && g.node.down():
			rank, why = t.o.Threshold*1.5, g.state.Why
		case g.out && g.byPath:
			continue
		case g.out && !g.mayReturn(now, t.o):
			why = g.state.Why
			rank = math.Max(rank, t.o.Threshold) + t.o.Threshold/2 // an ejected target changes places only for a clearly worse one
		case g.out:
			continue
		case rank >= t.o.Threshold && t.confirmed(now, g):
			why = t.explain(now, g)
		case g.node.down():
			list = append(list, suspect{g, math.Max(rank, g.node.score()), "the gate is silent", true})
			continue
		default:
			continue
		}
		list = append(list, suspect{g, rank, why, false})
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.g.info.ID, b.g.info.ID))
	})
	return list
}

const (
	// confirmWait delays an ejection while many peers look suspect too, so that
	// a cause that all targets share shows at all of them.
	confirmWait = 300 * time.Millisecond
	// confirmScore is the share of the threshold from which a peer looks
	// suspect, and confirmShare how many of the peers are many.
	confirmScore = 0.15
	confirmShare = 0.25
)

// confirmed reports that the evidence on g stood for long enough.
func (t *Tracker) confirmed(now time.Time, g *target) bool {
	if g.distrusted || t.o.off.peers {
		return true
	}
	if g.aboveSince.IsZero() {
		g.aboveSince = now
	}
	peers, suspect := 0, 0
	for _, p := range g.svc.targets {
		if p == g || p.out {
			continue
		}
		peers++
		if p.score(now, t.o) >= confirmScore*t.o.Threshold {
			suspect++
		}
	}
	return float64(suspect) < confirmShare*float64(peers) || now.Sub(g.aboveSince) >= confirmWait
}

func (t *Tracker) explain(now time.Time, g *target) string {
	return fmt.Sprintf("evidence %.1f of %.1f: errors %.1f, slow %.1f, in progress %.1f, wrong %.1f, crashes %.1f, probes %.1f, reports of %d entries",
		g.score(now, t.o), t.o.Threshold, g.errors*g.errorScale(), g.slow*g.svc.slowScale(), g.overdue*g.svc.slowScale(), g.hard, g.crash, g.probe, len(g.reports))
}

func (t *Tracker) eject(now time.Time, v suspect) {
	v.g.distrusted = false
	if v.g.out {
		return
	}
	if v.g.byPath = v.path; v.path {
		v.g.out, v.g.since, v.g.successes = true, now, 0 // the hold time is the path's
	} else {
		v.g.leave(now)
	}
	v.g.goodProbes = 0
	t.scheduleTrickle(now, v.g)
	// What these attempts show is known; ending after a return they must not
	// count again.
	for i := range v.g.progress {
		v.g.progress[i].void = true
	}
	t.change(Eject, v.g, v.why)
}

func (t *Tracker) distrust(now time.Time, v suspect, allowed int) {
	if v.g.out {
		t.back(now, v.g, "floor: others are more suspect")
	}
	if !v.g.distrusted {
		v.g.distrusted = true
		t.change(EjectionBlocked, v.g, fmt.Sprintf("floor allows %d ejections; %s", allowed, v.why))
	}
}

// down reports that the path alone keeps the node's targets out. Those of an
// unreachable domain are not judged.
func (n *node) down() bool { return n.out && !n.dom.unreachable }

func (g *target) returnReason() string {
	switch {
	case !g.byPath:
		return "trickle requests succeed"
	case g.node.dom.unreachable:
		return "its failure domain is unreachable; the target is not judged"
	default:
		return "the gate answers again"
	}
}

// back returns a target to rotation.
func (t *Tracker) back(now time.Time, g *target, why string) {
	g.out, g.byPath, g.returnedAt, g.rampFrom = false, false, now, now
	g.reset()
	t.change(Return, g, why)
}

func (t *Tracker) change(k ChangeKind, g *target, why string) {
	if k != ReportDue {
		g.state.Why = why
	}
	t.emit(Change{Kind: k, Target: g.info.ID, Node: g.info.Node, Domain: g.info.Domain, Service: g.svc.id, Why: why})
}

// report asks for gossip when own evidence has grown by reportFrom, so that
// entries with little traffic each detect a failure together.
func (t *Tracker) report(g *target) {
	share := min(g.traffic()/t.o.Threshold, 1)
	switch {
	case share < reportFrom:
		g.reported = 0
	case share >= g.reported+reportFrom && g.reported < 1:
		g.reported = share
		t.change(ReportDue, g, g.state.Why)
	}
}

// refresh recomputes the state that selection reads.
func (t *Tracker) refresh(now time.Time, g *target) {
	unit := func(x float64) float64 { return math.Min(math.Max(x/t.o.Threshold, 0), 1) }
	s := State{
		Ejected:           g.out,
		Suspicion:         unit(t.relative(now, g)),
		PathSuspicion:     unit(g.node.score()),
		DomainUnreachable: g.node.dom.unreachable,
		EjectionBlocked:   g.distrusted,
		Why:               g.state.Why,
	}
	if g.out {
		s.Suspicion = 1
	} else if !g.distrusted {
		s.Overdue = g.hanging()
	}
	if g.node.out || s.DomainUnreachable {
		s.PathSuspicion = 1
	}
	s.ProbeWanted = s.Suspicion >= probeFrom || s.PathSuspicion >= probeFrom
	s.Weight = t.weight(now, g, s)
	g.state = s
}

// overdueMost requests that hang eject; more are load also when one by one.
const overdueMost = 2

func (g *target) hanging() int {
	n := 0
	for i := range g.progress {
		if g.progress[i].age > 0 {
			n++
		}
	}
	if g.svc.slowScale() < 0.7 { // all targets are slow: the requests wait
		return 0
	}
	return min(n, overdueMost)
}

func (t *Tracker) weight(now time.Time, g *target, s State) float64 {
	switch {
	case s.Ejected:
		return 0
	case s.DomainUnreachable:
		return unreachableWeight
	case s.EjectionBlocked:
		return 1
	}
	w := 1 - s.Suspicion/2
	if ramp := max(g.hold(t.o), rampMin); !g.rampFrom.IsZero() && now.Sub(g.rampFrom) < ramp {
		w *= rampStart + (1-rampStart)*float64(now.Sub(g.rampFrom))/float64(ramp)
	}
	if !g.hintAt.IsZero() && now.Sub(g.hintAt) < hintExpiry {
		w *= math.Max(g.hint, hintFloor)
	}
	return w
}
