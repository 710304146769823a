// Package admission decides at a gate which work starts on its targets and
// when. It enforces the exact number of slots, adapts a concurrency limit below
// them to the latency, keeps bounded queues ordered by rank where it is known,
// priority, customer and deadline, reserves shares for short and long work, paces
// the starts at the rate that a target names, and drains targets. In the handover of a
// draining node it accepts only work that ends before the drain (Handover).
//
// In a burst of work of several ranks, only the least urgent is refused, as soon as its
// expected wait is too long (docs/design/hard-load.md).
//
// Refused work has not run and never will under its ticket.
// A Controller is not safe for concurrent use.
//
// It imports connection/targetlimit, request/attempt and request/invariant.
package admission
