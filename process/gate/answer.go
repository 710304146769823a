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

// MaxBufferedBytes is the size of an answer up to which it is held until it is
// verified. Larger answers are streamed.
const MaxBufferedBytes = 256 << 10

// ReasonOrderFinished refers to an order that has run and whose answer is no
// longer kept.
const ReasonOrderFinished attempt.Reason = "order-finished"

const (
	copyBytes     = 32 << 10
	keptHoldBytes = 64 << 10 // larger buffers are not kept for reuse
)

var (
	holdPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	copyPool = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}
)

// GetBuffer returns a buffer for an answer; PutBuffer gives it back.
func GetBuffer() *bytes.Buffer {
	b := holdPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

// PutBuffer takes back a buffer of GetBuffer.
func PutBuffer(b *bytes.Buffer) {
	if b.Cap() <= keptHoldBytes {
		holdPool.Put(b)
	}
}

// ReadBuffered reads up to MaxBufferedBytes into held and reports whether that was the
// whole body.
func ReadBuffered(held *bytes.Buffer, body io.Reader, length int64) (bool, error) {
	if length > 0 && length <= MaxBufferedBytes {
		held.Grow(int(length) + bytes.MinRead)
	}
	n, err := held.ReadFrom(io.LimitReader(body, MaxBufferedBytes+1))
	return n <= MaxBufferedBytes, err
}

var errNoLength = errors.New("answer has neither a length nor chunks, so its end cannot be verified")

// answer passes on the answer of the target. Up to MaxBufferedBytes it is verified
// first, so that the verdict covers the whole answer.
func (x *exchange) answer(ctx context.Context, address string, incarnation attempt.Incarnation, resp *roundtrip.Response) {
	if x.refusedByTarget(resp) {
		return
	}
	unbounded := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unbounded && x.r.Method != http.MethodHead && !x.g.o.noVerify && !x.g.o.HTTPProfile.CloseDelimited {
		x.refuse(attempt.VerdictFailed, attempt.ReasonResponseCorrupt, errNoLength.Error(), 0)
		return
	}
	held := GetBuffer()
	defer PutBuffer(held)
	check := newAnswerCheck(resp.Header)
	whole, err := ReadBuffered(held, resp.Body, resp.ContentLength)
	check.write(held.Bytes())
	if err != nil {
		x.brokeOff(ctx, address, err)
		return
	}
	if !whole {
		x.stream(ctx, incarnation, resp, held, check)
		return
	}
	if err := check.verify(); err != nil && !x.g.o.noVerify {
		x.refuse(attempt.VerdictFailed, attempt.ReasonResponseCorrupt, err.Error(), 0)
		return
	}
	x.ok, x.well = true, resp.StatusCode < http.StatusInternalServerError
	x.answered(resp.StatusCode)
	x.result = order.Result{Outcome: attempt.Answered, Status: resp.StatusCode}
	h := x.header(incarnation, resp)
	if !x.key.IsZero() {
		x.result.Header, x.result.Body = storedHeader(resp.Header), bytes.Clone(held.Bytes())
		x.finishOrder() // a repeat gets the answer even when this entry is gone
	}
	x.release()
	x.setLoad(h)
	x.writeHeld(resp.StatusCode, held.Bytes())
}

// brokeOff reports an answer that ended early.
func (x *exchange) brokeOff(ctx context.Context, address string, err error) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.refuse(attempt.VerdictFailed, attempt.ReasonDeadline, "the answer was not complete in time", 0)
	case ctx.Err() != nil: // the entry is gone
	case x.connectionBroke(address):
		x.refuse(attempt.VerdictCrashed, attempt.ReasonTargetCrashed, err.Error(), 0)
	default:
		x.refuse(attempt.VerdictFailed, attempt.ReasonTargetFailed, "the answer broke off: "+err.Error(), 0)
	}
}

func (x *exchange) header(incarnation attempt.Incarnation, resp *roundtrip.Response) http.Header {
	h := x.w.Header()
	roundtrip.CopyHeader(h, resp.Header)
	values := []string{x.idText, string(attempt.VerdictRan), incarnation.String()} // one allocation for all
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

// writeHeld sends a whole answer. Length and digest are known beforehand and
// travel as headers, which saves the chunks that trailers need.
func (x *exchange) writeHeld(status int, body []byte) {
	h := x.w.Header()
	digest := attempt.NewBodyDigest()
	_, _ = digest.Write(body) // never fails
	values := []string{strconv.Itoa(len(body)), digest.Sum()}
	h[attempt.TrailerLength] = values[0:1:1]
	h[attempt.TrailerDigest] = values[1:2:2]
	if x.r.Method != http.MethodHead {
		h["Content-Length"] = values[0:1:1]
	}
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // the entry is gone when this fails
}

// answerStored answers a repeat of a finished order.
func (x *exchange) answerStored(s order.StoredResponse) {
	h := x.w.Header()
	maps.Copy(h, s.Header)
	h[attempt.HeaderAttempt] = []string{x.idText}
	h[attempt.HeaderVerdict] = []string{string(attempt.VerdictRan)}
	x.setLoad(h)
	if !s.BodyDropped {
		x.writeHeld(s.Status, s.Body)
		return
	}
	for name := range s.Header {
		delete(h, name)
	}
	h.Set(attempt.HeaderReason, string(ReasonOrderFinished))
	p := attempt.NewProblem(x.id.Request, attempt.Answered, ReasonOrderFinished,
		"the order has run; its answer was too large to be kept", 0)
	p.Status, p.Title = http.StatusConflict, http.StatusText(http.StatusConflict)
	body, err := json.Marshal(p)
	if err != nil { // a Problem has only fields that always marshal
		body = nil
	}
	h.Set("Content-Type", attempt.ProblemContentType)
	x.writeHeld(p.Status, body)
}

// stream passes on an answer too large to be held. Its trailers carry length
// and digest, or the verdict failed.
func (x *exchange) stream(ctx context.Context, incarnation attempt.Incarnation, resp *roundtrip.Response, held *bytes.Buffer, check *answerCheck) {
	h := x.header(incarnation, resp)
	x.setLoad(h)
	if resp.ContentLength > 0 {
		h[attempt.TrailerLength] = []string{strconv.FormatInt(resp.ContentLength, 10)}
	}
	delete(h, "Content-Length")
	// An entry that ended without closing its connection must not hold the slot beyond the deadline.
	control := http.NewResponseController(x.w)
	if control.SetWriteDeadline(x.deadline) == nil {
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // for the next attempt
	}
	x.w.WriteHeader(resp.StatusCode)
	out := &streamWriter{x: x, digest: attempt.NewBodyDigest(), check: check}
	out.write(held.Bytes(), false)
	err := out.copy(resp.Body)
	reason := attempt.ReasonTargetFailed
	if err == nil && !x.g.o.noVerify {
		reason, err = attempt.ReasonResponseCorrupt, check.verify()
	}
	if err == nil {
		x.ok, x.well = true, resp.StatusCode < http.StatusInternalServerError
		x.answered(resp.StatusCode)
		x.result = order.Result{Outcome: attempt.Answered, Status: resp.StatusCode, Header: storedHeader(resp.Header),
			Body: make([]byte, order.MaxStoredBody+1)} // too large to be kept
	}
	switch {
	case out.broken != nil || (err != nil && ctx.Err() != nil):
		panic(http.ErrAbortHandler) // the entry is gone, or its deadline has passed
	case err != nil:
		h.Set(http.TrailerPrefix+attempt.HeaderVerdict, string(attempt.VerdictFailed))
		h.Set(http.TrailerPrefix+attempt.HeaderReason, string(reason))
	default:
		h.Set(http.TrailerPrefix+attempt.TrailerLength, strconv.FormatInt(out.digest.Length(), 10))
		h.Set(http.TrailerPrefix+attempt.TrailerDigest, out.digest.Sum())
	}
}

// streamWriter sends an answer to the entry while it measures it. A keyed
// order is read to its end even when the entry is gone.
type streamWriter struct {
	x      *exchange
	digest *attempt.BodyDigest
	check  *answerCheck
	broken error // of the connection to the entry
}

func (s *streamWriter) write(p []byte, flush bool) {
	_, _ = s.digest.Write(p) // never fails
	if s.broken != nil {
		return
	}
	if _, s.broken = s.x.w.Write(p); s.broken == nil && flush {
		s.broken = http.NewResponseController(s.x.w).Flush()
	}
}

// copy sends src to its end. What arrived is flushed when the next read would
// wait, so that a slow stream is not delayed.
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
		case s.broken != nil && s.x.key.IsZero():
			return s.broken
		}
	}
}
