package breaker

import "time"

// Defaults of Options.
const (
	// DefaultTrialInterval is the time before the second trial of a failing target.
	// It doubles with each further failure up to DefaultMaxTrialInterval, as each
	// failed trial takes one attempt from the retry budget.
	DefaultTrialInterval    = 250 * time.Millisecond
	DefaultMaxTrialInterval = time.Second
	// DefaultNonIdempotentTrialAfter is the time without a trial or failure after
	// which non-idempotent work may be a trial, for targets that get no other work. With
	// 3 s TestReturnsSoonAfterErrorPeriods loses 0.8 requests less per period of errors,
	// but the target is out of use for 0.5 s longer after each.
	DefaultNonIdempotentTrialAfter = 2 * time.Second
	// DefaultMaxTrialTime is the time after which a trial without an outcome blocks no
	// further one by idempotent work. A target that hangs would otherwise stay out of use
	// for the deadline of the trial.
	DefaultMaxTrialTime = time.Second
	// DefaultMaxSuccesses bounds the successes needed to close a breaker. A target
	// that fails nine requests in ten has two successes in a row in 1 of 100 cases.
	DefaultMaxSuccesses = 2
)

// DefaultMaxInconclusive is the number of inconclusive failures in a row that open a
// breaker.
const DefaultMaxInconclusive = 3

// Outcome says what the end of a request shows about its target.
type Outcome int

const (
	Success Outcome = iota
	Failure         // caused by the target itself
	// Inconclusive is a failure that took a good part of the usual service time: a
	// service that the target called may have caused it.
	Inconclusive
)

// Options configure a Breaker. Zero values take the defaults.
type Options struct {
	TrialInterval           time.Duration
	MaxTrialInterval        time.Duration
	NonIdempotentTrialAfter time.Duration
	MaxTrialTime            time.Duration
	MaxSuccesses            int

	// slowReturn is for the test that compares with earlier rules: a non-idempotent trial
	// after a success waits as long as one after a failure, and an inconclusive failure
	// counts as a failure while the breaker is open.
	slowReturn bool
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
	if o.MaxTrialTime <= 0 {
		o.MaxTrialTime = DefaultMaxTrialTime
	}
	if o.MaxSuccesses <= 0 {
		o.MaxSuccesses = DefaultMaxSuccesses
	}
	return o
}

// Decision says whether a request may go to a target.
type Decision int

const (
	Allow  Decision = iota // the breaker is closed
	Trial                  // the breaker is open, and the request tries the target
	Refuse                 // the breaker is open, and the request should go elsewhere
)

// Breaker is the circuit breaker of one target. It is open after a failure until
// enough requests succeed. It is not safe for concurrent use.
type Breaker struct {
	options        Options
	failures       int // since the breaker was last closed
	successes      int // since the last failure
	inconclusive   int // inconclusive failures since the last failure, or success while closed
	failedAt       time.Time
	trialStartedAt time.Time
	trialRunning   bool
}

// New returns a closed breaker.
func New(o Options) *Breaker { return &Breaker{options: o.withDefaults()} }

// Open reports whether the breaker is open, which means that the target is failing.
func (b *Breaker) Open() bool { return b.failures > 0 }

// Admit decides whether a request may go to the target. An idempotent request may
// run again after a failure. After Trial the caller must call Finished or
// Cancelled.
func (b *Breaker) Admit(now time.Time, idempotent bool) Decision {
	if !b.Open() {
		return Allow
	}
	if b.RetryAfter(now, idempotent) > 0 {
		return Refuse
	}
	b.trialRunning, b.trialStartedAt = true, now
	return Trial
}

// RetryAfter returns the time after which the next trial by idempotent or by other work
// may start. The outcome of a trial that is running may admit it sooner.
func (b *Breaker) RetryAfter(now time.Time, idempotent bool) time.Duration {
	if !b.Open() {
		return 0
	}
	wait := time.Duration(0)
	if idempotent {
		// The first trial and a trial after a success need not wait.
		if (b.failures > 1 || b.inconclusive > 0) && b.successes == 0 {
			wait = b.trialInterval()
		}
		if b.trialRunning {
			wait = max(wait, b.options.MaxTrialTime)
		}
	} else if b.trialRunning || b.successes == 0 || b.options.slowReturn {
		// A target that fails nine requests in ten rarely has a success, so that after
		// one the next trial need not wait.
		wait = b.options.NonIdempotentTrialAfter
	}
	return max(0, wait-now.Sub(b.lastTrialOrFailure()))
}

// lastTrialOrFailure returns the time of the last start of a trial or the last
// failure, whichever is later.
func (b *Breaker) lastTrialOrFailure() time.Time {
	if b.trialStartedAt.After(b.failedAt) {
		return b.trialStartedAt
	}
	return b.failedAt
}

// trialInterval returns the time from one trial to the next.
func (b *Breaker) trialInterval() time.Duration {
	interval := b.options.TrialInterval
	for n := 2; n < b.failures && interval < b.options.MaxTrialInterval; n++ {
		interval *= 2
	}
	return min(interval, b.options.MaxTrialInterval)
}

// Finished records the outcome of a request that was sent at started. It ignores a
// success of a request sent before the last failure, as that shows nothing about
// the target since then.
func (b *Breaker) Finished(now, started time.Time, trial bool, outcome Outcome) {
	if trial {
		b.trialRunning = false
	}
	if outcome == Inconclusive {
		b.inconclusive++
		// A called service that fails must not keep the breakers of its callers open.
		if b.Open() && !b.options.slowReturn || !b.Open() && b.inconclusive < DefaultMaxInconclusive {
			return
		}
	}
	switch {
	case outcome != Success:
		b.failures++
		b.inconclusive, b.successes, b.failedAt = 0, 0, now
	case !b.Open():
		b.inconclusive = 0
	case started.After(b.failedAt):
		if b.successes++; b.successes >= min(b.failures, b.options.MaxSuccesses) {
			b.failures, b.successes, b.inconclusive, b.trialRunning = 0, 0, 0, false
		}
	}
}

// Cancelled records the end of a request whose outcome shows nothing about the
// target.
func (b *Breaker) Cancelled(trial bool) {
	if trial {
		b.trialRunning = false
	}
}
