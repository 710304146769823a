// Package poison finds requests that crash the targets that run them and
// quarantines them. It attributes crashes to request digests, lets a suspect
// digest run at only one target at a time, and merges the reports of other
// nodes.
//
// A digest is quarantined when a copy that started after a first crash was in
// flight at a second one and no copy succeeded since the first. A success that
// becomes known later, from a copy still in flight or from another node, lifts
// the quarantine. Copies that were already in flight at the first crash never
// count towards a second one, so a crash seen by several nodes, or the loss of a
// whole failure domain, quarantines nothing. An unrelated digest is still
// quarantined wrongly when its single retry is in flight at a crash with another
// cause. Times of different nodes are compared: a clock error between two nodes
// can delay the quarantine by one further crash.
//
// A request is tracked by two digests, see RequestTracker: a target may run a request
// for one caller and crash for another, so that successes of other callers prove
// nothing about it.
//
// It imports nothing else of this module.
package poison
