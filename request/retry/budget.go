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
	// Earlier counts the first attempts of the window before, or of the one half a
	// window before, where they are more: demand that falls leaves work to repeat.
	Earlier bool

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
	slots []slot // one per second of two windows
}

type slot struct {
	second int64
	first  int
	extra  float64
}

// NewBudget returns the budget of one service.
func NewBudget(o Options) *Budget {
	o = o.withDefaults()
	return &Budget{o: o, slots: make([]slot, 2*int(o.Window/time.Second))}
}

// SetPart changes share and retries allowed in addition, as a part of what the
// fleet may send follows the number of those that share it.
func (b *Budget) SetPart(share, perSecond float64) { b.o.Share, b.o.PerSecond = share, perSecond }

// First counts a first attempt.
func (b *Budget) First(now time.Time) { b.at(now).first++ }

// Take claims one retry or hedge, and reports whether the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	s := b.at(now)
	if !b.o.Unlimited && b.left(now) < 1 {
		return false
	}
	s.extra++
	return true
}

// Spend counts repeats that nobody asked for here, such as the calls that a
// repeated run makes: n of them, which may be a part of one.
func (b *Budget) Spend(now time.Time, n float64) { b.at(now).extra += n }

func (b *Budget) left(now time.Time) float64 {
	window := len(b.slots) / 2
	first, extra := b.sum(now, 0)
	if b.o.Earlier {
		half, _ := b.sum(now, window/2)
		whole, _ := b.sum(now, window)
		first = max(first, half, whole)
	}
	return b.o.Share*float64(first) + b.o.PerSecond*float64(window) - extra
}

// sum counts the window that ended some seconds before now.
func (b *Budget) sum(now time.Time, before int) (first int, extra float64) {
	newest := now.Unix() - int64(before)
	oldest := newest - int64(len(b.slots)/2) + 1
	for _, s := range b.slots {
		if s.second >= oldest && s.second <= newest {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

func (b *Budget) at(now time.Time) *slot {
	second := now.Unix()
	s := &b.slots[second%int64(len(b.slots))]
	if s.second != second {
		*s = slot{second: second}
	}
	return s
}
