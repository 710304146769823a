// Package conntest generates what travels on a connection: each case combines a sound or
// broken caller, a sound or broken target and the disruptions of the nodes between them. Play
// plays a case against real nodes on loopback and passes the observations of both ends to
// package conformance.
//
// A Case is a value for each dimension (dimensions.go); Draw draws one from a seed, so that
// a case that violates a rule can be reduced to the values that matter (reduce.go). Each
// case has nodes of its own (fleet.go), a caller (caller.go) and a target (target.go).
package conntest
