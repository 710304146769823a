package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/targetlimit"
)

// peakDecayTime is the time in which the peak of short work decays to 1/e. It
// spans several fluctuations of the demand, which last about a second each.
const peakDecayTime = 2 * time.Second

// protectedPeakShare is the part of the peak of short work that the share of long
// work leaves free. In TestBlockingBound the p99 of short work grows by 3 % at
// 1.0, 6 % at 0.85, 18 % at 0.7 and 39 % at 0.5, while the rate of downloads
// grows from 6.0/s to 9.9/s.
const protectedPeakShare = 0.85

// maxCustomers is the number of customers kept per target. When it is reached,
// customers without waiting work are dropped.
const maxCustomers = 1024

// customer holds the fair share of one customer at a target.
type customer struct {
	name          string
	servedSeconds float64 // service time charged for its work, on the scale of target.virtualTime
	queued        int
	countedAhead  int // used only within expectedWait
}

// target is a Target with its queue, limit and estimates.
type target struct {
	Target
	generation   int
	draining     bool
	removed      bool // deleted when its running work has ended
	slotsLowered bool // Slots was lowered below the number of running requests
	running      int
	runningLong  int
	queue        []*submission
	queuedLong   int
	limit        float64 // concurrency limit, from floor() to Slots
	rate         targetlimit.Limiter

	accepted acceptedWork

	classes          map[classKey]*classState
	shortServiceTime average
	longServiceTime  average

	customers   map[string]*customer
	virtualTime float64 // virtual time of fair queueing: greatest servedSeconds of a customer whose work started

	longStartInterval time.Duration // Options.LongStartInterval
	lastLongStart     time.Time     // last start of long work
	lastShortArrival  time.Time     // last arrival of short work
	shortPeak         float64       // decaying maximum of running and waiting short requests, as of shortPeakAt
	shortPeakAt       time.Time
}

func newTarget(settings Target, generation int) *target {
	return &target{
		Target: settings, generation: generation, limit: float64(settings.Slots), shortPeak: float64(settings.Slots) / 2,
		accepted: acceptedWork{}, classes: map[classKey]*classState{}, customers: map[string]*customer{},
	}
}

// floor returns the minimum concurrency limit: a third of the slots, rounded up.
func (t *target) floor() int { return (t.Slots + 2) / 3 }

// restart resets the state for a new process of the target; waiting work stays
// queued.
func (t *target) restart(generation int) {
	t.generation = generation
	t.draining, t.removed = false, false
	t.running, t.runningLong = 0, 0
	t.limit = math.MaxFloat64 // SetTarget lowers it to the slots
	t.rate = targetlimit.Limiter{}
	t.classes = map[classKey]*classState{}
	t.shortServiceTime, t.longServiceTime = average{}, average{}
	for _, sub := range t.queue {
		sub.class = t.classOf(sub.work)
	}
}

func (t *target) setClasses(classes map[string]Class) {
	t.slotsLowered = t.running > t.Slots
	for key, c := range t.classes {
		settings, known := classes[key.name]
		if !known {
			settings = Class{Priority: Interactive}
		}
		c.Class = settings
	}
}

// classKey keeps the estimates of learned long work apart from those of the
// short work of its class.
type classKey struct {
	name string
	long bool
}

func (t *target) classOf(work Work) *classState {
	settings, known := t.Classes[work.Class]
	key := classKey{work.Class, settings.Long || work.Long}
	if !known {
		key.name, settings = "", Class{Priority: Interactive} // all unknown classes share one state, which bounds memory
	}
	c := t.classes[key]
	if c == nil {
		c = &classState{Class: settings}
		t.classes[key] = c
	}
	return c
}

func (t *target) classify(sub *submission) {
	sub.class = t.classOf(sub.work)
	if sub.rank = sub.work.Rank; sub.rank < 0 {
		sub.rank = sub.class.Rank
	}
	sub.priority = sub.class.Priority
	if sub.work.Called {
		sub.priority = Called
	}
	sub.long = sub.class.Long || sub.work.Long
}

// recordArrival updates the peak of short work.
func (t *target) recordArrival(now time.Time, sub *submission) {
	if sub.long {
		return
	}
	t.lastShortArrival = now
	short := float64(t.running - t.runningLong + len(t.queue) - t.queuedLong + 1)
	t.shortPeak = max(short, t.decayedPeak(now))
	t.shortPeakAt = now
}

func (t *target) decayedPeak(now time.Time) float64 {
	if t.shortPeakAt.IsZero() {
		return t.shortPeak
	}
	return decayed(t.shortPeak, now.Sub(t.shortPeakAt), peakDecayTime)
}

// shortReserve returns the number of slots within the limit that long work never
// takes.
func shortReserve(limit int) int {
	if limit <= 1 {
		return 0
	}
	return (limit + 2) / 3
}

// longShare returns the number of slots guaranteed to long work: half of the
// limit, more when more long work runs or waits, but without the slots that the
// peak of short work needs. It lies between one slot and the limit less
// shortReserve. When short work needs every slot, the one slot is open for one
// start per longStartInterval only.
func (t *target) longShare(now time.Time, limit int) int {
	share := max(limit/2, t.runningLong+t.queuedLong)
	share = min(share, limit-int(math.Ceil(protectedPeakShare*t.decayedPeak(now)-0.5)))
	if share < 1 && now.Sub(t.lastLongStart) >= t.longStartInterval {
		share = 1
	}
	return min(max(0, share), limit-shortReserve(limit))
}

func (t *target) admitsLong(now time.Time, limit int, borrowAfter time.Duration) bool {
	if t.runningLong < t.longShare(now, limit) {
		return true
	}
	idle := t.lastShortArrival.IsZero() || now.Sub(t.lastShortArrival) >= borrowAfter
	return idle && t.runningLong < limit-shortReserve(limit)
}

// hasWaiting reports whether work of the same kind, short or long, waits already.
func (t *target) hasWaiting(sub *submission) bool {
	if sub.long {
		return t.queuedLong > 0
	}
	return len(t.queue) > t.queuedLong
}

func (t *target) customerOf(name string) *customer {
	c := t.customers[name]
	if c == nil {
		if len(t.customers) >= maxCustomers {
			t.dropIdleCustomers()
		}
		c = &customer{name: name, servedSeconds: t.virtualTime}
		t.customers[name] = c
	}
	if c.queued == 0 {
		c.servedSeconds = max(c.servedSeconds, t.virtualTime) // a customer without waiting work earns no credit
	}
	return c
}

func (t *target) dropIdleCustomers() {
	for name, c := range t.customers {
		if c.queued == 0 {
			delete(t.customers, name)
		}
	}
}

func (t *target) addWaiting(sub *submission) {
	t.queue = append(t.queue, sub)
	sub.customer.queued++
	if sub.long {
		t.queuedLong++
	}
}

func (t *target) removeWaiting(sub *submission) {
	i := slices.Index(t.queue, sub)
	if i < 0 {
		return
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	sub.customer.queued--
	if sub.long {
		t.queuedLong--
	}
}

func (t *target) recordStart(now time.Time, sub *submission) {
	sub.running, sub.started, sub.generation = true, now, t.generation
	t.running++
	if sub.long {
		t.runningLong++
		t.lastLongStart = now
	}
	if len(t.queue) == 0 {
		clear(t.customers) // without a queue no customer is charged
		t.virtualTime = 0
		return
	}
	c := t.customerOf(sub.work.Customer)
	t.virtualTime = max(t.virtualTime, c.servedSeconds)
	c.servedSeconds += max(1e-3, sub.class.expectedServiceTime(now).Seconds())
}

func (t *target) recordEnd(sub *submission) {
	if sub.generation != t.generation {
		return // ran in an earlier process of the target
	}
	t.running--
	if sub.long {
		t.runningLong--
	}
	t.slotsLowered = t.slotsLowered && t.running > t.Slots
}

// briefShare is the part of the mean service time of a target's short work below which
// the work of a class is brief.
const briefShare = 0.1

// isBrief reports whether work takes so little time that it delays no other work when it
// goes first, while in a queue of longer requests it would miss its objective. Work of a
// class that the target has not run yet counts as brief, so that its time becomes known.
func (t *target) isBrief(sub *submission) bool {
	mean, own := t.shortServiceTime, sub.class.serviceTime
	return mean.known && !sub.long && (!own.known || own.value < briefShare*mean.value)
}

// compareUrgency orders work by rank and then by priority; the more urgent is less.
func compareUrgency(a, b *submission, o Options) int {
	if a.rank != b.rank && !o.noRank {
		return cmp.Compare(a.rank, b.rank)
	}
	if o.noPriority {
		return 0
	}
	return cmp.Compare(a.priority, b.priority)
}

// goesBefore reports whether waiting work a starts before b: by rank, by priority, brief
// work first, by whether it can still meet its objective, by the customer that was served
// less, by deadline and by arrival.
func goesBefore(a, b *submission, o Options) bool {
	if order := compareUrgency(a, b, o); order != 0 {
		return order < 0
	}
	if a.brief != b.brief && !o.noBriefFirst {
		return a.brief
	}
	if a.late != b.late {
		return b.late
	}
	if a.customer != b.customer && a.customer.servedSeconds != b.customer.servedSeconds && !o.noFairness {
		return a.customer.servedSeconds < b.customer.servedSeconds
	}
	aDeadline, bDeadline := a.work.Deadline, b.work.Deadline
	if !aDeadline.Equal(bDeadline) {
		return bDeadline.IsZero() || !aDeadline.IsZero() && aDeadline.Before(bDeadline)
	}
	return a.ticket < b.ticket
}

// markLate updates which waiting work can no longer meet its objective.
func (t *target) markLate(now time.Time) {
	for _, sub := range t.queue {
		sub.markLate(now)
	}
}

func (sub *submission) markLate(now time.Time) {
	objective := sub.class.Objective
	sub.late = objective > 0 && !sub.work.Called && now.Add(sub.class.expectedServiceTime(now)).Sub(sub.work.ArrivedAt) > objective
}

// firstWaiting returns the waiting short or long work that starts first, or nil.
func (t *target) firstWaiting(long bool, o Options) *submission {
	var best *submission
	for _, sub := range t.queue {
		if sub.long == long && (best == nil || goesBefore(sub, best, o)) {
			best = sub
		}
	}
	return best
}

// victim returns the waiting work that sub displaces from a full queue, or nil.
// It must be less urgent by rank or priority, or as urgent and of a customer with
// at least two more waiting requests than that of sub. Of these it is the least
// urgent work, then that of the customer with the most waiting work, then the one
// that would start last.
func (t *target) victim(sub *submission, o Options) *submission {
	var worst *submission
	for _, candidate := range t.queue {
		order := compareUrgency(candidate, sub, o)
		lower := order > 0
		crowding := order == 0 && candidate.customer.queued > sub.customer.queued+1 && !o.noFairness
		if (lower || crowding) && (worst == nil || givesWayBefore(candidate, worst, o)) {
			worst = candidate
		}
	}
	return worst
}

// givesWayBefore reports whether a is displaced rather than b.
func givesWayBefore(a, b *submission, o Options) bool {
	if order := compareUrgency(a, b, o); order != 0 {
		return order > 0
	}
	if a.customer.queued != b.customer.queued {
		return a.customer.queued > b.customer.queued
	}
	return goesBefore(b, a, o)
}

// expectedWait estimates the time until waiting work starts: the work ahead of
// it, divided by the rate at which slots for it become free or, if that is longer, at
// which the target takes requests. Of each other customer of equal urgency it counts
// only about as much work as its own customer has waiting.
func (t *target) expectedWait(now time.Time, sub *submission, o Options) time.Duration {
	ahead, otherKind := 0, 0 // otherKind: long work before short work, or the reverse
	for _, other := range t.queue {
		other.customer.countedAhead = 0
	}
	for _, other := range t.queue {
		order := compareUrgency(other, sub, o)
		if other != sub && other.long != sub.long && order <= 0 {
			otherKind++
		}
		if other == sub || other.long != sub.long || order > 0 || (order == 0 && other.brief != sub.brief) {
			continue // starts later, or takes no time
		}
		if order == 0 && other.customer != sub.customer {
			if other.customer.countedAhead > sub.customer.queued {
				continue
			}
			other.customer.countedAhead++
		}
		ahead++
	}
	mean, slots := t.shortServiceTime, max(1, int(t.limit)-t.runningLong)
	if sub.long {
		mean, slots = t.longServiceTime, max(1, t.longShare(now, int(t.limit)))
	}
	wait := time.Duration(float64(ahead+1) * mean.value * float64(time.Second) / float64(slots))
	if sub.canBeOvertaken() && !o.noOvertaking {
		wait = time.Duration(float64(wait) / max(minFreeShare, 1-t.accepted.before(now, sub)/float64(slots)))
	}
	return max(wait, t.rate.Wait(now, ahead+otherKind+1))
}
