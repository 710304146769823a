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
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/class"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	// replayBytes is the size of a request body up to which it is kept, so that
	// another attempt can send it again. The request digest covers as much.
	replayBytes = poison.DigestBodyBytes

	maxCustomerBytes = 256
	maxKeyBytes      = 512
)

// request is the state of one request of a caller.
type request struct {
	e        *Entry
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	deadline time.Time
	routing  *routing
	match    class.Match
	service  string // of the route, or drawn from its split
	class    config.Class
	long     bool
	customer string
	key      order.Key
	rec      record.Request

	body    []byte // prefix of the body; all of it when rest is nil
	rest    *upload
	digest  poison.RequestDigest
	skip    func(string) bool
	history []attemptState
	prepaid bool        // the budget was taken for the next attempt
	keep    func() bool // lets the request go on when the others are ended
}

// upload is the part of a body that is passed on while it arrives.
type upload struct {
	io.Reader
	touched bool // a part was read, so that it cannot be sent again
}

func (u *upload) Read(p []byte) (int, error) {
	u.touched = true
	return u.Reader.Read(p)
}

// identify names the request: by the caller's own name, so that a request that
// arrives twice is known to the gates, or by a new one.
func (q *request) identify() {
	s := &q.e.o.HTTPProfile
	if s.CallerRequestIDs {
		if name := q.r.Header.Get(s.RequestID); validID(name) {
			q.rec.ID = attempt.RequestID(name)
			return
		}
	}
	q.e.mu.Lock()
	q.rec.ID = attempt.NewRequestID(q.e.rand)
	q.e.mu.Unlock()
}

// maxIDBytes bounds a request's name, which travels in headers and records.
const maxIDBytes = 128

func validID(s string) bool {
	return s != "" && len(s) <= maxIDBytes && !strings.ContainsFunc(s, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
	})
}

// skipped leaves out the fields that the fleet sets itself.
func (q *request) skipped() func(string) bool {
	skip, s := roundtrip.ForwardFilter(q.r.Header), &q.e.o.HTTPProfile
	return func(name string) bool { return skip(name) || s.IsFleetHeader(name) }
}

func (q *request) finish() {
	d := q.e.now().Sub(q.start)
	q.rec.DurationMS = float64(d) / float64(time.Millisecond)
	q.e.o.OnRequestEnd(q.rec.Service, q.rec.Class, q.customer, q.rec.Outcome, q.rec.Reason, d)
	q.e.o.Record(record.Record{At: q.start, Node: q.e.o.Node, Kind: record.KindRequest, Request: &q.rec})
}

func (q *request) serve() {
	if reason, why := q.awaitStart(); reason != attempt.ReasonNone {
		q.refuse(attempt.NotRun, reason, why, time.Second)
		return
	}
	q.rec.ConfigVersion = q.routing.config.Version
	if q.r.URL.Path == orderKeysPath && q.e.o.HTTPProfile.OrderKey != "" {
		q.serveOrderKeys()
		return
	}
	if reason, err := q.route(); err != nil {
		q.refuse(attempt.NotRun, reason, err.Error(), 0)
		return
	}
	if !q.allow() {
		return
	}
	defer q.releaseLimits()
	if reason, err := q.readBody(); err != nil {
		q.refuse(attempt.NotRun, reason, err.Error(), 0)
		return
	}
	if !q.resolveKey() {
		return
	}
	q.skip = q.skipped()
	q.run()
}

// route finds service and class and the deadline.
func (q *request) route() (attempt.Reason, error) {
	path := q.r.URL.Path
	if !cleanPath(path) {
		return attempt.ReasonBadRequest, fmt.Errorf("path %q: want an absolute path without '.' and '..' segments", path)
	}
	match, ok := q.routing.table.Match(q.r.Method, q.r.Host, path)
	if !ok {
		return attempt.ReasonNoRoute, fmt.Errorf("no route for %s %s", q.r.Method, path)
	}
	if q.r.Header.Get("Upgrade") != "" {
		return attempt.ReasonBadRequest, errors.New("header Upgrade is not supported")
	}
	q.match, q.service = match, match.Route.Service
	if len(match.Route.Split) > 0 {
		q.service = q.e.drawService(match.Route.Split)
	}
	q.class = q.routing.config.Services[q.service].Classes[match.Route.Class]
	q.rec.Route, q.rec.Service, q.rec.Class = match.Route.ID, q.service, match.Route.Class
	q.setCustomer()
	return attempt.ReasonBadRequest, q.setDeadline()
}

// drawService draws a service in proportion to the weights of a split.
func (e *Entry) drawService(split []class.Share) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	at := e.rand.Float64() * total
	for _, s := range split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}

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

func (q *request) setCustomer() {
	q.customer = q.r.Header.Get(q.routing.config.CustomerHeader)
	if q.customer == "" {
		q.customer, _, _ = net.SplitHostPort(q.r.RemoteAddr) // always host:port for TCP
	}
	if len(q.customer) > maxCustomerBytes {
		q.customer = q.customer[:maxCustomerBytes]
	}
	q.rec.Customer = q.e.hash("customer", q.customer)
}

func (q *request) setDeadline() error {
	limit := time.Duration(q.class.Deadline)
	if limit <= 0 {
		limit = time.Duration(config.DefaultDeadline)
	}
	name := q.e.o.HTTPProfile.Timeout
	if text := q.r.Header.Get(name); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return fmt.Errorf("%s: want a positive number of milliseconds, got %q", name, text)
		}
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	q.deadline = q.start.Add(limit)
	q.rec.ObjectiveMS = time.Duration(q.class.Objective).Milliseconds()
	q.rec.DeadlineMS = limit.Milliseconds()
	return nil
}

// allow checks the limits of the service and the customer.
func (q *request) allow() bool {
	service := q.service
	q.e.mu.Lock()
	q.e.demand.counts[service]++
	d := q.e.limiter.Allow(q.e.now(), service, q.customer)
	if q.class.Learn {
		q.long = q.e.learner.IsLong(q.match.Route.ID, q.match.PathGroup)
	}
	q.e.mu.Unlock()
	q.long = q.long || q.class.Long
	if !d.Allowed {
		q.rec.Limits = []string{d.Limit}
		q.refuse(attempt.NotRun, d.Reason, "limit "+d.Limit+" is reached", d.RetryAfter)
	}
	return d.Allowed
}

func (q *request) releaseLimits() {
	q.e.mu.Lock()
	q.e.limiter.Release(q.e.now(), q.service, q.customer)
	q.e.mu.Unlock()
}

// readBody keeps a body of up to replayBytes. The rest of a larger one is
// passed on while it arrives.
func (q *request) readBody() (attempt.Reason, error) {
	limit := q.class.MaxBody
	if limit <= 0 {
		limit = config.DefaultMaxBody
	}
	limit = min(limit, q.e.o.BodyBytes)
	switch {
	case q.r.ContentLength > limit:
		return attempt.ReasonTooLarge, fmt.Errorf("request body has %d bytes, limit is %d", q.r.ContentLength, limit)
	case q.r.ContentLength == 0:
		return "", nil
	}
	// A caller that stops sending must not hold the request beyond its deadline.
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(q.deadline); err != nil {
		return attempt.ReasonBadRequest, fmt.Errorf("request body: %w", err)
	}
	body := http.MaxBytesReader(q.w, q.r.Body, limit)
	size := int64(replayBytes)
	if q.r.ContentLength > 0 {
		size = min(size, q.r.ContentLength)
	}
	var err error
	if q.r.ContentLength > 0 && q.r.ContentLength <= replayBytes {
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
	if len(q.body) == replayBytes && q.r.ContentLength != replayBytes {
		q.rest = &upload{Reader: body}
		return "", nil
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return attempt.ReasonBadRequest, fmt.Errorf("request body: %w", err)
	}
	return "", nil
}

// bodyLength is the length of the whole body in bytes, -1 when unknown.
func (q *request) bodyLength() int64 {
	if q.rest == nil {
		return int64(len(q.body))
	}
	return q.r.ContentLength
}

// replayable reports whether the whole body can be sent again.
func (q *request) replayable() bool { return q.rest == nil || !q.rest.touched }

// refuse answers with a problem document.
func (q *request) refuse(outcome attempt.Outcome, reason attempt.Reason, detail string, retryAfter time.Duration) {
	q.rec.Outcome, q.rec.Reason, q.rec.Detail = outcome, reason, detail
	q.rec.Status = q.e.o.HTTPProfile.WriteProblem(q.w, attempt.NewProblem(q.rec.ID, outcome, reason, detail, retryAfter))
	if reason == attempt.ReasonTooLarge {
		q.discardBody()
	}
}

const (
	discardBytes = 8 << 20
	discardTime  = time.Second
)

// discardBody reads on for a while after a refusal. A caller whose connection
// is reset while it still sends may never see the refusal.
func (q *request) discardBody() {
	control := http.NewResponseController(q.w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(q.r.Body, discardBytes)) // the connection ends in any case
}
