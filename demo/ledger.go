package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// keepViolations bounds the violations that are listed.
const keepViolations = 20

// ledger keeps what customers were told and counts the checks from outside.
type ledger struct {
	mu         sync.Mutex
	phase      string
	results    []phaseResult
	orders     map[string]*orderAnswers // by the identity of the work
	running    map[int64]*runningCall
	checks     map[invariant.Name]*Count
	violations []string
}

type phaseResult struct {
	phase string
	result
}

// orderAnswers are the answers about one order.
type orderAnswers struct {
	answered bool
	other    bool // any answer but a proof that it did not run
}

// runningCall is a request in progress. Before it is written to a connection no
// node knows it: on a busy machine that takes seconds, in which a draining node
// ends.
type runningCall struct {
	written     bool
	duringDrain bool
}

// Count counts checks and violations.
type Count struct {
	Checks     int64 `json:"checks"`
	Violations int64 `json:"violations"`
}

func newLedger() *ledger {
	l := &ledger{orders: map[string]*orderAnswers{}, running: map[int64]*runningCall{}, checks: map[invariant.Name]*Count{}}
	for _, name := range invariant.All {
		l.checks[name] = &Count{}
	}
	return l
}

// Check implements invariant.Reporter.
func (l *ledger) Check(name invariant.Name, ok bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(name, ok, format, args...)
}

func (l *ledger) check(name invariant.Name, ok bool, format string, args ...any) {
	l.checks[name].Checks++
	if ok {
		return
	}
	l.checks[name].Violations++
	if len(l.violations) < keepViolations {
		l.violations = append(l.violations, fmt.Sprintf("outside: %s: %s", name, fmt.Sprintf(format, args...)))
	}
}

func (l *ledger) setPhase(phase string) {
	l.mu.Lock()
	l.phase = phase
	l.mu.Unlock()
}

// begin notes a request in progress and returns the phase it belongs to.
func (l *ledger) begin(number int64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[number] = &runningCall{}
	return l.phase
}

// sent notes whether a request is written to a connection and not answered yet.
func (l *ledger) sent(number int64, written bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.running[number]; c != nil {
		c.written = written
	}
}

// answer notes one answer about an order.
func (l *ledger) answer(work string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orders[work]
	if o == nil {
		o = &orderAnswers{}
		l.orders[work] = o
	}
	switch {
	case r.outcome == attempt.Answered && !r.broken:
		o.answered = true
	case r.outcome != attempt.NotRun || r.broken:
		o.other = true
	}
}

// end notes the last result of a request.
func (l *ledger) end(number int64, phase string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.outcome == attempt.Answered && !r.broken {
		l.check(invariant.OwnAnswer, r.wrong == "", "%s", r.wrong)
	}
	if l.running[number].duringDrain {
		l.check(invariant.NoCut, !r.broken, "%s request %d at node %s was cut after %s while a node drained: %v", r.kind, number, r.node, r.took, r.cause)
	}
	delete(l.running, number)
	l.results = append(l.results, phaseResult{phase, r})
}

// drainBegins marks the written requests in progress, none of which may be cut.
func (l *ledger) drainBegins() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	written := 0
	for _, c := range l.running {
		if c.duringDrain = c.written; c.written {
			written++
		}
	}
	return written
}

func (l *ledger) inProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// checkExecutions compares what customers were told with what the targets did.
func (l *ledger) checkExecutions(counts map[string]target.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran, places := map[string]int{}, map[string][]string{}
	for id, c := range counts {
		for _, by := range []map[string]int{c.Executions, c.Unkeyed} {
			for work, n := range by {
				ran[work] += n
				places[work] = append(places[work], fmt.Sprintf("%s: %d", id, n))
			}
		}
	}
	for work, o := range l.orders {
		n := ran[work]
		l.check(invariant.AtMostOnce, n <= 1, "order %s ran %d times (%v)", work, n, places[work])
		if o.answered {
			l.check(invariant.OwnAnswer, n > 0, "order %s was answered and no target ran it", work)
		} else if !o.other {
			l.check(invariant.NotRun, n == 0, "order %s was told not-run and ran %d times (%v)", work, n, places[work])
		}
	}
}

// since returns the results that ended after a time.
func (l *ledger) since(t time.Time) []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []result
	for i := len(l.results) - 1; i >= 0 && i >= len(l.results)-maxRecent; i-- {
		if r := l.results[i].result; r.begun.Add(r.took).After(t) {
			out = append(out, r)
		}
	}
	return out
}

const maxRecent = 4000 // results that the live table looks back on

// of returns the results of requests that began in a phase.
func (l *ledger) of(phase string) []result {
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

// servedShares returns which share of a target's answers so far went through
// each entry.
func (l *ledger) servedShares(id string) map[string]float64 {
	out, all := map[string]float64{}, 0.0
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.target == id {
			out[r.node]++
			all++
		}
	}
	for node := range out {
		out[node] /= all
	}
	return out
}

// sums returns the checks so far and the violations that are listed.
func (l *ledger) sums() (map[invariant.Name]Count, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := map[invariant.Name]Count{}
	for name, c := range l.checks {
		checks[name] = *c
	}
	return checks, append([]string{}, l.violations...)
}
