package health

import (
	"math"
	"time"
)

// score returns the evidence that the path to the node's gate is failing.
func (n *node) score() float64 { return n.pathSum + n.overdueSum }

// gateResponded records a response of the gate, which shows that the path works.
func (t *Tracker) gateResponded(now time.Time, n *node) {
	n.lastResponseAt, n.newConnFailed, n.statusPending = now, false, false
	if n.ejected || n.dom.unreachable {
		n.pathSum *= ejectedSuccessFactor
		n.consecutiveSuccesses++
		return
	}
	addEvidence(&n.pathSum, goodRatio, 2*t.opts.Threshold)
}

// pathFault counts an attempt that ended without a response of the gate.
func (t *Tracker) pathFault(now time.Time, tgt *target, e Evidence, pending pendingAttempt) {
	n := tgt.node
	if tgt.ejected {
		tgt.consecutiveSuccesses = 0
	}
	if pending.excluded || t.concernsConnectionOnly(tgt, pending) {
		return
	}
	limit := 2 * t.opts.Threshold
	ratio := corruptRatio
	switch e.Fault {
	case ConnectionRefused:
		// A reused connection that breaks may have been closed while idle; only
		// a new connection shows the state of the gate.
		if pending.connectedAt.IsZero() || !pending.connectedAt.Before(pending.started) {
			n.newConnFailed = true
		}
		ratio = refusedRatio
	case GateUnresponsive:
		ratio = math.Max(pending.class.ratio(e.Duration, t.allowance(now, tgt, pending.atTarget)), 0)
	case PathCorrupt:
		n.newConnFailed = true
	}
	if e.Fault == GateUnresponsive && pending.atGate && !pending.atTarget {
		return // it queued at the gate until its timeout
	}
	n.consecutiveSuccesses = 0
	if t.opts.disabled.path || (e.Fault == GateUnresponsive && pending.atGate) {
		tgt.badCount++
		addEvidence(&tgt.severeSum, ratio, limit)
		return
	}
	addEvidence(&n.pathSum, ratio, limit)
}

// concernsPath reports whether an attempt without a response is evidence on the
// path rather than on the target: the gate has sent nothing since the attempt
// should have ended.
func (t *Tracker) concernsPath(tgt *target, pending pendingAttempt) bool {
	dueAt := pending.started.Add(pending.class.thresholds[0])
	return !t.opts.disabled.path && !pending.atGate && !tgt.node.lastResponseAt.After(dueAt)
}

// concernsConnectionOnly reports whether an attempt without a response is evidence
// neither on the target nor on the path, as only its connection was lost.
func (t *Tracker) concernsConnectionOnly(tgt *target, pending pendingAttempt) bool {
	if t.opts.disabled.stale {
		return false
	}
	return pending.connLost || (pending.newerConnOK && !pending.olderConnOK && !pending.atGate && !tgt.newerConnOverdue(pending))
}

// newerConnOverdue reports whether an attempt on a connection that was opened
// later is overdue too: then the cause is not the connection of pending.
func (tgt *target) newerConnOverdue(pending pendingAttempt) bool {
	for i := range tgt.pending {
		other := &tgt.pending[i]
		if other.connectedAt.After(pending.started) && other.ageEvidence > 0 {
			return true
		}
	}
	return false
}

// gateStatus applies the result of a status query: the attempt is queued, or runs
// at the target, or was lost with its connection.
func (t *Tracker) gateStatus(now time.Time, tgt *target, e Evidence) {
	i := tgt.findPending(e.Attempt)
	if e.Fault.concernsPath() {
		if e.Fault == ConnectionRefused {
			tgt.node.newConnFailed = true
		}
		return
	}
	t.gateResponded(now, tgt.node)
	if i < 0 {
		return
	}
	pending := &tgt.pending[i]
	if e.Running {
		pending.atGate = true
		pending.atTarget, pending.otherAttempts = e.Service > 0, e.OtherAttempts
		pending.queuedFor = now.Sub(pending.started) - e.Service
		if !pending.atTarget {
			// Time in the queue is not the target's slowness. The gate is queried
			// again when the time since then is too long as well.
			pending.statusRequestedAt = time.Time{}
		}
		t.updateAgeEvidence(now, tgt, pending)
		if pending.countedIn == nil && pending.ageEvidence > 0 {
			tgt.countOverdue(pending)
		}
		return
	}
	if !pending.connLost {
		pending.connLost = true
		t.requestReplacement(tgt, pending, "the gate does not have the attempt, or has finished it")
	}
}

func (t *Tracker) requestReplacement(tgt *target, pending *pendingAttempt, why string) {
	if t.opts.disabled.stale {
		return
	}
	t.emit(Change{Kind: ReplaceConnection, Target: tgt.info.ID, Node: tgt.node.id, Service: tgt.svc.id,
		Attempt: pending.attempt, Why: why})
}

// updateOverdue recomputes the evidence from the requests in progress at all
// targets.
func (t *Tracker) updateOverdue(now time.Time) {
	for _, n := range t.nodeOrder {
		n.overdueSum = 0
	}
	for _, tgt := range t.targetOrder {
		tgt.overdueSum = 0
		if len(tgt.pending) > 0 {
			t.updateTargetOverdue(now, tgt)
		}
	}
}

func (t *Tracker) updateTargetOverdue(now time.Time, tgt *target) {
	if t.opts.disabled.overdue {
		return
	}
	for i := range tgt.pending {
		pending := &tgt.pending[i]
		pending.countedIn = nil
		t.updateAgeEvidence(now, tgt, pending)
	}
	for i := range tgt.pending {
		pending := &tgt.pending[i]
		if pending.slow {
			tgt.svc.needsEvaluation = true
		}
		if pending.ageEvidence == 0 {
			continue
		}
		if pending.connLost && !t.opts.disabled.stale {
			continue
		}
		if !t.concernsPath(tgt, *pending) {
			if t.awaitingStatus(now, tgt, pending) {
				continue
			}
			tgt.countOverdue(pending)
			continue
		}
		tgt.node.overdueSum += pending.ageEvidence
		pending.countedIn = &tgt.node.overdueSum
		t.verifyPath(now, tgt, pending)
	}
}

// updateAgeEvidence sets the evidence of one request in progress from its age,
// without the time for which it queued, as far as the gate has reported it.
func (t *Tracker) updateAgeEvidence(now time.Time, tgt *target, pending *pendingAttempt) {
	age := now.Sub(pending.started) - pending.queuedFor
	factor := t.allowance(now, tgt, pending.atTarget)
	pending.slow = pending.class.ratio(age, factor) > 0
	pending.ageEvidence = pending.class.pendingRatio(age, factor)
}

// maxOtherAttempts is the largest number of other attempts at the target that
// count along with one of this entry. At few requests/s an entry has only one
// request at a hung target: in the demo, at 5/s per entry and target, a hang took
// more than 3 s to detect.
const maxOtherAttempts = 2

// countOverdue adds a request in progress to the evidence on its target. Of the
// requests below the highest latency threshold only one counts, since they may
// wait behind the same long request.
func (tgt *target) countOverdue(pending *pendingAttempt) {
	if pending.ageEvidence < tailRatio[2] {
		for i := range tgt.pending {
			if other := &tgt.pending[i]; other.countedIn == &tgt.overdueSum && other.ageEvidence < tailRatio[2] {
				return
			}
		}
	}
	pending.ageEvidence *= float64(1 + min(pending.otherAttempts, maxOtherAttempts))
	tgt.overdueSum += pending.ageEvidence
	pending.countedIn = &tgt.overdueSum
}

// awaitingStatus queries the gate for the status of an overdue attempt, which may
// be queued there or whose connection may be lost, and reports whether the
// response may still come.
func (t *Tracker) awaitingStatus(now time.Time, tgt *target, pending *pendingAttempt) bool {
	if pending.atTarget || t.opts.disabled.stale {
		return false
	}
	if pending.statusRequestedAt.IsZero() {
		pending.statusRequestedAt = now
		t.emit(Change{Kind: VerifyAttempt, Target: tgt.info.ID, Node: tgt.node.id, Service: tgt.svc.id, Attempt: pending.attempt,
			Why: "no response within the usual latency while the gate responds to other attempts"})
	}
	return now.Sub(pending.statusRequestedAt) < t.opts.VerifyTimeout
}

// verifyPath queries the gate on a new connection for the status of an attempt, so
// that a lost connection, a failed path and a hung target are told apart before
// anything is ejected. Each node has one query in progress at a time.
func (t *Tracker) verifyPath(now time.Time, tgt *target, pending *pendingAttempt) {
	n := tgt.node
	if n.statusPending || !pending.statusRequestedAt.IsZero() || n.ejected || now.Sub(n.statusRequestedAt) < t.opts.VerifyTimeout {
		return
	}
	n.statusPending, n.statusRequestedAt, pending.statusRequestedAt = true, now, now
	t.emit(Change{Kind: VerifyAttempt, Target: tgt.info.ID, Node: n.id, Service: tgt.svc.id, Attempt: pending.attempt,
		Why: "no response within the usual latency and no other response of the gate"})
}

// pathDown reports whether the path to a node is down. Missing responses on
// connections opened earlier are not enough: a new connection must have failed, or
// a status query on it must have timed out.
func (t *Tracker) pathDown(now time.Time, n *node) bool {
	if n.score() < t.opts.Threshold {
		return false
	}
	return n.newConnFailed || t.opts.disabled.stale || (n.statusPending && now.Sub(n.statusRequestedAt) >= t.opts.VerifyTimeout)
}

// updatePaths updates the states of paths and failure domains.
func (t *Tracker) updatePaths(now time.Time) {
	for _, n := range t.nodeOrder {
		n.decay(now, t.opts)
		switch {
		case !n.ejected && t.pathDown(now, n):
			n.startEjection(now)
			t.emit(Change{Kind: PathDown, Node: n.id, Domain: n.dom.id, Why: "the gate is unresponsive"})
			n.requestEvaluation()
		case n.ejected && n.mayReturn(now, t.opts):
			n.ejected, n.returnedAt, n.pathSum = false, now, 0
			t.emit(Change{Kind: PathUp, Node: n.id, Domain: n.dom.id, Why: "the gate responds again"})
			n.requestEvaluation()
		}
	}
	if t.opts.disabled.domain {
		return
	}
	for _, d := range t.domainOrder {
		t.updateDomain(now, d)
	}
}

// requestEvaluation has the services of the node's targets evaluated at this tick.
func (n *node) requestEvaluation() {
	for _, tgt := range n.targets {
		tgt.svc.needsEvaluation = true
	}
}

// activeFor is how long after its last attempt a path counts for the state of its
// failure domain.
const activeFor = 10 * time.Second

func (t *Tracker) updateDomain(now time.Time, d *domain) {
	active, unresponsive := 0, 0
	for _, n := range d.nodes {
		if !n.ejected && now.Sub(n.lastSentAt) > activeFor {
			continue
		}
		active++
		if n.ejected || n.score() >= t.opts.Threshold/2 {
			unresponsive++
		}
	}
	unreachable := unresponsive >= 2 && float64(unresponsive) >= t.opts.DomainUnresponsiveShare*float64(active)
	if unreachable == d.unreachable {
		return
	}
	d.unreachable = unreachable
	kind, why := DomainReachable, "gates of the domain respond again"
	if unreachable {
		kind, why = DomainUnreachable, "most gates of the domain are unresponsive at once"
	}
	t.emit(Change{Kind: kind, Domain: d.id, Why: why})
	for _, n := range d.nodes {
		n.requestEvaluation()
	}
}
