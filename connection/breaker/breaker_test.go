package breaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a failing target that gets non-idempotent work after its first
// failure, and against a breaker that stays open after the target has recovered.
func TestOpensAfterOneFailureAndCloses(t *testing.T) {
	b := New(Options{})
	if b.Admit(at(0), false) != Allow {
		t.Fatal("a target without failures is refused")
	}
	b.Finished(at(10), at(0), false, Failure)
	if b.Admit(at(11), false) != Refuse {
		t.Fatal("non-idempotent work goes to a target that just failed")
	}
	if b.Admit(at(11), true) != Trial {
		t.Fatal("the first trial is refused")
	}
	if b.Admit(at(12), true) != Refuse {
		t.Fatal("two trials at once")
	}
	b.Finished(at(60), at(11), true, Success)
	if b.Open() || b.Admit(at(61), false) != Allow {
		t.Fatal("still open after one failure and one success")
	}
}

// Guards against a chance success that closes the breaker of a target which fails
// nine requests in ten, and against trials that exhaust the retry budget.
func TestBacksOffAndNeedsTwoSuccesses(t *testing.T) {
	b := New(Options{})
	b.Finished(at(0), at(0), false, Failure)
	b.Finished(at(1), at(0), false, Failure)
	if b.Admit(at(100), true) != Refuse {
		t.Fatal("the second trial follows at once")
	}
	if b.Admit(at(300), true) != Trial {
		t.Fatal("no trial after the trial interval")
	}
	b.Finished(at(310), at(300), true, Success)
	if !b.Open() {
		t.Fatal("one success closes after two failures")
	}
	if b.Admit(at(311), true) != Trial {
		t.Fatal("the next trial after a success is refused")
	}
	b.Finished(at(320), at(311), true, Success)
	if b.Open() {
		t.Fatal("two successes do not close")
	}
}

// Guards against a service whose targets are all reported as failing because a
// service that they call fails.
func TestThreeInconclusiveFailuresInARowOpen(t *testing.T) {
	b := New(Options{})
	for i := range 10 {
		b.Finished(at(i), at(i), false, Inconclusive)
		b.Finished(at(i), at(i), false, Inconclusive)
		b.Finished(at(i), at(i), false, Success)
	}
	if b.Open() {
		t.Fatal("opened although each third request succeeds")
	}
	for i := range DefaultMaxInconclusive {
		b.Finished(at(20+i), at(20+i), false, Inconclusive)
	}
	if !b.Open() {
		t.Fatal("three inconclusive failures in a row do not open")
	}
}

// Guards against the success of a request sent before a failure that closes the
// breaker after it.
func TestEarlierSuccessDoesNotClose(t *testing.T) {
	b := New(Options{})
	b.Finished(at(100), at(90), false, Failure)
	b.Finished(at(110), at(50), false, Success)
	if !b.Open() {
		t.Fatal("closed by work that began before the failure")
	}
}

// Guards against a breaker that never closes because its target gets only
// non-idempotent work, and against a cancelled trial that blocks all later ones.
func TestNonIdempotentTrialAndCancelledTrial(t *testing.T) {
	b := New(Options{})
	b.Finished(at(0), at(0), false, Failure)
	if b.Admit(at(1900), false) != Refuse || b.Admit(at(2000), false) != Trial {
		t.Fatal("non-idempotent work is not tried after NonIdempotentTrialAfter")
	}
	b.Cancelled(true)
	if b.Admit(at(2500), true) != Trial {
		t.Fatal("a cancelled trial blocks the next one")
	}
}

// Guards against a second wait after the success of non-idempotent work, against
// inconclusive trials that keep a breaker open, and against a trial without an outcome
// that blocks further ones.
func TestReturnIsNotDelayed(t *testing.T) {
	b := New(Options{})
	b.Finished(at(0), at(0), false, Failure)
	b.Finished(at(1), at(0), false, Failure)
	if b.Admit(at(2100), false) != Trial {
		t.Fatal("no trial by non-idempotent work")
	}
	b.Finished(at(2200), at(2100), true, Success)
	if b.Admit(at(2201), false) != Trial {
		t.Fatal("the trial after a success waits")
	}
	b.Finished(at(2300), at(2201), true, Success)
	if b.Open() {
		t.Fatal("two successes do not close")
	}
	b.Finished(at(3000), at(2999), false, Failure)
	for ms := 3300; ms < 6000; ms += 300 {
		if b.Admit(at(ms), true) != Trial {
			t.Fatalf("no trial at %d ms after inconclusive ones", ms)
		}
		b.Finished(at(ms+10), at(ms), true, Inconclusive)
	}
	if b.Admit(at(6300), true) != Trial || b.Admit(at(6900), true) != Refuse || b.Admit(at(7300), true) != Trial {
		t.Fatal("a trial without an outcome does not block others for exactly a second")
	}
}

// Guards against a breaker that never closes: after any history, idempotent work
// is admitted within the longest trial interval once no trial is in progress, and
// two successes close the breaker.
func TestAlwaysCloses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(Options{}), 0
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			now += rapid.IntRange(1, 400).Draw(t, "ms")
			idempotent := rapid.Bool().Draw(t, "idempotent")
			switch decision := b.Admit(at(now), idempotent); {
			case decision == Refuse:
				if !b.Open() {
					t.Fatal("a closed breaker refuses")
				}
			default:
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				b.Finished(at(now), at(now-1), decision == Trial, outcome)
			}
		}
		for range DefaultMaxSuccesses + 1 {
			now += int(DefaultMaxTrialInterval/time.Millisecond) + 1
			decision := b.Admit(at(now), true)
			if decision == Refuse {
				t.Fatal("idempotent work is refused after the longest trial interval")
			}
			b.Finished(at(now+1), at(now), decision == Trial, Success)
		}
		if b.Open() {
			t.Fatal("successes do not close the breaker")
		}
	})
}
