package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// maxViolations bounds the listed violations.
const maxViolations = 20

// ledger records the responses to customers and counts the checks made from outside.
type ledger struct {
	mu         sync.Mutex
	phase      string
	results    []phaseResult
	orders     map[string]*orderResponses // by identity of the order
	requests   map[int64]*requestInProgress
	checks     map[invariant.Name]*Count
	violations []string
}

type phaseResult struct {
	phase string
	result
}

// orderResponses summarizes the responses to one order.
type orderResponses struct {
	answered   bool
	mayHaveRun bool // some response neither answered the order nor proved that it did not run
}

// requestInProgress is the state of one request. No node knows a request before the
// client has written it to a connection. On a busy machine this takes seconds, in which a
// draining node may end.
type requestInProgress struct {
	written     bool
	duringDrain bool
}

// Count holds the numbers of checks and violations of an invariant.
type Count struct {
	Checks     int64 `json:"checks"`
	Violations int64 `json:"violations"`
}

func newLedger() *ledger {
	l := &ledger{orders: map[string]*orderResponses{}, requests: map[int64]*requestInProgress{}, checks: map[invariant.Name]*Count{}}
	for _, name := range invariant.All {
		l.checks[name] = &Count{}
	}
	return l
}

// Check implements invariant.Reporter.
func (l *ledger) Check(name invariant.Name, ok bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkLocked(name, ok, format, args...)
}

// checkLocked records a check. The caller holds l.mu.
func (l *ledger) checkLocked(name invariant.Name, ok bool, format string, args ...any) {
	l.checks[name].Checks++
	if ok {
		return
	}
	l.checks[name].Violations++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf("outside: %s: %s", name, fmt.Sprintf(format, args...)))
	}
}

func (l *ledger) setPhase(phase string) {
	l.mu.Lock()
	l.phase = phase
	l.mu.Unlock()
}

// beginRequest records the start of a request and returns its phase.
func (l *ledger) beginRequest(number int64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[number] = &requestInProgress{}
	return l.phase
}

// setWritten records whether a request has been written to a connection and has no
// response yet.
func (l *ledger) setWritten(number int64, written bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.requests[number]; c != nil {
		c.written = written
	}
}

// recordResponse records one response to an order.
func (l *ledger) recordResponse(workID string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	responses := l.orders[workID]
	if responses == nil {
		responses = &orderResponses{}
		l.orders[workID] = responses
	}
	switch {
	case r.outcome == attempt.Answered && !r.incomplete:
		responses.answered = true
	case r.outcome != attempt.NotRun || r.incomplete:
		responses.mayHaveRun = true
	}
}

// endRequest records the last result of a request and checks it.
func (l *ledger) endRequest(number int64, phase string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.outcome == attempt.Answered && !r.incomplete {
		l.checkLocked(invariant.OwnAnswer, r.mismatch == "", "%s", r.mismatch)
	}
	if l.requests[number].duringDrain {
		l.checkLocked(invariant.NoCut, !r.incomplete, "%s request %d at node %s was cut after %s while a node drained: %v", r.kind, number, r.node, r.duration, r.cause)
	}
	delete(l.requests, number)
	l.results = append(l.results, phaseResult{phase, r})
}

// markDrain marks the written requests in progress, none of which the drain may cut,
// and returns their number.
func (l *ledger) markDrain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	written := 0
	for _, c := range l.requests {
		if c.duringDrain = c.written; c.written {
			written++
		}
	}
	return written
}

func (l *ledger) inProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

// checkExecutions compares the responses to orders with the executions at the targets.
func (l *ledger) checkExecutions(counts map[string]target.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	executions, ranAt := map[string]int{}, map[string][]string{}
	for id, c := range counts {
		for _, byWork := range []map[string]int{c.Executions, c.Unkeyed} {
			for workID, n := range byWork {
				executions[workID] += n
				ranAt[workID] = append(ranAt[workID], fmt.Sprintf("%s: %d", id, n))
			}
		}
	}
	for workID, responses := range l.orders {
		n := executions[workID]
		l.checkLocked(invariant.AtMostOnce, n <= 1, "order %s ran %d times (%v)", workID, n, ranAt[workID])
		if responses.answered {
			l.checkLocked(invariant.OwnAnswer, n > 0, "order %s was answered, but no target ran it", workID)
		} else if !responses.mayHaveRun {
			l.checkLocked(invariant.NotRun, n == 0, "order %s has the outcome not-run, but ran %d times (%v)", workID, n, ranAt[workID])
		}
	}
}

// endedSince returns the results of the requests that ended after t, among the last
// maxRecentResults.
func (l *ledger) endedSince(t time.Time) []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []result
	for i := len(l.results) - 1; i >= 0 && i >= len(l.results)-maxRecentResults; i-- {
		if r := l.results[i].result; r.startedAt.Add(r.duration).After(t) {
			out = append(out, r)
		}
	}
	return out
}

const maxRecentResults = 4000 // results that the live table considers

// resultsInPhase returns the results of the requests that started in a phase.
func (l *ledger) resultsInPhase(phase string) []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []result
	for _, r := range l.results {
		if r.phase == phase {
			out = append(out, r.result)
		}
	}
	return out
}

// servedShares returns for each entry its share of the target's responses so far.
func (l *ledger) servedShares(targetID string) map[string]float64 {
	shares, total := map[string]float64{}, 0.0
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.target == targetID {
			shares[r.node]++
			total++
		}
	}
	for node := range shares {
		shares[node] /= total
	}
	return shares
}

// totals returns the numbers of checks so far and the listed violations.
func (l *ledger) totals() (map[invariant.Name]Count, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := map[invariant.Name]Count{}
	for name, c := range l.checks {
		checks[name] = *c
	}
	return checks, append([]string{}, l.violations...)
}
