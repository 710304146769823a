package targetlimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against values that are taken for a rate and are none.
func TestParse(t *testing.T) {
	for value, want := range map[string]float64{"0": 0, "3": 3, "4.25": 4.25, " 1.0 ": 1, "99999999999": 99999999999, ".5": 0.5} {
		if rate, ok := Parse(value); !ok || rate != want {
			t.Errorf("%q: %v, %v, want %v", value, rate, ok, want)
		}
	}
	for _, value := range []string{"", " ", ".", "-1", "+1", "1e3", "Inf", "inf", "NaN", "nan", "0x10", "1,5", "1.2.3", "4/s", "1 2", "१"} {
		if rate, ok := Parse(value); ok {
			t.Errorf("%q is taken for %v", value, rate)
		}
	}
	if rate, ok := Parse("1" + string(slices.Repeat([]byte("0"), 400))); !ok || rate < maxRate {
		t.Errorf("a number above the range is %v, %v, want one that binds nothing", rate, ok)
	}
}

// Guards against more requests than a target takes, which it counts in windows of 4 s,
// and against a pace far below its rate. Without pacing, the bursts of the callers pass.
func TestPaceOfBurstyDemand(t *testing.T) {
	const window = 4 * time.Second
	for _, paced := range []bool{true, false} {
		broken, rates := 0, 0
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			rate := []float64{0, 0.5, 1, 2.4, 4.1, 20}[seed%6]
			var l Limiter
			l.Observe(epoch, epoch, rate, true)
			var sent []time.Time
			waiting := 0
			for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
				if random.Float64() < 0.01 { // a burst every second
					waiting += random.IntN(3 + int(4*rate))
				}
				for ; waiting > 0 && (!paced || l.Available(now) > 0); waiting-- {
					l.Take(now)
					sent = append(sent, now)
				}
			}
			worst := 0
			for i := range sent {
				j, _ := slices.BinarySearchFunc(sent, sent[i].Add(window), time.Time.Compare)
				worst = max(worst, j-i)
			}
			if float64(worst) > 1.5*rate*window.Seconds()+5 {
				broken++
			}
			if rate >= 1 {
				rates++
				if served := float64(len(sent)) / 60; paced && served < 0.8*rate && waiting > 5 {
					t.Errorf("seed %d: %.2f requests/s sent at a limit of %.1f while %d wait", seed, served, rate, waiting)
				}
			}
		}
		if paced && broken > 0 || !paced && broken < rates/2 {
			t.Errorf("paced %v: the limit is exceeded with %d of 50 seeds", paced, broken)
		}
	}
}

// Guards against a limit that ends because of a response that was made before the
// target named it, and against one that stays after the target took it back.
func TestLimitEndsWithLaterResponses(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var l Limiter
	for _, step := range []struct {
		now, sent int
		rate      float64
		named     bool
		want      float64
		limited   bool
	}{
		{now: 100, sent: 0},
		{now: 200, sent: 50, rate: 3, named: true, want: 3, limited: true},
		{now: 210, sent: 60, want: 3, limited: true}, // overtaken
		{now: 300, sent: 190, rate: 2.5, named: true, want: 2.5, limited: true},
		{now: 400, sent: 250, want: 2.5, limited: true},
		{now: 500, sent: 310},
		{now: 600, sent: 510, rate: 2e6, named: true}, // binds nothing
		{now: 700, sent: 610, rate: 4, named: true, want: 4, limited: true},
		{now: 800, sent: 710, rate: 2e6, named: true},
	} {
		l.Observe(at(step.now), at(step.sent), step.rate, step.named)
		if rate, limited := l.Rate(); rate != step.want || limited != step.limited {
			t.Errorf("after %d ms: rate %v, limited %v, want %v, %v", step.now, rate, limited, step.want, step.limited)
		}
	}
}

// Guards against a gate that has just started and forgets the limit, and against an old
// rate that replaces what the target says.
func TestAdopt(t *testing.T) {
	var fresh Limiter
	if !fresh.Adopt(epoch, 2) || fresh.Available(epoch) != 0 || fresh.Wait(epoch, 1) != 500*time.Millisecond {
		t.Errorf("adopted limit: %+v", fresh)
	}
	var informed Limiter
	informed.Observe(epoch, epoch, 0, false)
	if informed.Adopt(epoch, 2) {
		t.Error("a rate was adopted although the target names none")
	}
}
