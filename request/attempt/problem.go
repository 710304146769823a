package attempt

import (
	"net/http"
	"time"
)

// ProblemContentType is the media type of RFC 9457 problem documents.
const ProblemContentType = "application/problem+json"

// Problem is an RFC 9457 problem document with the fleet's members.
type Problem struct {
	Type         string    `json:"type"`
	Title        string    `json:"title"`
	Status       int       `json:"status"`
	Detail       string    `json:"detail,omitempty"`
	Outcome      Outcome   `json:"outcome"`
	Reason       Reason    `json:"reason"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	RequestID    RequestID `json:"request_id,omitempty"`
}

// NewProblem returns the problem document for a reason.
func NewProblem(id RequestID, outcome Outcome, reason Reason, detail string, retryAfter time.Duration) Problem {
	status := StatusOf(reason)
	return Problem{
		Type:         "urn:hyssopsill:problem:" + string(reason),
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       detail,
		Outcome:      outcome,
		Reason:       reason,
		RetryAfterMS: retryAfter.Milliseconds(),
		RequestID:    id,
	}
}

// StatusOf returns the HTTP status of a reason.
func StatusOf(r Reason) int {
	switch r {
	case ReasonNoRoute:
		return http.StatusNotFound
	case ReasonBadRequest, ReasonKeyInvalid:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonRateLimit, ReasonConcurrencyLimit:
		return http.StatusTooManyRequests
	case ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case ReasonKeyExpired, ReasonKeyOwnerGone, ReasonOrderRunning:
		return http.StatusConflict
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonTargetFailed, ReasonTargetCrashed, ReasonResponseCorrupt, ReasonPathFailed:
		return http.StatusBadGateway
	case ReasonUnauthenticated:
		return http.StatusUnauthorized
	case ReasonUnauthorized:
		return http.StatusForbidden
	default:
		return http.StatusServiceUnavailable
	}
}

// Write sends the problem document as the complete response in the default HTTP
// profile.
func (p Problem) Write(w http.ResponseWriter) { DefaultHTTPProfile.WriteProblem(w, p) }
