// Package admission decides at a gate which work may start on its targets and
// when: exact slots, a concurrency limit below them that follows the latency,
// bounded queues ordered by priority, customer and deadline, shares for long
// work, and drain.
//
// A refusal proves that the work did not run and never will under its ticket.
// A Controller is not safe for concurrent use.
//
// It imports request/attempt and request/invariant.
package admission
