package node

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// net/http reads one byte while a handler runs, to notice that the client has closed its
// connection. A byte that the client has sent behind its request ends that read, and the
// close behind it is not noticed until the response is written. So this read does not return
// with a byte before the handler ends. The kernel tells meanwhile whether the client has
// closed the connection, however much of it is unread, so that no memory is used for it.

// noteReadAhead notes that a byte behind the request that runs has arrived. It reports false
// if the read into a buffer of that size is not the one that net/http does while a handler
// runs: all other reads have larger buffers.
func (c *limitedConn) noteReadAhead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if size != 1 || c.phase != phaseRequest {
		return false
	}
	c.readAhead, c.holdsByte = true, true
	return true
}

// awaitEnd waits until the client has closed the connection, which is an error, or until a
// read deadline ends the wait.
func (c *limitedConn) awaitEnd() error {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err == nil {
		// The runtime calls isEndedByPeer again after each change of the connection's state.
		err = raw.Read(isEndedByPeer)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	c.setBroken()
	if err != nil {
		return err
	}
	c.listener.memory.noteUnreadEnd()
	return io.EOF
}

// endedBefore reports whether the client has closed the connection, though the request that
// begins was read ahead. Without bytes behind it, net/http notices that by itself.
func (c *limitedConn) endedBefore() bool {
	c.mu.Lock()
	readAhead := c.readAhead
	c.readAhead = false
	c.mu.Unlock()
	ended := readAhead && c.isEndedByPeer()
	if ended {
		c.listener.memory.noteUnreadEnd()
	}
	return ended
}

// isEndedByPeer reports whether the client has closed the connection.
func (c *limitedConn) isEndedByPeer() bool {
	ended := false
	return c.withDescriptor(func(fd uintptr) { ended = isEndedByPeer(fd) }) == nil && ended
}
