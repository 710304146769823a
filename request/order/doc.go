// Package order ensures that an order runs at most once. A Registry holds the
// state of the order keys that are bound to one gate incarnation; a KeyIssuer
// issues and verifies authenticated keys; Bindings holds the state of stream
// "orders", which binds keys that customers generate themselves.
//
// A key is bound to one gate incarnation, and only that process may run it.
// The Registry therefore needs no agreement with other nodes. It may forget a
// key only after the key has expired, since an expired key is never run.
//
// It imports request/attempt, request/invariant and eventlog.
package order
