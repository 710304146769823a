package attempt

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTPProfile holds the names of the header fields towards callers and targets, and
// the rules for responses to callers. A header field with an empty name is not used.
type HTTPProfile struct {
	RequestID string // identity of a request; callers may set it, see CallerRequestIDs
	Timeout   string // time left until the deadline, milliseconds
	Outcome   string // outcome of a request
	OrderKey  string // key of an order

	// CallerService carries the service of the host at which a request began. The
	// entry sets it and ignores what the caller sent.
	CallerService string
	// TargetInstance carries the identity of the target that a request is meant
	// for, so that another process at the same address refuses the request.
	TargetInstance string
	// NotExecuted marks a response of a target that did not run the request.
	NotExecuted string
	// ResponseSignature marks a response as the target's own. A response without it
	// is not forwarded.
	ResponseSignature string
	// TargetRate carries, in responses of a target in need, the requests/s that it takes
	// from all nodes together, as a decimal number.
	TargetRate string
	// TargetLeaving is "1" in the responses of a target that takes no new work.
	TargetLeaving string
	// AccountKey carries a caller's API key; it is never forwarded to a target.
	AccountKey string
	// AccountName carries the name of the client account to targets. The gate sets it
	// and ignores what the caller sent.
	AccountName string
	// CallerRequestIDs is set when callers choose the RequestID and targets echo it.
	CallerRequestIDs bool
	// StrictStatus is set when callers take 429 and 503 to mean that the work did
	// not run and never will, so that no other outcome has one of these statuses.
	StrictStatus bool
	// FractionalRetryAfter is set when Retry-After may have a fraction of a second.
	FractionalRetryAfter bool
	// CloseDelimited is set when a response without a length is complete once its
	// connection was closed in order.
	CloseDelimited bool
}

// DefaultHTTPProfile holds the project's own header fields.
var DefaultHTTPProfile = HTTPProfile{
	RequestID: HeaderRequestID, Timeout: HeaderTimeoutMS, Outcome: HeaderOutcome, OrderKey: HeaderIdempotencyKey,
	TargetRate: HeaderTakesRate, TargetLeaving: HeaderLeaving, AccountKey: HeaderAccountKey, AccountName: HeaderAccountName,
}

// SaysLeaving reports whether the target that sent a response takes no new work.
func (profile *HTTPProfile) SaysLeaving(h http.Header) bool {
	return profile.TargetLeaving != "" && strings.TrimSpace(h.Get(profile.TargetLeaving)) == "1"
}

// IsFleetHeader reports whether the fleet sets the header field, so that it is not
// forwarded from a caller.
func (profile *HTTPProfile) IsFleetHeader(name string) bool {
	if name == "" {
		return false
	}
	return name == profile.RequestID || name == profile.Timeout || name == profile.CallerService || name == profile.TargetInstance ||
		name == profile.AccountKey || name == profile.AccountName
}

// Status returns the HTTP status of a problem document with this outcome and reason.
func (profile *HTTPProfile) Status(o Outcome, r Reason) int {
	status := StatusOf(r)
	if !profile.StrictStatus {
		return status
	}
	switch {
	case o != NotRun && r == ReasonDeadline:
		return http.StatusGatewayTimeout
	case o != NotRun:
		return http.StatusBadGateway
	case status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge ||
		status == http.StatusTooManyRequests || status == http.StatusUnauthorized:
		return status
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteProblem writes a problem document as the complete response and returns its status.
func (profile *HTTPProfile) WriteProblem(w http.ResponseWriter, p Problem) int {
	p.Status = profile.Status(p.Outcome, p.Reason)
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h["Content-Type"] = []string{ProblemContentType}
	if profile.Outcome != "" {
		h[profile.Outcome] = []string{string(p.Outcome)}
	}
	if p.RequestID != "" {
		h[profile.RequestID] = []string{string(p.RequestID)}
	}
	if p.RetryAfterMS > 0 {
		h["Retry-After"] = []string{profile.retryAfter(time.Duration(p.RetryAfterMS) * time.Millisecond)}
	}
	if p.Status == http.StatusUnauthorized { // RFC 9110, section 15.5.2: with a challenge
		h["Www-Authenticate"] = []string{`ApiKey header="` + profile.AccountKey + `"`}
	}
	body, err := json.Marshal(p)
	if err != nil { // a Problem has only fields that always marshal
		body = []byte(`{"title":"internal error"}`)
	}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // fails only if the caller is gone
	return p.Status
}

// retryAfter formats the delay for Retry-After in whole seconds, rounded up, unless
// the profile allows fractions.
func (profile *HTTPProfile) retryAfter(d time.Duration) string {
	if profile.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
