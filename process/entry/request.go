package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
	"github.com/hyssopsill/hyssopsill/process/upload"
	"github.com/hyssopsill/hyssopsill/request/account"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/class"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	// maxReplayBytes is the size up to which a request body is buffered, so that
	// another attempt can send it again. The request digest covers as many bytes.
	maxReplayBytes = poison.DigestBodyBytes

	maxCustomerBytes = 256
	maxKeyBytes      = 512
)

// request is the state of one request of a caller.
type request struct {
	entry          *Entry
	callerResponse http.ResponseWriter
	callerRequest  *http.Request
	start          time.Time
	deadline       time.Time
	routing        *routing
	match          class.Match
	service        string // of the route, or picked by the weights of its split
	class          config.Class
	long           bool
	customer       string
	account        *account.Account // nil: none
	quotaCharged   bool             // checkAccountQuota admitted the request
	orderKey       order.Key
	record         record.Request

	body           []byte       // buffered prefix of the body; all of it when bodyRest is nil
	bodyRest       *upload.Body // the rest of a larger one, forwarded while it arrives
	poison         poison.Request
	skipHeader     func(string) bool
	history        []attemptState
	round          int           // index in history of the first attempt since the last wait for a target
	rejectAfter    time.Duration // Retry-After of a rejection, 0 when not known
	called         bool          // a gate takes the work for a call by a target
	callRefused    bool          // the last run failed because a call that it made found no room
	budgetTaken    bool          // the retry budget was taken for the next attempt
	exemptFromStop func() bool   // keeps EndWaitingRequests from ending this request
}

const whyCallerGone = "the caller closed its connection"

// assignID gives the request the ID that its caller chose, so that gates recognize
// a request that arrives twice, or a new one.
func (q *request) assignID() {
	profile := &q.entry.options.HTTPProfile
	if profile.CallerRequestIDs {
		if name := q.callerRequest.Header.Get(profile.RequestID); validID(name) {
			q.record.ID = attempt.RequestID(name)
			return
		}
	}
	q.entry.mu.Lock()
	q.record.ID = attempt.NewRequestID(q.entry.rand)
	q.entry.mu.Unlock()
}

// maxIDBytes limits a request ID, which is sent in headers and written to records.
const maxIDBytes = 128

func validID(s string) bool {
	return s != "" && len(s) <= maxIDBytes && !strings.ContainsFunc(s, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
	})
}

// headerFilter returns a function that reports the header fields that are not
// forwarded: those of the connection and those that the fleet sets itself.
func (q *request) headerFilter() func(string) bool {
	skip, profile := roundtrip.ForwardFilter(q.callerRequest.Header), &q.entry.options.HTTPProfile
	return func(name string) bool { return skip(name) || profile.IsFleetHeader(name) }
}

// recordEnd counts the ended request and writes its record.
func (q *request) recordEnd() {
	q.returnAccountQuota()
	duration := q.entry.now().Sub(q.start)
	q.record.DurationMS = float64(duration) / float64(time.Millisecond)
	if q.record.Status >= http.StatusBadRequest {
		q.entry.options.OnFailedRequest()
		if q.isRefusedCall() {
			q.entry.options.OnCallRefused()
		}
	}
	q.entry.options.OnRequestEnd(q.record.Service, q.record.Class, q.customer, q.record.Outcome, q.record.Reason, duration)
	q.entry.options.Record(record.Record{At: q.start, Node: q.entry.options.Node, Kind: record.KindRequest, Request: &q.record})
}

func (q *request) serve() {
	if q.callerRequest.Context().Err() != nil { // it was sent behind a request that has ended
		q.refuse(attempt.NotRun, attempt.ReasonWithdrawn, whyCallerGone, 0)
		return
	}
	if reason, why := q.awaitStart(); reason != attempt.ReasonNone {
		q.refuse(attempt.NotRun, reason, why, time.Second)
		return
	}
	q.record.ConfigVersion = q.routing.config.Version
	if q.callerRequest.URL.Path == orderKeysPath && q.entry.options.HTTPProfile.OrderKey != "" {
		q.serveOrderKeys()
		return
	}
	if reason, err := q.route(); err != nil {
		q.refuseByConfig(reason, err.Error())
		return
	}
	if !q.admitAccount(q.match.Route.Public) {
		return
	}
	if err := q.setDeadline(); err != nil {
		q.refuse(attempt.NotRun, attempt.ReasonBadRequest, err.Error(), 0)
		return
	}
	if wait, late := q.tooLateForDrain(); late {
		q.refuse(attempt.NotRun, attempt.ReasonLeaving, "this node stops before the deadline of the request", wait)
		return
	}
	if !q.checkAccountQuota() || !q.checkLimits() {
		return
	}
	defer q.releaseLimits()
	if reason, err := q.readBody(); err != nil {
		q.refuse(attempt.NotRun, reason, err.Error(), 0)
		return
	}
	defer q.finishUpload()
	if !q.resolveKey() {
		return
	}
	q.skipHeader = q.headerFilter()
	q.run()
}

// route finds the service and the class of the request.
func (q *request) route() (attempt.Reason, error) {
	path := q.callerRequest.URL.Path
	if !cleanPath(path) {
		return attempt.ReasonBadRequest, fmt.Errorf("path %q: want an absolute path without '.' and '..' segments", path)
	}
	match, ok := q.routing.table.Match(q.callerRequest.Method, q.callerRequest.Host, path)
	if !ok {
		return attempt.ReasonNoRoute, fmt.Errorf("no route for %s %s", q.callerRequest.Method, path)
	}
	if match.Route.Blocked {
		return attempt.ReasonRouteUnusable, fmt.Errorf("route %q of the configuration cannot be used", match.Route.ID)
	}
	if q.callerRequest.Header.Get("Upgrade") != "" {
		return attempt.ReasonBadRequest, errors.New("header Upgrade is not supported")
	}
	q.match, q.service = match, match.Route.Service
	if len(match.Route.Split) > 0 {
		q.service = q.entry.pickSplitService(match.Route.Split)
	}
	q.class = q.routing.config.Services[q.service].Classes[match.Route.Class]
	q.record.Route, q.record.Service, q.record.Class = match.Route.ID, q.service, match.Route.Class
	return attempt.ReasonNone, nil
}

// pickSplitService picks a random service by the weights of a split.
func (e *Entry) pickSplitService(split []class.SplitShare) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	point := e.rand.Float64() * total
	for _, s := range split {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

// cleanPath reports whether a path is absolute, or "*", and has no "." and ".."
// segments.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return path == "*"
	}
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return true
		}
		rest = rest[i+1:]
		if segment, _, _ := strings.Cut(rest, "/"); segment == "." || segment == ".." {
			return false
		}
	}
}

// setCustomer takes the customer from the account, or else from the configured header,
// or else from the address of the caller.
func (q *request) setCustomer() {
	if q.account != nil {
		q.customer = q.account.Name
		q.record.Customer = q.entry.hash("customer", q.customer)
		return
	}
	q.customer = q.callerRequest.Header.Get(q.routing.config.CustomerHeader)
	if q.customer == "" {
		q.customer, _, _ = net.SplitHostPort(q.callerRequest.RemoteAddr) // always host:port for TCP
	}
	if _, taken := q.routing.config.Accounts[q.customer]; taken {
		q.customer = withoutAccountPrefix + q.customer
	}
	if len(q.customer) > maxCustomerBytes {
		q.customer = q.customer[:maxCustomerBytes]
	}
	q.record.Customer = q.entry.hash("customer", q.customer)
}

// setDeadline takes the deadline of the class, or an earlier one from the caller.
func (q *request) setDeadline() error {
	limit := time.Duration(q.class.Deadline)
	if limit <= 0 {
		limit = time.Duration(config.DefaultDeadline)
	}
	name := q.entry.options.HTTPProfile.Timeout
	if text := q.callerRequest.Header.Get(name); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return fmt.Errorf("%s: want a positive number of milliseconds, got %q", name, text)
		}
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	q.deadline = q.start.Add(limit)
	q.record.ObjectiveMS = time.Duration(q.class.Objective).Milliseconds()
	q.record.DeadlineMS = limit.Milliseconds()
	return nil
}

// checkLimits applies the limits of the service and the customer. It refuses the
// request and reports false when one is reached.
func (q *request) checkLimits() bool {
	service := q.service
	q.entry.mu.Lock()
	q.entry.demand.counts[service]++
	decision := q.entry.limiter.Allow(q.entry.now(), service, q.customer)
	if q.class.Learn {
		q.long = q.entry.learner.IsLong(q.match.Route.ID, q.match.PathGroup)
	}
	q.entry.mu.Unlock()
	q.long = q.long || q.class.Long
	if !decision.Allowed {
		q.record.Limits = []string{decision.Limit}
		q.refuse(attempt.NotRun, decision.Reason, "limit "+decision.Limit+" is reached", decision.RetryAfter)
	}
	return decision.Allowed
}

func (q *request) releaseLimits() {
	q.entry.mu.Lock()
	q.entry.limiter.Release(q.entry.now(), q.service, q.customer)
	q.entry.mu.Unlock()
}

// readBody buffers a body of up to maxReplayBytes. The rest of a larger one is
// forwarded while it arrives.
func (q *request) readBody() (attempt.Reason, error) {
	limit := q.class.MaxBody
	if limit <= 0 {
		limit = config.DefaultMaxBody
	}
	limit = min(limit, q.entry.options.BodyBytes)
	switch {
	case q.callerRequest.ContentLength > limit:
		return attempt.ReasonTooLarge, fmt.Errorf("request body has %d bytes, limit is %d", q.callerRequest.ContentLength, limit)
	case q.callerRequest.ContentLength == 0:
		return "", nil
	}
	// A caller that stops sending must not keep the request beyond its deadline.
	control := http.NewResponseController(q.callerResponse)
	if err := control.SetReadDeadline(q.deadline); err != nil {
		return attempt.ReasonBadRequest, fmt.Errorf("request body: %w", err)
	}
	body := http.MaxBytesReader(q.callerResponse, q.callerRequest.Body, limit)
	size := int64(maxReplayBytes)
	if q.callerRequest.ContentLength > 0 {
		size = min(size, q.callerRequest.ContentLength)
	}
	var err error
	if q.callerRequest.ContentLength > 0 && q.callerRequest.ContentLength <= maxReplayBytes {
		q.body = make([]byte, size)
		_, err = io.ReadFull(body, q.body)
	} else {
		q.body, err = io.ReadAll(io.LimitReader(body, size))
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return attempt.ReasonTooLarge, fmt.Errorf("request body exceeds the limit of %d bytes", limit)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return attempt.ReasonDeadline, errors.New("the request body did not arrive in time")
		}
		return attempt.ReasonBadRequest, fmt.Errorf("request body: %w", err)
	}
	if len(q.body) == maxReplayBytes && q.callerRequest.ContentLength != maxReplayBytes {
		q.bodyRest = upload.New(q.callerResponse, body)
		q.callerResponse = q.bodyRest.ResponseWriter()
		return "", nil
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return attempt.ReasonBadRequest, fmt.Errorf("request body: %w", err)
	}
	return "", nil
}

// finishUpload ends the forwarding of the body and notes in the record of an answered
// request that a part of it was not forwarded.
func (q *request) finishUpload() {
	if q.bodyRest == nil || q.bodyRest.Finish() {
		return
	}
	if q.record.Outcome == attempt.Answered {
		q.record.Detail = "the response was complete before the request body, whose rest was not forwarded"
	}
}

// bodyLength returns the length of the whole body in bytes, -1 when unknown.
func (q *request) bodyLength() int64 {
	if q.bodyRest == nil {
		return int64(len(q.body))
	}
	return q.callerRequest.ContentLength
}

// replayable reports whether the whole body can be sent again.
func (q *request) replayable() bool { return q.bodyRest == nil || !q.bodyRest.Started() }

// refuse ends the request with a problem document.
func (q *request) refuse(outcome attempt.Outcome, reason attempt.Reason, detail string, retryAfter time.Duration) {
	q.record.Outcome, q.record.Reason, q.record.Detail = outcome, reason, detail
	q.entry.closeIfDraining(q.callerResponse.Header())
	q.record.Status = q.entry.options.HTTPProfile.WriteProblem(q.callerResponse, attempt.NewProblem(q.record.ID, outcome, reason, detail, retryAfter))
	if reason == attempt.ReasonTooLarge {
		q.discardBody()
	}
}

// outdatedRetryDelay is about the time in which a node gets a configuration that it has
// heard of.
const outdatedRetryDelay = 500 * time.Millisecond

// refuseByConfig refuses a request that the configuration does not allow. While this node
// knows of a newer one that it does not have yet, that is not certain, and the caller may
// try again.
func (q *request) refuseByConfig(reason attempt.Reason, detail string) {
	if (reason == attempt.ReasonNoRoute || reason == attempt.ReasonUnauthenticated) && q.entry.options.ConfigOutdated() {
		q.refuse(attempt.NotRun, attempt.ReasonConfigOutdated, "this node does not have the newest configuration yet: "+detail, outdatedRetryDelay)
		return
	}
	q.refuse(attempt.NotRun, reason, detail, 0)
}

const (
	maxDiscardBytes = 8 << 20
	maxDiscardTime  = time.Second
)

// discardBody reads and drops the body for a short time after a refusal. A caller
// whose connection is reset while it still sends may never see the refusal.
func (q *request) discardBody() {
	control := http.NewResponseController(q.callerResponse)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(q.callerRequest.Body, maxDiscardBytes)) // the connection is closed in any case
}
