// Package demo runs a small fleet with its stand-ins in one process: the log,
// nodes in three failure domains, targets and customers. It injects faults in a
// fixed sequence, checks the invariants from outside and prints a summary.
//
// It imports standin, process and the packages below them; only cmd imports it.
package demo
