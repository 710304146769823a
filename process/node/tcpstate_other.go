//go:build !linux

package node

// isAcknowledged is not known on this platform: a connection lingers for the whole time.
func isAcknowledged(uintptr) bool { return false }

// isEndedByPeer is not known on this platform: only a read shows the end of a connection.
func isEndedByPeer(uintptr) bool { return false }
