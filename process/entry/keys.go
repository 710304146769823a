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

// orderKeysPath is the path where callers request order keys.
const orderKeysPath = "/.hyssopsill/order-keys"

// IssuedKey is the response to a request for an order key.
type IssuedKey struct {
	Key       string    `json:"key"`
	ExpiresAt time.Time `json:"expires_at"`
}

// serveOrderKeys issues a key that is bound to the gate of a target that selection
// picks now.
func (q *request) serveOrderKeys() {
	service := q.callerRequest.URL.Query().Get("service")
	if _, ok := q.routing.config.Services[service]; !ok || q.callerRequest.Method != http.MethodPost {
		q.refuse(attempt.NotRun, attempt.ReasonBadRequest, "want POST "+orderKeysPath+"?service=NAME with a configured service", 0)
		return
	}
	q.record.Service = service
	if !q.admitAccount(false) {
		return
	}
	owner, ok := q.entry.chooseOwner(service)
	if !ok {
		q.refuse(attempt.NotRun, attempt.ReasonNoTarget, "no target of service "+service+" is in rotation", time.Second)
		return
	}
	q.entry.mu.Lock()
	now := q.entry.now()
	text := q.entry.keyIssuer.Issue(now, service, q.customer, owner)
	key, err := q.entry.keyIssuer.Parse(now, text)
	q.entry.mu.Unlock()
	if err != nil {
		q.refuse(attempt.NotRun, attempt.ReasonNotReady, "issued key cannot be parsed: "+err.Error(), 0)
		return
	}
	q.record.Outcome, q.record.Status = attempt.Answered, http.StatusOK
	h := q.callerResponse.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(attempt.HeaderRequestID, string(q.record.ID))
	h.Set(attempt.HeaderOutcome, string(attempt.Answered))
	_ = json.NewEncoder(q.callerResponse).Encode(IssuedKey{Key: text, ExpiresAt: key.ExpiresAt.UTC()}) // fails only if the caller is gone
}

// chooseOwner returns the gate incarnation to which a new key is bound.
func (e *Entry) chooseOwner(service string) (order.Owner, bool) {
	e.mu.Lock()
	choice, ok := e.selector.Pick(e.now(), selection.Query{Service: service}, e.health.State)
	e.mu.Unlock()
	if !ok {
		return order.Owner{}, false
	}
	member := e.fleet.Load().members[choice.Node]
	if member == nil {
		return order.Owner{}, false
	}
	return order.Owner{Node: member.Node, Incarnation: member.Incarnation}, true
}

// orderKeyHeader returns the order key that the caller sent, if the HTTP profile has a
// header for it.
func (q *request) orderKeyHeader() string {
	if name := q.entry.options.HTTPProfile.OrderKey; name != "" {
		return q.callerRequest.Header.Get(name)
	}
	return ""
}

// resolveKey reads the order key of non-idempotent work and finds its owner. It
// reports whether the request continues.
func (q *request) resolveKey() bool {
	keyText := q.orderKeyHeader()
	if keyText == "" || q.class.Idempotent {
		return true
	}
	q.record.OrderKey = q.entry.hash("order-key", keyText)
	if len(keyText) > maxKeyBytes {
		q.refuse(attempt.NotRun, attempt.ReasonKeyInvalid, "order key is longer than 512 bytes", 0)
		return false
	}
	service := q.service
	q.entry.mu.Lock()
	key, err := q.entry.keyIssuer.Parse(q.entry.now(), keyText)
	if err == nil {
		err = q.entry.keyIssuer.CheckCustomer(keyText, service, q.customer)
	}
	customerKeyID := q.entry.keyIssuer.CustomerKeyID(service, q.customer, keyText)
	q.entry.mu.Unlock()
	switch {
	case errors.Is(err, order.ErrCustomerKey):
		return q.resolveCustomerKey(customerKeyID)
	case errors.Is(err, order.ErrExpired):
		q.refuse(attempt.Unknown, attempt.ReasonKeyExpired, "the order key expired at "+key.ExpiresAt.UTC().Format(time.RFC3339), 0)
		return false
	case err != nil:
		q.refuse(attempt.NotRun, attempt.ReasonKeyInvalid, err.Error(), 0)
		return false
	}
	q.orderKey = key
	return true
}

// resolveCustomerKey finds the binding of a key that the customer generated, or
// binds a new key. It reports whether the request continues.
func (q *request) resolveCustomerKey(id order.KeyID) bool {
	ctx, cancel := context.WithDeadline(q.callerRequest.Context(), q.deadline)
	defer cancel()
	key, err := q.entry.bindings.resolve(ctx, id, q.service)
	switch {
	case err == nil:
		q.orderKey = key
		return true
	case errors.Is(err, errNoOwner):
		// No binding was proposed, but an earlier one may exist.
		q.refuse(attempt.Unknown, attempt.ReasonNoTarget, err.Error(), time.Second)
	default:
		q.refuse(attempt.Unknown, attempt.ReasonBindingUnavailable, err.Error(), time.Second)
	}
	return false
}
