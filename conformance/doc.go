// Package conformance states which outcomes an exchange through the fleet may have, given
// what a caller sent, what targets sent and how each connection ended. It judges what was
// observed at both ends and knows nothing of the nodes in between.
//
// It imports only the standard library and has neither sockets, goroutines nor a clock.
// docs/design/connections.md names the source of each rule.
package conformance
