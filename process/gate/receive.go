package gate

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
	"github.com/hyssopsill/hyssopsill/request/poison"
)

// maxTimeout bounds the timeout and the age of an attempt.
const maxTimeout = 24 * time.Hour

// PeerHandler serves attempts and the other requests of peers.
func (g *Gate) PeerHandler() http.Handler { return http.HandlerFunc(g.servePeer) }

func (g *Gate) servePeer(w http.ResponseWriter, r *http.Request) {
	if !g.authorized(r) {
		attempt.NewProblem("", attempt.NotRun, attempt.ReasonUnauthorized, "fleet token missing or wrong", 0).Write(w)
		return
	}
	if !g.started() {
		attempt.NewProblem("", attempt.NotRun, attempt.ReasonNotReady, "this node has not joined the others yet", time.Second).Write(w)
		return
	}
	if r.Header.Get(attempt.HeaderAttempt) == "" {
		g.peerMux.ServeHTTP(w, r)
		return
	}
	e := &exchange{gate: g, w: w, r: r, arrivedAt: g.now(), result: order.Result{Outcome: attempt.NotRun}}
	if err := e.parse(); err != nil {
		e.respondProblem(attempt.VerdictRefused, attempt.ReasonBadRequest, err.Error(), 0)
		return
	}
	g.mu.Lock()
	g.active[e.id] = e
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.active, e.id)
		g.mu.Unlock()
	}()
	e.serve()
}

// parse reads the headers of an attempt.
func (e *exchange) parse() error {
	h := e.r.Header
	e.idText = h.Get(attempt.HeaderAttempt)
	id, err := attempt.ParseID(e.idText)
	if err != nil {
		e.idText = "invalid" // not echoed
		return err
	}
	e.id = id
	ms, err := strconv.ParseInt(h.Get(attempt.HeaderTimeoutMS), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return fmt.Errorf("%s: want 1 to %d, got %q", attempt.HeaderTimeoutMS, maxTimeout.Milliseconds(), h.Get(attempt.HeaderTimeoutMS))
	}
	e.deadline = e.arrivedAt.Add(time.Duration(ms) * time.Millisecond)
	e.targetID, e.class, e.customer = h.Get(attempt.HeaderTarget), h.Get(attempt.HeaderClass), h.Get(attempt.HeaderCustomer)
	e.account = h.Get(attempt.HeaderAccountName)
	e.rank, e.callerRank = attempt.ParseRank(h.Get(attempt.HeaderRank)), attempt.ParseRank(h.Get(attempt.HeaderCallerRank))
	e.long = h.Get(attempt.HeaderLong) == "1"
	e.force = h.Get(attempt.HeaderForce) == "1"
	e.noWait = h.Get(attempt.HeaderNoWait) == "1"
	e.allowLate = h.Get(attempt.HeaderAllowLate) == "1"
	e.retry = h.Get(attempt.HeaderRetry) == "1"
	if text := h.Get(attempt.HeaderCallerRetries); text != "" {
		if e.callerRetries, err = strconv.ParseFloat(text, 64); err != nil || !(e.callerRetries >= 0 && e.callerRetries <= 1) {
			return fmt.Errorf("%s: want 0 to 1, got %q", attempt.HeaderCallerRetries, text)
		}
	}
	e.tracked = h.Get(attempt.HeaderIdempotent) != "1"
	if text := h.Get(attempt.HeaderAgeMS); text != "" {
		age, err := strconv.ParseInt(text, 10, 64)
		if err != nil || age < 0 || age > maxTimeout.Milliseconds() {
			return fmt.Errorf("%s: want 0 to %d, got %q", attempt.HeaderAgeMS, maxTimeout.Milliseconds(), text)
		}
		e.arrivedAtEntry = e.arrivedAt.Add(-time.Duration(age) * time.Millisecond)
	}
	if e.poison.Digest, err = parseDigest(h, attempt.HeaderRequestDigest); err != nil {
		return err
	}
	if e.poison.Shared, err = parseDigest(h, attempt.HeaderSharedDigest); err != nil {
		return err
	}
	if text := h.Get(attempt.HeaderOrder); text != "" {
		if e.key, err = ParseOrderKey(text); err != nil {
			return err
		}
		e.tracked = true
	}
	return nil
}

// parseDigest returns the digest in a header field, 0 without one.
func parseDigest(h http.Header, name string) (poison.RequestDigest, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	digest, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return poison.RequestDigest(digest), nil
}

// FormatOrderKey returns the value of HeaderOrder for an order key.
func FormatOrderKey(k order.Key) string {
	return fmt.Sprintf("%s/%s/%s/%d/%d", k.ID, k.Owner.Node, k.Owner.Incarnation, k.IssuedAt.UnixMilli(), k.ExpiresAt.UnixMilli())
}

var errOrderKey = errors.New(attempt.HeaderOrder + ": want id/node/incarnation/issued/expires")

// ParseOrderKey parses a value of HeaderOrder.
func ParseOrderKey(text string) (order.Key, error) {
	var k order.Key
	parts := strings.Split(text, "/")
	if len(parts) != 5 {
		return k, errOrderKey
	}
	if err := k.ID.UnmarshalText([]byte(parts[0])); err != nil {
		return k, err
	}
	incarnation, err := attempt.ParseIncarnation(parts[2])
	if err != nil {
		return k, err
	}
	k.Owner = order.Owner{Node: parts[1], Incarnation: incarnation}
	issued, errIssued := strconv.ParseInt(parts[3], 10, 64)
	expires, errExpires := strconv.ParseInt(parts[4], 10, 64)
	if errIssued != nil || errExpires != nil || k.IsZero() {
		return k, errOrderKey
	}
	k.IssuedAt, k.ExpiresAt = time.UnixMilli(issued), time.UnixMilli(expires)
	return k, nil
}
