package gate

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	standin "github.com/hyssopsill/hyssopsill/standin/target"
)

// sendAll sends attempts at the same time and returns how many were answered.
func (f *fixture) sendAll(name string, n int, timeout time.Duration, header ...string) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	ran := 0
	for i := range n {
		wait.Go(func() {
			r := f.send(attemptID(fmt.Sprint(name, i)), "/a", timeout, header...)
			mu.Lock()
			defer mu.Unlock()
			if r.verdict == string(attempt.VerdictRan) {
				ran++
			}
		})
	}
	wait.Wait()
	return ran
}

// Guards against a gate that forgets in a restart what the target takes, and floods it
// until the first response.
func TestRestartedGateKeepsTheRateThatEntriesKnow(t *testing.T) {
	for _, known := range []bool{true, false} {
		f := newFixture(t, 8, false)
		f.target.SetFaults(standin.Faults{SlowMS: 300, TakesRate: 2})
		var header []string
		if known {
			header = []string{attempt.HeaderTargetRate, "2"}
		}
		ran := f.sendAll("r", 8, 900*time.Millisecond, header...)
		if known && ran > 2 || !known && ran != 8 {
			t.Errorf("rate known to the entry %v: %d requests ran within 0.9 s", known, ran)
		}
	}
}

// Guards against a limit that stays after the target has taken it back, and against an
// entry's older rate that replaces the target's own word.
func TestTargetTakesItsLimitBack(t *testing.T) {
	f := newFixture(t, 8, false)
	f.target.SetFaults(standin.Faults{TakesRate: 1})
	if ran := f.sendAll("named", 1, time.Second); ran != 1 {
		t.Fatalf("%d requests ran", ran)
	}
	f.target.SetFaults(standin.Faults{})
	if ran := f.sendAll("limited", 1, 3*time.Second); ran != 1 {
		t.Fatalf("%d requests ran", ran)
	}
	if ran := f.sendAll("unlimited", 8, 500*time.Millisecond, attempt.HeaderTargetRate, "1"); ran != 8 {
		t.Errorf("%d of 8 requests ran after the target took its limit back", ran)
	}
}
