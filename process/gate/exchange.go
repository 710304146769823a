package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/connection/breaker"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/process/upload"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
)

// exchange handles one attempt at this gate. Gate.mu guards the fields that change
// after parse and that other goroutines read.
type exchange struct {
	gate           *Gate
	w              http.ResponseWriter
	r              *http.Request
	arrivedAt      time.Time
	arrivedAtEntry time.Time // zero: not known
	id             attempt.ID
	idText         string
	targetID       string
	class          string
	customer       string
	account        string // client account, empty for none
	rank           int    // from HeaderRank, -1 without it
	callerRank     int    // from HeaderCallerRank, -1 without it
	deadline       time.Time
	long           bool
	force          bool // the entry knows of no other target: ignore the breaker
	noWait         bool // the entry knows of a free slot elsewhere: refuse rather than queue
	allowLate      bool // the other gates have no room either: queue although the objective will be missed
	tracked        bool // registered in Gate.orders: non-idempotent or with an order key, can be withdrawn
	key            order.Key
	poison         poison.Request

	ticket            admission.Ticket
	ticketEnded       bool      // the admission controller has freed the slot or refused
	started           bool      // confirmStart allowed sending
	sentAt            time.Time // when confirmStart allowed it
	target            *target
	crashesAtStart    int     // target.crashes when the exchange started
	complete          bool    // the target gave a complete response
	succeeded         bool    // complete and no server error; only its duration enters the latency estimates
	trial             bool    // admitted by an open breaker as its trial
	retry             bool    // the request may have reached a target before
	callerRetries     float64 // share of the work on the entry's host that is a retry
	breakerOpened     bool    // the breaker opened while the request waited
	reportedToBreaker bool
	callRefused       bool // the run failed because a call that it made found no room
	result            order.Result
}

const (
	// suspectRetryInterval is the time between checks whether a request suspected of
	// crashing targets may run.
	suspectRetryInterval = 20 * time.Millisecond
	// orderGrace is the time beyond its deadline that a running order may take
	// to finish, so that its response is stored for a retry.
	orderGrace = 30 * time.Second
)

// serve runs the attempt if registry, poison tracker, breaker, call throttle, retry budget
// and admission controller all allow it.
func (e *exchange) serve() {
	if e.tracked {
		if !e.beginOrder() {
			return
		}
		defer e.finishOrder()
	}
	if !e.startPoisonTracking() {
		return
	}
	defer e.finishPoisonTracking()
	if !e.checkBreaker() {
		return
	}
	e.observeCaller()
	e.adoptRate()
	if !e.checkCallThrottle() || !e.chargeRetryBudget() || !e.admit() {
		e.releaseTrial()
		return
	}
	defer e.release()
	defer e.releaseTrial()
	e.run()
}

// observeCaller learns from which services the work of a class comes.
func (e *exchange) observeCaller() {
	if name := e.gate.options.HTTPProfile.CallerService; name != "" {
		e.gate.mu.Lock()
		e.gate.callers.Observe(e.class, e.r.Header.Get(name))
		e.gate.mu.Unlock()
	}
}

// called reports whether the work is a call by a target, see class.Callers.
func (e *exchange) called() bool {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	return e.gate.callers.Called(e.class)
}

// beginOrder registers the attempt and reports whether it may run. It waits while
// another attempt of the same order is in progress and responds itself when the
// order has finished or is refused.
func (e *exchange) beginOrder() bool {
	for {
		e.gate.mu.Lock()
		res := e.gate.orders.Begin(e.gate.now(), e.key, e.id)
		var ready chan struct{}
		if res.Action == order.Wait {
			ready = make(chan struct{})
			e.gate.waitingRetries[e.id] = ready
		}
		e.gate.mu.Unlock()
		switch res.Action {
		case order.Run:
			return true
		case order.Done:
			e.respondStored(res.Stored)
			return false
		case order.Refuse:
			verdict := attempt.VerdictUnknown
			if res.Outcome == attempt.NotRun {
				verdict = attempt.VerdictRefused
			}
			e.respondProblem(verdict, res.Reason, "", 0)
			return false
		}
		if !e.waitFor(ready) {
			e.gate.mu.Lock()
			delete(e.gate.waitingRetries, e.id)
			e.gate.orders.Withdraw(e.gate.now(), order.Withdrawal{Attempt: e.id, Gate: e.gate.owner, Key: e.key})
			e.gate.mu.Unlock()
			e.respondProblem(attempt.VerdictUnknown, attempt.ReasonOrderRunning, "the same order is still in progress", 0)
			return false
		}
	}
}

// waitFor reports whether ch is closed before the deadline and before the entry
// disconnects.
func (e *exchange) waitFor(ch <-chan struct{}) bool {
	timer := time.NewTimer(e.deadline.Sub(e.gate.now()))
	defer timer.Stop()
	select {
	case <-ch:
		return true
	case <-timer.C:
		return false
	case <-e.r.Context().Done():
		return false
	}
}

func (e *exchange) finishOrder() {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	e.gate.wakeRetries(e.gate.orders.Finish(e.gate.now(), e.key, e.id, e.result))
}

// startPoisonTracking refuses a quarantined request and delays a suspect one until
// the poison tracker lets it run.
func (e *exchange) startPoisonTracking() bool {
	for {
		e.gate.mu.Lock()
		d := e.gate.poison.Start(e.gate.now(), e.poison, TargetKey(e.gate.options.Node, e.targetID))
		e.gate.mu.Unlock()
		switch d {
		case poison.Run:
			return true
		case poison.Quarantined:
			e.respondProblem(attempt.VerdictRefused, attempt.ReasonQuarantined, "two targets crashed while this request ran", 0)
			return false
		}
		timer := time.NewTimer(suspectRetryInterval)
		select {
		case <-timer.C:
		case <-e.r.Context().Done():
			timer.Stop()
			return false
		}
		if !e.gate.now().Before(e.deadline) {
			e.respondProblem(attempt.VerdictRefused, attempt.ReasonDeadline, "waited for another copy of this request, which is suspected of crashing a target", 0)
			return false
		}
	}
}

func (e *exchange) finishPoisonTracking() {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	if e.target != nil && e.target.crashes != e.crashesAtStart {
		return // Tracker.Crash has ended the tracking
	}
	e.gate.poison.Finish(e.gate.now(), e.poison, TargetKey(e.gate.options.Node, e.targetID), e.complete)
}

// admit waits for a slot of the target and responds itself when the admission
// controller refuses.
func (e *exchange) admit() bool {
	e.gate.mu.Lock()
	d := e.gate.admission.Submit(e.gate.now(), admission.Work{
		Attempt: e.id, Target: e.targetID, Class: e.class, Customer: e.customer, Deadline: e.deadline, ArrivedAt: e.arrivedAtEntry, Long: e.long,
		NoWait: e.noWait, AllowLate: e.allowLate, Called: e.gate.callers.Called(e.class), Rank: e.workRank(),
	})
	e.gate.deliver(d.Displaced)
	var ch chan admission.Decision
	if d.Kind == admission.Queued {
		ch = make(chan admission.Decision, 1)
		e.gate.queued[d.Ticket] = ch
		if len(e.gate.queued) == 1 {
			select {
			case e.gate.queueStarted <- struct{}{}:
			default: // Serve has not consumed the last signal yet
			}
		}
	}
	e.gate.mu.Unlock()
	e.ticket = d.Ticket
	if ch != nil {
		select {
		case e.gate.workQueued <- struct{}{}:
		default:
		}
		select {
		case d = <-ch:
		case <-e.r.Context().Done():
			e.gate.mu.Lock()
			delete(e.gate.queued, e.ticket)
			e.gate.deliver(e.gate.admission.Finish(e.gate.now(), e.ticket, admission.Result{}))
			e.gate.mu.Unlock()
			return false
		}
	}
	if d.Kind == admission.Refused {
		e.respondProblem(attempt.VerdictRefused, d.Reason, "", d.RetryAfter)
		return false
	}
	return true
}

// release frees the slot of the target.
func (e *exchange) release() {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	e.releaseLocked()
}

// releaseLocked is release for a caller that holds Gate.mu.
func (e *exchange) releaseLocked() {
	if e.ticketEnded {
		return
	}
	e.ticketEnded = true
	e.gate.deliver(e.gate.admission.Finish(e.gate.now(), e.ticket, admission.Result{OK: e.succeeded}))
	if e.target != nil {
		e.target.running--
		delete(e.target.inFlight, e)
	}
}

// confirmStart decides right before the first byte is sent whether the attempt may
// still start: since its admission this process may have paused, or the attempt may
// have been withdrawn or its target drained.
func (e *exchange) confirmStart(time.Time) bool {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	now := e.gate.now()
	t := e.gate.targets[e.targetID]
	ok, decisions := e.gate.admission.Confirm(now, e.ticket)
	e.gate.deliver(decisions)
	if !ok || t == nil {
		e.ticketEnded = !ok
		return false
	}
	if !e.recheckBreaker(now, t) {
		return false
	}
	if e.tracked && !e.gate.orders.Start(now, e.key, e.id, e.deadline) {
		return false
	}
	e.target, e.crashesAtStart, e.started, e.sentAt = t, t.crashes, true, now
	t.running++
	t.inFlight[e] = struct{}{}
	e.result.Outcome = attempt.Unknown
	return true
}

// run sends the request to the target and forwards the response.
func (e *exchange) run() {
	e.gate.mu.Lock()
	t := e.gate.targets[e.targetID]
	address, incarnation := "", attempt.Incarnation{}
	if t != nil {
		address, incarnation = t.Address, t.Incarnation
	}
	e.gate.mu.Unlock()
	if t == nil {
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonNoTarget, "", 0)
		return
	}
	ctx, cancel := e.targetContext()
	defer cancel()
	req := e.targetRequest()
	if e.r.ContentLength != 0 {
		body := upload.New(e.w, e.r.Body)
		defer body.Finish()
		e.w = body.ResponseWriter()
		req.Body, req.InterruptBody = body, body.Interrupt
		req.BeforeSend = func(connectedAt time.Time) bool { return e.confirmStart(connectedAt) && body.Forward() == nil }
	}
	resp, err := e.gate.client.Do(ctx, address, req)
	if err != nil {
		e.reportNoResponse(ctx, address, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	e.observeTargetHeader(incarnation, resp)
	e.forwardResponse(ctx, address, incarnation, resp)
}

// targetContext bounds the exchange with the target. A keyed order continues when
// its entry disconnects, so that a retry gets its response.
func (e *exchange) targetContext() (context.Context, context.CancelFunc) {
	remaining := e.deadline.Sub(e.gate.now())
	if e.key.IsZero() {
		return context.WithTimeout(e.r.Context(), remaining)
	}
	return context.WithTimeout(context.WithoutCancel(e.r.Context()), remaining+orderGrace)
}

// targetRequest builds the request to the target.
func (e *exchange) targetRequest() *roundtrip.Request {
	remaining := max(1, e.deadline.Sub(e.gate.now()).Milliseconds())
	e.gate.mu.Lock()
	refusedBefore := e.gate.refused.has(e.id.Request)
	e.gate.mu.Unlock()
	profile := &e.gate.options.HTTPProfile
	req := &roundtrip.Request{
		Method: e.r.Method, URI: roundtrip.RequestURI(e.r), Host: e.r.Host,
		Header: e.r.Header, Skip: e.skipFields(),
		Fields: []roundtrip.Field{
			{Name: profile.Timeout, Value: strconv.FormatInt(remaining, 10)},
			{Name: profile.RequestID, Value: string(e.id.Request)},
		},
		Length:        e.r.ContentLength,
		BeforeSend:    e.confirmStart,
		NewConnection: refusedBefore,
	}
	if profile.TargetInstance != "" {
		req.Fields = append(req.Fields, roundtrip.Field{Name: profile.TargetInstance, Value: e.targetID})
	}
	if profile.AccountName != "" && e.account != "" {
		req.Fields = append(req.Fields, roundtrip.Field{Name: profile.AccountName, Value: e.account})
	}
	if profile.CallerRequestIDs {
		req.IsResponse = func(h http.Header) bool {
			id := h.Get(profile.RequestID)
			return id == "" || id == string(e.id.Request)
		}
	}
	return req
}

// skipFields returns a filter for header fields that are not forwarded to the target,
// among them those that this gate sets itself and the caller's API key.
func (e *exchange) skipFields() func(string) bool {
	skip, profile := roundtrip.ForwardFilter(e.r.Header), &e.gate.options.HTTPProfile
	return func(name string) bool {
		return skip(name) || name == profile.Timeout || name == profile.RequestID || (profile.TargetInstance != "" && name == profile.TargetInstance) ||
			name == profile.AccountKey || name == profile.AccountName
	}
}

// reportNoResponse reports an exchange that ended before the header of a response
// arrived.
func (e *exchange) reportNoResponse(ctx context.Context, address string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the entry is gone
	}
	if !e.started {
		e.reportNotSent(err)
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.respondProblem(attempt.VerdictFailed, attempt.ReasonDeadline, "the target did not respond before the deadline", 0)
		return
	}
	if e.handleBrokenConnection(address) {
		e.respondProblem(attempt.VerdictCrashed, attempt.ReasonTargetCrashed, err.Error(), 0)
		return
	}
	e.respondProblem(attempt.VerdictFailed, attempt.ReasonTargetFailed, err.Error(), 0)
}

// reportNotSent reports an attempt of which nothing was sent.
func (e *exchange) reportNotSent(err error) {
	switch {
	case errors.Is(err, roundtrip.ErrNotSent):
		reason := attempt.ReasonWithdrawn
		if e.breakerOpened {
			reason = attempt.ReasonTargetFailing
		} else if !e.gate.now().Before(e.deadline) {
			reason = attempt.ReasonDeadline
		} else if e.ticketEnded {
			reason = attempt.ReasonLeaving
		}
		e.respondProblem(attempt.VerdictRefused, reason, "", 0)
	case errors.Is(err, syscall.ECONNREFUSED):
		e.markDown()
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonTargetCrashed, "the target refuses connections", 0)
	case !e.tracked:
		// The verdict failed counts against the target, and idempotent work may run again anyway.
		e.respondProblem(attempt.VerdictFailed, attempt.ReasonTargetFailed, err.Error(), 0)
	default:
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonTargetFailed, err.Error(), 0)
	}
}

// respondProblem responds with a problem document in place of a response of the
// target. It reports the verdicts failed and crashed to the breaker.
func (e *exchange) respondProblem(verdict attempt.Verdict, reason attempt.Reason, detail string, retryAfter time.Duration) {
	if verdict == attempt.VerdictFailed || verdict == attempt.VerdictCrashed {
		e.reportToBreaker(breaker.Failure)
	}
	h := e.w.Header()
	h.Set(attempt.HeaderAttempt, e.idText)
	h.Set(attempt.HeaderVerdict, string(verdict))
	h.Set(attempt.HeaderReason, string(reason))
	if verdict == attempt.VerdictRefused && e.called() {
		h.Set(attempt.HeaderCalled, "1")
	}
	e.setLoadHeaders(h)
	outcome := attempt.Unknown
	if verdict.NeverStarted() {
		outcome = attempt.NotRun
	}
	attempt.NewProblem(e.id.Request, outcome, reason, detail, retryAfter).Write(e.w)
}

// serviceTime returns the time since the request was sent to the target, at least
// 1 µs, and 0 when it was not sent. The caller holds Gate.mu.
func (e *exchange) serviceTime(now time.Time) time.Duration {
	if !e.started {
		return 0
	}
	return max(now.Sub(e.sentAt), time.Microsecond)
}

// setLoadHeaders sets the header fields that report the load and health of the target
// and the service time of the attempt.
func (e *exchange) setLoadHeaders(h http.Header) {
	e.gate.mu.Lock()
	load := e.gate.admission.Load(e.gate.now(), e.targetID)
	rate, limited := e.gate.admission.Rate(e.targetID)
	room, called := e.budgetRoom()
	serviceTime := e.serviceTime(e.gate.now())
	t := e.gate.targets[e.targetID]
	callRefused, isCall := e.callRefused, e.gate.callers.Called(e.class)
	unhealthy, service := t != nil && t.unhealthy, ""
	if t != nil {
		service = t.Service
	}
	e.gate.mu.Unlock()
	if load.Slots > 0 {
		h[attempt.HeaderLoad] = []string{load.String()}
		e.setLoads(h, service, load)
	}
	if limited {
		h[attempt.HeaderTargetRate] = []string{formatRate(rate)}
	}
	if called {
		h[attempt.HeaderBudgetRoom] = []string{strconv.FormatFloat(room, 'f', 2, 64)}
	}
	if callRefused {
		h[attempt.HeaderCallRefused] = []string{"1"}
		if isCall {
			h[attempt.HeaderCalled] = []string{"1"}
		}
	}
	if unhealthy {
		h[attempt.HeaderHint] = []string{"0"}
	}
	if serviceTime > 0 {
		h[attempt.HeaderServiceTime] = []string{strconv.FormatInt(serviceTime.Microseconds(), 10)}
	}
}

// setLoads adds the loads of other targets of the service.
func (e *exchange) setLoads(h http.Header, service string, load attempt.Load) {
	if e.gate.options.LoadsFor == nil || service == "" {
		return
	}
	if loads := e.gate.options.LoadsFor(e.id.Entry, service, e.targetID, load); loads != "" {
		h[attempt.HeaderLoads] = []string{loads}
	}
}
