package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/order"
)

// orderKeysPath issues order keys to callers.
const orderKeysPath = "/.hyssopsill/order-keys"

// IssuedKey answers a request for an order key.
type IssuedKey struct {
	Key       string    `json:"key"`
	ExpiresAt time.Time `json:"expires_at"`
}

// serveOrderKeys issues a key bound to the gate of a target that would be
// chosen now.
func (q *request) serveOrderKeys() {
	service := q.r.URL.Query().Get("service")
	if _, ok := q.routing.config.Services[service]; !ok || q.r.Method != http.MethodPost {
		q.refuse(attempt.NotRun, attempt.ReasonBadRequest, "want POST "+orderKeysPath+"?service=NAME with a configured service", 0)
		return
	}
	q.rec.Service = service
	q.setCustomer()
	owner, ok := q.e.chooseOwner(service)
	if !ok {
		q.refuse(attempt.NotRun, attempt.ReasonNoTarget, "no target of service "+service+" is in rotation", time.Second)
		return
	}
	q.e.mu.Lock()
	now := q.e.now()
	text := q.e.minter.Issue(now, service, q.customer, owner)
	key, err := q.e.minter.Parse(now, text)
	q.e.mu.Unlock()
	if err != nil {
		q.refuse(attempt.NotRun, attempt.ReasonNotReady, "issued key cannot be read back: "+err.Error(), 0)
		return
	}
	q.rec.Outcome, q.rec.Status = attempt.Answered, http.StatusOK
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(attempt.HeaderRequestID, string(q.rec.ID))
	h.Set(attempt.HeaderOutcome, string(attempt.Answered))
	_ = json.NewEncoder(q.w).Encode(IssuedKey{Key: text, ExpiresAt: key.ExpiresAt.UTC()}) // the caller is gone when this fails
}

// chooseOwner returns the gate incarnation to which a new key is bound.
func (e *Entry) chooseOwner(service string) (order.Owner, bool) {
	e.mu.Lock()
	choice, ok := e.selector.Pick(e.now(), selection.Query{Service: service}, e.health.State)
	e.mu.Unlock()
	if !ok {
		return order.Owner{}, false
	}
	m := e.fleet.Load().members[choice.Node]
	if m == nil {
		return order.Owner{}, false
	}
	return order.Owner{Node: m.Node, Incarnation: m.Incarnation}, true
}

// orderKey returns the order key that the caller sent, if the surface has one.
func (q *request) orderKey() string {
	if name := q.e.o.HTTPProfile.OrderKey; name != "" {
		return q.r.Header.Get(name)
	}
	return ""
}

// resolveKey reads the order key of non-idempotent work and finds its owner. It
// reports whether the request continues.
func (q *request) resolveKey() bool {
	text := q.orderKey()
	if text == "" || q.class.Idempotent {
		return true
	}
	q.rec.OrderKey = q.e.hash("order-key", text)
	if len(text) > maxKeyBytes {
		q.refuse(attempt.NotRun, attempt.ReasonKeyInvalid, "order key is longer than 512 bytes", 0)
		return false
	}
	service := q.service
	q.e.mu.Lock()
	key, err := q.e.minter.Parse(q.e.now(), text)
	if err == nil {
		err = q.e.minter.CheckCustomer(text, service, q.customer)
	}
	foreign := q.e.minter.CustomerKeyID(service, q.customer, text)
	q.e.mu.Unlock()
	switch {
	case errors.Is(err, order.ErrCustomerKey):
		return q.resolveForeign(foreign)
	case errors.Is(err, order.ErrExpired):
		q.refuse(attempt.Unknown, attempt.ReasonKeyExpired, "the order key expired at "+key.ExpiresAt.UTC().Format(time.RFC3339), 0)
		return false
	case err != nil:
		q.refuse(attempt.NotRun, attempt.ReasonKeyInvalid, err.Error(), 0)
		return false
	}
	q.key = key
	return true
}

// resolveForeign finds the binding of a key that the customer generated, and
// binds it when it is new.
func (q *request) resolveForeign(id order.KeyID) bool {
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	key, err := q.e.bindings.resolve(ctx, id, q.service)
	switch {
	case err == nil:
		q.key = key
		return true
	case errors.Is(err, errNoOwner):
		// No binding was proposed; an earlier one may exist all the same.
		q.refuse(attempt.Unknown, attempt.ReasonNoTarget, err.Error(), time.Second)
	default:
		q.refuse(attempt.Unknown, attempt.ReasonBindingUnavailable, err.Error(), time.Second)
	}
	return false
}
