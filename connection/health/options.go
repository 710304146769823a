package health

import "time"

// Options tune a Tracker. Zero values take the defaults.
type Options struct {
	// Threshold is the log-likelihood ratio at which a target is ejected. The
	// default 14.5 means odds of one in 2 million. For comparison, a target that gets
	// 20 requests/s serves 7.2 million in 100 hours.
	Threshold float64
	// TickInterval is the expected time between two ticks. Default 100ms.
	TickInterval time.Duration
	// PauseThreshold is the delay of a tick above which this host is considered
	// paused, and the ages of requests in progress are discarded. Default 500ms.
	PauseThreshold time.Duration
	// MinEjectionTime and MaxEjectionTime bound the time for which a target stays
	// ejected. The time doubles with each ejection. Defaults 1s and 60s.
	MinEjectionTime, MaxEjectionTime time.Duration
	// EjectionTimeDecay is the time without ejection after which the ejection time
	// halves. Default 10min.
	EjectionTimeDecay time.Duration
	// MinTrickleInterval is the shortest time between two trickle requests of one
	// entry to one target. Default 1s.
	MinTrickleInterval time.Duration
	// TrickleIntervalPerEntry times the number of entries is the trickle interval
	// where that is longer than MinTrickleInterval. Default 150ms.
	TrickleIntervalPerEntry time.Duration
	// TrickleTimeout frees the trickle slot of a request that never ended.
	// Default 10s.
	TrickleTimeout time.Duration
	// ReturnSuccesses is the number of consecutive trickle successes after which a
	// target returns. With three, a target that fails half of its requests returned
	// in one of eight cases, at one entry after another. Default 6.
	ReturnSuccesses int
	// ReportExpiry is how long a report of another entry is used. Default 3s.
	ReportExpiry time.Duration
	// ColdGrace is the time after a new incarnation in which the target may be
	// ColdFactor slower than its peers. Defaults 10s and 8.
	ColdGrace  time.Duration
	ColdFactor float64
	// VerifyTimeout is how long a gate may take to respond to a status query on a
	// new connection before it is considered unresponsive. Default 200ms.
	VerifyTimeout time.Duration
	// DomainUnresponsiveShare is the share of the gates of a failure domain from which
	// the domain is unreachable when they are unresponsive at once. At least two must
	// be. Default 0.6.
	DomainUnresponsiveShare float64

	disabled switches
}

// switches turn single mechanisms off, for TestMechanisms, which shows what each
// of them prevents. Its sub-tests have the names of the fields.
type switches struct {
	overdue, peers, pause, floor, stale, domain, path, doubling, reportRule, probeCap, hintRule, cold, queue, callers, trickleSpread bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.Threshold, 14.5)
	setDefault(&o.TickInterval, 100*time.Millisecond)
	setDefault(&o.PauseThreshold, 500*time.Millisecond)
	setDefault(&o.MinEjectionTime, time.Second)
	setDefault(&o.MaxEjectionTime, time.Minute)
	setDefault(&o.EjectionTimeDecay, 10*time.Minute)
	setDefault(&o.MinTrickleInterval, time.Second)
	setDefault(&o.TrickleIntervalPerEntry, 150*time.Millisecond)
	setDefault(&o.TrickleTimeout, 10*time.Second)
	setDefault(&o.ReturnSuccesses, 6)
	setDefault(&o.ReportExpiry, 3*time.Second)
	setDefault(&o.ColdGrace, 10*time.Second)
	setDefault(&o.ColdFactor, 8)
	setDefault(&o.VerifyTimeout, 200*time.Millisecond)
	setDefault(&o.DomainUnresponsiveShare, 0.6)
	return o
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
