package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/account"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Causes for which this entry ends an attempt.
var (
	errConnectionSilent = errors.New("the connection is silent while new ones work")
	errEjected          = errors.New("the target or the path to it was ejected")
	errTrickleTimeout   = errors.New("the ejected target took too long for a trickle request")
	errOtherResponded   = errors.New("another attempt got a response first")
)

const (
	maxProblemBytes = 16 << 10
	// gateDeadlineMargin is how much earlier than the entry the gate ends an attempt,
	// so that its verdict arrives before the entry's deadline.
	gateDeadlineMargin = 10 * time.Millisecond
)

// attemptState is one attempt as the retry policy and the record see it.
type attemptState struct {
	retry.Attempt
	record     record.Attempt
	attemptID  string
	member     *membership.Member
	retryAfter time.Duration
	detail     string
	allowLate  bool // as in activeAttempt
	abandoned  bool // ended by this entry because of its connection or an ejection, not by its target
}

// activeAttempt is an attempt in progress.
type activeAttempt struct {
	request     *request
	number      int
	sequence    uint64 // identifies the attempt in the health tracker
	target      gateTarget
	class       string // for the health tracker
	id          string
	startedAt   time.Time
	connectedAt time.Time
	trickle     bool
	ctx         context.Context
	cancel      context.CancelCauseFunc
	force       bool // the gate must use the target although it is failing
	// reachedBefore counts the earlier attempts that may have arrived at a target.
	reachedBefore int
	replaced      bool         // ended in favour of another attempt, for which the budget was taken; guarded by Entry.mu
	ended         bool         // its result is final; guarded by Entry.mu
	noWait        bool         // the gate must not queue it: a slot is free elsewhere
	allowLate     bool         // the gate may queue it although its objective will be missed
	load          attempt.Load // of the gate, from its response
	serviceTime   time.Duration
}

// result is the result of one attempt.
type result struct {
	attempt     *activeAttempt
	verdict     attempt.Verdict
	reason      attempt.Reason
	status      int
	detail      string
	nothingSent bool // no byte of the request was sent
	abandoned   bool // this entry ended it because of its connection or an ejection
	called      bool // the gate takes the work for a call by a target
	callRefused bool // the run failed because a call that it made found no room
	budgetTaken bool // the retry budget was taken for the next attempt
	retryAfter  time.Duration
	fault       health.Fault
	// resp with buffered is a response to deliver: the whole of it, or its first
	// part when streamed is set.
	resp     *roundtrip.Response
	buffered *bytes.Buffer
	streamed bool
	duration time.Duration
}

// discard cancels the attempt and closes its response, which is not delivered.
func (r *result) discard() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
		gate.PutBuffer(r.buffered)
		r.resp, r.buffered = nil, nil
	}
	r.attempt.cancel(errOtherResponded)
}

// newAttempt prepares an attempt at a target.
func (q *request) newAttempt(ctx context.Context, number int, target gateTarget, trickle bool) *activeAttempt {
	active := &activeAttempt{request: q, number: number, target: target, trickle: trickle, sequence: q.entry.sequence.Add(1), startedAt: q.entry.now(), class: q.healthClass()}
	active.id = string(q.record.ID) + "/" + strconv.Itoa(number) + *q.entry.attemptSuffix.Load()
	active.ctx, active.cancel = context.WithCancelCause(ctx)
	return active
}

// healthClass returns the class whose durations the health tracker compares. Long
// work of a mixed route has a class of its own.
func (q *request) healthClass() string {
	if q.long && !q.class.Long {
		return q.match.Route.Class + "/long"
	}
	return q.match.Route.Class
}

// replace ends the attempt in favour of another one, for which it takes from the
// retry budget. When no other attempt is allowed, this one continues, as its target
// may still respond. The caller holds e.mu.
func (a *activeAttempt) replace(cause error) {
	q := a.request
	limit := q.class.MaxAttempts
	if q.entry.options.GateControlsRetries { // only a gate knows whether another attempt is possible; a hedge finds out
		return
	}
	if !q.class.Idempotent || a.replaced || a.ended || (limit > 0 && a.reachedBefore+1 >= limit) {
		return
	}
	if q.entry.budget(q.service).Take(q.entry.now()) {
		a.replaced = true
		a.cancel(cause)
	}
}

// run makes the attempt up to its verified response, or up to the first part of a
// streamed one.
func (a *activeAttempt) run() result {
	if a.trickle && a.request.class.Idempotent {
		timer := time.AfterFunc(a.request.trickleTimeout(), func() {
			a.request.entry.mu.Lock()
			defer a.request.entry.mu.Unlock()
			a.replace(errTrickleTimeout)
		})
		defer timer.Stop()
	}
	r := a.exchange()
	r.attempt = a
	r.duration = a.request.entry.now().Sub(a.startedAt)
	// The timer above may still run: Stop does not wait for it.
	a.request.entry.mu.Lock()
	r.budgetTaken = a.replaced
	a.ended = true
	a.request.entry.mu.Unlock()
	a.reportEnd(&r)
	return r
}

const (
	trickleTimeoutFactor  = 4 // times the 95th percentile of the class
	defaultTrickleTimeout = 500 * time.Millisecond
)

// trickleTimeout returns the timeout of a trickle request, so that its caller does
// not wait for an ejected target until the deadline.
func (q *request) trickleTimeout() time.Duration {
	q.entry.mu.Lock()
	_, p95, ok := q.entry.health.DurationPercentiles(q.service, q.healthClass())
	q.entry.mu.Unlock()
	limit := defaultTrickleTimeout
	if ok {
		limit = max(trickleTimeoutFactor*p95, 50*time.Millisecond)
	}
	return min(limit, q.deadline.Sub(q.entry.now())/2)
}

// exchange sends the request to the gate and reads and verifies its response.
func (a *activeAttempt) exchange() result {
	resp, err := a.request.entry.client.Do(a.ctx, a.target.member.DataAddress, a.buildRequest())
	if err != nil {
		return a.pathFailure(err)
	}
	h := resp.Header
	if h.Get(attempt.HeaderAttempt) != a.id && !a.request.entry.options.noVerify {
		_ = resp.Body.Close()
		return result{reason: attempt.ReasonPathFailed, fault: health.PathCorrupt, detail: "the gate's response belongs to another attempt"}
	}
	a.observeLoad(h)
	verdict := attempt.Verdict(h.Get(attempt.HeaderVerdict))
	if verdict != attempt.VerdictRan {
		return a.parseRefusal(verdict, resp)
	}
	buffered := gate.GetBuffer()
	complete, err := gate.ReadBuffered(buffered, resp.Body, resp.ContentLength)
	if err == nil && complete && !a.request.entry.options.noVerify {
		digest := attempt.NewBodyDigest()
		_, _ = digest.Write(buffered.Bytes()) // never fails
		if err = digest.Verify(h); err != nil {
			err = errors.Join(errCorrupt, err)
		}
	}
	if err != nil {
		_ = resp.Body.Close()
		gate.PutBuffer(buffered)
		if errors.Is(err, errCorrupt) {
			return result{reason: attempt.ReasonResponseCorrupt, fault: health.PathCorrupt, detail: err.Error()}
		}
		return a.pathFailure(&roundtrip.Error{Stage: roundtrip.StageRead, Reused: resp.Reused, Err: err})
	}
	if complete {
		_ = resp.Body.Close()
	}
	if a.request.entry.options.HTTPProfile.SaysLeaving(h) {
		a.request.entry.noteLeaving(a.target)
	}
	r := result{verdict: verdict, status: resp.StatusCode, resp: resp, buffered: buffered, streamed: !complete,
		called: h.Get(attempt.HeaderCalled) == "1", callRefused: h.Get(attempt.HeaderCallRefused) == "1"}
	r.fault = health.FaultOf(verdict, attempt.ReasonNone, resp.StatusCode)
	return r
}

var errCorrupt = errors.New("response corrupted on the way from the gate")

// buildRequest returns the request of the attempt to the gate.
func (a *activeAttempt) buildRequest() *roundtrip.Request {
	q := a.request
	remaining := q.deadline.Sub(q.entry.now())
	remaining = max(time.Millisecond, remaining-min(gateDeadlineMargin, remaining/10))
	fields := make([]roundtrip.Field, 0, 16)
	fields = append(fields,
		roundtrip.Field{Name: attempt.HeaderAttempt, Value: a.id},
		roundtrip.Field{Name: attempt.HeaderFleet, Value: q.entry.options.Token},
		roundtrip.Field{Name: attempt.HeaderTarget, Value: a.target.info.ID},
		roundtrip.Field{Name: attempt.HeaderService, Value: q.service},
		roundtrip.Field{Name: attempt.HeaderClass, Value: q.match.Route.Class},
		roundtrip.Field{Name: attempt.HeaderCustomer, Value: q.customer},
		roundtrip.Field{Name: attempt.HeaderTimeoutMS, Value: strconv.FormatInt(remaining.Milliseconds(), 10)},
		roundtrip.Field{Name: attempt.HeaderConfigVersion, Value: strconv.FormatInt(q.routing.config.Version, 10)},
		roundtrip.Field{Name: attempt.HeaderRequestDigest, Value: strconv.FormatUint(uint64(q.poison.Digest), 16)},
		roundtrip.Field{Name: attempt.HeaderSharedDigest, Value: strconv.FormatUint(uint64(q.poison.Shared), 16)},
	)
	if q.account != nil {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderAccountName, Value: q.account.Name})
	}
	if q.routing.ranked {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderRank, Value: strconv.Itoa(q.rank())})
		if rank, ok := q.entry.options.HostRank(); ok {
			fields = append(fields, roundtrip.Field{Name: attempt.HeaderCallerRank, Value: strconv.Itoa(rank)})
		}
		if counts := q.entry.callCountsOf(q); counts != "" {
			fields = append(fields, roundtrip.Field{Name: attempt.HeaderCallCounts, Value: counts})
		}
	}
	if q.class.Idempotent {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderIdempotent, Value: "1"})
	}
	if q.long {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderLong, Value: "1"})
	}
	if name := q.entry.options.HTTPProfile.CallerService; name != "" {
		fields = append(fields, roundtrip.Field{Name: name, Value: q.entry.options.HostService})
	}
	if age := q.entry.now().Sub(q.start).Milliseconds(); age > 0 {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderAgeMS, Value: strconv.FormatInt(age, 10)})
	}
	if a.reachedBefore > 0 {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderRetry, Value: "1"})
	}
	if a.force {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderForce, Value: "1"})
	}
	if a.noWait {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderNoWait, Value: "1"})
	}
	if a.allowLate {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderAllowLate, Value: "1"})
	}
	if rate := q.entry.rateOf(a.target); rate != "" {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderTargetRate, Value: rate})
	}
	if share := q.entry.options.HostRetryShare(); share > 0 {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderCallerRetries, Value: strconv.FormatFloat(share, 'f', 3, 64)})
	}
	if !q.orderKey.IsZero() {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderOrder, Value: gate.FormatOrderKey(q.orderKey)})
	}
	req := &roundtrip.Request{
		Method: q.callerRequest.Method, URI: roundtrip.RequestURI(q.callerRequest), Host: q.callerRequest.Host, Header: q.callerRequest.Header, Skip: q.skipHeader,
		Fields: fields, Prefix: q.body, Length: q.bodyLength(), BeforeSend: a.beforeSend,
	}
	if q.bodyRest != nil {
		req.Body, req.InterruptBody = q.bodyRest, q.bodyRest.Interrupt
	}
	return req
}

// rank returns the value of HeaderRank.
func (q *request) rank() int {
	return account.RequestRank(q.account, q.class.Rank)
}

// beforeSend registers the attempt with the entry and the health tracker. It reports false
// when the body cannot be forwarded.
func (a *activeAttempt) beforeSend(connectedAt time.Time) bool {
	if rest := a.request.bodyRest; rest != nil && rest.Forward() != nil {
		return false
	}
	a.connectedAt = connectedAt
	e := a.request.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeAttempts[a.sequence] = a
	e.health.Observe(e.now(), health.Evidence{Kind: health.Started, Target: a.target.key, Node: a.target.member.Node,
		Class: a.class, Attempt: a.sequence, ConnectedAt: connectedAt, Trickle: a.trickle})
	return true
}

// observeLoad reads the load, the service time and the room of the retry budget from the
// header of the gate's response, and passes the load to the selector.
func (a *activeAttempt) observeLoad(h http.Header) {
	if us, err := strconv.ParseInt(h.Get(attempt.HeaderServiceTime), 10, 64); err == nil {
		a.serviceTime = time.Duration(us) * time.Microsecond
	}
	if room, err := strconv.ParseFloat(h.Get(attempt.HeaderBudgetRoom), 64); err == nil && room >= 0 && room <= 1 {
		a.request.entry.options.OnCalledRoom(a.target.info.Service, room)
	}
	text := h.Get(attempt.HeaderLoad)
	if text == "" {
		return
	}
	if load, err := attempt.ParseLoad(text); err == nil {
		a.request.entry.mu.Lock()
		a.load = load
		now := a.request.entry.now()
		a.request.entry.selector.ObserveLoad(now, a.target.key, load)
		if a.serviceTime > 0 && !a.request.long {
			a.request.entry.selector.ObserveServiceTime(a.target.key, a.serviceTime)
		}
		if loads := h.Get(attempt.HeaderLoads); loads != "" {
			a.request.entry.selector.MergeLoads(now, a.target.info.Service, loads)
		}
		a.request.entry.observeRate(now, a.target, h.Get(attempt.HeaderTargetRate))
		if h.Get(attempt.HeaderHint) == "0" {
			a.request.entry.health.Observe(now, health.Evidence{Kind: health.Hint, Target: a.target.key, Node: a.target.member.Node})
		}
		a.request.entry.mu.Unlock()
	}
}

// parseRefusal reads a gate's problem document.
func (a *activeAttempt) parseRefusal(verdict attempt.Verdict, resp *roundtrip.Response) result {
	r := result{verdict: verdict, reason: attempt.Reason(resp.Header.Get(attempt.HeaderReason)), called: resp.Header.Get(attempt.HeaderCalled) == "1"}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	_ = resp.Body.Close()
	var p attempt.Problem
	if err == nil && json.Unmarshal(data, &p) == nil {
		r.detail, r.retryAfter = p.Detail, time.Duration(p.RetryAfterMS)*time.Millisecond
	}
	r.fault = health.FaultOf(verdict, r.reason, 0)
	return r
}

// gateControlsFault reports whether the circuit breaker at the gate handles a fault.
// The breaker sees the errors of its targets sooner and forgets them sooner than the
// health tracker, which then handles only silence, slowness and the path.
func (a *activeAttempt) gateControlsFault(fault health.Fault) bool {
	return a.request.entry.options.GateControlsRetries && (fault == health.Error || fault == health.Crash || fault == health.Corrupt)
}

// pathFailure returns the result of an attempt that ended without a response of
// the gate.
func (a *activeAttempt) pathFailure(err error) result {
	r := result{reason: attempt.ReasonPathFailed, detail: err.Error(), nothingSent: roundtrip.NothingSent(err)}
	switch {
	case a.ctx.Err() != nil && errors.Is(context.Cause(a.ctx), context.DeadlineExceeded):
		r.reason, r.fault = attempt.ReasonDeadline, health.GateUnresponsive
	case a.ctx.Err() != nil:
		cause := context.Cause(a.ctx)
		r.detail, r.abandoned = cause.Error(), errors.Is(cause, errConnectionSilent) || errors.Is(cause, errEjected)
	case errors.Is(err, syscall.ETIMEDOUT) || isTimeout(err):
		r.fault = health.GateUnresponsive
	default:
		r.fault = health.ConnectionRefused
	}
	return r
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// endEvidence returns the evidence on the end of the attempt for the health tracker.
func (a *activeAttempt) endEvidence(fault health.Fault, duration time.Duration) health.Evidence {
	return health.Evidence{
		Kind: health.Finished, Target: a.target.key, Node: a.target.member.Node, Class: a.class, Attempt: a.sequence,
		Caller: xxhash.Sum64String(a.request.customer), Load: a.load, Service: a.serviceTime,
		ConnectedAt: a.connectedAt, Fault: fault, Duration: duration, Trickle: a.trickle,
	}
}

// exchangeBytes returns the bytes of the request and the response, as far as known.
func (a *activeAttempt) exchangeBytes(r *result) int64 {
	response := int64(r.buffered.Len())
	if length, err := strconv.ParseInt(r.resp.Header.Get(attempt.TrailerLength), 10, 64); err == nil {
		response = max(response, length)
	}
	return max(0, a.request.bodyLength()) + response
}

// reportEnd reports the end of the attempt to the health tracker, the selector and
// the learner.
func (a *activeAttempt) reportEnd(r *result) {
	e := a.request.entry
	now := e.now()
	ev := a.endEvidence(r.fault, r.duration)
	if (r.verdict == "" && r.fault == health.NoFault) || a.gateControlsFault(r.fault) { // ended by this entry, or no evidence for the tracker
		ev.Kind = health.Cancelled
	}
	e.mu.Lock()
	delete(e.activeAttempts, a.sequence)
	e.selector.Finished(a.target.key, a.request.long)
	e.updateFailing(now, r)
	e.countCalls(now, r)
	if r.resp != nil && r.status < http.StatusInternalServerError {
		a.request.entry.observeSize(a.request.match.Route.ID, a.exchangeBytes(r))
	}
	changes := e.endAffectedAttempts(e.health.Observe(now, ev))
	if q := a.request; q.class.Learn && r.verdict == attempt.VerdictRan {
		e.learner.Observe(q.match.Route.ID, q.match.PathGroup, r.duration)
	}
	e.mu.Unlock()
	e.handleHealthChanges(now, changes)
}
