// Package quota enforces the rate limits of client accounts over the whole fleet. It
// answers an account that sends up to 7.5 times its usual demand through many entries at
// once, of which each sees only a small part, and it keeps the limit while nodes are
// killed, paused, partitioned or restarted.
//
// One node, the owner, counts an account. Each entry admits requests by a Meter and
// reports counts to the owner, whose Ledger responds with the share of requests that
// entries admit. A request waits for no message. docs/design/quotas.md explains the
// choices.
//
// It imports request/attempt.
package quota
