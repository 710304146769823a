package soak

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// Guarantee is what the fleet promises under faults.
type Guarantee string

// The promises that are checked.
const (
	AtMostOnce    Guarantee = "at-most-once"    // an order runs once at most
	TrueRefusal   Guarantee = "true-refusal"    // what is told as not-run has not run
	OwnAnswer     Guarantee = "own-answer"      // an answer is whole and to the own request
	NoCut         Guarantee = "no-cut"          // a graceful stop leaves no request unanswered
	StopsItself   Guarantee = "stops-by-itself" // a graceful stop ends
	Leaving       Guarantee = "leaving"         // a leaving target gets no new work after 3 s
	Floor         Guarantee = "floor"           // ejection leaves the configured share in rotation
	ConfigForward Guarantee = "config-forward"  // a process never goes back to an older configuration
	Budget        Guarantee = "budget"          // repeats stay within the budget
	PoisonLimit   Guarantee = "poison"          // a request takes down two targets at most
	Recovery      Guarantee = "recovery"        // all serve again after the faults
)

// Violation is one case of a broken promise.
type Violation struct {
	Guarantee Guarantee `json:"promise"`
	Detail    string    `json:"detail"`
}

const (
	leavingAfter = 3 * time.Second
	// noticeTime is the time after SIGTERM in which a node surely still takes
	// requests: its drain notice of 1 s, less the time of the signal.
	noticeTime = 800 * time.Millisecond
	floorShare = 0.5 // of configText
	maxCrashes = 2

	budgetWindow = 10 * time.Second
	budgetShare  = 0.1 // of first attempts, the default of retry.Options
	budgetRate   = 1.0 // repeats/s that each node may add, likewise
)

// Check returns the violations that a history shows.
func Check(h *History) []Violation {
	var out []Violation
	for _, c := range []struct {
		promise Guarantee
		check   func(*History) []string
	}{
		{AtMostOnce, checkAtMostOnce}, {TrueRefusal, checkTrueRefusal}, {OwnAnswer, checkOwnAnswer}, {NoCut, checkNoCut},
		{StopsItself, func(h *History) []string { return h.Stuck }}, {Leaving, checkLeaving}, {Floor, checkFloor},
		{ConfigForward, checkConfigForward}, {Budget, checkBudget}, {PoisonLimit, checkPoison}, {Recovery, checkRecovery},
	} {
		for _, detail := range c.check(h) {
			out = append(out, Violation{c.promise, detail})
		}
	}
	return out
}

// work is the identity of an order as the targets know it.
func work(c *Call) string { return strings.TrimPrefix(c.Work, "key ") }

func runsOf(h *History) map[string]int {
	runs := map[string]int{}
	for _, x := range h.Executions {
		if x.Work != "" {
			runs[x.Work]++
		}
	}
	return runs
}

func checkAtMostOnce(h *History) (out []string) {
	for name, n := range runsOf(h) {
		if n > 1 {
			out = append(out, fmt.Sprintf("order %s ran %d times", name, n))
		}
	}
	return out
}

func checkTrueRefusal(h *History) (out []string) {
	other := map[string]bool{} // orders with any answer but not-run
	for i := range h.Calls {
		if c := &h.Calls[i]; c.Broken != "" || c.Outcome != attempt.NotRun {
			other[work(c)] = true
		}
	}
	runs := runsOf(h)
	for i := range h.Calls {
		c := &h.Calls[i]
		if name := work(c); name != "" && !other[name] && runs[name] > 0 {
			out = append(out, fmt.Sprintf("order %s ran, and request %s says not-run (%s)", name, c.Request, c.Reason))
			other[name] = true // told once
		}
	}
	return out
}

func checkOwnAnswer(h *History) (out []string) {
	runs := runsOf(h)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Wrong != "" {
			out = append(out, fmt.Sprintf("request %s to %s: %s", c.Request, c.Path, c.Wrong))
		}
		if name := work(c); name != "" && c.Status == http.StatusOK && c.Broken == "" && runs[name] == 0 {
			out = append(out, fmt.Sprintf("order %s is answered and no target ran it", name))
		}
	}
	return out
}

func checkNoCut(h *History) (out []string) {
	for _, s := range h.Stops {
		for i := range h.Calls {
			c := &h.Calls[i]
			if c.Node == s.Node && c.Broken != "" && !c.Written.IsZero() && c.Ended.After(s.Begun) &&
				c.Written.Before(s.Begun.Add(noticeTime)) && c.Written.After(s.Begun.Add(-clientLimit)) {
				out = append(out, fmt.Sprintf("%s to %s, written %s after SIGTERM: %s", c.Path, c.Node, c.Written.Sub(s.Begun), c.Broken))
			}
		}
	}
	return out
}

func checkLeaving(h *History) (out []string) {
	for _, d := range h.Drains {
		i := slices.IndexFunc(h.Executions, func(x target.Execution) bool {
			return x.Target == d.Target && x.At.After(d.From) && x.At.Before(d.To)
		})
		if i >= 0 {
			x := h.Executions[i]
			out = append(out, fmt.Sprintf("target %s runs request %s %s after it began to leave", d.Target, x.Request, x.At.Sub(d.From)+leavingAfter))
		}
	}
	return out
}

func checkFloor(h *History) (out []string) {
	for _, v := range h.Views {
		known, rotation := 0, 0
		for _, t := range v.Targets {
			if t.Leaving || !t.InSubset {
				continue
			}
			known++
			if !t.Ejected {
				rotation++
			}
		}
		if least := int(math.Ceil(floorShare * float64(known))); rotation < least {
			out = append(out, fmt.Sprintf("node %s has %d of %d targets in rotation at %s", v.Node, rotation, known, v.At.Sub(h.Begun)))
		}
	}
	return out
}

func checkConfigForward(h *History) (out []string) {
	type process struct {
		node        string
		incarnation attempt.Incarnation
	}
	newest := map[process]int64{}
	for _, v := range h.Views {
		p := process{v.Node, v.Incarnation}
		if v.Version < newest[p] {
			out = append(out, fmt.Sprintf("node %s went from version %d to %d at %s", v.Node, newest[p], v.Version, v.At.Sub(h.Begun)))
		}
		newest[p] = max(newest[p], v.Version)
	}
	return out
}

// checkBudget counts, whenever a request runs again, the runs of requests beyond
// their first one in the window that ends then. A node that starts again has a
// budget of its own.
func checkBudget(h *History) []string {
	runs := slices.Clone(h.Executions)
	slices.SortStableFunc(runs, func(a, b target.Execution) int { return a.At.Compare(b.At) })
	seen := map[attempt.RequestID]bool{}
	var first, extra []time.Time
	for _, x := range runs {
		if x.Request == "" || !seen[x.Request] {
			first = append(first, x.At)
			seen[x.Request] = true
			continue
		}
		extra = append(extra, x.At)
		repeats, firsts := within(extra, x.At, budgetWindow-time.Second), within(first, x.At, budgetWindow+time.Second)
		nodes := h.Plan.Nodes + within(h.Starts, x.At, 2*budgetWindow)
		most := budgetShare*float64(firsts) + budgetRate*budgetWindow.Seconds()*float64(nodes)
		if float64(repeats) > most {
			return []string{fmt.Sprintf("%d repeats beside %d first runs until %s, allowed are %.0f", repeats, firsts, x.At.Sub(h.Begun), most)}
		}
	}
	return nil
}

// within counts the times of a window that ends at a time. Nodes count whole
// seconds, so that the window of a node may be a second shorter or longer.
func within(times []time.Time, end time.Time, window time.Duration) (n int) {
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}

func checkPoison(h *History) (out []string) {
	crashed := map[string][]string{}
	for _, x := range h.Executions {
		if x.Crash != "" && !slices.Contains(crashed[x.Crash], x.Target) {
			crashed[x.Crash] = append(crashed[x.Crash], x.Target)
		}
	}
	for text, targets := range crashed {
		if len(targets) > maxCrashes {
			out = append(out, fmt.Sprintf("requests with %q took down %v", text, targets))
		}
	}
	return out
}

func checkRecovery(h *History) []string {
	if h.Unready != "" {
		return []string{h.Unready}
	}
	return nil
}
