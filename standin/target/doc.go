// Package target is a stand-in for a target: a small HTTP service that announces
// itself to its node, counts the executions of each order key and injects faults
// that can be switched while it runs.
//
// It imports request/attempt.
package target
