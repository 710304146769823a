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

// maxTimeout bounds the deadline of an attempt.
const maxTimeout = 24 * time.Hour

// PeerHandler serves other nodes: attempts, and the calls of peerMux.
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
		g.peer.ServeHTTP(w, r)
		return
	}
	x := &exchange{g: g, w: w, r: r, arrived: g.now(), result: order.Result{Outcome: attempt.NotRun}}
	if err := x.parse(); err != nil {
		x.refuse(attempt.VerdictRefused, attempt.ReasonBadRequest, err.Error(), 0)
		return
	}
	g.mu.Lock()
	g.active[x.id] = x
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.active, x.id)
		g.mu.Unlock()
	}()
	x.serve()
}

// parse reads the headers of an attempt.
func (x *exchange) parse() error {
	h := x.r.Header
	x.idText = h.Get(attempt.HeaderAttempt)
	id, err := attempt.ParseID(x.idText)
	if err != nil {
		x.idText = "invalid" // not echoed
		return err
	}
	x.id = id
	ms, err := strconv.ParseInt(h.Get(attempt.HeaderTimeoutMS), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return fmt.Errorf("%s: want 1 to %d, got %q", attempt.HeaderTimeoutMS, maxTimeout.Milliseconds(), h.Get(attempt.HeaderTimeoutMS))
	}
	x.deadline = x.arrived.Add(time.Duration(ms) * time.Millisecond)
	x.target, x.class, x.customer = h.Get(attempt.HeaderTarget), h.Get(attempt.HeaderClass), h.Get(attempt.HeaderCustomer)
	x.long = h.Get(attempt.HeaderLong) == "1"
	x.force = h.Get(attempt.HeaderForce) == "1"
	x.noWait = h.Get(attempt.HeaderNoWait) == "1"
	x.repeat = h.Get(attempt.HeaderRepeat) == "1"
	x.tracked = h.Get(attempt.HeaderIdempotent) != "1"
	if text := h.Get(attempt.HeaderAgeMS); text != "" {
		age, err := strconv.ParseInt(text, 10, 64)
		if err != nil || age < 0 || age > maxTimeout.Milliseconds() {
			return fmt.Errorf("%s: want 0 to %d, got %q", attempt.HeaderAgeMS, maxTimeout.Milliseconds(), text)
		}
		x.since = x.arrived.Add(-time.Duration(age) * time.Millisecond)
	}
	if text := h.Get(attempt.HeaderRequestDigest); text != "" {
		digest, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", attempt.HeaderRequestDigest, err)
		}
		x.digest = poison.RequestDigest(digest)
	}
	if text := h.Get(attempt.HeaderOrder); text != "" {
		if x.key, err = ParseOrderKey(text); err != nil {
			return err
		}
		x.tracked = true
	}
	return nil
}

// FormatOrderKey writes an order key for HeaderOrder.
func FormatOrderKey(k order.Key) string {
	return fmt.Sprintf("%s/%s/%s/%d/%d", k.ID, k.Owner.Node, k.Owner.Incarnation, k.IssuedAt.UnixMilli(), k.ExpiresAt.UnixMilli())
}

var errOrder = errors.New(attempt.HeaderOrder + ": want id/node/incarnation/minted/expires")

// ParseOrderKey reads what FormatOrderKey wrote.
func ParseOrderKey(text string) (order.Key, error) {
	var k order.Key
	parts := strings.Split(text, "/")
	if len(parts) != 5 {
		return k, errOrder
	}
	if err := k.ID.UnmarshalText([]byte(parts[0])); err != nil {
		return k, err
	}
	incarnation, err := attempt.ParseIncarnation(parts[2])
	if err != nil {
		return k, err
	}
	k.Owner = order.Owner{Node: parts[1], Incarnation: incarnation}
	minted, errMinted := strconv.ParseInt(parts[3], 10, 64)
	expires, errExpires := strconv.ParseInt(parts[4], 10, 64)
	if errMinted != nil || errExpires != nil || k.IsZero() {
		return k, errOrder
	}
	k.IssuedAt, k.ExpiresAt = time.UnixMilli(minted), time.UnixMilli(expires)
	return k, nil
}
