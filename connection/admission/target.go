package admission

import (
	"math"
	"slices"
	"time"
)

// peakDecay is the time in which the remembered peak of short work falls to
// 1/e. It spans several swings of demand, which last about a second.
const peakDecay = 2 * time.Second

// peakKept is the part of the peak of short work that the long share leaves
// free. In TestBlockingBound the p99 of short work grows by 3 % at 1.0, 6 % at
// 0.85, 18 % at 0.7 and 39 % at 0.5, while downloads/s grow from 6.0 to 9.9.
const peakKept = 0.85

// maxCustomers bounds the remembered customers per target.
const maxCustomers = 1024

type customer struct {
	name   string
	served float64 // slot seconds taken, on the target's scale `served`
	queued int
	ahead  int // scratch of expectedWait
}

type target struct {
	Target
	gen         int
	draining    bool
	removed     bool // forgotten when its running work has ended
	shrunk      bool // Slots was lowered below the running work
	running     int
	runningLong int
	queue       []*item
	queuedLong  int
	limit       float64 // concurrency limit, floor()..Slots

	classes   map[classKey]*classState
	shortMean average
	longMean  average

	customers map[string]*customer
	served    float64 // greatest value of a customer at the start of its work

	longEvery time.Duration // Options.LongEvery
	lastLong  time.Time     // last start of long work
	lastShort time.Time     // last arrival of short work
	peak      float64       // short work in progress or waiting, decaying maximum
	peakAt    time.Time
}

func newTarget(s Target, gen int) *target {
	return &target{
		Target: s, gen: gen, limit: float64(s.Slots), peak: float64(s.Slots) / 2,
		classes: map[classKey]*classState{}, customers: map[string]*customer{},
	}
}

// floor is the least concurrency limit: a third of the slots.
func (t *target) floor() int { return (t.Slots + 2) / 3 }

// restart begins the generation of a new process of the target.
func (t *target) restart(gen int) {
	t.gen = gen
	t.draining, t.removed = false, false
	t.running, t.runningLong = 0, 0
	t.limit = math.MaxFloat64 // SetTarget lowers it to the slots
	t.classes = map[classKey]*classState{}
	t.shortMean, t.longMean = average{}, average{}
	for _, it := range t.queue {
		it.class = t.classOf(it.work)
	}
}

func (t *target) setClasses(cs map[string]Class) {
	t.shrunk = t.running > t.Slots
	for key, c := range t.classes {
		settings, known := cs[key.name]
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

func (t *target) classOf(w Work) *classState {
	settings, known := t.Classes[w.Class]
	key := classKey{w.Class, settings.Long || w.Long}
	if !known {
		key.name, settings = "", Class{Priority: Interactive} // memory is bounded by the known classes
	}
	c := t.classes[key]
	if c == nil {
		c = &classState{Class: settings}
		t.classes[key] = c
	}
	return c
}

func (t *target) classify(it *item) {
	it.class = t.classOf(it.work)
	it.prio = it.class.Priority
	it.long = it.class.Long || it.work.Long
}

// arrive notes the demand of short work.
func (t *target) arrive(now time.Time, it *item) {
	if it.long {
		return
	}
	t.lastShort = now
	short := float64(t.running - t.runningLong + len(t.queue) - t.queuedLong + 1)
	t.peak = max(short, t.peakNow(now))
	t.peakAt = now
}

func (t *target) peakNow(now time.Time) float64 {
	if t.peakAt.IsZero() {
		return t.peak
	}
	return t.peak * math.Exp(-float64(max(0, now.Sub(t.peakAt)))/float64(peakDecay))
}

func reserve(limit int) int {
	if limit <= 1 {
		return 0
	}
	return (limit + 2) / 3
}

// longShare is the number of slots guaranteed to long work: half of the
// limit, more when long work asks for it, but not what the peak of short work
// needs; between one slot and the limit without the reserve. When short work
// needs every slot, the one slot is free for a start each LongEvery only.
func (t *target) longShare(now time.Time, limit int) int {
	share := max(limit/2, t.runningLong+t.queuedLong)
	share = min(share, limit-int(math.Ceil(peakKept*t.peakNow(now)-0.5)))
	if share < 1 && now.Sub(t.lastLong) >= t.longEvery {
		share = 1
	}
	return min(max(0, share), limit-reserve(limit))
}

func (t *target) admitsLong(now time.Time, limit int, borrowAfter time.Duration) bool {
	if t.runningLong < t.longShare(now, limit) {
		return true
	}
	idle := t.lastShort.IsZero() || now.Sub(t.lastShort) >= borrowAfter
	return idle && t.runningLong < limit-reserve(limit)
}

// waitingBefore reports whether other work of the same kind waits already.
func (t *target) waitingBefore(it *item) bool {
	if it.long {
		return t.queuedLong > 0
	}
	return len(t.queue) > t.queuedLong
}

func (t *target) customerOf(name string) *customer {
	c := t.customers[name]
	if c == nil {
		if len(t.customers) >= maxCustomers {
			t.forgetCustomers()
		}
		c = &customer{name: name, served: t.served}
		t.customers[name] = c
	}
	if c.queued == 0 {
		c.served = max(c.served, t.served) // idle time earns no credit
	}
	return c
}

func (t *target) forgetCustomers() {
	for name, c := range t.customers {
		if c.queued == 0 {
			delete(t.customers, name)
		}
	}
}

func (t *target) push(it *item) {
	t.queue = append(t.queue, it)
	it.customer.queued++
	if it.long {
		t.queuedLong++
	}
}

func (t *target) remove(it *item) {
	i := slices.Index(t.queue, it)
	if i < 0 {
		return
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	it.customer.queued--
	if it.long {
		t.queuedLong--
	}
}

func (t *target) started(now time.Time, it *item) {
	it.running, it.started, it.gen = true, now, t.gen
	t.running++
	if it.long {
		t.runningLong++
		t.lastLong = now
	}
	if len(t.queue) == 0 {
		clear(t.customers) // without pressure nobody is charged
		t.served = 0
		return
	}
	c := t.customerOf(it.work.Customer)
	t.served = max(t.served, c.served)
	c.served += max(1e-3, it.class.expected(now).Seconds())
}

func (t *target) ended(it *item) {
	if it.gen != t.gen {
		return // ran in an earlier process
	}
	t.running--
	if it.long {
		t.runningLong--
	}
	t.shrunk = t.shrunk && t.running > t.Slots
}

// before orders waiting work.
func before(a, b *item, o Options) bool {
	if a.prio != b.prio && !o.noPriority {
		return a.prio < b.prio
	}
	if a.late != b.late {
		return b.late
	}
	if a.customer != b.customer && a.customer.served != b.customer.served && !o.noFair {
		return a.customer.served < b.customer.served
	}
	ad, bd := a.work.Deadline, b.work.Deadline
	if !ad.Equal(bd) {
		return bd.IsZero() || !ad.IsZero() && ad.Before(bd)
	}
	return a.ticket < b.ticket
}

// markLate notes which waiting work can no longer meet its objective.
func (t *target) markLate(now time.Time) {
	for _, it := range t.queue {
		it.markLate(now)
	}
}

func (it *item) markLate(now time.Time) {
	objective := it.class.Objective
	it.late = objective > 0 && now.Add(it.class.expected(now)).Sub(it.work.ArrivedAt) > objective
}

// best returns the waiting short or long work that goes first.
func (t *target) best(long bool, o Options) *item {
	var best *item
	for _, it := range t.queue {
		if it.long == long && (best == nil || before(it, best, o)) {
			best = it
		}
	}
	return best
}

// victim returns the waiting work that gives way to it in a full queue, or
// nil: work of lower priority, else work of a customer that has at least two
// more waiting. The last in order of the lowest priority and the customer
// with the most waiting work is chosen.
func (t *target) victim(it *item, o Options) *item {
	var worst *item
	for _, c := range t.queue {
		lower := c.prio > it.prio && !o.noPriority
		crowding := c.prio == it.prio && c.customer.queued > it.customer.queued+1 && !o.noFair
		if (lower || crowding) && (worst == nil || givesWayBefore(c, worst, o)) {
			worst = c
		}
	}
	return worst
}

func givesWayBefore(a, b *item, o Options) bool {
	if a.prio != b.prio {
		return a.prio > b.prio
	}
	if a.customer.queued != b.customer.queued {
		return a.customer.queued > b.customer.queued
	}
	return before(b, a, o)
}

// expectedWait estimates the time until waiting work would start: the work
// that goes before it over the rate at which its slots become free. Of other
// customers of equal priority only as much goes before as its own customer
// has waiting.
func (t *target) expectedWait(now time.Time, it *item) time.Duration {
	ahead := 0
	for _, o := range t.queue {
		o.customer.ahead = 0
	}
	for _, o := range t.queue {
		if o == it || o.long != it.long || o.prio > it.prio {
			continue
		}
		if o.prio == it.prio && o.customer != it.customer {
			if o.customer.ahead > it.customer.queued {
				continue
			}
			o.customer.ahead++
		}
		ahead++
	}
	mean, slots := t.shortMean, max(1, int(t.limit)-t.runningLong)
	if it.long {
		mean, slots = t.longMean, max(1, t.longShare(now, int(t.limit)))
	}
	return time.Duration(float64(ahead+1) * mean.value * float64(time.Second) / float64(slots))
}
