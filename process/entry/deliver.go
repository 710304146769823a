package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

const copyBytes = 32 << 10

var copyPool = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// deliver sends an answer to the caller. A held answer was verified before; the
// connection to the caller is aborted when a streamed one turns out to be
// wrong.
func (q *request) deliver(r *result) {
	defer r.t.cancel(nil)
	q.keep()
	q.rec.Outcome, q.rec.Status = attempt.Answered, r.status
	defer gate.PutBuffer(r.held)
	if r.stream {
		q.stream(r)
		return
	}
	q.e.o.Reporter.Check(invariant.OwnAnswer, r.resp.Header.Get(attempt.HeaderAttempt) == r.t.idText,
		"request %s gets the answer of attempt %s", q.rec.ID, r.resp.Header.Get(attempt.HeaderAttempt))
	q.copyHeader(r)
	if q.r.Method != http.MethodHead {
		q.w.Header()["Content-Length"] = []string{strconv.Itoa(r.held.Len())}
	}
	q.w.WriteHeader(r.status)
	_, _ = q.w.Write(r.held.Bytes()) // the caller is gone when this fails
}

func (q *request) copyHeader(r *result) {
	h := q.w.Header()
	roundtrip.CopyHeader(h, r.resp.Header)
	s := &q.e.o.HTTPProfile
	h[s.RequestID] = []string{string(q.rec.ID)}
	if s.Outcome != "" {
		h[s.Outcome] = []string{string(attempt.Answered)}
	}
}

var errGateFailed = errors.New("the gate ended the answer as failed")

// stream passes on an answer that is too large to be held.
func (q *request) stream(r *result) {
	defer func() { _ = r.resp.Body.Close() }()
	length := r.resp.Header.Get(attempt.TrailerLength)
	q.copyHeader(r)
	if length != "" {
		q.w.Header()["Content-Length"] = []string{length}
	}
	// A caller that stops reading must not hold the target beyond the deadline.
	control := http.NewResponseController(q.w)
	if control.SetWriteDeadline(q.deadline) == nil {
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // for the next request
	}
	q.w.WriteHeader(r.status)
	digest := attempt.NewBodyDigest()
	_, _ = digest.Write(r.held.Bytes()) // never fails
	last := r.held.Len() - 1
	q.write(r.held.Bytes()[:last], false)
	p := copyPool.Get().(*[]byte)
	defer copyPool.Put(p)
	// One byte is held back until the answer is verified, so that the caller
	// never has a whole answer of the stated length that is wrong.
	buffer := *p
	buffer[0] = r.held.Bytes()[last]
	for {
		n, err := r.resp.Body.Read(buffer[1:])
		if n > 0 {
			_, _ = digest.Write(buffer[1 : n+1])
			q.write(buffer[:n], n < len(buffer)-1)
			buffer[0] = buffer[n]
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			q.abort(attempt.ReasonPathFailed, err.Error())
		}
	}
	q.verifyStream(r, digest)
	q.write(buffer[:1], false)
}

func (q *request) write(p []byte, flush bool) {
	_, err := q.w.Write(p)
	if err == nil && flush {
		err = http.NewResponseController(q.w).Flush()
	}
	if err != nil {
		q.abort(attempt.ReasonNone, "the caller closed its connection")
	}
}

// verifyStream compares a streamed answer with the gate's trailers.
func (q *request) verifyStream(r *result, digest *attempt.BodyDigest) {
	if q.e.o.noVerify {
		return
	}
	reason, err := attempt.ReasonResponseCorrupt, digest.Verify(r.resp.Trailer)
	if v := r.resp.Trailer.Get(attempt.HeaderVerdict); v != "" {
		reason, err = attempt.Reason(r.resp.Trailer.Get(attempt.HeaderReason)), errGateFailed
		q.e.observeStream(r, health.FaultOf(attempt.Verdict(v), reason, r.status))
	}
	if err != nil {
		q.abort(reason, err.Error())
	}
}

// observeStream reports a fault that showed after the first part of an answer.
func (e *Entry) observeStream(r *result, fault health.Fault) {
	now := e.now()
	e.mu.Lock()
	ev := r.t.evidence(fault, now.Sub(r.t.begun))
	ev.Trickle = false // the slot was freed with the first part
	actions := e.take(e.health.Observe(now, ev))
	e.mu.Unlock()
	e.act(now, actions)
}

// abort breaks the connection to the caller, so that a partial answer is never
// taken for a whole one.
func (q *request) abort(reason attempt.Reason, detail string) {
	q.rec.Outcome, q.rec.Reason, q.rec.Detail = attempt.Unknown, reason, detail
	panic(http.ErrAbortHandler)
}
