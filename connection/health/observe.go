package health

import (
	"math"
	"time"
)

// Evidence of faults that healthy targets hardly ever show.
const (
	corruptRatio   = 10.0
	crashRatio     = 6.0
	refusedRatio   = 10.0 // connection refused or reset
	probeBadRatio  = 3.0
	probeGoodRatio = -0.3
	// outSuccess is the factor by which a success of an ejected target shrinks
	// its sum.
	outSuccess = 0.4
)

// Observe adds one observation and returns what changed. Evidence on unknown
// targets is dropped.
func (t *Tracker) Observe(now time.Time, e Evidence) []Change {
	t.begin(now)
	g := t.targets[e.Target]
	if g == nil {
		return t.changes
	}
	switch e.Kind {
	case Started:
		t.started(now, g, e)
	case Finished:
		t.finished(now, g, e)
	case Cancelled:
		t.abandoned(now, g, e)
	case Probe:
		t.probed(now, g, e)
	case Hint:
		g.hint, g.hintAt = math.Min(math.Max(e.Value, 0), 1), now
		if t.o.off.hintRule && e.Value == 0 {
			add(&g.hard, 2*t.o.Threshold, 2*t.o.Threshold)
		}
	case RemoteReport:
		g.addReport(now, e.Report, t.o)
	case GateStatus:
		t.gateStatus(now, g, e)
	case CrashRetracted:
		add(&g.crash, -crashRatio, 2*t.o.Threshold)
	}
	// Ordinary answers on a target without suspicion change no judgement.
	if g.traffic() > 0 || g.probe > 0 || g.node.score() > 0 || e.Kind >= Hint {
		g.svc.touched = true
	}
	if t.urgent(now, g) {
		t.evaluate(now, g.svc)
	}
	return t.changes
}

// urgent reports whether the judgement on g may change before the next tick.
func (t *Tracker) urgent(now time.Time, g *target) bool {
	return !g.out && !g.distrusted && g.score(now, t.o) >= t.o.Threshold
}

func (t *Tracker) started(now time.Time, g *target, e Evidence) {
	g.node.sentAt = now
	g.progress = append(g.progress, inProgress{
		attempt: e.Attempt, class: g.svc.class(e.Class), started: now, connectedAt: e.ConnectedAt,
	})
}

func (t *Tracker) finished(now time.Time, g *target, e Evidence) {
	p := inProgress{class: g.svc.class(e.Class), started: now.Add(-e.Duration)}
	if i := g.find(e.Attempt); i >= 0 {
		p = g.remove(i)
	} else if e.Attempt != 0 {
		p.void = true // it was sent to an earlier incarnation
	}
	if e.Trickle {
		g.trickleBusy = false
	}
	if e.Fault.ofPath() {
		t.pathFault(now, g, e, p)
		return
	}
	t.heard(now, g.node)
	if p.void || e.Fault == Refused {
		return
	}
	limit := 2 * t.o.Threshold
	own := t.callers.observe(now, e.Caller, g, e.Fault == Error)
	if own && !t.o.off.callers && !g.out {
		return
	}
	switch e.Fault {
	case NoFault:
		t.answered(now, g, e, p)
	case Error:
		g.bad++
		g.svc.counted(g, true)
		g.recent.add(counts{all: 1, errors: 1}, 1)
		add(&g.errors, g.errorRatio, limit)
	case Timeout:
		g.bad++
		t.addSlow(g, math.Max(p.class.ratio(e.judged(), t.allowance(now, g, e.Service > 0)), 0))
	case Corrupt:
		g.bad++
		add(&g.hard, corruptRatio, limit)
	case Crash:
		add(&g.crash, crashRatio, limit)
	}
	if g.out && e.Fault != NoFault {
		g.successes = 0
	}
}

func (t *Tracker) answered(now time.Time, g *target, e Evidence, p inProgress) {
	g.good++
	if e.Load.Limit > 0 {
		g.queue, g.queueAt = float64(e.Load.Queued)/float64(e.Load.Limit), now
		g.svc.queue += queueWeight * (g.queue - g.svc.queue)
	}
	g.svc.counted(g, false)
	ratio := p.class.ratio(e.judged(), t.allowance(now, g, e.Service > 0))
	if g.out || g.node.out {
		if ratio <= 0 {
			g.successes++
			for _, sum := range []*float64{&g.errors, &g.slow, &g.hard, &g.crash, &g.probe} {
				*sum *= outSuccess
			}
		} else {
			g.successes = 0
		}
		return
	}
	t.addSlow(g, ratio)
	for _, sum := range []*float64{&g.errors, &g.hard, &g.crash} {
		add(sum, goodRatio, 2*t.o.Threshold)
	}
	g.samples = append(g.samples, sample{class: p.class, bucket: latencyBucket(e.judged()), at: now})
	for i := range g.progress {
		q := &g.progress[i]
		if e.ConnectedAt.After(q.started) {
			q.newOK = true
		} else if p.started.After(q.started) {
			q.oldOK = true
		}
	}
}

// abandoned counts a cancelled attempt by the time it had taken. Without this a
// hung target that hedges and impatient callers hide would stay in rotation.
func (t *Tracker) abandoned(now time.Time, g *target, e Evidence) {
	i := g.find(e.Attempt)
	if i < 0 {
		return
	}
	p := g.remove(i)
	if e.Trickle {
		g.trickleBusy = false
		g.successes = 0
	}
	if p.void || t.excused(g, p) {
		return
	}
	r := p.class.ratio(now.Sub(p.started)-p.waited, t.allowance(now, g, p.atTarget))
	switch {
	case r <= 0:
	case t.ofPath(g, p):
		add(&g.node.sum, r, 2*t.o.Threshold)
	case p.atTarget:
		t.addSlow(g, r)
	}
	// An attempt that was not verified may have queued at the gate; at a demand
	// peak, hedged ones made two entries' reports eject healthy targets.
}

// addSlow counts a request by its duration.
func (t *Tracker) addSlow(g *target, ratio float64) {
	c := counts{all: 1}
	if ratio > 0 {
		c.slow = 1
	}
	g.recent.add(c, 1)
	add(&g.slow, ratio, 2*t.o.Threshold)
}

func (t *Tracker) probed(now time.Time, g *target, e Evidence) {
	if e.Fault.ofPath() {
		if e.Fault == ConnectionRefused {
			g.node.refused = true
		}
		add(&g.node.sum, probeBadRatio, 2*t.o.Threshold)
		return
	}
	t.heard(now, g.node)
	if e.Fault == NoFault {
		g.goodProbes++
		add(&g.probe, probeGoodRatio, t.o.Threshold)
		return
	}
	g.goodProbes = 0
	if e.Fault != Refused {
		add(&g.probe, probeBadRatio, 2*t.o.Threshold)
	}
}

const (
	// queueExpiry is how long a reported queue explains slowness, and
	// queueMost the greatest factor it explains: a hung target also has a queue.
	queueExpiry = time.Second
	queueMost   = 4.0
	// queueWeight of one answer in the mean queue of the service.
	queueWeight = 0.05
)

// allowance is how many times slower than its peers the target may be: for a
// cold start and, unless the time is that at the target, for a queue at its
// gate.
func (t *Tracker) allowance(now time.Time, g *target, atTarget bool) float64 {
	factor := 1.0
	if !atTarget && !t.o.off.queue {
		// When all gates queue, so does one whose last report is old.
		queue := g.svc.queue
		if now.Sub(g.queueAt) < queueExpiry {
			queue = math.Max(queue, g.queue)
		}
		factor = math.Min(1+queue, queueMost)
	}
	if now.Before(g.coldUntil) && !t.o.off.cold {
		factor = math.Max(factor, t.o.ColdFactor)
	}
	return factor
}

// errorRatio is the evidence of one error when peers fail at the given rate: a
// failing target fails half of its requests. Twice the peers' rate is normal.
func errorRatio(peers float64) float64 {
	const leastRate = 0.001
	return math.Max(math.Log(0.5/math.Max(2*peers, leastRate)), 0)
}

// addReport keeps the latest report of each other entry.
func (g *target) addReport(now time.Time, r Report, o Options) {
	if g.incarnationChanged(r.Incarnation) {
		return
	}
	share := math.Min(math.Max(r.Suspicion, 0), 1)
	keep := g.reports[:0]
	for _, old := range g.reports {
		if old.from != r.From && now.Sub(old.at) < o.ReportExpiry {
			keep = append(keep, old)
		}
	}
	g.reports = append(keep, reportOf{from: r.From, score: share * o.Threshold, at: now})
	if len(g.reports) > maxReports {
		g.reports = g.reports[1:]
	}
}

// maxReports bounds the reports kept per target.
const maxReports = 16
