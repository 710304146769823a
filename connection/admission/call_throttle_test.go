package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a throttle that refuses urgent work with or before the less urgent work of
// its class, that refuses everything, or that stays closed after the shortage has ended.
func TestCallThrottleRefusesLeastUrgentFirst(t *testing.T) {
	random, now := rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	var throttle CallThrottle
	// Each second 10 urgent and 30 less urgent requests arrive, and calls of room runs find room.
	admitted := func(seconds, room int) (urgent, other float64) {
		for range seconds {
			left := room
			for i := range 40 {
				now = now.Add(time.Second / 40)
				rank := 34
				if i%4 == 0 {
					rank = 17
				}
				if !throttle.Admit(now, "order", rank, CallCounts{}, random.Float64()) {
					continue
				}
				throttle.Ended(now, "order", left > 0)
				left--
				if rank == 17 {
					urgent++
				} else {
					other++
				}
			}
		}
		return urgent / float64(10*seconds), other / float64(30*seconds)
	}
	if urgent, other := admitted(5, 40); urgent != 1 || other != 1 {
		t.Errorf("with room for all %.2f and %.2f are admitted", urgent, other)
	}
	admitted(10, 6)
	if urgent, other := admitted(20, 6); urgent < 0.9 || other > 0.4 || other < callTrialShare/2 {
		t.Errorf("with room for 6 of 40 a share of %.2f of the urgent and %.2f of the other requests is admitted", urgent, other)
	}
	admitted(30, 0)
	if urgent, other := admitted(10, 0); urgent > 0.3 || urgent == 0 || other == 0 {
		t.Errorf("without room %.2f and %.2f are admitted, want a share for trials", urgent, other)
	}
	admitted(8, 40)
	if urgent, other := admitted(5, 40); urgent < 0.95 || other < 0.95 {
		t.Errorf("8 s after the shortage %.2f and %.2f are admitted", urgent, other)
	}
}

// Guards against a gate with few requests that learns of a shortage late although the
// entries know of it, and against invalid reports of peers.
func TestCallThrottleUsesReports(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := func(report string) bool {
		var throttle CallThrottle
		for range 3 {
			throttle.Admit(now, "order", 34, ParseCallCounts(report), 0)
		}
		return !throttle.Admit(now, "order", 34, ParseCallCounts(report), 0.6)
	}
	counts := CallCounts{Requests: 20, Accepted: 2, at: now}
	for text, want := range map[string]bool{counts.String(): true, "20.00/19.00": false, "": false, "20": false, "2/20": false, "x/0": false,
		"20/-1": false, "NaN/0": false, "Inf/0": false, "1e300/0": false} {
		if refused(text) != want {
			t.Errorf("report %q: refused %v", text, !want)
		}
	}
}
