package health

import (
	"math"
	"time"
)

// Log-likelihood ratios of probes, and of faults that healthy targets hardly ever
// show.
const (
	corruptRatio   = 10.0
	crashRatio     = 6.0
	refusedRatio   = 10.0 // connection refused or reset
	probeBadRatio  = 3.0
	probeGoodRatio = -0.3
	// ejectedSuccessFactor is the factor by which a success of an ejected target
	// or path shrinks its sums.
	ejectedSuccessFactor = 0.4
)

// Observe adds one observation and returns the resulting changes. It drops
// evidence on unknown targets.
func (t *Tracker) Observe(now time.Time, e Evidence) []Change {
	t.startCall(now)
	tgt := t.targets[e.Target]
	if tgt == nil {
		return t.changes
	}
	switch e.Kind {
	case Started:
		t.started(now, tgt, e)
	case Finished:
		t.finished(now, tgt, e)
	case Cancelled:
		t.cancelled(now, tgt, e)
	case Probe:
		t.probed(now, tgt, e)
	case Hint:
		tgt.hint, tgt.hintAt = math.Min(math.Max(e.Value, 0), 1), now
		if t.opts.disabled.hintRule && e.Value == 0 {
			addEvidence(&tgt.severeSum, 2*t.opts.Threshold, 2*t.opts.Threshold)
		}
	case RemoteReport:
		tgt.addReport(now, e.Report, t.opts)
	case GateStatus:
		t.gateStatus(now, tgt, e)
	case CrashRetracted:
		addEvidence(&tgt.crashSum, -crashRatio, 2*t.opts.Threshold)
	}
	// An ordinary response of a target without suspicion changes no state.
	if tgt.trafficEvidence() > 0 || tgt.probeSum > 0 || tgt.node.score() > 0 || e.Kind >= Hint {
		tgt.svc.needsEvaluation = true
	}
	if t.urgent(now, tgt) {
		t.evaluate(now, tgt.svc)
	}
	return t.changes
}

// urgent reports whether tgt may have to be ejected before the next tick.
func (t *Tracker) urgent(now time.Time, tgt *target) bool {
	return !tgt.ejected && !tgt.ejectionBlocked && tgt.score(now, t.opts) >= t.opts.Threshold
}

func (t *Tracker) started(now time.Time, tgt *target, e Evidence) {
	tgt.node.lastSentAt = now
	tgt.pending = append(tgt.pending, pendingAttempt{
		attempt: e.Attempt, class: tgt.svc.class(e.Class), started: now, connectedAt: e.ConnectedAt,
	})
}

func (t *Tracker) finished(now time.Time, tgt *target, e Evidence) {
	pending := pendingAttempt{class: tgt.svc.class(e.Class), started: now.Add(-e.Duration)}
	if i := tgt.findPending(e.Attempt); i >= 0 {
		pending = tgt.removePending(i)
	} else if e.Attempt != 0 {
		pending.excluded = true // it was sent to an earlier incarnation
	}
	if e.Trickle {
		tgt.trickleInProgress = false
	}
	if e.Fault.concernsPath() {
		t.pathFault(now, tgt, e, pending)
		return
	}
	t.gateResponded(now, tgt.node)
	if pending.excluded || e.Fault == Refused {
		return
	}
	limit := 2 * t.opts.Threshold
	callerFault := t.callers.observe(now, e.Caller, tgt, e.Fault == Error)
	if callerFault && !t.opts.disabled.callers && !tgt.ejected {
		return
	}
	switch e.Fault {
	case NoFault:
		t.succeeded(now, tgt, e, pending)
	case Error:
		tgt.badCount++
		tgt.svc.countResponse(tgt, true)
		tgt.recent.add(counts{all: 1, errors: 1}, 1)
		addEvidence(&tgt.errorSum, tgt.errorRatio, limit)
	case Timeout:
		tgt.badCount++
		t.addSlow(tgt, math.Max(pending.class.ratio(e.slownessDuration(), t.allowance(now, tgt, e.Service > 0)), 0))
	case Corrupt:
		tgt.badCount++
		addEvidence(&tgt.severeSum, corruptRatio, limit)
	case Crash:
		addEvidence(&tgt.crashSum, crashRatio, limit)
	}
	if tgt.ejected && e.Fault != NoFault {
		tgt.consecutiveSuccesses = 0
	}
}

func (t *Tracker) succeeded(now time.Time, tgt *target, e Evidence, pending pendingAttempt) {
	tgt.goodCount++
	if e.Load.Limit > 0 {
		tgt.queuePerSlot, tgt.queueReportedAt = float64(e.Load.Queued)/float64(e.Load.Limit), now
		tgt.svc.queuePerSlot += queueWeight * (tgt.queuePerSlot - tgt.svc.queuePerSlot)
	}
	tgt.svc.countResponse(tgt, false)
	ratio := pending.class.ratio(e.slownessDuration(), t.allowance(now, tgt, e.Service > 0))
	if tgt.ejected || tgt.node.ejected {
		if ratio <= 0 {
			tgt.consecutiveSuccesses++
			for _, sum := range []*float64{&tgt.errorSum, &tgt.slowSum, &tgt.severeSum, &tgt.crashSum, &tgt.probeSum} {
				*sum *= ejectedSuccessFactor
			}
		} else {
			tgt.consecutiveSuccesses = 0
		}
		return
	}
	t.addSlow(tgt, ratio)
	for _, sum := range []*float64{&tgt.errorSum, &tgt.severeSum, &tgt.crashSum} {
		addEvidence(sum, goodRatio, 2*t.opts.Threshold)
	}
	tgt.samples = append(tgt.samples, sample{class: pending.class, bucket: latencyBucket(e.slownessDuration()), finishedAt: now})
	for i := range tgt.pending {
		other := &tgt.pending[i]
		if e.ConnectedAt.After(other.started) {
			other.newerConnOK = true
		} else if pending.started.After(other.started) {
			other.olderConnOK = true
		}
	}
}

// cancelled counts a cancelled attempt by the time that it had taken. Otherwise a
// hung target would stay in rotation when hedges and callers that give up early
// cancel its requests before they time out.
func (t *Tracker) cancelled(now time.Time, tgt *target, e Evidence) {
	i := tgt.findPending(e.Attempt)
	if i < 0 {
		return
	}
	pending := tgt.removePending(i)
	if e.Trickle {
		tgt.trickleInProgress = false
		tgt.consecutiveSuccesses = 0
	}
	if pending.excluded || t.concernsConnectionOnly(tgt, pending) {
		return
	}
	ratio := pending.class.ratio(now.Sub(pending.started)-pending.queuedFor, t.allowance(now, tgt, pending.atTarget))
	switch {
	case ratio <= 0:
	case t.concernsPath(tgt, pending):
		addEvidence(&tgt.node.pathSum, ratio, 2*t.opts.Threshold)
	case pending.atTarget:
		t.addSlow(tgt, ratio)
	}
	// An attempt without a status response may have queued at the gate. When such
	// hedged attempts were evidence at a demand peak, the reports of two entries
	// ejected healthy targets.
}

// addSlow adds the evidence from the duration of a request.
func (t *Tracker) addSlow(tgt *target, ratio float64) {
	c := counts{all: 1}
	if ratio > 0 {
		c.slow = 1
	}
	tgt.recent.add(c, 1)
	addEvidence(&tgt.slowSum, ratio, 2*t.opts.Threshold)
}

func (t *Tracker) probed(now time.Time, tgt *target, e Evidence) {
	if e.Fault.concernsPath() {
		if e.Fault == ConnectionRefused {
			tgt.node.newConnFailed = true
		}
		addEvidence(&tgt.node.pathSum, probeBadRatio, 2*t.opts.Threshold)
		return
	}
	t.gateResponded(now, tgt.node)
	if e.Fault == NoFault {
		tgt.goodProbes++
		addEvidence(&tgt.probeSum, probeGoodRatio, t.opts.Threshold)
		return
	}
	tgt.goodProbes = 0
	if e.Fault != Refused {
		addEvidence(&tgt.probeSum, probeBadRatio, 2*t.opts.Threshold)
	}
}

const (
	// queueExpiry is how long a reported queue is taken to explain slowness, and
	// maxQueueFactor the largest factor that it explains: a hung target also has a
	// queue.
	queueExpiry    = time.Second
	maxQueueFactor = 4.0
	// queueWeight is the weight of one response in the mean queue of the service.
	queueWeight = 0.05
)

// allowance returns how many times slower than its peers the target may be: for a
// cold start and, unless the duration was measured at the target, for a queue at
// its gate.
func (t *Tracker) allowance(now time.Time, tgt *target, atTarget bool) float64 {
	factor := 1.0
	if !atTarget && !t.opts.disabled.queue {
		// When requests queue at all gates, they do so also at a gate whose last
		// report is old.
		queue := tgt.svc.queuePerSlot
		if now.Sub(tgt.queueReportedAt) < queueExpiry {
			queue = math.Max(queue, tgt.queuePerSlot)
		}
		factor = math.Min(1+queue, maxQueueFactor)
	}
	if now.Before(tgt.coldUntil) && !t.opts.disabled.cold {
		factor = math.Max(factor, t.opts.ColdFactor)
	}
	return factor
}

// errorRatio returns the evidence of one error when the peers fail at the given
// rate. A failing target is taken to fail half of its requests; twice the rate of
// the peers is normal.
func errorRatio(peerRate float64) float64 {
	const minRate = 0.001
	return math.Max(math.Log(0.5/math.Max(2*peerRate, minRate)), 0)
}

// addReport stores the report of another entry in place of its previous one, and
// drops expired reports.
func (tgt *target) addReport(now time.Time, r Report, o Options) {
	if tgt.incarnationChanged(r.Incarnation) {
		return
	}
	share := math.Min(math.Max(r.Suspicion, 0), 1)
	kept := tgt.reports[:0]
	for _, old := range tgt.reports {
		if old.from != r.From && now.Sub(old.receivedAt) < o.ReportExpiry {
			kept = append(kept, old)
		}
	}
	tgt.reports = append(kept, receivedReport{from: r.From, score: share * o.Threshold, receivedAt: now})
	if len(tgt.reports) > maxReports {
		tgt.reports = tgt.reports[1:]
	}
}

// maxReports is the largest number of reports kept per target.
const maxReports = 16
