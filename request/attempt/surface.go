package attempt

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HTTPProfile names the header fields towards callers and targets. A field with an
// empty name is not in use.
type HTTPProfile struct {
	RequestID string // of a request; where callers set it, it names the request
	Timeout   string // rest of the deadline, milliseconds
	Outcome   string // of an answer
	OrderKey  string // names an order

	// CallerService is the service of the host at which a request began. The
	// entry sets it, whatever the caller sent.
	CallerService string
	// TargetInstance is the identity of the target that a request is meant for,
	// so that another process at its address refuses the request.
	TargetInstance string
	// NotExecuted marks an answer of a target that did not run the request.
	NotExecuted string
	// ResponseSignature marks an answer as the target's own. An answer without it is not
	// passed on.
	ResponseSignature string
	// CallerRequestIDs tells that callers name their requests by RequestID and targets
	// echo the name.
	CallerRequestIDs bool
	// StrictStatus tells that callers take 429 and 503 for a promise that the
	// work did not run and never will, so that no other outcome has these.
	StrictStatus bool
	// FractionalRetryAfter tells that Retry-After may have a fraction of a second.
	FractionalRetryAfter bool
	// CloseDelimited tells that an answer without a length is whole when its
	// connection was closed in order.
	CloseDelimited bool
}

// DefaultHTTPProfile holds the project's own header fields.
var DefaultHTTPProfile = HTTPProfile{
	RequestID: HeaderRequestID, Timeout: HeaderTimeoutMS, Outcome: HeaderOutcome, OrderKey: HeaderIdempotencyKey,
}

// IsFleetHeader reports whether a header field is set by the fleet, so that it is not
// passed on from a caller.
func (s *HTTPProfile) IsFleetHeader(name string) bool {
	if name == "" {
		return false
	}
	return name == s.RequestID || name == s.Timeout || name == s.CallerService || name == s.TargetInstance
}

// Status returns the HTTP status of a refusal.
func (s *HTTPProfile) Status(o Outcome, r Reason) int {
	status := StatusOf(r)
	if !s.StrictStatus {
		return status
	}
	switch {
	case o != NotRun && r == ReasonDeadline:
		return http.StatusGatewayTimeout
	case o != NotRun:
		return http.StatusBadGateway
	case status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge ||
		status == http.StatusTooManyRequests:
		return status
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteProblem writes a problem document as the whole answer and returns its status.
func (s *HTTPProfile) WriteProblem(w http.ResponseWriter, p Problem) int {
	p.Status = s.Status(p.Outcome, p.Reason)
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h["Content-Type"] = []string{ProblemContentType}
	if s.Outcome != "" {
		h[s.Outcome] = []string{string(p.Outcome)}
	}
	if p.RequestID != "" {
		h[s.RequestID] = []string{string(p.RequestID)}
	}
	if p.RetryAfterMS > 0 {
		h["Retry-After"] = []string{s.retryAfter(time.Duration(p.RetryAfterMS) * time.Millisecond)}
	}
	body, err := json.Marshal(p)
	if err != nil { // a Problem has only fields that always marshal
		body = []byte(`{"title":"internal error"}`)
	}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // the caller is gone when this fails
	return p.Status
}

// retryAfter formats whole seconds, rounded up, unless callers read fractions.
func (s *HTTPProfile) retryAfter(d time.Duration) string {
	if s.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
