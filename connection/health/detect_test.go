package health

import (
	"slices"
	"testing"
	"time"
)

const warmUp = 15 * time.Second

// detectionTimes returns the sorted times until all entries have ejected a target
// that shows the named gray failure, one for each seed.
func detectionTimes(name string, seeds int, entries int, perTarget float64, o Options) []time.Duration {
	times := make([]time.Duration, seeds)
	done := make(chan int)
	for i := range seeds {
		go func() {
			s := newSim(uint64(i), entries, 8, 4, 8*perTarget, o)
			s.run(warmUp)
			s.targets[3].behavior = grayFailures[name]
			times[i] = s.timeToEject(5*time.Second, "t03")
			done <- i
		}()
	}
	for range seeds {
		<-done
	}
	slices.Sort(times)
	return times
}

// Guards against a failing target that keeps its share for longer than the bound,
// and fails requests of customers for as long.
func TestDetectionWithinBounds(t *testing.T) {
	for name := range grayFailures {
		t.Run(name, func(t *testing.T) {
			times := detectionTimes(name, 100, 1, 20, Options{})
			t.Logf("p50 %v p95 %v max %v", times[50], times[94], times[99])
			if times[94] > time.Second || times[99] > 3*time.Second {
				t.Errorf("95th of 100 detections took %v, the last %v", times[94], times[99])
			}
		})
	}
}

// Guards against slow detection at the traffic of one service of a small
// deployment, 5/s per target and entry. One entry alone would take seconds; eight
// entries detect the failure together.
func TestDetectionBySeveralEntries(t *testing.T) {
	for name := range grayFailures {
		t.Run(name, func(t *testing.T) {
			times := detectionTimes(name, 40, 8, 5, Options{})
			t.Logf("p50 %v 38th %v max %v", times[20], times[37], times[39])
			if times[37] > time.Second || times[39] > 3*time.Second {
				t.Errorf("38th of 40 detections took %v, the last %v", times[37], times[39])
			}
		})
	}
}
