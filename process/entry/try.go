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
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/request/retry"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Causes for which this entry ends an attempt.
var (
	errReplaced = errors.New("the connection is silent while new ones work")
	errEjected  = errors.New("the target or the path to it was ejected")
	errTrickle  = errors.New("the ejected target took too long for a trickle request")
	errLost     = errors.New("another attempt answered first")
)

const (
	problemBytes = 16 << 10
	// gateMargin is how much earlier than the entry the gate ends an attempt, so that
	// its word arrives in time.
	gateMargin = 10 * time.Millisecond
)

// attemptState is one attempt as the retry policy and the record see it.
type attemptState struct {
	retry.Attempt
	record     record.Attempt
	id         string // of the attempt
	member     *membership.Member
	retryAfter time.Duration
	detail     string
	replaced   bool // ended for its connection, not for its target
}

// try is one attempt in progress.
type try struct {
	q       *request
	number  int
	seq     uint64 // names the attempt to the health tracker
	l       located
	class   string // for the health tracker
	idText  string
	begun   time.Time
	opened  time.Time // of the connection
	trickle bool
	ctx     context.Context
	cancel  context.CancelCauseFunc
	force   bool // no target is better than this failing one
	// reachedBefore counts the earlier attempts that may have arrived at a target.
	reachedBefore int
	replaced      bool         // ended for another attempt, for which the budget was taken
	noWait        bool         // refuse rather than queue: a slot is free elsewhere
	load          attempt.Load // the gate's, with its answer
	service       time.Duration
}

// result is what became of one attempt.
type result struct {
	t       *try
	verdict attempt.Verdict
	reason  attempt.Reason
	status  int
	detail  string
	never   bool // nothing of it was sent
	stale   bool // its connection is silent while new ones work
	retryIn time.Duration
	fault   health.Fault
	// resp with held is an answer to deliver: the whole of it, or its first
	// part when stream is set.
	resp   *roundtrip.Response
	held   *bytes.Buffer
	stream bool
	took   time.Duration
}

// discard closes an answer that is not delivered.
func (r *result) discard() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
		gate.PutBuffer(r.held)
		r.resp, r.held = nil, nil
	}
	r.t.cancel(errLost)
}

// newTry prepares an attempt at a target.
func (q *request) newTry(ctx context.Context, number int, l located, trickle bool) *try {
	t := &try{q: q, number: number, l: l, trickle: trickle, seq: q.e.sequence.Add(1), begun: q.e.now(), class: q.healthClass()}
	t.idText = string(q.rec.ID) + "/" + strconv.Itoa(number) + *q.e.suffix.Load()
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	return t
}

// healthClass names the class for the durations that the health tracker
// compares; long work of a mixed route has its own.
func (q *request) healthClass() string {
	if q.long && !q.class.Long {
		return q.match.Route.Class + "/long"
	}
	return q.match.Route.Class
}

// replace ends the attempt in favour of another one, for which it takes from the
// retry budget. Without another one the attempt goes on: its target may still
// answer. e.mu is held.
func (t *try) replace(cause error) {
	q := t.q
	limit := q.class.MaxAttempts
	if q.e.o.GateControlsRetries { // whether another attempt is possible, a gate knows; a hedge asks
		return
	}
	if !q.class.Idempotent || t.replaced || (limit > 0 && t.reachedBefore+1 >= limit) {
		return
	}
	if q.e.budget(q.service).Take(q.e.now()) {
		t.replaced = true
		t.cancel(cause)
	}
}

// do makes the attempt up to its verified answer or the first part of a
// streamed one.
func (t *try) do() result {
	if t.trickle && t.q.class.Idempotent {
		timer := time.AfterFunc(t.q.trickleTimeout(), func() {
			t.q.e.mu.Lock()
			defer t.q.e.mu.Unlock()
			t.replace(errTrickle)
		})
		defer timer.Stop()
	}
	r := t.exchange()
	r.t = t
	r.took = t.q.e.now().Sub(t.begun)
	t.end(&r)
	return r
}

const (
	trickleFactor  = 4 // times the 95th percentile of the class
	trickleDefault = 500 * time.Millisecond
)

// trickleTimeout bounds a trickle request, so that its caller does not wait for
// an ejected target until the deadline.
func (q *request) trickleTimeout() time.Duration {
	q.e.mu.Lock()
	_, p95, ok := q.e.health.DurationPercentiles(q.service, q.healthClass())
	q.e.mu.Unlock()
	limit := trickleDefault
	if ok {
		limit = max(trickleFactor*p95, 50*time.Millisecond)
	}
	return min(limit, q.deadline.Sub(q.e.now())/2)
}

func (t *try) exchange() result {
	resp, err := t.q.e.client.Do(t.ctx, t.l.member.DataAddress, t.outgoing())
	if err != nil {
		return t.pathFailure(err)
	}
	h := resp.Header
	if h.Get(attempt.HeaderAttempt) != t.idText && !t.q.e.o.noVerify {
		_ = resp.Body.Close()
		return result{reason: attempt.ReasonPathFailed, fault: health.PathCorrupt, detail: "the gate's answer is to another attempt"}
	}
	t.observeLoad(h)
	verdict := attempt.Verdict(h.Get(attempt.HeaderVerdict))
	if verdict != attempt.VerdictRan {
		return t.refusal(verdict, resp)
	}
	held := gate.GetBuffer()
	whole, err := gate.ReadBuffered(held, resp.Body, resp.ContentLength)
	if err == nil && whole && !t.q.e.o.noVerify {
		digest := attempt.NewBodyDigest()
		_, _ = digest.Write(held.Bytes()) // never fails
		if err = digest.Verify(h); err != nil {
			err = errors.Join(errCorrupt, err)
		}
	}
	if err != nil {
		_ = resp.Body.Close()
		gate.PutBuffer(held)
		if errors.Is(err, errCorrupt) {
			return result{reason: attempt.ReasonResponseCorrupt, fault: health.PathCorrupt, detail: err.Error()}
		}
		return t.pathFailure(&roundtrip.Error{Stage: roundtrip.StageRead, Reused: resp.Reused, Err: err})
	}
	if whole {
		_ = resp.Body.Close()
	}
	r := result{verdict: verdict, status: resp.StatusCode, resp: resp, held: held, stream: !whole}
	r.fault = health.FaultOf(verdict, attempt.ReasonNone, resp.StatusCode)
	return r
}

var errCorrupt = errors.New("answer damaged on the way from the gate")

func (t *try) outgoing() *roundtrip.Request {
	q := t.q
	rest := q.deadline.Sub(q.e.now())
	rest = max(time.Millisecond, rest-min(gateMargin, rest/10))
	fields := make([]roundtrip.Field, 0, 12)
	fields = append(fields,
		roundtrip.Field{Name: attempt.HeaderAttempt, Value: t.idText},
		roundtrip.Field{Name: attempt.HeaderFleet, Value: q.e.o.Token},
		roundtrip.Field{Name: attempt.HeaderTarget, Value: t.l.target.ID},
		roundtrip.Field{Name: attempt.HeaderService, Value: q.service},
		roundtrip.Field{Name: attempt.HeaderClass, Value: q.match.Route.Class},
		roundtrip.Field{Name: attempt.HeaderCustomer, Value: q.customer},
		roundtrip.Field{Name: attempt.HeaderTimeoutMS, Value: strconv.FormatInt(rest.Milliseconds(), 10)},
		roundtrip.Field{Name: attempt.HeaderConfigVersion, Value: strconv.FormatInt(q.routing.config.Version, 10)},
		roundtrip.Field{Name: attempt.HeaderRequestDigest, Value: strconv.FormatUint(uint64(q.digest), 16)},
	)
	if q.class.Idempotent {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderIdempotent, Value: "1"})
	}
	if q.long {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderLong, Value: "1"})
	}
	if name := q.e.o.HTTPProfile.CallerService; name != "" {
		fields = append(fields, roundtrip.Field{Name: name, Value: q.e.o.HostService})
	}
	if age := q.e.now().Sub(q.start).Milliseconds(); age > 0 {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderAgeMS, Value: strconv.FormatInt(age, 10)})
	}
	if t.reachedBefore > 0 {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderRepeat, Value: "1"})
	}
	if t.force {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderForce, Value: "1"})
	}
	if t.noWait {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderNoWait, Value: "1"})
	}
	if !q.key.IsZero() {
		fields = append(fields, roundtrip.Field{Name: attempt.HeaderOrder, Value: gate.FormatOrderKey(q.key)})
	}
	req := &roundtrip.Request{
		Method: q.r.Method, URI: roundtrip.RequestURI(q.r), Host: q.r.Host, Header: q.r.Header, Skip: q.skip,
		Fields: fields, Prefix: q.body, Length: q.bodyLength(), BeforeSend: t.beforeSend,
	}
	if q.rest != nil {
		req.Body = q.rest
		req.InterruptBody = func() { _ = http.NewResponseController(q.w).SetReadDeadline(time.Unix(1, 0)) } // the connection ends
	}
	return req
}

// beforeSend notes the attempt with the health tracker and the selector.
func (t *try) beforeSend(opened time.Time) bool {
	t.opened = opened
	e := t.q.e
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tries[t.seq] = t
	e.health.Observe(e.now(), health.Evidence{Kind: health.Started, Target: t.l.key, Node: t.l.member.Node,
		Class: t.class, Attempt: t.seq, ConnectedAt: opened, Trickle: t.trickle})
	return true
}

func (t *try) observeLoad(h http.Header) {
	if us, err := strconv.ParseInt(h.Get(attempt.HeaderServiceTime), 10, 64); err == nil {
		t.service = time.Duration(us) * time.Microsecond
	}
	text := h.Get(attempt.HeaderLoad)
	if text == "" {
		return
	}
	if load, err := attempt.ParseLoad(text); err == nil {
		t.q.e.mu.Lock()
		t.load = load
		now := t.q.e.now()
		t.q.e.selector.ObserveLoad(now, t.l.key, load)
		if h.Get(attempt.HeaderHint) == "0" {
			t.q.e.health.Observe(now, health.Evidence{Kind: health.Hint, Target: t.l.key, Node: t.l.member.Node})
		}
		t.q.e.mu.Unlock()
	}
}

// refusal reads a gate's problem document.
func (t *try) refusal(v attempt.Verdict, resp *roundtrip.Response) result {
	r := result{verdict: v, reason: attempt.Reason(resp.Header.Get(attempt.HeaderReason))}
	data, err := io.ReadAll(io.LimitReader(resp.Body, problemBytes))
	_ = resp.Body.Close()
	var p attempt.Problem
	if err == nil && json.Unmarshal(data, &p) == nil {
		r.detail, r.retryIn = p.Detail, time.Duration(p.RetryAfterMS)*time.Millisecond
	}
	r.fault = health.FaultOf(v, r.reason, 0)
	return r
}

// judgedByGate reports a fault that the breaker at the gate judges: it sees the
// errors of its targets sooner and forgets them sooner than the health tracker,
// which then judges silence, slowness and the path only.
func (t *try) judgedByGate(fault health.Fault) bool {
	return t.q.e.o.GateControlsRetries && (fault == health.Error || fault == health.Crash || fault == health.Corrupt)
}

// pathFailure reports an attempt that ended without an answer of the gate.
func (t *try) pathFailure(err error) result {
	r := result{reason: attempt.ReasonPathFailed, detail: err.Error(), never: roundtrip.NothingSent(err)}
	switch {
	case t.ctx.Err() != nil && errors.Is(context.Cause(t.ctx), context.DeadlineExceeded):
		r.reason, r.fault = attempt.ReasonDeadline, health.GateUnresponsive
	case t.ctx.Err() != nil:
		cause := context.Cause(t.ctx)
		r.detail, r.stale = cause.Error(), errors.Is(cause, errReplaced)
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

// evidence describes the end of the attempt to the health tracker.
func (t *try) evidence(fault health.Fault, took time.Duration) health.Evidence {
	return health.Evidence{
		Kind: health.Finished, Target: t.l.key, Node: t.l.member.Node, Class: t.class, Attempt: t.seq,
		Caller: xxhash.Sum64String(t.q.customer), Load: t.load, Service: t.service,
		ConnectedAt: t.opened, Fault: fault, Duration: took, Trickle: t.trickle,
	}
}

// size is the number of bytes of the exchange, as far as known.
func (t *try) size(r *result) int64 {
	answer := int64(r.held.Len())
	if length, err := strconv.ParseInt(r.resp.Header.Get(attempt.TrailerLength), 10, 64); err == nil {
		answer = max(answer, length)
	}
	return max(0, t.q.bodyLength()) + answer
}

// end reports the end of the attempt to the health tracker.
func (t *try) end(r *result) {
	e := t.q.e
	now := e.now()
	ev := t.evidence(r.fault, r.took)
	if (r.verdict == "" && r.fault == health.NoFault) || t.judgedByGate(r.fault) { // this side ended it, or no evidence
		ev.Kind = health.Cancelled
	}
	e.mu.Lock()
	delete(e.tries, t.seq)
	e.selector.Finished(t.l.key, t.q.long)
	e.noteFailing(now, r)
	if r.resp != nil && r.status < http.StatusInternalServerError {
		t.q.e.noteSize(t.q.match.Route.ID, t.size(r))
	}
	actions := e.take(e.health.Observe(now, ev))
	if q := t.q; q.class.Learn && r.verdict == attempt.VerdictRan {
		e.learner.Observe(q.match.Route.ID, q.match.PathGroup, r.took)
	}
	e.mu.Unlock()
	e.act(now, actions)
}
