package health

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleDelay keeps durations out of the distribution of their class until
	// their target has had time to become suspect.
	sampleDelay = 3 * time.Second
	// rateHalfLife is the half-life of a target's counts of successes and failures.
	rateHalfLife = 10 * time.Second
	// recentHalfLife is the half-life of the counts that show what all targets have
	// in common.
	recentHalfLife = 500 * time.Millisecond
	// refreshTicks is the number of ticks between two recomputations of the
	// distributions and error rates of a service.
	refreshTicks = 10
	// errorRateHalfLife is the half-life of the error rate of a service. At a few
	// requests/s, a target's peers show too few errors within rateHalfLife to tell
	// the rate.
	errorRateHalfLife = 5 * time.Minute
)

// Tick updates the states of all targets, paths and failure domains. It is due
// every TickInterval; a tick later than PauseThreshold discards the ages of
// requests in progress.
func (t *Tracker) Tick(now time.Time) []Change {
	t.startCall(now)
	elapsed := now.Sub(t.lastTick)
	t.lastTick = now
	t.updateOverdue(now)
	t.updatePaths(now)
	decay := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	recentDecay := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	errorRateDecay := math.Exp2(-elapsed.Seconds() / errorRateHalfLife.Seconds())
	t.ticks++
	for i, s := range t.serviceOrder {
		s.requests *= errorRateDecay
		s.errors *= errorRateDecay
		t.tickService(now, s, decay, recentDecay)
		// Distributions and rates change slowly: each tick updates those of a tenth
		// of the services.
		if (t.ticks+i)%refreshTicks == 0 {
			for _, l := range s.classOrder {
				l.refresh(now)
			}
			t.updateErrorRatios(s)
		}
	}
	return t.changes
}

func (t *Tracker) tickService(now time.Time, s *service, decay, recentDecay float64) {
	active := s.needsEvaluation
	for _, tgt := range s.targets {
		tgt.goodCount *= decay
		tgt.badCount *= decay
		tgt.recent = counts{tgt.recent.all * recentDecay, tgt.recent.errors * recentDecay, tgt.recent.slow * recentDecay}
		tgt.decay(now, t.opts)
		if tgt.ejected || tgt.ejectionBlocked || tgt.state.Weight < 1 || tgt.state.Suspicion > 0 || tgt.state.PathSuspicion > 0 || tgt.state.Overdue > 0 {
			active = true
		}
	}
	if active {
		s.needsEvaluation = false
		t.evaluate(now, s)
	}
	t.mergeSamples(now, s)
}

// mergeSamples adds the durations of targets that did not become suspect to the
// distributions of their classes.
func (t *Tracker) mergeSamples(now time.Time, s *service) {
	for _, tgt := range s.targets {
		due := 0
		for due < len(tgt.samples) && now.Sub(tgt.samples[due].finishedAt) >= sampleDelay {
			due++
		}
		if due == 0 {
			continue
		}
		if !tgt.ejected && !tgt.ejectionBlocked && t.relativeScore(now, tgt) < t.opts.Threshold/3 {
			for _, dueSample := range tgt.samples[:due] {
				dueSample.class.add(dueSample.bucket)
			}
		}
		tgt.samples = append(tgt.samples[:0], tgt.samples[due:]...)
	}
}

// updateErrorRatios sets the evidence of an error of each target from the error
// rate of its peers. The lower quartile ignores up to three quarters of failing
// peers.
func (t *Tracker) updateErrorRatios(s *service) {
	rates := make([]float64, 0, len(s.targets))
	rate := func(tgt *target) float64 { return tgt.badCount / (tgt.goodCount + tgt.badCount + 1) }
	for _, tgt := range s.targets {
		if !tgt.ejected {
			rates = append(rates, rate(tgt))
		}
	}
	slices.Sort(rates)
	for _, tgt := range s.targets {
		tgt.errorRatio = errorRatio(max(t.quartile(rates, rate(tgt), !tgt.ejected), s.errorRate()))
	}
}

// quartile returns the lower quartile of sorted values. It leaves out self, if
// that is included in the values.
func (t *Tracker) quartile(values []float64, self float64, included bool) float64 {
	n := len(values)
	if included {
		n--
	}
	if n < 1 || t.opts.disabled.peers {
		return 0
	}
	k := (n - 1) / 4
	if included && self <= values[k] {
		k++
	}
	return values[k]
}
