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
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
)

// exchange is one attempt at this gate.
type exchange struct {
	g        *Gate
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	since    time.Time // arrival at the entry; zero: just now
	id       attempt.ID
	idText   string
	target   string
	class    string
	customer string
	deadline time.Time
	long     bool
	force    bool // the entry knows of no other target
	noWait   bool // the entry knows of a free slot elsewhere
	tracked  bool // the registry knows it, so that it can be withdrawn
	key      order.Key
	digest   poison.RequestDigest

	ticket   admission.Ticket
	released bool      // the admission ended the ticket
	started  bool      // leave to send was given
	sentAt   time.Time // when it was given
	t        *target
	crashes  int  // t.crashes when it started
	ok       bool // the target gave a whole answer
	well     bool // and not an error, whose time would mislead estimates
	trial    bool // of a failing target
	repeat   bool // the request may have reached a target before
	failing  bool // the target began to fail while the request waited
	judged   bool // the breaker knows the outcome
	result   order.Result
}

const (
	// suspectPoll is the time after which a suspect request asks again whether
	// it may run.
	suspectPoll = 20 * time.Millisecond
	// orderGrace is the time beyond its deadline that a running order may take
	// to finish, so that its answer is stored for a repeat.
	orderGrace = 30 * time.Second
)

func (x *exchange) serve() {
	if x.tracked {
		if !x.beginOrder() {
			return
		}
		defer x.finishOrder()
	}
	if !x.passPoison() {
		return
	}
	defer x.endPoison()
	if !x.passBreaker() {
		return
	}
	if !x.passRepeat() || !x.admit() {
		x.unjudged()
		return
	}
	defer x.release()
	defer x.unjudged()
	x.run()
}

// beginOrder asks the registry and waits while the same order is in progress.
func (x *exchange) beginOrder() bool {
	for {
		x.g.mu.Lock()
		res := x.g.orders.Begin(x.g.now(), x.key, x.id)
		var woken chan struct{}
		if res.Action == order.Wait {
			woken = make(chan struct{})
			x.g.waiting[x.id] = woken
		}
		x.g.mu.Unlock()
		switch res.Action {
		case order.Run:
			return true
		case order.Done:
			x.answerStored(res.Stored)
			return false
		case order.Refuse:
			verdict := attempt.VerdictUnknown
			if res.Outcome == attempt.NotRun {
				verdict = attempt.VerdictRefused
			}
			x.refuse(verdict, res.Reason, "", 0)
			return false
		}
		if !x.waitFor(woken) {
			x.g.mu.Lock()
			delete(x.g.waiting, x.id)
			x.g.orders.Withdraw(x.g.now(), order.Withdrawal{Attempt: x.id, Gate: x.g.self, Key: x.key})
			x.g.mu.Unlock()
			x.refuse(attempt.VerdictUnknown, attempt.ReasonOrderRunning, "the same order is still in progress", 0)
			return false
		}
	}
}

// waitFor waits for ch until the deadline or the end of the entry's connection.
func (x *exchange) waitFor(ch <-chan struct{}) bool {
	timer := time.NewTimer(x.deadline.Sub(x.g.now()))
	defer timer.Stop()
	select {
	case <-ch:
		return true
	case <-timer.C:
		return false
	case <-x.r.Context().Done():
		return false
	}
}

func (x *exchange) finishOrder() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.wake(x.g.orders.Finish(x.g.now(), x.key, x.id, x.result))
}

// passPoison refuses quarantined requests and lets a suspect wait until it may run.
func (x *exchange) passPoison() bool {
	if x.digest == 0 {
		return true
	}
	for {
		x.g.mu.Lock()
		d := x.g.poison.Start(x.g.now(), x.digest, TargetKey(x.g.o.Node, x.target))
		x.g.mu.Unlock()
		switch d {
		case poison.Run:
			return true
		case poison.Quarantined:
			x.refuse(attempt.VerdictRefused, attempt.ReasonQuarantined, "two targets crashed while this request ran", 0)
			return false
		}
		timer := time.NewTimer(suspectPoll)
		select {
		case <-timer.C:
		case <-x.r.Context().Done():
			timer.Stop()
			return false
		}
		if !x.g.now().Before(x.deadline) {
			x.refuse(attempt.VerdictRefused, attempt.ReasonDeadline, "waited for another copy of this request, which a target's crash made suspect", 0)
			return false
		}
	}
}

func (x *exchange) endPoison() {
	if x.digest == 0 {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.t != nil && x.t.crashes != x.crashes {
		return // Crash ended it
	}
	x.g.poison.Finish(x.g.now(), x.digest, TargetKey(x.g.o.Node, x.target), x.ok)
}

// admit waits for a slot of the target.
func (x *exchange) admit() bool {
	x.g.mu.Lock()
	d := x.g.admission.Submit(x.g.now(), admission.Work{
		Attempt: x.id, Target: x.target, Class: x.class, Customer: x.customer, Deadline: x.deadline, ArrivedAt: x.since, Long: x.long,
		NoWait: x.noWait,
	})
	x.g.deliver(d.Displaced)
	var ch chan admission.Decision
	if d.Kind == admission.Queued {
		ch = make(chan admission.Decision, 1)
		x.g.queued[d.Ticket] = ch
		if len(x.g.queued) == 1 {
			select {
			case x.g.hasQueue <- struct{}{}:
			default: // it is awake
			}
		}
	}
	x.g.mu.Unlock()
	x.ticket = d.Ticket
	if ch != nil {
		select {
		case x.g.busy <- struct{}{}:
		default:
		}
		select {
		case d = <-ch:
		case <-x.r.Context().Done():
			x.g.mu.Lock()
			delete(x.g.queued, x.ticket)
			x.g.deliver(x.g.admission.Finish(x.g.now(), x.ticket, admission.Result{}))
			x.g.mu.Unlock()
			return false
		}
	}
	if d.Kind == admission.Refused {
		x.refuse(attempt.VerdictRefused, d.Reason, "", d.RetryAfter)
		return false
	}
	return true
}

// release frees the slot.
func (x *exchange) release() {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.releaseLocked()
}

func (x *exchange) releaseLocked() {
	if x.released {
		return
	}
	x.released = true
	x.g.deliver(x.g.admission.Finish(x.g.now(), x.ticket, admission.Result{OK: x.well}))
	if x.t != nil {
		x.t.running--
		delete(x.t.inFlight, x)
	}
}

// mayStart is asked right before the first byte is sent: a pause of this
// process, a withdrawal or a drain may have come in between.
func (x *exchange) mayStart(time.Time) bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := x.g.now()
	t := x.g.targets[x.target]
	ok, others := x.g.admission.Confirm(now, x.ticket)
	x.g.deliver(others)
	if !ok || t == nil {
		x.released = !ok
		return false
	}
	if !x.recheckBreaker(now, t) {
		return false
	}
	if x.tracked && !x.g.orders.Start(now, x.key, x.id, x.deadline) {
		return false
	}
	x.t, x.crashes, x.started, x.sentAt = t, t.crashes, true, now
	t.running++
	t.inFlight[x] = struct{}{}
	x.result.Outcome = attempt.Unknown
	return true
}

func (x *exchange) run() {
	x.g.mu.Lock()
	t := x.g.targets[x.target]
	address, incarnation := "", attempt.Incarnation{}
	if t != nil {
		address, incarnation = t.Address, t.Incarnation
	}
	x.g.mu.Unlock()
	if t == nil {
		x.refuse(attempt.VerdictRefused, attempt.ReasonNoTarget, "", 0)
		return
	}
	ctx, cancel := x.context()
	defer cancel()
	req := x.outgoing()
	resp, err := x.g.client.Do(ctx, address, req)
	if err != nil {
		x.failed(ctx, address, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	x.answer(ctx, address, incarnation, resp)
}

// context bounds the exchange with the target. A keyed order goes on without
// its entry, so that a repeat gets its answer.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	rest := x.deadline.Sub(x.g.now())
	if x.key.IsZero() {
		return context.WithTimeout(x.r.Context(), rest)
	}
	return context.WithTimeout(context.WithoutCancel(x.r.Context()), rest+orderGrace)
}

func (x *exchange) outgoing() *roundtrip.Request {
	rest := max(1, x.deadline.Sub(x.g.now()).Milliseconds())
	s := &x.g.o.HTTPProfile
	req := &roundtrip.Request{
		Method: x.r.Method, URI: roundtrip.RequestURI(x.r), Host: x.r.Host,
		Header: x.r.Header, Skip: x.skipped(),
		Fields: []roundtrip.Field{
			{Name: s.Timeout, Value: strconv.FormatInt(rest, 10)},
			{Name: s.RequestID, Value: string(x.id.Request)},
		},
		Length:     x.r.ContentLength,
		BeforeSend: x.mayStart,
	}
	if s.TargetInstance != "" {
		req.Fields = append(req.Fields, roundtrip.Field{Name: s.TargetInstance, Value: x.target})
	}
	if s.CallerRequestIDs {
		req.IsResponse = func(h http.Header) bool {
			id := h.Get(s.RequestID)
			return id == "" || id == string(x.id.Request)
		}
	}
	if x.r.ContentLength != 0 {
		req.Body = x.r.Body
		req.InterruptBody = func() { _ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0)) } // the connection ends
	}
	return req
}

// skipped leaves out the fields that this gate sets itself.
func (x *exchange) skipped() func(string) bool {
	skip, s := roundtrip.ForwardFilter(x.r.Header), &x.g.o.HTTPProfile
	return func(name string) bool {
		return skip(name) || name == s.Timeout || name == s.RequestID || (s.TargetInstance != "" && name == s.TargetInstance)
	}
}

// failed reports an exchange without the header of an answer.
func (x *exchange) failed(ctx context.Context, address string, err error) {
	if !x.started {
		x.notStarted(err)
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.refuse(attempt.VerdictFailed, attempt.ReasonDeadline, "the target gave no answer in time", 0)
		return
	}
	if ctx.Err() != nil {
		return // the entry is gone
	}
	if x.connectionBroke(address) {
		x.refuse(attempt.VerdictCrashed, attempt.ReasonTargetCrashed, err.Error(), 0)
		return
	}
	x.refuse(attempt.VerdictFailed, attempt.ReasonTargetFailed, err.Error(), 0)
}

// notStarted reports work of which nothing was sent.
func (x *exchange) notStarted(err error) {
	switch {
	case errors.Is(err, roundtrip.ErrNotSent):
		reason := attempt.ReasonWithdrawn
		if x.failing {
			reason = attempt.ReasonTargetFailing
		} else if !x.g.now().Before(x.deadline) {
			reason = attempt.ReasonDeadline
		} else if x.released {
			reason = attempt.ReasonLeaving
		}
		x.refuse(attempt.VerdictRefused, reason, "", 0)
	case errors.Is(err, syscall.ECONNREFUSED):
		x.markDown()
		x.refuse(attempt.VerdictRefused, attempt.ReasonTargetCrashed, "the target refuses connections", 0)
	case !x.tracked:
		// Counts against the target; the work may run again anyway.
		x.refuse(attempt.VerdictFailed, attempt.ReasonTargetFailed, err.Error(), 0)
	default:
		x.refuse(attempt.VerdictRefused, attempt.ReasonTargetFailed, err.Error(), 0)
	}
}

// refuse answers an attempt without an answer of the target.
func (x *exchange) refuse(v attempt.Verdict, reason attempt.Reason, detail string, retryAfter time.Duration) {
	if v == attempt.VerdictFailed || v == attempt.VerdictCrashed {
		x.judge(breaker.Failure)
	}
	h := x.w.Header()
	h.Set(attempt.HeaderAttempt, x.idText)
	h.Set(attempt.HeaderVerdict, string(v))
	h.Set(attempt.HeaderReason, string(reason))
	x.setLoad(h)
	outcome := attempt.Unknown
	if v.NeverStarted() {
		outcome = attempt.NotRun
	}
	attempt.NewProblem(x.id.Request, outcome, reason, detail, retryAfter).Write(x.w)
}

// service returns the time since the request was sent to the target, at least
// 1 µs, and 0 when it was not sent. The caller holds the lock.
func (x *exchange) service(now time.Time) time.Duration {
	if !x.started {
		return 0
	}
	return max(now.Sub(x.sentAt), time.Microsecond)
}

func (x *exchange) setLoad(h http.Header) {
	x.g.mu.Lock()
	load := x.g.admission.Load(x.target)
	service := x.service(x.g.now())
	t := x.g.targets[x.target]
	unhealthy := t != nil && t.unhealthy
	x.g.mu.Unlock()
	if load.Slots > 0 {
		h[attempt.HeaderLoad] = []string{load.String()}
	}
	if unhealthy {
		h[attempt.HeaderHint] = []string{"0"}
	}
	if service > 0 {
		h[attempt.HeaderServiceTime] = []string{strconv.FormatInt(service.Microseconds(), 10)}
	}
}
