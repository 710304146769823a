package retry

import "time"

// Options tune a Budget. Zero values take the defaults.
type Options struct {
	// Share of first attempts that may be retried. Default 0.1.
	Share float64
	// PerSecond retries are allowed in addition. Default 1.
	PerSecond float64
	// Window over which the budget is counted, whole seconds. Default 10s.
	Window time.Duration

	// Unlimited grants every retry, as where gates keep the budget.
	Unlimited bool
}

func (o Options) withDefaults() Options {
	if o.Share == 0 {
		o.Share = 0.1
	}
	if o.PerSecond == 0 {
		o.PerSecond = 1
	}
	if o.Window < time.Second {
		o.Window = 10 * time.Second
	}
	return o
}

// Budget bounds retries and hedges of one service on one node: whenever it
// allows one, those of the window that ends then are at most Share of the first
// attempts of the same window plus PerSecond. It is not safe for concurrent use.
type Budget struct {
	o     Options
	slots []slot // one per second of the window
}

type slot struct {
	second int64
	first  int
	extra  int
}

// NewBudget returns the budget of one service.
func NewBudget(o Options) *Budget {
	o = o.withDefaults()
	return &Budget{o: o, slots: make([]slot, int(o.Window/time.Second))}
}

// SetPerSecond changes the retries allowed in addition, as a part of what the
// fleet may send follows the number of those that share it.
func (b *Budget) SetPerSecond(perSecond float64) { b.o.PerSecond = perSecond }

// CountFirstAttempt counts a first attempt.
func (b *Budget) CountFirstAttempt(now time.Time) { b.at(now).first++ }

// Take claims one retry or hedge, and reports whether the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	s := b.at(now)
	if !b.o.Unlimited && b.left(now) < 1 {
		return false
	}
	s.extra++
	return true
}

func (b *Budget) left(now time.Time) float64 {
	oldest := now.Unix() - int64(len(b.slots)) + 1
	first, extra := 0, 0
	for _, s := range b.slots {
		if s.second >= oldest {
			first += s.first
			extra += s.extra
		}
	}
	return b.o.Share*float64(first) + b.o.PerSecond*float64(len(b.slots)) - float64(extra)
}

func (b *Budget) at(now time.Time) *slot {
	second := now.Unix()
	s := &b.slots[second%int64(len(b.slots))]
	if s.second != second {
		*s = slot{second: second}
	}
	return s
}
