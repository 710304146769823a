// Package admission decides at a gate which work starts on its targets and
// when. It enforces the exact number of slots, adapts a concurrency limit below
// them to the latency, keeps bounded queues ordered by priority, customer and
// deadline, reserves shares for short and long work, paces the starts at the rate
// that a target names, and drains targets.
//
// Refused work has not run and never will under its ticket.
// A Controller is not safe for concurrent use.
//
// It imports connection/targetlimit, request/attempt and request/invariant.
package admission
