package health

import (
	"math"
	"time"
)

const (
	latencyBuckets   = 128
	bucketsPerOctave = 4
	// minLatencySamples is the number of durations from which a class has
	// thresholds of its own.
	minLatencySamples = 30
	// latencyHalvingInterval is the interval at which the counts of the histogram
	// are halved.
	latencyHalvingInterval = 10 * time.Second
	// minSlowDuration is the smallest latency that counts as slow. Below it,
	// scheduling delays of either host exceed the differences between targets.
	minSlowDuration = 5 * time.Millisecond
	// slowFactor is the smallest multiple of the median that counts as slow.
	slowFactor = 3
)

// unknownThresholds are the thresholds of a class without enough samples. They are
// slow for any work.
var unknownThresholds = [3]time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second}

// tails are the tail probabilities of the three thresholds, and tailRatio the
// log-likelihood ratios of a request beyond each. The ratios are those of the mixture
// 1/2 + 1/6·(u<1e-2)/1e-2 + 1/6·(u<1e-3)/1e-3 + 1/6·(u<1e-4)/1e-4, whose mean
// over a healthy target's requests is 1; a faster request counts ln(1/2).
var (
	tails     = [3]float64{1e-2, 1e-3, 1e-4}
	tailRatio = [3]float64{2.8, 5.2, 7.5}
)

// goodRatio is the log-likelihood ratio of a request below all thresholds, ln(1/2).
const goodRatio = -0.69

// latency is the distribution of durations of one service and class over the
// targets that are not suspect.
type latency struct {
	counts     [latencyBuckets]uint32
	n          uint32
	halvedAt   time.Time
	dirty      bool
	p50, p95   time.Duration
	thresholds [3]time.Duration
}

func newLatency() *latency { return &latency{thresholds: unknownThresholds} }

func latencyBucket(d time.Duration) uint8 {
	us := d.Microseconds()
	if us < 1 {
		return 0
	}
	return uint8(min(int(math.Log2(float64(us))*bucketsPerOctave), latencyBuckets-1))
}

func latencyBucketEdge(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/bucketsPerOctave) * float64(time.Microsecond))
}

func (l *latency) add(bucket uint8) {
	l.counts[bucket]++
	l.n++
	l.dirty = true
}

// refresh recomputes the thresholds after new samples.
func (l *latency) refresh(now time.Time) {
	if now.Sub(l.halvedAt) >= latencyHalvingInterval {
		l.halvedAt = now
		if l.n > 8*minLatencySamples {
			l.halve()
		}
	}
	if !l.dirty {
		return
	}
	l.dirty = false
	if l.n < minLatencySamples {
		return
	}
	l.p50, l.p95 = l.quantile(0.5), l.quantile(0.95)
	highest := 0
	for i, c := range l.counts {
		if c > 0 {
			highest = i
		}
	}
	// minThreshold keeps the thresholds apart where the samples are too few to show
	// the tail.
	minThreshold := max(slowFactor*l.p50, minSlowDuration)
	for i, tail := range tails {
		t, ok := l.tail(tail)
		if !ok {
			t = latencyBucketEdge(highest) * 5 / 4
		}
		l.thresholds[i] = max(t, minThreshold)
		minThreshold = max(l.thresholds[0]*time.Duration(i+3)/2, l.thresholds[i])
	}
}

func (l *latency) halve() {
	l.n = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.n += l.counts[i]
	}
	l.dirty = true
}

func (l *latency) quantile(q float64) time.Duration {
	seen, want := uint32(0), uint32(math.Ceil(q*float64(l.n)))
	for i, c := range l.counts {
		if seen += c; seen >= want {
			return latencyBucketEdge(i)
		}
	}
	return latencyBucketEdge(latencyBuckets - 1)
}

// tail returns the smallest duration that at most the given share of requests
// exceeds, if there are enough samples to show it.
func (l *latency) tail(share float64) (time.Duration, bool) {
	if 1/float64(l.n+1) > share {
		return 0, false
	}
	above := uint32(0)
	for i := latencyBuckets - 1; i >= 0; i-- {
		if float64(above+l.counts[i]+1)/float64(l.n+1) > share {
			return latencyBucketEdge(i), true
		}
		above += l.counts[i]
	}
	return latencyBucketEdge(0), true
}

// ratio returns the evidence of a request that took d, or that has been in progress
// for d, at a target that may be slower than its peers by the given factor.
func (l *latency) ratio(d time.Duration, factor float64) float64 {
	d = time.Duration(float64(d) / factor)
	for i := len(l.thresholds) - 1; i >= 0; i-- {
		if d > l.thresholds[i] {
			return tailRatio[i]
		}
	}
	return goodRatio
}

// pendingRatio returns the evidence of a request that has been in progress for d.
// Requests in progress wait in the same queue and are less independent than finished
// ones, so they count less until they exceed the highest threshold.
func (l *latency) pendingRatio(d time.Duration, factor float64) float64 {
	d = time.Duration(float64(d) / factor)
	switch {
	case d > l.thresholds[2]:
		return tailRatio[2]
	case d > l.thresholds[1]:
		return tailRatio[0]
	default:
		return 0
	}
}
