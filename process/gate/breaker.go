package gate

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/breaker"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// checkBreaker refuses a request for a target whose circuit breaker is open, unless
// the breaker admits it as a trial or the entry knows of no other target.
func (e *exchange) checkBreaker() bool {
	e.gate.mu.Lock()
	now := e.gate.now()
	t := e.gate.targets[e.targetID]
	decision, wait := breaker.Allow, time.Duration(0)
	if t != nil && !e.force {
		decision, wait = t.breaker.Admit(now, !e.tracked), t.breaker.RetryAfter(now, !e.tracked)
	}
	e.gate.mu.Unlock()
	e.trial = decision == breaker.Trial
	if decision == breaker.Refuse {
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonTargetFailing, "the target's circuit breaker is open", wait)
		return false
	}
	return true
}

// recheckBreaker checks the breaker again right before the first byte is sent, as
// the target may have begun to fail while the request waited for a slot. The caller
// holds Gate.mu.
func (e *exchange) recheckBreaker(now time.Time, t *target) bool {
	if e.force || e.trial || !t.breaker.Open() {
		return true
	}
	switch t.breaker.Admit(now, !e.tracked) {
	case breaker.Refuse:
		e.breakerOpened = true
		return false
	case breaker.Trial:
		e.trial = true
	}
	return true
}

// inconclusiveShare is the part of the expected service time after which an error
// may come from a service that the target called. A target that is itself at fault
// responds at once or not at all.
const inconclusiveShare = 0.3

// defaultServiceTime is the expected service time of work that this gate has not
// seen yet, as after a start: a target's own errors come within a few milliseconds,
// and the shortest work of the platform takes 160 ms.
const defaultServiceTime = 100 * time.Millisecond

// NoteFailedCall records that a request from this host, maybe a call by one of its
// targets, has failed.
func (g *Gate) NoteFailedCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failedCalls.Note(g.now())
}

// reportStatus reports the status of the target's response to the call throttle and to the
// breaker. An error that a failed call of the target explains is not reported to the breaker.
func (e *exchange) reportStatus(status int) {
	e.gate.mu.Lock()
	e.observeCalls(status)
	e.gate.mu.Unlock()
	outcome := breaker.Success
	if status >= http.StatusInternalServerError {
		outcome = breaker.Failure
		e.gate.mu.Lock()
		now := e.gate.now()
		expected := e.gate.admission.ExpectedServiceTime(e.targetID, e.class, e.long)
		serviceTime := e.serviceTime(now)
		explained := e.gate.failedCalls.Explain(now, e.sentAt)
		e.gate.mu.Unlock()
		if explained {
			return
		}
		if expected <= 0 {
			expected = defaultServiceTime
		}
		if float64(serviceTime) > inconclusiveShare*float64(expected) {
			outcome = breaker.Inconclusive
		}
	}
	e.reportToBreaker(outcome)
}

// reportToBreaker reports once how the request ended at the target.
func (e *exchange) reportToBreaker(outcome breaker.Outcome) {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	if e.reportedToBreaker || e.target == nil || !e.started {
		return
	}
	e.reportedToBreaker = true
	wasOpen := e.target.breaker.Open()
	e.target.breaker.Finished(e.gate.now(), e.sentAt, e.trial, outcome)
	if isOpen := e.target.breaker.Open(); isOpen != wasOpen {
		e.gate.recordBreakerChange(e, isOpen)
	}
}

// releaseTrial ends a breaker trial whose outcome shows nothing about the target, so
// that another request can be the trial.
func (e *exchange) releaseTrial() {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	if t := e.gate.targets[e.targetID]; t != nil && e.trial && !e.reportedToBreaker {
		t.breaker.Cancelled(true)
	}
}

// recordBreakerChange records that a target's breaker has opened or closed. The caller
// holds g.mu.
func (g *Gate) recordBreakerChange(e *exchange, open bool) {
	state := "well again" // part of a metric name, see telemetry.Metrics.ObserveRecord
	if open {
		state = "failing"
	}
	g.options.Record(record.Record{At: g.now(), Node: g.options.Node, Kind: record.KindFailing, Change: &record.Change{
		Subject: e.targetID, Service: e.target.Service, To: state, Request: e.id.Request,
		Why: fmt.Sprintf("an attempt ended %s after it was sent", g.now().Sub(e.sentAt).Round(time.Millisecond)),
	}})
}
