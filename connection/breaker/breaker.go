package breaker

import "time"

// Defaults of Options.
const (
	// DefaultTrialInterval is the time before the second trial of a failing target.
	// It doubles with each failure up to DefaultMaxTrialInterval, as each trial that
	// fails costs one attempt of the retry budget.
	DefaultTrialInterval    = 250 * time.Millisecond
	DefaultMaxTrialInterval = time.Second
	// DefaultNonIdempotentTrialAfter is the time after which work that must not run again may
	// be a trial, for targets that get no other work.
	DefaultNonIdempotentTrialAfter = 3 * time.Second
	// DefaultMaxSuccesses bounds the successes that close a breaker. A target
	// that fails nine requests in ten answers two in a row well in 1 of 100
	// cases.
	DefaultMaxSuccesses = 2
)

// DefaultMaxInconclusive is the number of inconclusive failures in a row that open a
// breaker.
const DefaultMaxInconclusive = 3

// Outcome is what a request that ended says of its target.
type Outcome int

const (
	Success Outcome = iota
	Failure         // the target's own
	// Inconclusive is a failure after the usual time of the work: it may come from
	// what the target itself called.
	Inconclusive
)

// Options tune a Breaker. Zero values take the defaults.
type Options struct {
	TrialInterval           time.Duration
	MaxTrialInterval        time.Duration
	NonIdempotentTrialAfter time.Duration
	MaxSuccesses            int
}

func (o Options) withDefaults() Options {
	if o.TrialInterval <= 0 {
		o.TrialInterval = DefaultTrialInterval
	}
	if o.MaxTrialInterval <= 0 {
		o.MaxTrialInterval = DefaultMaxTrialInterval
	}
	if o.NonIdempotentTrialAfter <= 0 {
		o.NonIdempotentTrialAfter = DefaultNonIdempotentTrialAfter
	}
	if o.MaxSuccesses <= 0 {
		o.MaxSuccesses = DefaultMaxSuccesses
	}
	return o
}

// Decision is what becomes of a request at a target.
type Decision int

const (
	Allow  Decision = iota // the target is well
	Trial                  // the request tries a failing target
	Refuse                 // the target fails; another one is better
)

// Breaker holds what the outcomes at one target say. It is not safe for
// concurrent use.
type Breaker struct {
	o         Options
	failures  int // since the last time it was closed
	successes int // since the last failure
	doubts    int // doubtful failures in a row, while closed
	failedAt  time.Time
	trialAt   time.Time
	trial     bool // one is in progress
}

// New returns a closed breaker.
func New(o Options) *Breaker { return &Breaker{o: o.withDefaults()} }

// Open reports whether the target counts as failing.
func (b *Breaker) Open() bool { return b.failures > 0 }

// Admit decides on a request. Repeatable work may run again after a failure. A
// Trial must be followed by Finished or Abandoned.
func (b *Breaker) Admit(now time.Time, repeatable bool) Decision {
	if !b.Open() {
		return Allow
	}
	lone := now.Sub(b.lastTry()) >= b.o.NonIdempotentTrialAfter
	if b.trial && !lone {
		return Refuse
	}
	if !repeatable && !lone {
		return Refuse
	}
	// The first trial, and one after a success, need not wait.
	if b.failures > 1 && b.successes == 0 && now.Sub(b.lastTry()) < b.pause() {
		return Refuse
	}
	b.trial, b.trialAt = true, now
	return Trial
}

func (b *Breaker) lastTry() time.Time {
	if b.trialAt.After(b.failedAt) {
		return b.trialAt
	}
	return b.failedAt
}

// pause is the time from one trial to the next.
func (b *Breaker) pause() time.Duration {
	d := b.o.TrialInterval
	for n := 2; n < b.failures && d < b.o.MaxTrialInterval; n++ {
		d *= 2
	}
	return min(d, b.o.MaxTrialInterval)
}

// RetryAfter is the time after which the next trial may start.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	return max(0, b.pause()-now.Sub(b.lastTry()))
}

// Finished takes the outcome of a request that was started at a time. A success of
// work that began before the last failure says nothing about what came after.
func (b *Breaker) Finished(now, started time.Time, trial bool, o Outcome) {
	if trial {
		b.trial = false
	}
	if o == Inconclusive && !b.Open() {
		if b.doubts++; b.doubts < DefaultMaxInconclusive {
			return
		}
	}
	switch {
	case o != Success:
		b.failures++
		b.doubts, b.successes, b.failedAt = 0, 0, now
	case !b.Open():
		b.doubts = 0
	case started.After(b.failedAt):
		if b.successes++; b.successes >= min(b.failures, b.o.MaxSuccesses) {
			b.failures, b.successes, b.doubts, b.trial = 0, 0, 0, false
		}
	}
}

// Abandoned takes the end of a request that says nothing about the target.
func (b *Breaker) Abandoned(trial bool) {
	if trial {
		b.trial = false
	}
}
