package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	rateShare        = 0.5 // share of plans in which a target names the rate that it takes
	maxRateEvents    = 2
	rateEventTime    = 7 * time.Second
	rateLearningTime = time.Second // from the first response with the rate
	rateWindow       = 4 * time.Second
	namedRate        = 3               // requests/s
	eventMargin      = 3 * time.Second // a fault may last longer than planned
)

// RateLimit records the time in which a target named the rate that it takes.
type RateLimit struct {
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	Rate   float64   `json:"rate"` // requests/s
}

// addTargetRates adds times in which a target names its rate and has no other fault.
func (p *Plan) addTargetRates(random *rand.Rand) {
	if random.Float64() >= rateShare {
		return
	}
	for range maxRateEvents {
		e := Event{At: time.Duration(random.Int64N(int64(p.Faults))), Kind: TargetRate, Subject: random.IntN(p.Targets), Duration: rateEventTime}
		if !slices.ContainsFunc(p.Events, func(other Event) bool {
			return other.concernsTarget() && other.Subject == e.Subject && other.overlaps(e)
		}) {
			p.Events = append(p.Events, e)
		}
	}
}

func (e Event) overlaps(other Event) bool {
	return e.At <= other.At+other.Duration+eventMargin && other.At <= e.At+e.Duration+eventMargin
}

// limitTarget makes a target name its rate.
func (in *injector) limitTarget(ctx context.Context, t *targetProcess, d time.Duration) error {
	limit := RateLimit{Target: t.id, From: time.Now(), Rate: namedRate}
	err := in.enableFaultsFor(ctx, "http://"+t.control, fmt.Sprintf(`{"takes_rate":%d}`, namedRate), d)
	limit.To = time.Now().Add(-time.Second) // without the time in which the fault is cleared
	if err == nil {
		in.history.withLock(func() { in.history.RateLimits = append(in.history.RateLimits, limit) })
	}
	return err
}

// checkRates counts the runs at a target that names its rate, from a second after the
// first of them on. A restart of the target's node excuses none: its gate learns the
// rate from the other nodes.
func checkRates(h *History) (out []string) {
	for _, limit := range h.RateLimits {
		var runs []time.Time
		for _, run := range h.Executions {
			if run.Target == limit.Target && run.At.After(limit.From) && run.At.Before(limit.To) {
				runs = append(runs, run.At)
			}
		}
		if len(runs) == 0 {
			continue
		}
		slices.SortFunc(runs, time.Time.Compare)
		learned := runs[0].Add(rateLearningTime)
		most, _ := busiestWindow(slices.DeleteFunc(runs, func(at time.Time) bool { return !at.After(learned) }), rateWindow)
		if allowed := 1.5*limit.Rate*rateWindow.Seconds() + 5; float64(most) > allowed {
			out = append(out, fmt.Sprintf("target %s names %.0f requests/s and ran %d in %s, %.0f allowed", limit.Target, limit.Rate, most, rateWindow, allowed))
		}
	}
	return out
}
