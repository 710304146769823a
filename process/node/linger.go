package node

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The kernel resets a connection that is closed while bytes of the client are unread, or
// that gets bytes afterwards, and drops what the client has not received of the response
// (RFC 9112, section 9.6). A connection that ends after a response therefore lingers: it
// sends nothing more, and reads and drops what the client still sends until the client's
// kernel has acknowledged the response.

const (
	// lingerTime is how long a connection lingers, and how long a client may take to receive
	// the last bytes of a response. Only a client that still sends after it can lose some.
	lingerTime = 2 * time.Second
	// minLingerTime is how long a connection lingers at least while all slots of its
	// listener are taken.
	minLingerTime = 500 * time.Millisecond
	// minLingerPoll and maxLingerPoll are the times between two looks at what the client has
	// received.
	minLingerPoll = time.Millisecond
	maxLingerPoll = 50 * time.Millisecond
	// lingerBytes is what a connection that lingers holds: a goroutine and its buffer.
	lingerBytes = 4 << 10
	// discardBufferBytes is the size of that buffer.
	discardBufferBytes = 1 << 10
)

// lingering are the connections of a listener that linger. They keep their slots.
type lingering struct {
	mu    sync.Mutex
	conns list.List // of *limitedConn, the one that lingers longest first
	ended bool      // no connection lingers any more
}

// add makes a connection one of those that linger. It reports false when none may linger.
func (l *lingering) add(c *limitedConn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		c.lingers, c.lingersSince = l.conns.PushBack(c), now
	}
	return !l.ended
}

func (l *lingering) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns.Remove(c.lingers)
}

// closeOldest closes the connection that lingers longest, unless that is less than
// minLingerTime, to free its slot.
func (l *lingering) closeOldest(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first := l.conns.Front(); first != nil {
		if c := first.Value.(*limitedConn); now.Sub(c.lingersSince) >= minLingerTime {
			_ = c.Conn.Close() // the client may have closed it
		}
	}
}

// end closes the connections that linger, and prevents that others do.
func (l *lingering) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for e := l.conns.Front(); e != nil; e = e.Next() {
		_ = e.Value.(*limitedConn).Conn.Close() // the client may have closed it
	}
}

// mayLoseResponse reports whether the client may not have received all of a response that
// must reach it. A response that its handler broke off must not look complete, so its
// connection ends at once.
func (c *limitedConn) mayLoseResponse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && !c.handling && !c.resetOnClose && !c.lastWrite.IsZero() && now.Sub(c.lastWrite) < lingerTime
}

// startLinger makes a connection linger that its server closes. It reports false when the
// connection is to be closed at once.
func (c *limitedConn) startLinger() bool {
	now := time.Now()
	if c.listener.control || !c.mayLoseResponse(now) || c.CloseWrite() != nil {
		return false
	}
	if !c.listener.lingering.add(c, now) {
		return false
	}
	c.listener.memory.update(c, lingerBytes, true) // the charge does not grow
	c.listener.memory.noteLinger()
	go c.linger(now.Add(lingerTime))
	return true
}

// linger drops what the client sends until it closes the connection, or sends nothing while
// its kernel has all of the response.
func (c *limitedConn) linger(deadline time.Time) {
	err := c.discardUntilAcknowledged(deadline)
	received := c.isAcknowledged() || (err != nil && !errors.Is(err, net.ErrClosed))
	_ = c.Conn.Close() // it may be closed to make room
	c.listener.memory.noteLingerEnd(received)
	c.listener.lingering.remove(c)
	c.release()
}

func (c *limitedConn) discardUntilAcknowledged(deadline time.Time) error {
	buffer := make([]byte, discardBufferBytes)
	for wait := minLingerPoll; time.Now().Before(deadline); {
		if err := c.Conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		switch _, err := c.Conn.Read(buffer); {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case c.isAcknowledged():
			return nil
		default:
			wait = min(2*wait, maxLingerPoll)
		}
	}
	return nil
}

// isAcknowledged reports whether the client's kernel has all of the response.
func (c *limitedConn) isAcknowledged() bool {
	acknowledged := false
	return c.withDescriptor(func(fd uintptr) { acknowledged = isAcknowledged(fd) }) == nil && acknowledged
}

// withDescriptor calls f with the descriptor of the connection. It fails where there is none.
func (c *limitedConn) withDescriptor(f func(fd uintptr)) error {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
