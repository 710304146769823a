package retry

import "time"

// Options configure a Budget. Zero values take the defaults.
type Options struct {
	// Share is the fraction of first attempts that may be retried. Default 0.1.
	Share float64
	// PerSecond is the number of retries per second allowed in addition to Share.
	// Default 1.
	PerSecond float64
	// Window is the time over which the budget is counted, in whole seconds. Default 10s.
	Window time.Duration

	// Unlimited allows every retry. An entry sets it where the gates enforce the budget.
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

// Budget bounds the retries and hedges of one service on one node. Whenever it
// allows one, the retries and hedges in the window that ends at that time are at
// most Share of the first attempts in the window, plus PerSecond for each of its
// seconds. It is not safe for concurrent use.
type Budget struct {
	opts    Options
	buckets []bucket // one per second of the window, and one for the second in which it begins
}

// bucket counts the attempts of one second.
type bucket struct {
	second        int64 // Unix time
	firstAttempts int
	retries       float64 // retries and hedges, and shares of calls that retries made
}

// NewBudget returns the budget of one service.
func NewBudget(o Options) *Budget {
	o = o.withDefaults()
	return &Budget{opts: o, buckets: make([]bucket, int(o.Window/time.Second)+1)}
}

// SetPerSecond changes the retries per second allowed in addition to Share. Nodes
// that split a budget of the fleet call it when their number changes.
func (b *Budget) SetPerSecond(perSecond float64) { b.opts.PerSecond = perSecond }

// CountFirstAttempt counts a first attempt.
func (b *Budget) CountFirstAttempt(now time.Time) { b.bucketAt(now).firstAttempts++ }

// Take reports whether the budget allows one more retry or hedge, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	current := b.bucketAt(now)
	if !b.opts.Unlimited && b.remaining(now) < 1 {
		return false
	}
	current.retries++
	return true
}

// Charge counts retries that were not decided here and cannot be refused, such as the
// calls of a retried request to another service. The retries that Take allows shrink by
// as much.
func (b *Budget) Charge(now time.Time, retries float64) { b.bucketAt(now).retries += retries }

// Room returns the part of the budget, from 0 to 1, that the window ending at now still
// allows.
func (b *Budget) Room(now time.Time) float64 {
	allowed, used := b.sums(now)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-used/allowed)
}

// remaining returns the retries that the window ending at now still allows.
func (b *Budget) remaining(now time.Time) float64 {
	allowed, used := b.sums(now)
	return allowed - used
}

// sums returns the retries that the window ending at now allows in all, and those used. Of
// the second in which the window begins, all retries count and no first attempts.
func (b *Budget) sums(now time.Time) (allowed, used float64) {
	seconds := int64(len(b.buckets) - 1)
	begin, firstAttempts := now.Unix()-seconds, 0
	for _, counts := range b.buckets {
		if counts.second >= begin {
			used += counts.retries
		}
		if counts.second > begin {
			firstAttempts += counts.firstAttempts
		}
	}
	return b.opts.Share*float64(firstAttempts) + b.opts.PerSecond*float64(seconds), used
}

// bucketAt returns the bucket of the current second, emptied if it held an older one.
func (b *Budget) bucketAt(now time.Time) *bucket {
	second := now.Unix()
	current := &b.buckets[second%int64(len(b.buckets))]
	if current.second != second {
		*current = bucket{second: second}
	}
	return current
}
