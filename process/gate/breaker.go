package gate

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/breaker"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// passBreaker refuses a request that would go to a failing target while another
// one may be well.
func (x *exchange) passBreaker() bool {
	x.g.mu.Lock()
	now := x.g.now()
	t := x.g.targets[x.target]
	decision, wait := breaker.Allow, time.Duration(0)
	if t != nil && !x.force {
		decision, wait = t.breaker.Admit(now, !x.tracked), t.breaker.RetryAfter(now)
	}
	x.g.mu.Unlock()
	x.trial = decision == breaker.Trial
	if decision == breaker.Refuse {
		x.refuse(attempt.VerdictRefused, attempt.ReasonTargetFailing, "the target failed just now", wait)
		return false
	}
	return true
}

// recheckBreaker asks again right before the first byte, as the target may have
// begun to fail while the request waited for a slot. g.mu is held.
func (x *exchange) recheckBreaker(now time.Time, t *target) bool {
	if x.force || x.trial || !t.breaker.Open() {
		return true
	}
	switch t.breaker.Admit(now, !x.tracked) {
	case breaker.Refuse:
		x.failing = true
		return false
	case breaker.Trial:
		x.trial = true
	}
	return true
}

// doubtfulShare is the part of the usual time of the work after which an error
// may come from what the target called. A target that is itself at fault answers
// at once or not at all.
const doubtfulShare = 0.3

// usualUnknown is taken for the usual time of work of which this gate has seen
// none, as after a start: errors of a target's own come within some milliseconds,
// and the shortest work of the platform takes 160 ms.
const usualUnknown = 100 * time.Millisecond

// answered judges the target by the status of its answer.
func (x *exchange) answered(status int) {
	outcome := breaker.Success
	if status >= http.StatusInternalServerError {
		outcome = breaker.Failure
		x.g.mu.Lock()
		usual := x.g.admission.ExpectedServiceTime(x.target, x.class, x.long)
		took := x.service(x.g.now())
		x.g.mu.Unlock()
		if usual <= 0 {
			usual = usualUnknown
		}
		if float64(took) > doubtfulShare*float64(usual) {
			outcome = breaker.Inconclusive
		}
	}
	x.judge(outcome)
}

// judge tells the breaker how the request ended at the target.
func (x *exchange) judge(outcome breaker.Outcome) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.judged || x.t == nil || !x.started {
		return
	}
	x.judged = true
	was := x.t.breaker.Open()
	x.t.breaker.Finished(x.g.now(), x.sentAt, x.trial, outcome)
	if is := x.t.breaker.Open(); is != was {
		x.g.logBreaker(x, is)
	}
}

// unjudged gives a trial back that ended without a word on the target.
func (x *exchange) unjudged() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if t := x.g.targets[x.target]; t != nil && x.trial && !x.judged {
		t.breaker.Abandoned(true)
	}
}

// logBreaker logs that a target began to fail or is well again. g.mu is held.
func (g *Gate) logBreaker(x *exchange, open bool) {
	state := "well again"
	if open {
		state = "failing"
	}
	g.o.Record(record.Record{At: g.now(), Node: g.o.Node, Kind: record.KindFailing, Change: &record.Change{
		Subject: x.target, Service: x.t.Service, To: state, Request: x.id.Request,
		Why: fmt.Sprintf("an attempt ended %s after it was sent", g.now().Sub(x.sentAt).Round(time.Millisecond)),
	}})
}
