package fallback

import (
	"testing"

	"github.com/hyssopsill/hyssopsill/connection/admission"
)

// passesThrottle does what the gate of a target does with admission.CallThrottle when an
// attempt arrives, with the counts of the entry that sent it.
func (c *crest) passesThrottle(q *crestRequest, t *crestTarget) bool {
	if !c.with.throttle || q.called {
		return true
	}
	if c.throttles[t.id] == nil {
		c.throttles[t.id] = &admission.CallThrottle{}
	}
	q.entry = c.random.IntN(crestEntries)
	reported := admission.CallCounts{}
	if q.class == "order" {
		reported = c.entries[q.entry].At(c.time())
	}
	if c.throttles[t.id].Admit(c.time(), q.class, q.rank, reported, c.random.Float64()) {
		return true
	}
	c.entries[q.entry].Count(c.time(), false)
	return false
}

// observeCalls does what the gate and the entry do when a run ended whose calls found room,
// or one of them did not.
func (c *crest) observeCalls(q *crestRequest, t *crestTarget, foundRoom bool) {
	if !c.with.throttle || q.called {
		return
	}
	c.throttles[t.id].Ended(c.time(), q.class, foundRoom)
	if q.class != "order" {
		return
	}
	c.entries[q.entry].Count(c.time(), foundRoom)
}

// Guards against less urgent orders that begin although their calls find no room at five small
// targets, which urgent work uses as well. The pattern is that of
// TestCallsOfLessUrgentWorkDoNotStarveUrgentWork.
func TestOrdersAreRefusedBeforeTheirCallsFindNoRoom(t *testing.T) {
	withThrottle := withRanks
	withThrottle.throttle = true
	for calls, maxFailed := range map[float64]float64{0.4: 1, 0.9: 0.8} {
		with, without := playRanks(4, calls, false, withThrottle), playRanks(4, calls, false, withRanks)
		t.Logf("calls %.1f times the capacity: %+.3f, without throttle %+.3f", calls, with, without)
		if with.calledFull > maxFailed*without.calledFull {
			t.Errorf("calls %.1f: %.3f of the orders fail as a call finds no room, want at most %.1f times %.3f", calls, with.calledFull, maxFailed, without.calledFull)
		}
		if with.urgent < without.urgent-0.02 || with.total < 0.97*without.total {
			t.Errorf("calls %.1f: %.3f of the urgent work in time and %.0f requests served, without throttle %.3f and %.0f", calls, with.urgent, with.total, without.urgent, without.total)
		}
	}
}
