package node

import "golang.org/x/sys/unix"

// isAcknowledged reports whether the peer's kernel has acknowledged all bytes that were
// written to a connection, and its end.
func isAcknowledged(fd uintptr) bool {
	unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	return err == nil && unacknowledged == 0
}

// isEndedByPeer reports whether the peer has closed or reset a connection, or sends nothing
// more, also while bytes of it are unread.
func isEndedByPeer(fd uintptr) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0
}
