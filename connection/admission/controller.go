package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// Controller admits work to the targets of one node.
type Controller struct {
	options        Options
	reporter       invariant.Reporter
	targets        map[string]*target
	submissions    map[Ticket]*submission
	lastTicket     Ticket
	lastGeneration int // of any target; a generation is never used twice
	draining       bool
	handover       *Handover // nil unless BeginDrain was called
	lastTick       time.Time
}

// New returns a Controller without targets.
func New(o Options, r invariant.Reporter) *Controller {
	return &Controller{options: o.withDefaults(), reporter: r, targets: map[string]*target{}, submissions: map[Ticket]*submission{}}
}

// SetTarget adds a target or changes its settings and returns the decisions on
// waiting work that starts or is refused now. A new incarnation frees the slots
// of the old process and ends its drain. An older incarnation is ignored.
func (c *Controller) SetTarget(now time.Time, settings Target) []Decision {
	settings.Slots = max(1, settings.Slots)
	if settings.QueueLimit <= 0 {
		settings.QueueLimit = c.options.QueuePerSlot * settings.Slots
	}
	t := c.targets[settings.ID]
	if t == nil {
		c.lastGeneration++
		t = newTarget(settings, c.lastGeneration)
		t.longStartInterval = c.options.LongStartInterval
		c.targets[settings.ID] = t
	}
	if order := settings.Incarnation.Compare(t.Incarnation); order < 0 {
		return nil // announcement of an earlier process
	} else if order > 0 {
		c.lastGeneration++
		t.restart(c.lastGeneration)
	}
	if t.removed { // its announcement expired, and it is announced again
		t.removed, t.draining = false, false
	}
	t.Target = settings
	t.setClasses(settings.Classes)
	t.limit = min(max(t.limit, float64(t.floor())), float64(settings.Slots))
	return c.dispatch(now, t)
}

// Drain refuses the waiting and all further work of a target; running work
// finishes.
func (c *Controller) Drain(_ time.Time, id string) DrainResult {
	t := c.targets[id]
	if t == nil {
		return DrainResult{}
	}
	t.draining = true
	res := DrainResult{Running: t.running}
	if c.options.noDrainCheck {
		return res
	}
	for _, sub := range slices.Clone(t.queue) {
		res.Refused = append(res.Refused, c.refuse(t, sub, attempt.ReasonLeaving, 0))
	}
	return res
}

// DrainAll drains all targets, also those announced later, and returns the
// refusals and the number of requests in progress over all targets.
func (c *Controller) DrainAll(now time.Time) DrainResult {
	c.draining = true
	var all DrainResult
	for _, id := range c.targetIDs() {
		res := c.Drain(now, id)
		all.Refused = append(all.Refused, res.Refused...)
		all.Running += res.Running
	}
	return all
}

// Remove drains a target whose announcement expired and deletes it when its
// running work has ended. A target that is announced again before that keeps
// its running work, so that its slots stay exact.
func (c *Controller) Remove(now time.Time, id string) DrainResult {
	res := c.Drain(now, id)
	if t := c.targets[id]; t != nil {
		t.removed = true
		c.removeIfIdle(t)
	}
	return res
}

// removeIfIdle deletes a removed target that has no running work.
func (c *Controller) removeIfIdle(t *target) {
	if t.removed && t.running == 0 {
		delete(c.targets, t.ID)
	}
}

func (c *Controller) targetIDs() []string {
	ids := make([]string, 0, len(c.targets))
	for id := range c.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Submit starts, queues or refuses work. The ticket of started or queued work
// ends with Finish, Cancel or a later refusal.
func (c *Controller) Submit(now time.Time, work Work) Decision {
	c.lastTicket++
	sub := &submission{ticket: c.lastTicket, work: work, queuedAt: now}
	if work.ArrivedAt.IsZero() {
		sub.work.ArrivedAt = now
	}
	t := c.targets[work.Target]
	switch {
	case t == nil:
		return refusal(sub, attempt.ReasonNoTarget, 0)
	case c.leaving(now, t) && !c.options.noDrainCheck:
		return refusal(sub, attempt.ReasonLeaving, 0)
	}
	t.classify(sub)
	t.recordArrival(now, sub)
	if reason := c.refusalReason(now, t, sub, 0); reason != attempt.ReasonNone {
		return refusal(sub, reason, 0)
	}
	if work.NoWait && (t.hasWaiting(sub) || !c.admits(now, t, sub.long)) {
		return refusal(sub, attempt.ReasonBusy, 0)
	}
	c.submissions[sub.ticket] = sub
	if c.admits(now, t, sub.long) && !t.hasWaiting(sub) {
		t.accepted.add(now, sub)
		return c.start(now, t, sub)
	}
	return c.enqueue(now, t, sub)
}

// refusal marks work as refused and returns the decision.
func refusal(sub *submission, reason attempt.Reason, retryAfter time.Duration) Decision {
	sub.refused = true
	return Decision{Kind: Refused, Ticket: sub.ticket, Work: sub.work, Reason: reason, RetryAfter: retryAfter}
}

// infeasible returns the reason why work that starts after wait cannot end
// before its deadline, or ReasonNone. It never refuses work on an idle target
// because of an estimate alone, so that a wrong estimate is corrected by the
// next run. On a target that names its rate, the wait is no estimate.
func (c *Controller) infeasible(now time.Time, t *target, sub *submission, wait time.Duration) attempt.Reason {
	deadline := sub.work.Deadline
	if deadline.IsZero() {
		return attempt.ReasonNone
	}
	if !c.options.noDeadline && !now.Before(deadline) {
		return attempt.ReasonDeadline
	}
	_, limited := t.rate.Rate()
	if !c.options.noFeasibilityCheck && (t.running > 0 || limited) && now.Add(wait+sub.class.expectedServiceTime(now)).After(deadline) {
		return attempt.ReasonOverload
	}
	return attempt.ReasonNone
}

// enqueue queues work that cannot start now. It refuses the work if the expected
// wait is too long or the queue is full and no waiting work gives way to it.
func (c *Controller) enqueue(now time.Time, t *target, sub *submission) Decision {
	sub.customer = t.customerOf(sub.work.Customer)
	if sub.work.Rank >= 0 { // acceptedWork tells late work from other work of its rank
		sub.markLate(now)
	}
	sub.brief = !c.options.noBriefFirst && t.isBrief(sub)
	wait := t.expectedWait(now, sub, c.options)
	if c.outlastsHandover(now, sub, wait) {
		delete(c.submissions, sub.ticket)
		return refusal(sub, attempt.ReasonLeaving, 0)
	}
	margin := sub.class.deadlineMargin(sub.work.Deadline.Sub(now) - sub.class.expectedServiceTime(now))
	tooLate := (sub.wouldMissObjective(now, wait) || sub.waitsLonger(maxExpectedShare, wait)) && !c.mayQueueLate(now, t, sub, wait)
	if c.infeasible(now, t, sub, wait+margin) != attempt.ReasonNone || tooLate {
		delete(c.submissions, sub.ticket)
		return refusal(sub, attempt.ReasonOverload, wait)
	}
	var displaced []Decision
	limit := t.QueueLimit
	if sub.work.Called && !c.options.noLateQueue {
		limit *= calledQueueFactor
	}
	if len(t.queue) >= limit {
		t.markLate(now)
		victim := t.victim(sub, c.options)
		if victim == nil {
			delete(c.submissions, sub.ticket)
			return refusal(sub, attempt.ReasonOverload, t.expectedWait(now, sub, c.options))
		}
		displaced = append(displaced, c.refuse(t, victim, attempt.ReasonOverload, t.expectedWait(now, victim, c.options)))
	}
	t.accepted.add(now, sub)
	t.addWaiting(sub)
	return Decision{Kind: Queued, Ticket: sub.ticket, Work: sub.work, Displaced: displaced}
}

// wouldMissObjective reports whether work that starts after wait misses its
// objective. Such work is refused instead of queued: its caller learns at once,
// and the capacity serves work that arrives later and can meet its objective.
func (sub *submission) wouldMissObjective(now time.Time, wait time.Duration) bool {
	objective := sub.class.Objective
	return objective > 0 && now.Add(wait+sub.class.expectedServiceTime(now)).Sub(sub.work.ArrivedAt) > objective
}

// calledQueueFactor is the factor by which the queue may be longer for called work, as the
// slots of the callers bound it too.
const calledQueueFactor = 4

// mayQueueLate reports whether work that will miss its objective may wait: it asked for
// it, and it is called, or starts early enough and not too much such work waits. A longer
// queue would only make more work late.
func (c *Controller) mayQueueLate(now time.Time, t *target, sub *submission, wait time.Duration) bool {
	if !sub.work.AllowLate || c.options.noLateQueue {
		return false
	}
	if sub.work.Called {
		return !sub.usesUpCall(wait)
	}
	if sub.usedUp(now.Add(wait)) {
		return false
	}
	late := 0
	for _, other := range t.queue {
		if other.work.AllowLate {
			late++
		}
	}
	return late < t.Slots
}

// maxQueuedShare is the largest part of its objective that work waits at one
// target. When slots do not become free as expected, for example because
// running work hangs, another target is better.
const maxQueuedShare = 0.4

// maxUntriedShare is the largest part of its time, at all targets together, that work
// with an objective waits. A caller that is rejected then can still do something else;
// one that is rejected at its deadline cannot.
const maxUntriedShare = 0.4

// maxExpectedShare bounds the expected wait like maxQueuedShare the actual one. It is
// larger, as the expectation counts running work in full.
const maxExpectedShare = 0.5

// waitsLonger reports whether a wait is longer than a share of the objective.
func (sub *submission) waitsLonger(share float64, wait time.Duration) bool {
	objective := sub.class.Objective
	return objective > 0 && float64(wait) > share*float64(objective)
}

// waitedTooLong reports whether work has waited longer than maxQueuedShare of its
// objective, or until it has used maxUntriedShare of its time. For called work that may
// be late maxCalledShare is the limit.
func (sub *submission) waitedTooLong(now time.Time) bool {
	if sub.work.AllowLate && sub.work.Called {
		return sub.usesUpCall(now.Sub(sub.queuedAt))
	}
	if sub.usedUp(now) {
		return true
	}
	if sub.work.AllowLate {
		return false
	}
	return sub.waitsLonger(maxQueuedShare, now.Sub(sub.queuedAt))
}

// maxCalledShare is the largest part of the time that called work had left when it was
// queued for which it waits. A longer queue would not serve more, and work that starts
// shortly before its deadline often misses it and wastes its slot.
const maxCalledShare = 0.5

// usesUpCall reports whether called work waits longer than maxCalledShare allows.
func (sub *submission) usesUpCall(wait time.Duration) bool {
	return !sub.work.Deadline.IsZero() && float64(wait) > maxCalledShare*float64(sub.work.Deadline.Sub(sub.queuedAt))
}

// usedUp reports whether work with an objective has used maxUntriedShare of its time.
func (sub *submission) usedUp(now time.Time) bool {
	if sub.class.Objective <= 0 || sub.work.Deadline.IsZero() {
		return false
	}
	return float64(now.Sub(sub.work.ArrivedAt)) > maxUntriedShare*float64(sub.work.Deadline.Sub(sub.work.ArrivedAt))
}

// refuse removes waiting work from the queue and returns its refusal.
func (c *Controller) refuse(t *target, sub *submission, reason attempt.Reason, retryAfter time.Duration) Decision {
	if !c.options.keepDisplaced {
		t.removeWaiting(sub)
		delete(c.submissions, sub.ticket)
	}
	return refusal(sub, reason, retryAfter)
}

// admits reports whether a slot of the target is free for short or long work.
func (c *Controller) admits(now time.Time, t *target, long bool) bool {
	if c.options.noSlotCheck {
		return true
	}
	if t.running >= c.limit(t) || t.rate.Available(now) == 0 {
		return false
	}
	return !long || c.options.noReserve || t.admitsLong(now, c.limit(t), c.options.BorrowAfter)
}

// limit returns the current concurrency limit of a target.
func (c *Controller) limit(t *target) int {
	if c.options.noLimitAdaptation {
		return t.Slots
	}
	return int(t.limit)
}

// start checks the invariants and lets work take a slot.
func (c *Controller) start(now time.Time, t *target, sub *submission) Decision {
	deadline := sub.work.Deadline
	c.reporter.Check(invariant.Leaving, !c.leaving(now, t), "work %d starts on draining target %s", sub.ticket, t.ID)
	c.reporter.Check(invariant.NotRun, !sub.refused, "work %d starts on %s after its refusal", sub.ticket, t.ID)
	c.reporter.Check(invariant.NotRun, deadline.IsZero() || now.Before(deadline), "work %d starts on %s after its deadline", sub.ticket, t.ID)
	t.recordStart(now, sub)
	t.rate.Take(now)
	c.reporter.Check(SlotsExceeded, t.running <= t.Slots || t.slotsLowered, "target %s runs %d of %d slots", t.ID, t.running, t.Slots)
	return Decision{Kind: Started, Ticket: sub.ticket, Work: sub.work, Wait: now.Sub(sub.queuedAt)}
}

// dispatch starts waiting work while slots are free. It refuses waiting work
// that can no longer end before its deadline, may outlast the handover of a draining node
// or has waited too long.
func (c *Controller) dispatch(now time.Time, t *target) []Decision {
	if (t.draining || c.draining) && !c.options.noDrainCheck {
		return nil
	}
	var out []Decision
	t.markLate(now)
	for {
		for i := len(t.queue) - 1; i >= 0; i-- { // backwards, as refuse removes the element
			sub := t.queue[i]
			if sub.refused { // only with keepDisplaced
				continue
			}
			reason := c.refusalReason(now, t, sub, 0)
			if reason == attempt.ReasonNone && sub.waitedTooLong(now) && !c.admits(now, t, sub.long) {
				reason = attempt.ReasonOverload
			}
			if reason != attempt.ReasonNone {
				out = append(out, c.refuse(t, sub, reason, t.expectedWait(now, sub, c.options)))
			}
		}
		sub := c.nextToStart(now, t)
		if sub == nil {
			return out
		}
		t.removeWaiting(sub)
		out = append(out, c.start(now, t, sub))
	}
}

// nextToStart returns the waiting work that starts now, or nil: short orders
// before long work that is no order, then long work up to its share, then other
// short work, then long work that borrows idle slots.
func (c *Controller) nextToStart(now time.Time, t *target) *submission {
	if !c.admits(now, t, false) {
		return nil
	}
	short := t.firstWaiting(false, c.options)
	long := t.firstWaiting(true, c.options)
	if long != nil && !c.admits(now, t, true) {
		long = nil
	}
	switch {
	case short == nil:
		return long
	case long == nil:
		return short
	case !c.options.noPriority && short.priority == Order && long.priority != Order:
		return short
	case t.runningLong < t.longShare(now, c.limit(t)):
		return long
	}
	return short
}

// unservableFactor is the ratio of the expected wait to the longest one from which waiting
// work is refused. In TestOvertakenWorkIsRefusedEarly 699 requests are refused after 0.5 s
// at 1.0 and 138 at 0.7, and as many end in time.
const unservableFactor = 0.7

// refuseUnservable refuses waiting work with a rank that will not start in the time for
// which it waits, as more urgent work has arrived since. As the expected wait counts only
// what goes first, the least urgent work is refused, and no more than exceeds the capacity.
func (c *Controller) refuseUnservable(now time.Time, t *target) []Decision {
	if c.options.noOvertaking {
		return nil
	}
	var out []Decision
	for i := len(t.queue) - 1; i >= 0; i-- {
		sub := t.queue[i]
		if !sub.canBeOvertaken() || sub.work.Called || t.accepted.before(now, sub) < 1 {
			continue // not overtaken
		}
		wait := t.expectedWait(now, sub, c.options)
		if sub.waitedTooLong(now.Add(time.Duration(float64(wait) / unservableFactor))) {
			out = append(out, c.refuse(t, sub, attempt.ReasonOverload, wait))
		}
	}
	return out
}

// Confirm must be called right before the first byte of started work is sent. It
// returns false when the deadline has passed, or the target or the node has begun to
// drain since the start, for example during a pause of the process. The ticket then
// ends, its caller gets a refusal, and Confirm returns the decisions on other
// work that uses the freed slot.
func (c *Controller) Confirm(now time.Time, ticket Ticket) (bool, []Decision) {
	sub := c.submissions[ticket]
	if sub == nil || !sub.running {
		return false, nil
	}
	t := c.targets[sub.work.Target]
	leaving := t == nil || c.leaving(now, t) || sub.generation != t.generation
	deadline := sub.work.Deadline
	expired := !deadline.IsZero() && !now.Before(deadline)
	if !(leaving && !c.options.noDrainCheck) && !c.outlastsHandover(now, sub, 0) && !(expired && !c.options.noDeadline) {
		c.reporter.Check(invariant.Leaving, !leaving, "work %d is sent to draining target %s", ticket, sub.work.Target)
		c.reporter.Check(invariant.NotRun, !expired, "work %d is sent to %s after its deadline", ticket, sub.work.Target)
		sub.started, sub.confirmed = now, true
		return true, nil
	}
	return false, c.releaseSlot(now, sub)
}

// Finish ends running work and returns the decisions on waiting work that starts
// or is refused now. It ends waiting work like Cancel.
func (c *Controller) Finish(now time.Time, ticket Ticket, res Result) []Decision {
	sub := c.submissions[ticket]
	if sub == nil {
		return nil
	}
	if !sub.running {
		return c.Cancel(now, ticket)
	}
	if t := c.targets[sub.work.Target]; t != nil && res.OK && sub.generation == t.generation {
		t.observe(now, sub)
	}
	return c.releaseSlot(now, sub)
}

// releaseSlot ends running work and returns the decisions on waiting work.
func (c *Controller) releaseSlot(now time.Time, sub *submission) []Decision {
	delete(c.submissions, sub.ticket)
	t := c.targets[sub.work.Target]
	if t == nil {
		return nil
	}
	if !sub.confirmed && sub.generation == t.generation {
		t.rate.Return(now)
	}
	t.recordEnd(sub)
	c.removeIfIdle(t)
	return c.dispatch(now, t)
}

// ObserveRate records the rate in requests/s that a target names in its response to a
// request sent at sentAt; named is false without one. It reports whether the limit
// changed, and returns the decisions on waiting work.
func (c *Controller) ObserveRate(now time.Time, id string, sentAt time.Time, rate float64, named bool) (bool, []Decision) {
	t := c.targets[id]
	if t == nil || !t.rate.Observe(now, sentAt, rate, named) {
		return false, nil
	}
	return true, c.dispatch(now, t)
}

// AdoptRate takes over the rate of a target that an entry knows, unless this node has
// a response of the target. It reports whether the limit changed.
func (c *Controller) AdoptRate(now time.Time, id string, rate float64) bool {
	t := c.targets[id]
	return t != nil && t.rate.Adopt(now, rate)
}

// Rate returns the rate in requests/s that a target names. It is false without one.
func (c *Controller) Rate(id string) (float64, bool) {
	if t := c.targets[id]; t != nil {
		return t.rate.Rate()
	}
	return 0, false
}

// CountRequest counts a request to a target that is not admitted as work, such as a
// probe, towards its rate.
func (c *Controller) CountRequest(now time.Time, id string) {
	if t := c.targets[id]; t != nil {
		t.rate.Take(now)
	}
}

// Cancel ends waiting work, which then never runs, and returns the decisions on
// other waiting work. Running work keeps its slot until Finish.
func (c *Controller) Cancel(now time.Time, ticket Ticket) []Decision {
	sub := c.submissions[ticket]
	if sub == nil || sub.running {
		return nil
	}
	delete(c.submissions, ticket)
	t := c.targets[sub.work.Target]
	if t == nil {
		return nil
	}
	t.removeWaiting(sub)
	return c.dispatch(now, t)
}

// Tick refuses waiting work that can no longer end before its deadline or has
// waited too long, and starts long work that may now run. It should be called
// every 10 ms.
func (c *Controller) Tick(now time.Time) []Decision {
	paused := !c.lastTick.IsZero() && now.Sub(c.lastTick) > c.options.PauseThreshold
	c.lastTick = now
	var out []Decision
	for _, id := range c.targetIDs() {
		t := c.targets[id]
		if paused {
			t.discardLatencyWindows()
		}
		out = append(out, c.dispatch(now, t)...)
		out = append(out, c.refuseUnservable(now, t)...)
	}
	return out
}

// Load returns the load of a target, which the gate reports in a response header.
func (c *Controller) Load(now time.Time, id string) attempt.Load {
	t := c.targets[id]
	if t == nil {
		return attempt.Load{}
	}
	return attempt.Load{Slots: t.Slots, Limit: c.usableSlots(now, t), Running: t.running, Queued: len(t.queue),
		RunningLong: t.runningLong, QueuedLong: t.queuedLong}
}

// usableSlots returns the concurrency limit or, on a target that names its rate, the
// number of requests that it has in progress at that rate. None is free while a request
// would have to wait for the rate.
func (c *Controller) usableSlots(now time.Time, t *target) int {
	limit := c.limit(t)
	rate, limited := t.rate.Rate()
	if !limited {
		return limit
	}
	if t.shortServiceTime.known {
		limit = max(1, min(limit, int(math.Ceil(rate*t.shortServiceTime.value))))
	}
	if t.rate.Available(now) == 0 {
		limit = min(limit, t.running)
	}
	return limit
}

// ExpectedServiceTime returns the average service time of a class at a target, or
// 0 when it is unknown.
func (c *Controller) ExpectedServiceTime(id, class string, long bool) time.Duration {
	t := c.targets[id]
	if t == nil {
		return 0
	}
	state := t.classes[classKey{class, t.Classes[class].Long || long}]
	if state == nil {
		return 0
	}
	return time.Duration(state.serviceTime.value * float64(time.Second))
}
