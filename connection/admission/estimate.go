package admission

import (
	"math"
	"time"
)

// average is a weighted moving average of durations in seconds.
type average struct {
	value float64
	known bool
}

func (a *average) add(seconds, weight float64) {
	if !a.known {
		a.value, a.known = seconds, true
		return
	}
	a.value += weight * (seconds - a.value)
}

// decayed returns what is left of a value that decays to 1/e in decayTime.
func decayed(value float64, elapsed, decayTime time.Duration) float64 {
	return value * math.Exp(-float64(max(0, elapsed))/float64(decayTime))
}

const (
	serviceWeight = 0.1 // weight of one service time in the estimate
	windowSamples = 32  // service times in one latency window
	windowWeight  = 0.3 // weight of one window in the smoothed latency
	// minLatencyGrowth is the factor by which the minimum latency grows per
	// window, so that it follows work that became permanently slower.
	minLatencyGrowth = 1.01
	// marginDeviations is the number of mean deviations of the service time
	// kept free between the expected end of queued work and its deadline. With
	// exponential service times, 4 % of the work that starts at the last
	// possible moment misses its deadline.
	marginDeviations = 3
	// latencyTolerance is the ratio of smoothed to minimum latency up to which
	// the limit grows. The variation of service times alone keeps the ratio
	// below 1.5.
	latencyTolerance = 2.0
	// maxLatencyRatio bounds the ratio of one window's latency to the minimum,
	// so that a short stall affects the limit for a few windows only.
	maxLatencyRatio = 4.0
	// staleAfter is the age from which an estimate halves each second, so that
	// refusals based on it end without a new measurement.
	staleAfter = time.Second
)

// classState holds the settings of a class at one target and the measured
// service times of its work, in seconds.
type classState struct {
	Class
	serviceTime     average
	deviation       average // mean deviation of the service time
	observedAt      time.Time
	windowMean      average // plain mean of the current latency window
	windowCount     int
	smoothedLatency average
	minLatency      float64
}

// expectedServiceTime returns the estimated service time, or 0 when it is
// unknown.
func (c *classState) expectedServiceTime(now time.Time) time.Duration {
	seconds := c.serviceTime.value
	if age := now.Sub(c.observedAt); age > staleAfter {
		seconds *= math.Exp2(-(age - staleAfter).Seconds())
	}
	return time.Duration(seconds * float64(time.Second))
}

// deadlineMargin returns the time to keep free between the expected end of
// queued work and its deadline: at most half of the slack, so that work with a
// tight deadline can still wait for a slot.
func (c *classState) deadlineMargin(slack time.Duration) time.Duration {
	margin := time.Duration(marginDeviations * c.deviation.value * float64(time.Second))
	return max(0, min(margin, slack/2))
}

// observe adds the service time of finished work to the estimates and, after a
// full latency window, adapts the limit.
func (t *target) observe(now time.Time, sub *submission) {
	seconds := max(0, now.Sub(sub.started).Seconds())
	c := sub.class
	if c.serviceTime.known {
		c.deviation.add(math.Abs(seconds-c.serviceTime.value), serviceWeight)
	}
	c.serviceTime.add(seconds, serviceWeight)
	c.observedAt = now
	if sub.long {
		t.longServiceTime.add(seconds, serviceWeight)
		return
	}
	t.shortServiceTime.add(seconds, serviceWeight)
	c.windowCount++
	c.windowMean.add(seconds, 1/float64(c.windowCount))
	if c.windowCount >= windowSamples {
		t.adaptLimit(c)
	}
}

// adaptLimit ends a latency window of short work. When the ratio of smoothed to
// minimum latency exceeds latencyTolerance, the limit is multiplied by
// latencyTolerance over that ratio, but by no less than one half; else it grows
// by one. It stays between floor() and Slots.
func (t *target) adaptLimit(c *classState) {
	latency := c.windowMean.value
	if c.minLatency > 0 {
		latency = min(latency, maxLatencyRatio*c.minLatency)
	}
	c.smoothedLatency.add(latency, windowWeight)
	c.windowMean, c.windowCount = average{}, 0
	if c.minLatency == 0 {
		c.minLatency = c.smoothedLatency.value
	}
	c.minLatency = min(c.minLatency*minLatencyGrowth, c.smoothedLatency.value)
	if c.minLatency <= 0 {
		return
	}
	if ratio := c.smoothedLatency.value / c.minLatency; ratio > latencyTolerance {
		t.limit = max(float64(t.floor()), t.limit*max(0.5, latencyTolerance/ratio))
		return
	}
	t.limit = min(float64(t.Slots), math.Floor(t.limit)+1)
}

// discardLatencyWindows drops the current latency windows after a pause of this
// process, as the pause is part of the measured times.
func (t *target) discardLatencyWindows() {
	for _, c := range t.classes {
		c.windowMean, c.windowCount = average{}, 0
	}
}
