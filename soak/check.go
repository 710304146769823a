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

// Guarantee names a property that the fleet keeps under faults.
type Guarantee string

// Guarantees that Check verifies.
const (
	AtMostOnce    Guarantee = "at-most-once"    // an order runs at most once
	NotRun        Guarantee = "true-refusal"    // an order with the outcome not-run has not run
	OwnAnswer     Guarantee = "own-answer"      // a response is complete and belongs to its request
	NoCut         Guarantee = "no-cut"          // a graceful stop cuts no request
	GracefulStop  Guarantee = "stops-by-itself" // a node exits by itself after SIGTERM
	Leaving       Guarantee = "leaving"         // a leaving target gets no new requests after 3 s
	Floor         Guarantee = "floor"           // ejection leaves the configured share in rotation
	ConfigForward Guarantee = "config-forward"  // a process never returns to an older configuration
	Budget        Guarantee = "budget"          // retries stay within the retry budget
	PoisonLimit   Guarantee = "poison"          // a request crashes at most two targets
	Recovery      Guarantee = "recovery"        // all nodes and targets serve again after the faults
	TargetRates   Guarantee = "target-rate"     // a target gets no more requests than the rate that it names
	RequestedEnd  Guarantee = "requested-end"   // a process ends only by what the soak did
	AccountLimit  Guarantee = "account-limit"   // no more requests of an account run than its limit allows
	AccountKey    Guarantee = "key"             // changed keys are in force in time, and targets see accounts but no keys
	Memory        Guarantee = "memory"          // a node stays within the memory of its settings
	OwnUpload     Guarantee = "own-upload"      // a target gets no other body than the one that was sent
)

// Violation describes one case in which a guarantee did not hold.
type Violation struct {
	Guarantee Guarantee `json:"promise"`
	Detail    string    `json:"detail"`
}

const (
	leavingGrace = 3 * time.Second
	// drainNotice is the time after SIGTERM in which a node must still accept
	// requests: its drain notice of 1 s, less the delay of the signal.
	drainNotice      = 800 * time.Millisecond
	floorShare       = 0.5 // the floor in configText
	maxPoisonCrashes = 2

	budgetWindow = 10 * time.Second
	budgetShare  = 0.1 // of first attempts, the default of retry.Options
	budgetRate   = 1.0 // retries/s that each node may add, the default of retry.Options
)

// Check returns the violations of all guarantees in a history.
func Check(h *History) []Violation {
	var out []Violation
	for _, c := range []struct {
		guarantee Guarantee
		check     func(*History) []string
	}{
		{AtMostOnce, checkAtMostOnce}, {NotRun, checkNotRun}, {OwnAnswer, checkOwnAnswer}, {NoCut, checkNoCut},
		{GracefulStop, func(h *History) []string { return h.Stuck }}, {Leaving, checkLeaving}, {Floor, checkFloor},
		{ConfigForward, checkConfigForward}, {Budget, checkBudget}, {PoisonLimit, checkPoison}, {Recovery, checkRecovery},
		{RequestedEnd, checkEnds}, {TargetRates, checkRates}, {AccountLimit, checkAccountLimits},
		{AccountKey, checkKeys}, {Memory, checkMemory}, {OwnUpload, checkUploads},
	} {
		for _, detail := range c.check(h) {
			out = append(out, Violation{c.guarantee, detail})
		}
	}
	return out
}

// workID returns the identity under which the targets record an order.
func workID(c *Call) string { return strings.TrimPrefix(c.Work, "key ") }

// runsByWork counts the executions of each order.
func runsByWork(h *History) map[string]int {
	runs := map[string]int{}
	for _, run := range h.Executions {
		if run.Work != "" {
			runs[run.Work]++
		}
	}
	return runs
}

func checkAtMostOnce(h *History) (out []string) {
	for work, n := range runsByWork(h) {
		if n > 1 {
			out = append(out, fmt.Sprintf("order %s ran %d times", work, n))
		}
	}
	return out
}

func checkNotRun(h *History) (out []string) {
	mayHaveRun := map[string]bool{} // orders with any response other than not-run
	for i := range h.Calls {
		if c := &h.Calls[i]; c.Incomplete != "" || c.Outcome != attempt.NotRun {
			mayHaveRun[workID(c)] = true
		}
	}
	runs := runsByWork(h)
	for i := range h.Calls {
		c := &h.Calls[i]
		if work := workID(c); work != "" && !mayHaveRun[work] && runs[work] > 0 {
			out = append(out, fmt.Sprintf("order %s ran, but request %s has the outcome not-run (%s)", work, c.Request, c.Reason))
			mayHaveRun[work] = true // report each order once
		}
	}
	return out
}

func checkOwnAnswer(h *History) (out []string) {
	runs := runsByWork(h)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Mismatch != "" {
			out = append(out, fmt.Sprintf("request %s to %s: %s", c.Request, c.Path, c.Mismatch))
		}
		if work := workID(c); work != "" && c.Status == http.StatusOK && c.Incomplete == "" && runs[work] == 0 {
			out = append(out, fmt.Sprintf("order %s was answered, but no target ran it", work))
		}
	}
	return out
}

// checkUploads allows bodies that break off, but none that ends properly.
func checkUploads(h *History) (out []string) {
	for i := range h.Executions {
		if run := &h.Executions[i]; run.Altered != "" {
			out = append(out, fmt.Sprintf("target %s read a body of request %s that is not the caller's: %s", run.Target, run.Request, run.Altered))
		}
	}
	return out
}

// checkNoCut covers the requests that were in progress at SIGTERM and those written
// during the drain notice, also when the transport hid a cut by sending again.
func checkNoCut(h *History) (out []string) {
	for _, stop := range h.Stops {
		for i := range h.Calls {
			c := &h.Calls[i]
			if c.Node != stop.Node || c.WrittenAt.IsZero() || !c.WrittenAt.Before(stop.StartedAt.Add(drainNotice)) || !c.WrittenAt.After(stop.StartedAt.Add(-clientTimeout)) {
				continue
			}
			written := fmt.Sprintf("request for %s to node %s, written %s after SIGTERM, ", c.Path, c.Node, c.WrittenAt.Sub(stop.StartedAt))
			if c.Incomplete != "" && c.EndedAt.After(stop.StartedAt) {
				out = append(out, written+"was cut: "+c.Incomplete)
			} else if c.ResentAt.After(stop.StartedAt) && c.ResentAt.Before(stop.EndedAt) {
				out = append(out, fmt.Sprintf("%swas cut and sent again %s after SIGTERM", written, c.ResentAt.Sub(stop.StartedAt)))
			}
		}
	}
	return out
}

func checkLeaving(h *History) (out []string) {
	for _, drain := range h.Drains {
		i := slices.IndexFunc(h.Executions, func(run target.Execution) bool {
			return run.Target == drain.Target && run.At.After(drain.From) && run.At.Before(drain.To)
		})
		if i >= 0 {
			run := h.Executions[i]
			out = append(out, fmt.Sprintf("target %s ran request %s %s after it began to leave", drain.Target, run.Request, run.At.Sub(drain.From)+leavingGrace))
		}
	}
	return out
}

func checkFloor(h *History) (out []string) {
	for _, v := range h.Views {
		known, inRotation := 0, 0
		for _, t := range v.Targets {
			if t.Leaving || !t.InSubset {
				continue
			}
			known++
			if !t.Ejected {
				inRotation++
			}
		}
		if minInRotation := int(math.Ceil(floorShare * float64(known))); inRotation < minInRotation {
			out = append(out, fmt.Sprintf("node %s has %d of %d targets in rotation at %s", v.Node, inRotation, known, v.At.Sub(h.StartedAt)))
		}
	}
	return out
}

func checkConfigForward(h *History) (out []string) {
	type nodeProcess struct {
		node        string
		incarnation attempt.Incarnation
	}
	newest := map[nodeProcess]int64{}
	for _, v := range h.Views {
		p := nodeProcess{v.Node, v.Incarnation}
		if v.Version < newest[p] {
			out = append(out, fmt.Sprintf("node %s went from version %d to %d at %s", v.Node, newest[p], v.Version, v.At.Sub(h.StartedAt)))
		}
		newest[p] = max(newest[p], v.Version)
	}
	return out
}

// checkBudget compares the retries with the first runs in the window that ends at
// each retry. A node that is restarted gets a new budget, so each recent restart raises
// the limit by the rate of one node.
func checkBudget(h *History) []string {
	runs := slices.Clone(h.Executions)
	slices.SortStableFunc(runs, func(a, b target.Execution) int { return a.At.Compare(b.At) })
	seen := map[attempt.RequestID]bool{}
	var firstRuns, retries []time.Time
	for _, run := range runs {
		if run.Request == "" || !seen[run.Request] {
			firstRuns = append(firstRuns, run.At)
			seen[run.Request] = true
			continue
		}
		retries = append(retries, run.At)
		retryCount, firstCount := countWithin(retries, run.At, budgetWindow-time.Second), countWithin(firstRuns, run.At, budgetWindow+time.Second)
		nodes := h.Plan.Nodes + countWithin(h.Restarts, run.At, 2*budgetWindow)
		maxRetries := budgetShare*float64(firstCount) + budgetRate*budgetWindow.Seconds()*float64(nodes)
		if float64(retryCount) > maxRetries {
			return []string{fmt.Sprintf("%d retries and %d first runs in the window that ends at %s; at most %.0f retries are allowed", retryCount, firstCount, run.At.Sub(h.StartedAt), maxRetries)}
		}
	}
	return nil
}

// countWithin counts the times in the window that ends at end. Nodes count in whole
// seconds, so checkBudget allows for a window that is a second shorter or longer.
func countWithin(times []time.Time, end time.Time, window time.Duration) (n int) {
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}

func checkPoison(h *History) (out []string) {
	crashedTargets := map[string][]string{}
	for _, run := range h.Executions {
		if run.Crash != "" && !slices.Contains(crashedTargets[run.Crash], run.Target) {
			crashedTargets[run.Crash] = append(crashedTargets[run.Crash], run.Target)
		}
	}
	for text, targets := range crashedTargets {
		if len(targets) > maxPoisonCrashes {
			out = append(out, fmt.Sprintf("requests with %q crashed targets %v", text, targets))
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
