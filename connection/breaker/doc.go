// Package breaker implements the circuit breaker of a gate for one target. The
// gate alone sends to the target and sees the outcome of every request, so that
// one or two failures are enough to refuse further work, while a single entry
// (package health) needs many. While the breaker is open, idempotent requests try
// the target from time to time, so that the breaker closes as soon as the target
// is healthy.
//
// It imports nothing else of this module.
package breaker
