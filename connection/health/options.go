package health

import "time"

// Options tune a Tracker. Zero values take the defaults.
type Options struct {
	// Threshold is the log-likelihood ratio that ejects. The default 14.5 is one
	// in 2 million, a few times less often than the requests to one target in
	// 100 hours at 20/s.
	Threshold float64
	// TickInterval is the expected distance of ticks. Default 100ms.
	TickInterval time.Duration
	// PauseThreshold is how late a tick may be before this host counts as paused
	// and the evidence of the window is void. Default 500ms.
	PauseThreshold time.Duration
	// MinEjectionTime and MaxEjectionTime bound the time that an ejected target stays out. The
	// time doubles with each ejection. Defaults 1s and 60s.
	MinEjectionTime, MaxEjectionTime time.Duration
	// EjectionTimeDecay is the time of health after which the ejection time halves.
	// Default 10min.
	EjectionTimeDecay time.Duration
	// MinTrickleInterval is the least distance of trickle requests of one entry to one
	// target. Default 1s.
	MinTrickleInterval time.Duration
	// TrickleIntervalPerEntry times the number of entries is the distance at larger
	// fleets. Default 150ms.
	TrickleIntervalPerEntry time.Duration
	// TrickleTimeout frees the trickle slot of a request that never ended.
	// Default 10s.
	TrickleTimeout time.Duration
	// ReturnSuccesses is the number of trickle successes in sequence before a
	// target returns. A target that fails half of its requests passes three in
	// one of eight tries, so that entries in turn took it back. Default 6.
	ReturnSuccesses int
	// ReportExpiry is how long a report of another entry counts. Default 3s.
	ReportExpiry time.Duration
	// ColdGrace is the time after a new incarnation in which the target may be
	// ColdFactor slower than its peers. Defaults 10s and 8.
	ColdGrace  time.Duration
	ColdFactor float64
	// VerifyTimeout is how long a gate may take to answer a status query on a new
	// connection before its path counts as silent. Default 200ms.
	VerifyTimeout time.Duration
	// DomainSilentShare of the gates of a failure domain, at least two, that are
	// silent at once makes the domain unreachable. Default 0.6.
	DomainSilentShare float64

	off switches
}

// switches turn one mechanism off, for the tests that show what it prevents.
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
	setDefault(&o.DomainSilentShare, 0.6)
	return o
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
