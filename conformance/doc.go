// Package conformance states which outcomes an exchange through the fleet may have, given the
// bytes that caller and targets sent and the ends of their connections. Check judges an
// Observation, which comes from these two ends only: the nodes in between are not looked at.
//
// It imports only the standard library and has neither sockets, goroutines nor a clock.
// docs/design/connections.md names the source of each rule.
package conformance
