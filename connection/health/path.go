package health

import (
	"math"
	"time"
)

// score is the evidence against the path to the node's gate.
func (n *node) score() float64 { return n.sum + n.overdue }

// heard notes an answer of the gate: the path works.
func (t *Tracker) heard(now time.Time, n *node) {
	n.heardAt, n.refused, n.verifying = now, false, false
	if n.out || n.dom.unreachable {
		n.sum *= outSuccess
		n.successes++
		return
	}
	add(&n.sum, goodRatio, 2*t.o.Threshold)
}

// pathFault counts an attempt that ended without an answer of the gate.
func (t *Tracker) pathFault(now time.Time, g *target, e Evidence, p inProgress) {
	n := g.node
	if g.out {
		g.successes = 0
	}
	if p.void || t.excused(g, p) {
		return
	}
	limit := 2 * t.o.Threshold
	ratio := corruptRatio
	switch e.Fault {
	case ConnectionRefused:
		// A reused connection that breaks may have been closed while idle; only
		// a new one shows the state of the gate.
		if p.connectedAt.IsZero() || !p.connectedAt.Before(p.started) {
			n.refused = true
		}
		ratio = refusedRatio
	case GateUnresponsive:
		ratio = math.Max(p.class.ratio(e.Duration, t.allowance(now, g, p.atTarget)), 0)
	case PathCorrupt:
		n.refused = true
	}
	if e.Fault == GateUnresponsive && p.running && !p.atTarget {
		return // it queued at the gate until its time was up
	}
	n.successes = 0
	if t.o.off.path || (e.Fault == GateUnresponsive && p.running) {
		g.bad++
		add(&g.hard, ratio, limit)
		return
	}
	add(&n.sum, ratio, limit)
}

// ofPath reports whether an unanswered attempt concerns the path rather than
// the target: the gate has said nothing since the attempt should have ended.
func (t *Tracker) ofPath(g *target, p inProgress) bool {
	usual := p.started.Add(p.class.thresholds[0])
	return !t.o.off.path && !p.running && !g.node.heardAt.After(usual)
}

// excused reports whether an unanswered attempt concerns its connection only.
func (t *Tracker) excused(g *target, p inProgress) bool {
	if t.o.off.stale {
		return false
	}
	return p.stale || (p.newOK && !p.oldOK && !p.running && !g.newOverdue(p))
}

// newOverdue reports whether an attempt on a connection newer than p's is
// unanswered for longer than usual too: then the cause is not p's connection.
func (g *target) newOverdue(p inProgress) bool {
	for i := range g.progress {
		q := &g.progress[i]
		if q.connectedAt.After(p.started) && q.age > 0 {
			return true
		}
	}
	return false
}

func (t *Tracker) gateStatus(now time.Time, g *target, e Evidence) {
	i := g.find(e.Attempt)
	if e.Fault.ofPath() {
		if e.Fault == ConnectionRefused {
			g.node.refused = true
		}
		return
	}
	t.heard(now, g.node)
	if i < 0 {
		return
	}
	p := &g.progress[i]
	if e.Running {
		p.running = true
		p.atTarget, p.others = e.Service > 0, e.OtherAttempts
		p.waited = now.Sub(p.started) - e.Service
		if !p.atTarget {
			// Queueing is not the target's slowness; ask again when the rest of
			// its time is too long as well.
			p.verifyAt = time.Time{}
		}
		t.weighOne(now, g, p)
		if p.counted == nil && p.age > 0 {
			g.countOverdue(p)
		}
		return
	}
	if !p.stale {
		p.stale = true
		t.replace(g, p, "the gate does not have the attempt, or has finished it")
	}
}

func (t *Tracker) replace(g *target, p *inProgress, why string) {
	if t.o.off.stale {
		return
	}
	t.emit(Change{Kind: ReplaceConnection, Target: g.info.ID, Node: g.node.id, Service: g.svc.id,
		Attempt: p.attempt, Why: why})
}

// weigh recomputes the evidence of the requests in progress on all targets.
func (t *Tracker) weigh(now time.Time) {
	for _, n := range t.nodeOrder {
		n.overdue = 0
	}
	for _, g := range t.order {
		g.overdue = 0
		if len(g.progress) > 0 {
			t.weighTarget(now, g)
		}
	}
}

func (t *Tracker) weighTarget(now time.Time, g *target) {
	if t.o.off.overdue {
		return
	}
	for i := range g.progress {
		p := &g.progress[i]
		p.counted = nil
		t.weighOne(now, g, p)
	}
	for i := range g.progress {
		p := &g.progress[i]
		if p.late {
			g.svc.touched = true
		}
		if p.age == 0 {
			continue
		}
		if p.stale && !t.o.off.stale {
			continue
		}
		if !t.ofPath(g, *p) {
			if t.unconfirmed(now, g, p) {
				continue
			}
			g.countOverdue(p)
			continue
		}
		g.node.overdue += p.age
		p.counted = &g.node.overdue
		t.verify(now, g, p)
	}
}

// weighOne sets the evidence of one request in progress by its age. Only the
// gate knows how long it has queued.
func (t *Tracker) weighOne(now time.Time, g *target, p *inProgress) {
	age := now.Sub(p.started) - p.waited
	factor := t.allowance(now, g, p.atTarget)
	p.late = p.class.ratio(age, factor) > 0
	p.age = p.class.progressRatio(age, factor)
}

// othersMost bounds how many attempts of other entries count with one of this
// entry. At few requests/s an entry has one request at a hung target; in the
// demo (5/s per entry and target) a hang took more than 3 s to detect.
const othersMost = 2

// countOverdue adds a request in progress to the evidence on its target. Of
// those that are not yet older than nearly all, one counts: they may wait behind
// the same long request.
func (g *target) countOverdue(p *inProgress) {
	if p.age < tailRatio[2] {
		for i := range g.progress {
			if q := &g.progress[i]; q.counted == &g.overdue && q.age < tailRatio[2] {
				return
			}
		}
	}
	p.age *= float64(1 + min(p.others, othersMost))
	g.overdue += p.age
	p.counted = &g.overdue
}

// unconfirmed asks the gate about an overdue attempt, which may be queued there
// or whose connection may have gone silent, and reports whether the answer is
// still to come.
func (t *Tracker) unconfirmed(now time.Time, g *target, p *inProgress) bool {
	if p.atTarget || t.o.off.stale {
		return false
	}
	if p.verifyAt.IsZero() {
		p.verifyAt = now
		t.emit(Change{Kind: VerifyAttempt, Target: g.info.ID, Node: g.node.id, Service: g.svc.id, Attempt: p.attempt,
			Why: "no answer within the usual latency while the gate answers others"})
	}
	return now.Sub(p.verifyAt) < t.o.VerifyTimeout
}

// verify asks the gate on a new connection for the attempt's status, so that a
// silent connection, a silent path and a hung target can be told apart before
// anything is ejected. One query per node is open at a time.
func (t *Tracker) verify(now time.Time, g *target, p *inProgress) {
	n := g.node
	if n.verifying || !p.verifyAt.IsZero() || n.out || now.Sub(n.verifyAt) < t.o.VerifyTimeout {
		return
	}
	n.verifying, n.verifyAt, p.verifyAt = true, now, now
	t.emit(Change{Kind: VerifyAttempt, Target: g.info.ID, Node: n.id, Service: g.svc.id, Attempt: p.attempt,
		Why: "no answer within the usual latency and no other answer of the gate"})
}

// pathDown judges the path to a node. Silence on connections opened earlier is
// not enough: a new connection must have failed or not answered in time.
func (t *Tracker) pathDown(now time.Time, n *node) bool {
	if n.score() < t.o.Threshold {
		return false
	}
	return n.refused || t.o.off.stale || (n.verifying && now.Sub(n.verifyAt) >= t.o.VerifyTimeout)
}

// judgePaths updates paths and failure domains.
func (t *Tracker) judgePaths(now time.Time) {
	for _, n := range t.nodeOrder {
		n.decay(now, t.o)
		switch {
		case !n.out && t.pathDown(now, n):
			n.leave(now)
			t.emit(Change{Kind: PathDown, Node: n.id, Domain: n.dom.id, Why: "the gate is silent"})
			n.touch()
		case n.out && n.mayReturn(now, t.o):
			n.out, n.returnedAt, n.sum = false, now, 0
			t.emit(Change{Kind: PathUp, Node: n.id, Domain: n.dom.id, Why: "the gate answers again"})
			n.touch()
		}
	}
	if t.o.off.domain {
		return
	}
	for _, d := range t.domainOrder {
		t.judgeDomain(now, d)
	}
}

func (n *node) touch() {
	for _, g := range n.targets {
		g.svc.touched = true
	}
}

// activeFor is how long after the last attempt a path counts towards the state
// of its failure domain.
const activeFor = 10 * time.Second

func (t *Tracker) judgeDomain(now time.Time, d *domain) {
	active, silent := 0, 0
	for _, n := range d.nodes {
		if !n.out && now.Sub(n.sentAt) > activeFor {
			continue
		}
		active++
		if n.out || n.score() >= t.o.Threshold/2 {
			silent++
		}
	}
	unreachable := silent >= 2 && float64(silent) >= t.o.DomainSilentShare*float64(active)
	if unreachable == d.unreachable {
		return
	}
	d.unreachable = unreachable
	kind, why := DomainReachable, "gates of the domain answer again"
	if unreachable {
		kind, why = DomainUnreachable, "most gates of the domain are silent at once"
	}
	t.emit(Change{Kind: kind, Domain: d.id, Why: why})
	for _, n := range d.nodes {
		n.touch()
	}
}
