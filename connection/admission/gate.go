package admission

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// Controller admits work to the targets of one node.
type Controller struct {
	o        Options
	r        invariant.Reporter
	targets  map[string]*target
	items    map[Ticket]*item
	last     Ticket
	gens     int // target generations given out, never used twice
	draining bool
	ticked   time.Time
}

// New returns a Controller without targets.
func New(o Options, r invariant.Reporter) *Controller {
	return &Controller{o: o.withDefaults(), r: r, targets: map[string]*target{}, items: map[Ticket]*item{}}
}

// SetTarget adds a target or changes its settings and returns waiting work
// that starts or is refused now. A new incarnation frees the slots of the old
// process and ends its drain.
func (g *Controller) SetTarget(now time.Time, s Target) []Decision {
	s.Slots = max(1, s.Slots)
	if s.QueueLimit <= 0 {
		s.QueueLimit = g.o.QueuePerSlot * s.Slots
	}
	t := g.targets[s.ID]
	if t == nil {
		g.gens++
		t = newTarget(s, g.gens)
		t.longEvery = g.o.LongEvery
		g.targets[s.ID] = t
	}
	if c := s.Incarnation.Compare(t.Incarnation); c < 0 {
		return nil // an old announcement
	} else if c > 0 {
		g.gens++
		t.restart(g.gens)
	}
	if t.removed { // announced again after its announcement had expired
		t.removed, t.draining = false, false
	}
	t.Target = s
	t.setClasses(s.Classes)
	t.limit = min(max(t.limit, float64(t.floor())), float64(s.Slots))
	return g.dispatch(now, t)
}

// Drain withdraws a target: waiting work is refused, running work finishes.
func (g *Controller) Drain(_ time.Time, id string) DrainResult {
	t := g.targets[id]
	if t == nil {
		return DrainResult{}
	}
	t.draining = true
	res := DrainResult{Running: t.running}
	if g.o.noDrainCheck {
		return res
	}
	for _, it := range slices.Clone(t.queue) {
		res.Refused = append(res.Refused, g.refuse(t, it, attempt.ReasonLeaving, 0))
	}
	return res
}

// DrainAll withdraws all targets, also those announced later, and returns the
// refused work and the requests in progress of the node.
func (g *Controller) DrainAll(now time.Time) DrainResult {
	g.draining = true
	var all DrainResult
	for _, id := range g.targetIDs() {
		res := g.Drain(now, id)
		all.Refused = append(all.Refused, res.Refused...)
		all.Running += res.Running
	}
	return all
}

// Remove drains a target and forgets it when its running work has ended, as
// when its announcement expired. Announced again before that, it keeps its
// running work, so that its slots stay exact.
func (g *Controller) Remove(now time.Time, id string) DrainResult {
	res := g.Drain(now, id)
	if t := g.targets[id]; t != nil {
		t.removed = true
		g.forget(t)
	}
	return res
}

func (g *Controller) forget(t *target) {
	if t.removed && t.running == 0 {
		delete(g.targets, t.ID)
	}
}

func (g *Controller) targetIDs() []string {
	ids := make([]string, 0, len(g.targets))
	for id := range g.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Submit asks to run work. After Start or Queued the ticket ends by Finish,
// Cancel or a refusal.
func (g *Controller) Submit(now time.Time, w Work) Decision {
	g.last++
	it := &item{ticket: g.last, work: w, queuedAt: now}
	if w.ArrivedAt.IsZero() {
		it.work.ArrivedAt = now
	}
	t := g.targets[w.Target]
	switch {
	case t == nil:
		return refusal(it, attempt.ReasonNoTarget, 0)
	case (t.draining || g.draining) && !g.o.noDrainCheck:
		return refusal(it, attempt.ReasonLeaving, 0)
	}
	t.classify(it)
	t.arrive(now, it)
	if reason := g.infeasible(now, t, it, 0); reason != attempt.ReasonNone {
		return refusal(it, reason, 0)
	}
	if w.NoWait && (t.waitingBefore(it) || !g.admits(now, t, it.long)) {
		return refusal(it, attempt.ReasonBusy, 0)
	}
	g.items[it.ticket] = it
	if g.admits(now, t, it.long) && !t.waitingBefore(it) {
		return g.start(now, t, it)
	}
	return g.enqueue(now, t, it)
}

func refusal(it *item, reason attempt.Reason, retry time.Duration) Decision {
	it.refused = true
	return Decision{Kind: Refused, Ticket: it.ticket, Work: it.work, Reason: reason, RetryAfter: retry}
}

// infeasible returns why the work cannot end in time when it starts after wait.
// On an idle target an estimate alone never refuses, so that a wrong estimate
// is corrected by the next run.
func (g *Controller) infeasible(now time.Time, t *target, it *item, wait time.Duration) attempt.Reason {
	d := it.work.Deadline
	if d.IsZero() {
		return attempt.ReasonNone
	}
	if !g.o.noDeadline && !now.Before(d) {
		return attempt.ReasonDeadline
	}
	if !g.o.noRefusal && t.running > 0 && now.Add(wait+it.class.expected(now)).After(d) {
		return attempt.ReasonOverload
	}
	return attempt.ReasonNone
}

func (g *Controller) enqueue(now time.Time, t *target, it *item) Decision {
	it.customer = t.customerOf(it.work.Customer)
	wait := t.expectedWait(now, it)
	margin := it.class.margin(it.work.Deadline.Sub(now) - it.class.expected(now))
	if g.infeasible(now, t, it, wait+margin) != attempt.ReasonNone || it.tooLate(now, wait) {
		delete(g.items, it.ticket)
		return refusal(it, attempt.ReasonOverload, wait)
	}
	var others []Decision
	if len(t.queue) >= t.QueueLimit {
		t.markLate(now)
		victim := t.victim(it, g.o)
		if victim == nil {
			delete(g.items, it.ticket)
			return refusal(it, attempt.ReasonOverload, t.expectedWait(now, it))
		}
		others = append(others, g.refuse(t, victim, attempt.ReasonOverload, t.expectedWait(now, victim)))
	}
	t.push(it)
	return Decision{Kind: Queued, Ticket: it.ticket, Work: it.work, Displaced: others}
}

// tooLate reports that work which starts after wait misses its objective. Such
// work does not queue: the capacity that it would take later is better spent on
// work that arrives by then, and its caller learns at once.
func (it *item) tooLate(now time.Time, wait time.Duration) bool {
	objective := it.class.Objective
	return objective > 0 && now.Add(wait+it.class.expected(now)).Sub(it.work.ArrivedAt) > objective
}

// queuedShare is the part of its objective that work waits at one target. Where
// the slots do not become free as expected, as with work that hangs, another
// target is better.
const queuedShare = 0.4

// overdue reports that work has waited long enough at this target.
func (it *item) overdue(now time.Time) bool {
	objective := it.class.Objective
	return objective > 0 && float64(now.Sub(it.queuedAt)) > queuedShare*float64(objective)
}

// refuse refuses waiting work.
func (g *Controller) refuse(t *target, it *item, reason attempt.Reason, retry time.Duration) Decision {
	if !g.o.keepDisplaced {
		t.remove(it)
		delete(g.items, it.ticket)
	}
	return refusal(it, reason, retry)
}

func (g *Controller) admits(now time.Time, t *target, long bool) bool {
	if g.o.noSlotCheck {
		return true
	}
	if t.running >= g.limit(t) {
		return false
	}
	return !long || g.o.noReserve || t.admitsLong(now, g.limit(t), g.o.BorrowAfter)
}

func (g *Controller) limit(t *target) int {
	if g.o.noAdaptive {
		return t.Slots
	}
	return int(t.limit)
}

func (g *Controller) start(now time.Time, t *target, it *item) Decision {
	d := it.work.Deadline
	g.r.Check(invariant.Leaving, !t.draining && !g.draining, "work %d starts on draining target %s", it.ticket, t.ID)
	g.r.Check(invariant.NotRun, !it.refused, "work %d starts on %s after its refusal", it.ticket, t.ID)
	g.r.Check(invariant.NotRun, d.IsZero() || now.Before(d), "work %d starts on %s after its deadline", it.ticket, t.ID)
	t.started(now, it)
	g.r.Check(SlotsExceeded, t.running <= t.Slots || t.shrunk, "target %s runs %d of %d slots", t.ID, t.running, t.Slots)
	return Decision{Kind: Started, Ticket: it.ticket, Work: it.work, Wait: now.Sub(it.queuedAt)}
}

// dispatch starts waiting work while slots are free and refuses what cannot
// end in time any more.
func (g *Controller) dispatch(now time.Time, t *target) []Decision {
	if (t.draining || g.draining) && !g.o.noDrainCheck {
		return nil
	}
	var out []Decision
	t.markLate(now)
	for {
		for i := len(t.queue) - 1; i >= 0; i-- { // refuse removes the item
			it := t.queue[i]
			if it.refused { // only with the test switch keepDisplaced
				continue
			}
			reason := g.infeasible(now, t, it, 0)
			if reason == attempt.ReasonNone && it.overdue(now) && !g.admits(now, t, it.long) {
				reason = attempt.ReasonOverload
			}
			if reason != attempt.ReasonNone {
				out = append(out, g.refuse(t, it, reason, t.expectedWait(now, it)))
			}
		}
		it := g.next(now, t)
		if it == nil {
			return out
		}
		t.remove(it)
		out = append(out, g.start(now, t, it))
	}
}

// next returns the waiting work that starts now, or nil. Orders go first;
// then long work up to its share, then other short work, then long work that
// borrows.
func (g *Controller) next(now time.Time, t *target) *item {
	if !g.admits(now, t, false) {
		return nil
	}
	short := t.best(false, g.o)
	long := t.best(true, g.o)
	if long != nil && !g.admits(now, t, true) {
		long = nil
	}
	switch {
	case short == nil:
		return long
	case long == nil:
		return short
	case !g.o.noPriority && short.prio == Order && long.prio != Order:
		return short
	case t.runningLong < t.longShare(now, g.limit(t)):
		return long
	}
	return short
}

// Confirm asks for leave to send the first byte of started work. It returns
// false when its deadline has passed or its target is draining since, as after
// a pause of the process; the ticket then ends, its caller gets a refusal, and
// the decisions are those on other work that uses the free slot.
func (g *Controller) Confirm(now time.Time, ticket Ticket) (bool, []Decision) {
	it := g.items[ticket]
	if it == nil || !it.running {
		return false, nil
	}
	t := g.targets[it.work.Target]
	leaving := t == nil || t.draining || g.draining || it.gen != t.gen
	d := it.work.Deadline
	late := !d.IsZero() && !now.Before(d)
	if !(leaving && !g.o.noDrainCheck) && !(late && !g.o.noDeadline) {
		g.r.Check(invariant.Leaving, !leaving, "work %d is sent to draining target %s", ticket, it.work.Target)
		g.r.Check(invariant.NotRun, !late, "work %d is sent to %s after its deadline", ticket, it.work.Target)
		it.started = now
		return true, nil
	}
	return false, g.end(now, it)
}

// Finish ends running work and returns waiting work that starts or is refused
// now. It ends waiting work like Cancel.
func (g *Controller) Finish(now time.Time, ticket Ticket, res Result) []Decision {
	it := g.items[ticket]
	if it == nil {
		return nil
	}
	if !it.running {
		return g.Cancel(now, ticket)
	}
	if t := g.targets[it.work.Target]; t != nil && res.OK && it.gen == t.gen {
		t.observe(now, it)
	}
	return g.end(now, it)
}

func (g *Controller) end(now time.Time, it *item) []Decision {
	delete(g.items, it.ticket)
	t := g.targets[it.work.Target]
	if t == nil {
		return nil
	}
	t.ended(it)
	g.forget(t)
	return g.dispatch(now, t)
}

// Cancel ends waiting work; it never ran. Running work keeps its slot until
// Finish.
func (g *Controller) Cancel(now time.Time, ticket Ticket) []Decision {
	it := g.items[ticket]
	if it == nil || it.running {
		return nil
	}
	delete(g.items, ticket)
	t := g.targets[it.work.Target]
	if t == nil {
		return nil
	}
	t.remove(it)
	return g.dispatch(now, t)
}

// Tick refuses waiting work that cannot end in time any more and starts long
// work that may borrow. It is due every 10 ms.
func (g *Controller) Tick(now time.Time) []Decision {
	paused := !g.ticked.IsZero() && now.Sub(g.ticked) > g.o.PauseThreshold
	g.ticked = now
	var out []Decision
	for _, id := range g.targetIDs() {
		t := g.targets[id]
		if paused {
			t.voidWindow()
		}
		out = append(out, g.dispatch(now, t)...)
	}
	return out
}

// Load returns the load of a target for the answer header.
func (g *Controller) Load(id string) attempt.Load {
	t := g.targets[id]
	if t == nil {
		return attempt.Load{}
	}
	return attempt.Load{Slots: t.Slots, Limit: g.limit(t), Running: t.running, Queued: len(t.queue),
		RunningLong: t.runningLong, QueuedLong: t.queuedLong}
}

// ExpectedServiceTime returns the usual service time of a class at a target, 0 when it is
// not known.
func (g *Controller) ExpectedServiceTime(id, class string, long bool) time.Duration {
	t := g.targets[id]
	if t == nil {
		return 0
	}
	c := t.classes[classKey{class, t.Classes[class].Long || long}]
	if c == nil {
		return 0
	}
	return time.Duration(c.service.value * float64(time.Second))
}
