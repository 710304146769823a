// Package breaker turns work away from a target that fails, at the gate that
// alone sends to it. The gate sees the outcome of every request, so that one or
// two failures are enough, while the evidence of a single entry (package health)
// takes many. Work that may be run again tries the target from time to time, so
// that it returns as soon as it is well.
//
// It imports nothing else of this module.
package breaker
