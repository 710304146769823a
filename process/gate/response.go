package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
)

// MaxBufferedBytes is the size up to which a response body is buffered until it is
// verified. Larger responses are streamed.
const MaxBufferedBytes = 256 << 10

// ReasonOrderFinished means that an order has run and its response is not stored.
const ReasonOrderFinished attempt.Reason = "order-finished"

const (
	copyBufferBytes      = 32 << 10
	maxPooledBufferBytes = 64 << 10 // larger buffers are not kept for reuse
)

var (
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	copyPool   = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}
)

// GetBuffer returns an empty buffer for a response from a pool. The caller returns
// it with PutBuffer.
func GetBuffer() *bytes.Buffer {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

// PutBuffer returns a buffer of GetBuffer to the pool.
func PutBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBufferBytes {
		bufferPool.Put(b)
	}
}

// ReadBuffered reads body into buffer, one byte past MaxBufferedBytes at most, and
// reports whether that was the whole body.
func ReadBuffered(buffer *bytes.Buffer, body io.Reader, length int64) (bool, error) {
	if length > 0 && length <= MaxBufferedBytes {
		buffer.Grow(int(length) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(body, MaxBufferedBytes+1))
	return n <= MaxBufferedBytes, err
}

var errUnknownLength = errors.New("response has neither a length nor chunks, so its end cannot be verified")

// forwardResponse forwards the response of the target. Up to MaxBufferedBytes it is
// verified first, so that the verdict covers the whole response.
func (e *exchange) forwardResponse(ctx context.Context, address string, incarnation attempt.Incarnation, resp *roundtrip.Response) {
	if e.refusedByTarget(resp) {
		return
	}
	unbounded := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unbounded && e.r.Method != http.MethodHead && !e.gate.options.skipVerification && !e.gate.options.HTTPProfile.CloseDelimited {
		e.respondProblem(attempt.VerdictFailed, attempt.ReasonResponseCorrupt, errUnknownLength.Error(), 0)
		return
	}
	buffered := GetBuffer()
	defer PutBuffer(buffered)
	check := newDigestCheck(resp.Header)
	complete, err := ReadBuffered(buffered, resp.Body, resp.ContentLength)
	check.write(buffered.Bytes())
	if err != nil {
		e.reportInterrupted(ctx, address, err)
		return
	}
	if !complete {
		e.streamResponse(ctx, incarnation, resp, buffered, check)
		return
	}
	if err := check.verify(); err != nil && !e.gate.options.skipVerification {
		e.respondProblem(attempt.VerdictFailed, attempt.ReasonResponseCorrupt, err.Error(), 0)
		return
	}
	e.complete, e.succeeded = true, resp.StatusCode < http.StatusInternalServerError
	e.reportStatus(resp.StatusCode)
	e.result = order.Result{Outcome: attempt.Answered, Status: resp.StatusCode}
	h := e.responseHeader(incarnation, resp)
	if !e.key.IsZero() {
		e.result.Header, e.result.Body = storedHeader(resp.Header), bytes.Clone(buffered.Bytes())
		e.finishOrder() // before writing: a retry gets the response even when this entry is gone
	}
	e.release()
	e.setLoadHeaders(h)
	e.writeBuffered(resp.StatusCode, buffered.Bytes())
}

// reportInterrupted reports a response whose body ended early.
func (e *exchange) reportInterrupted(ctx context.Context, address string, err error) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.respondProblem(attempt.VerdictFailed, attempt.ReasonDeadline, "the response was not complete before the deadline", 0)
	case ctx.Err() != nil: // the entry is gone
	case e.handleBrokenConnection(address):
		e.respondProblem(attempt.VerdictCrashed, attempt.ReasonTargetCrashed, err.Error(), 0)
	default:
		e.respondProblem(attempt.VerdictFailed, attempt.ReasonTargetFailed, "the response ended early: "+err.Error(), 0)
	}
}

// responseHeader copies the target's header fields to the response and adds the
// fleet's own.
func (e *exchange) responseHeader(incarnation attempt.Incarnation, resp *roundtrip.Response) http.Header {
	h := e.w.Header()
	roundtrip.CopyHeader(h, resp.Header)
	values := []string{e.idText, string(attempt.VerdictRan), incarnation.String()} // one allocation for all
	h[attempt.HeaderAttempt] = values[0:1:1]
	h[attempt.HeaderVerdict] = values[1:2:2]
	h[attempt.HeaderTargetIncarnation] = values[2:3:3]
	return h
}

func storedHeader(from http.Header) http.Header {
	h := http.Header{}
	roundtrip.CopyHeader(h, from)
	return h
}

// writeBuffered sends a complete response. Its length and digest are known before
// the body and go into headers, which avoids the chunked encoding of trailers.
func (e *exchange) writeBuffered(status int, body []byte) {
	h := e.w.Header()
	digest := attempt.NewBodyDigest()
	_, _ = digest.Write(body) // never fails
	values := []string{strconv.Itoa(len(body)), digest.Sum()}
	h[attempt.TrailerLength] = values[0:1:1]
	h[attempt.TrailerDigest] = values[1:2:2]
	if e.r.Method != http.MethodHead {
		h["Content-Length"] = values[0:1:1]
	}
	e.w.WriteHeader(status)
	_, _ = e.w.Write(body) // fails only if the entry is gone
}

// respondStored responds to a retry of a finished order with the stored response.
func (e *exchange) respondStored(stored order.StoredResponse) {
	h := e.w.Header()
	maps.Copy(h, stored.Header)
	h[attempt.HeaderAttempt] = []string{e.idText}
	h[attempt.HeaderVerdict] = []string{string(attempt.VerdictRan)}
	e.setLoadHeaders(h)
	if !stored.BodyDropped {
		e.writeBuffered(stored.Status, stored.Body)
		return
	}
	for name := range stored.Header {
		delete(h, name)
	}
	h.Set(attempt.HeaderReason, string(ReasonOrderFinished))
	problem := attempt.NewProblem(e.id.Request, attempt.Answered, ReasonOrderFinished,
		"the order has run, but its response body was not kept", 0)
	problem.Status, problem.Title = http.StatusConflict, http.StatusText(http.StatusConflict)
	body, err := json.Marshal(problem)
	if err != nil { // a Problem has only fields that always marshal
		body = nil
	}
	h.Set("Content-Type", attempt.ProblemContentType)
	e.writeBuffered(problem.Status, body)
}

// streamResponse forwards a response too large to be buffered. Its trailers carry
// length and digest, or the verdict failed.
func (e *exchange) streamResponse(ctx context.Context, incarnation attempt.Incarnation, resp *roundtrip.Response, buffered *bytes.Buffer, check *digestCheck) {
	h := e.responseHeader(incarnation, resp)
	e.setLoadHeaders(h)
	if resp.ContentLength > 0 {
		h[attempt.TrailerLength] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	delete(h, "Content-Length")
	// An entry that died without closing its connection must not occupy the slot beyond the deadline.
	controller := http.NewResponseController(e.w)
	if controller.SetWriteDeadline(e.deadline) == nil {
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }() // for the next attempt
	}
	e.w.WriteHeader(resp.StatusCode)
	writer := &streamWriter{exchange: e, digest: attempt.NewBodyDigest(), check: check}
	writer.write(buffered.Bytes(), false)
	err := writer.copy(resp.Body)
	reason := attempt.ReasonTargetFailed
	if err == nil && !e.gate.options.skipVerification {
		reason, err = attempt.ReasonResponseCorrupt, check.verify()
	}
	if err == nil {
		e.complete, e.succeeded = true, resp.StatusCode < http.StatusInternalServerError
		e.reportStatus(resp.StatusCode)
		e.result = order.Result{Outcome: attempt.Answered, Status: resp.StatusCode, Header: storedHeader(resp.Header),
			Body: make([]byte, order.MaxStoredBody+1)} // above the limit, so that the registry drops the body
	}
	switch {
	case writer.entryErr != nil || (err != nil && ctx.Err() != nil):
		panic(http.ErrAbortHandler) // the entry is gone, or its deadline has passed
	case err != nil:
		h.Set(http.TrailerPrefix+attempt.HeaderVerdict, string(attempt.VerdictFailed))
		h.Set(http.TrailerPrefix+attempt.HeaderReason, string(reason))
	default:
		h.Set(http.TrailerPrefix+attempt.TrailerLength, strconv.FormatInt(writer.digest.Length(), 10))
		h.Set(http.TrailerPrefix+attempt.TrailerDigest, writer.digest.Sum())
	}
}

// streamWriter sends a response body to the entry and computes its length and
// digest. The response of a keyed order is read to its end even when the entry is gone.
type streamWriter struct {
	exchange *exchange
	digest   *attempt.BodyDigest
	check    *digestCheck
	entryErr error // error of the connection to the entry
}

func (s *streamWriter) write(p []byte, flush bool) {
	_, _ = s.digest.Write(p) // never fails
	if s.entryErr != nil {
		return
	}
	if _, s.entryErr = s.exchange.w.Write(p); s.entryErr == nil && flush {
		s.entryErr = http.NewResponseController(s.exchange.w).Flush()
	}
}

// copy sends src until its end. It flushes after a read that did not fill the
// buffer, as the next read may wait, so that a slow stream is not delayed.
func (s *streamWriter) copy(src io.Reader) error {
	buffer := copyPool.Get().(*[]byte)
	defer copyPool.Put(buffer)
	for {
		n, err := src.Read(*buffer)
		if n > 0 {
			s.check.write((*buffer)[:n])
			s.write((*buffer)[:n], n < len(*buffer))
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case s.entryErr != nil && s.exchange.key.IsZero():
			return s.entryErr
		}
	}
}
