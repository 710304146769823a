package control

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcwire"
)

const (
	// maxHandshakeBytes bounds the metadata and the method name of the first call of
	// a connection.
	maxHandshakeBytes = 4 << 10
	// maxMetadataPairs bounds the metadata of the first call, as pairs of a few bytes
	// take many times their bytes once decoded. Nodes send one.
	maxMetadataPairs = 8
	// MaxTokenBytes leaves the rest of the handshake to the method name and framing.
	MaxTokenBytes = 3 << 10
	// refusedLinger is how long the bytes of a refused connection are discarded, so
	// that unread bytes don't reset it before its client has read the refusal.
	refusedLinger = 500 * time.Millisecond
)

var (
	errHandshake = errors.New("control: the first call is malformed or too long")
	errRefused   = errors.New("control: connection without the fleet token")
)

// guardedConn holds the bytes of a connection back until its first call has shown the
// fleet token. It guards against clients without the token whose messages are huge or
// have no end: drpc buffers 2 MiB of them, and decodes metadata, before it calls
// the handler. Of such a client only the handshake is held. Reads are not concurrent.
type guardedConn struct {
	net.Conn
	since    time.Time // of the accept
	onAccept func()    // called once, when the token was shown

	// Only Read uses these.
	handshakeRead bool   // the first call is complete
	held          []byte // bytes read and not yet passed on
	passable      int    // bytes of held that may be passed on

	once     sync.Once     // closes decided
	decided  chan struct{} // closed when the first call was checked, or by Close
	accepted bool          // the first call showed the token; valid after decided
}

func newGuardedConn(conn net.Conn, handshakeTimeout time.Duration) *guardedConn {
	now := time.Now()
	_ = conn.SetReadDeadline(now.Add(handshakeTimeout)) // fails only if the connection is closed
	return &guardedConn{Conn: conn, since: now, decided: make(chan struct{})}
}

// Read passes on the first call without its message, then nothing until the token was
// checked, then everything or nothing.
func (c *guardedConn) Read(p []byte) (int, error) {
	if !c.handshakeRead {
		if err := c.readHandshake(); err != nil {
			return 0, err
		}
	}
	if c.passable > 0 {
		return c.pass(p, c.passable), nil
	}
	<-c.decided
	if !c.accepted {
		c.discard()
		return 0, errRefused
	}
	if len(c.held) > 0 {
		return c.pass(p, len(c.held)), nil
	}
	return c.Conn.Read(p)
}

// pass moves up to n held bytes to p.
func (c *guardedConn) pass(p []byte, n int) int {
	n = copy(p, c.held[:n])
	c.held, c.passable = c.held[n:], max(0, c.passable-n)
	if len(c.held) == 0 {
		c.held = nil
	}
	return n
}

// readHandshake reads until the first call is complete.
func (c *guardedConn) readHandshake() error {
	c.held = make([]byte, 0, maxHandshakeBytes)
	for {
		end, err := handshakeEnd(c.held)
		if err != nil {
			return err
		}
		if end > 0 {
			c.passable, c.handshakeRead = end, true
			return nil
		}
		if len(c.held) == cap(c.held) {
			return errHandshake
		}
		n, err := c.Conn.Read(c.held[len(c.held):cap(c.held)])
		c.held = c.held[:len(c.held)+n]
		if n == 0 && err != nil {
			return err
		}
	}
}

// handshakeEnd returns the number of bytes up to the end of the first call's method
// name, or 0 while it is not complete. Only metadata may stand before it.
func handshakeEnd(data []byte) (int, error) {
	for rest := data; ; {
		after, frame, ok, err := drpcwire.ParseFrame(rest)
		switch {
		case err != nil:
			return 0, fmt.Errorf("%w: %w", errHandshake, err)
		case !ok:
			return 0, nil
		case frame.Kind == drpcwire.KindInvoke && frame.Done:
			return len(data) - len(after), nil
		case frame.Kind == drpcwire.KindInvokeMetadata && frame.Done:
			pairs, err := drpcmetadata.Decode(frame.Data)
			if err != nil || len(pairs) > maxMetadataPairs {
				return 0, errHandshake
			}
		default:
			return 0, errHandshake
		}
		rest = after
	}
}

// decide notes whether a call showed the token. Only the first one counts.
func (c *guardedConn) decide(authorized bool) {
	first := false
	c.once.Do(func() {
		first = true
		c.accepted = authorized
		deadline := time.Time{}
		if !authorized {
			deadline = time.Now().Add(refusedLinger)
		}
		_ = c.SetReadDeadline(deadline) // fails only if the connection is closed
		close(c.decided)
	})
	if first && authorized {
		c.onAccept()
	}
}

// discard reads what a refused client still sends, until its end or the deadline.
func (c *guardedConn) discard() {
	c.held = nil
	for scratch := make([]byte, maxHandshakeBytes); ; {
		if _, err := c.Conn.Read(scratch); err != nil {
			return
		}
	}
}

// Close closes the connection and ends a Read that awaits the check of the token.
func (c *guardedConn) Close() error {
	c.once.Do(func() { close(c.decided) })
	return c.Conn.Close()
}

func (s *Server) addUnauthenticated(c *guardedConn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unauthenticated.PushBack(c)
}

// removeUnauthenticated has no effect the second time.
func (s *Server) removeUnauthenticated(e *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unauthenticated.Remove(e)
}

// CloseUnauthenticated closes the connection that is open for the longest time without having
// shown the fleet token, unless that is less than minAge. It reports whether it closed one.
func (s *Server) CloseUnauthenticated(minAge time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.unauthenticated.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*guardedConn)
	if time.Since(c.since) < minAge {
		return false
	}
	s.unauthenticated.Remove(oldest)
	_ = c.Close() // its server may have closed it
	return true
}
