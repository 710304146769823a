// Package loadview holds what an entry knows of the load of the targets of one service:
// the last load of each target, how old it is, and the form in which gates pass it on with
// their responses (attempt.HeaderLoads). It answers a fleet in which each entry sends few
// requests, so that loads from its own responses alone are tens of seconds old.
//
// It imports request/attempt.
package loadview
