package breaker

import (
	"math/rand/v2"
	"testing"
	"time"
)

// errorPeriods is the load pattern of targets that fail in turn: a target returns errors
// to nine requests in ten for 1 to 9 s, then works for about twice as long.
type errorPeriods struct {
	breaker         *Breaker
	random          *rand.Rand
	idempotentShare float64 // of the requests that are offered to the target
	calledFailures  float64 // share of the requests of which a call to another service fails
}

// play replays the pattern for ten minutes with ten requests/s. It returns the mean and the
// longest time for which the breaker stays open after its target has recovered, and the
// number of non-idempotent requests that a failing target got per period.
func (p *errorPeriods) play() (mean, longest time.Duration, lost float64) {
	const step = 100 * time.Millisecond
	const serviceTime = 500 * time.Millisecond
	type running struct {
		ends, sent time.Time
		trial      bool
		outcome    Outcome
	}
	var inProgress []running
	now, failing, periods, waited := epoch, false, 0, time.Duration(0)
	changeAt, recoveredAt, open := now.Add(2*time.Second), now, false
	for range int(10 * time.Minute / step) {
		now = now.Add(step)
		if !now.Before(changeAt) {
			failing = !failing
			length := time.Second + time.Duration(p.random.Int64N(int64(8*time.Second)))
			if failing {
				periods++
			} else {
				length, recoveredAt, open = 2*length, now, p.breaker.Open()
			}
			changeAt = now.Add(length)
		}
		rest := inProgress[:0]
		for _, r := range inProgress {
			if now.Before(r.ends) {
				rest = append(rest, r)
				continue
			}
			p.breaker.Finished(now, r.sent, r.trial, r.outcome)
		}
		inProgress = rest
		if open && !failing && !p.breaker.Open() {
			open = false
			waited += now.Sub(recoveredAt)
			longest = max(longest, now.Sub(recoveredAt))
		}
		idempotent := p.random.Float64() < p.idempotentShare
		decision := p.breaker.Admit(now, idempotent)
		if decision == Refuse {
			continue
		}
		r := running{ends: now.Add(serviceTime), sent: now, trial: decision == Trial}
		switch {
		case failing && p.random.Float64() < 0.9:
			r.ends, r.outcome = now, Failure
			if !idempotent {
				lost++
			}
		case p.random.Float64() < p.calledFailures:
			r.outcome = Inconclusive
		}
		inProgress = append(inProgress, r)
	}
	return waited / time.Duration(periods), longest, lost / float64(periods)
}

// Guards against breakers that stay open for seconds after their target has recovered, which
// takes capacity from a service of which 30 % of the targets fail at any time, and against
// a quick return that is paid for with non-idempotent work at failing targets.
func TestReturnsSoonAfterErrorPeriods(t *testing.T) {
	for _, pattern := range []struct {
		name                            string
		idempotentShare, calledFailures float64
		maxMean                         time.Duration
	}{
		{"non-idempotent work only", 0, 0, 3 * time.Second},
		{"some calls", 0.1, 0, 2 * time.Second},
		{"some calls, called services fail", 0.1, 0.2, 2500 * time.Millisecond},
	} {
		play := func(slow bool) (time.Duration, time.Duration, float64) {
			o := Options{slowReturn: slow}
			if slow {
				o.MaxTrialTime = DefaultNonIdempotentTrialAfter
			}
			p := errorPeriods{breaker: New(o), random: rand.New(rand.NewPCG(1, 2)),
				idempotentShare: pattern.idempotentShare, calledFailures: pattern.calledFailures}
			return p.play()
		}
		mean, longest, lost := play(false)
		slowMean, slowLongest, slowLost := play(true)
		t.Logf("%s: open for %s on average after the target has recovered, %s at most, %.2f lost per period; before %s, %s, %.2f",
			pattern.name, mean, longest, lost, slowMean, slowLongest, slowLost)
		if mean > pattern.maxMean || mean >= slowMean {
			t.Errorf("%s: open for %s on average, bound %s; with the rules before %s", pattern.name, mean, pattern.maxMean, slowMean)
		}
		if lost > slowLost+1 {
			t.Errorf("%s: %.2f requests lost per period, %.2f with the rules before", pattern.name, lost, slowLost)
		}
	}
}
