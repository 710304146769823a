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

const copyBufferBytes = 32 << 10

var copyPool = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// deliver sends a response to the caller. A buffered response was verified before.
// When a streamed one fails its verification, the connection to the caller is
// aborted.
func (q *request) deliver(r *result) {
	defer r.attempt.cancel(nil)
	q.exemptFromStop()
	q.record.Outcome, q.record.Status = attempt.Answered, r.status
	defer gate.PutBuffer(r.buffered)
	if r.streamed {
		q.streamResponse(r)
		return
	}
	q.entry.options.Reporter.Check(invariant.OwnAnswer, r.resp.Header.Get(attempt.HeaderAttempt) == r.attempt.id,
		"request %s gets the response to attempt %s", q.record.ID, r.resp.Header.Get(attempt.HeaderAttempt))
	q.copyHeader(r)
	if q.callerRequest.Method != http.MethodHead {
		q.callerResponse.Header()["Content-Length"] = []string{strconv.Itoa(r.buffered.Len())}
	}
	q.callerResponse.WriteHeader(r.status)
	_, _ = q.callerResponse.Write(r.buffered.Bytes()) // fails only if the caller is gone
}

func (q *request) copyHeader(r *result) {
	h := q.callerResponse.Header()
	roundtrip.CopyHeader(h, r.resp.Header)
	q.entry.closeIfDraining(h) // the drain may have begun after the request
	profile := &q.entry.options.HTTPProfile
	h[profile.RequestID] = []string{string(q.record.ID)}
	if profile.Outcome != "" {
		h[profile.Outcome] = []string{string(attempt.Answered)}
	}
}

var errGateFailed = errors.New("the gate marked the response as failed")

// streamResponse forwards a response that is too large to buffer while it arrives.
func (q *request) streamResponse(r *result) {
	defer func() { _ = r.resp.Body.Close() }()
	length := r.resp.Header.Get(attempt.TrailerLength)
	q.copyHeader(r)
	if length != "" {
		q.callerResponse.Header()["Content-Length"] = []string{length}
	}
	// A caller that stops reading must not occupy the target beyond the deadline.
	control := http.NewResponseController(q.callerResponse)
	if control.SetWriteDeadline(q.deadline) == nil {
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // for the next request
	}
	// An HTTP/1.0 caller gets no chunks. The end of the connection is that of the response then.
	closeDelimited := length == "" && !q.callerRequest.ProtoAtLeast(1, 1)
	if closeDelimited {
		q.setLinger(resetOnClose)
	}
	q.callerResponse.WriteHeader(r.status)
	digest := attempt.NewBodyDigest()
	_, _ = digest.Write(r.buffered.Bytes()) // never fails
	lastByte := r.buffered.Len() - 1
	q.writeToCaller(r.buffered.Bytes()[:lastByte], false)
	pooled := copyPool.Get().(*[]byte)
	defer copyPool.Put(pooled)
	// The last byte is withheld until the response is verified, so that the caller
	// never gets a corrupt response of the stated length.
	buffer := *pooled
	buffer[0] = r.buffered.Bytes()[lastByte]
	for {
		n, err := r.resp.Body.Read(buffer[1:])
		if n > 0 {
			_, _ = digest.Write(buffer[1 : n+1])
			q.writeToCaller(buffer[:n], n < len(buffer)-1)
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
	q.writeToCaller(buffer[:1], closeDelimited)
	if closeDelimited {
		q.setLinger(orderedOnClose)
	}
}

// writeToCaller sends a part of the response and aborts when the caller is gone.
func (q *request) writeToCaller(p []byte, flush bool) {
	_, err := q.callerResponse.Write(p)
	if err == nil && flush {
		err = http.NewResponseController(q.callerResponse).Flush()
	}
	if err != nil {
		q.abort(attempt.ReasonNone, whyCallerGone)
	}
}

// verifyStream compares a streamed response with the gate's trailers and aborts
// when they differ or report a failure.
func (q *request) verifyStream(r *result, digest *attempt.BodyDigest) {
	if q.entry.options.noVerify {
		return
	}
	reason, err := attempt.ReasonResponseCorrupt, digest.Verify(r.resp.Trailer)
	if v := r.resp.Trailer.Get(attempt.HeaderVerdict); v != "" {
		reason, err = attempt.Reason(r.resp.Trailer.Get(attempt.HeaderReason)), errGateFailed
		q.entry.observeStreamFault(r, health.FaultOf(attempt.Verdict(v), reason, r.status))
	}
	if err != nil {
		q.abort(reason, err.Error())
	}
}

// observeStreamFault reports a fault that occurred after the first part of a
// response to the health tracker.
func (e *Entry) observeStreamFault(r *result, fault health.Fault) {
	now := e.now()
	e.mu.Lock()
	ev := r.attempt.endEvidence(fault, now.Sub(r.attempt.startedAt))
	ev.Trickle = false // the slot was freed with the first part
	changes := e.endAffectedAttempts(e.health.Observe(now, ev))
	e.mu.Unlock()
	e.handleHealthChanges(now, changes)
}

// abort closes the connection to the caller, so that the caller cannot mistake a
// partial response for a complete one.
func (q *request) abort(reason attempt.Reason, detail string) {
	q.record.Outcome, q.record.Reason, q.record.Detail = attempt.Unknown, reason, detail
	panic(http.ErrAbortHandler)
}
