package peer

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

// End is how a side ends a connection.
type End string

// Ends.
const (
	Stays     End = "stays"      // it stays open
	Closes    End = "closes"     // close; the kernel resets it if bytes are unread
	Resets    End = "resets"     // reset; what is not sent yet is dropped
	HalfClose End = "half-close" // it ends its own direction only
)

// Conn is a connection of a stand-in.
type Conn struct {
	*net.TCPConn
	Reader *bufio.Reader
}

// New returns a Conn for a TCP connection.
func New(conn net.Conn) *Conn {
	return &Conn{TCPConn: conn.(*net.TCPConn), Reader: bufio.NewReader(conn)}
}

// Dial connects to an address. A receiveBuffer above 0 bytes bounds what the kernel takes
// before it is read.
func Dial(ctx context.Context, address string, receiveBuffer int) (*Conn, error) {
	dialer := net.Dialer{}
	if receiveBuffer > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}); controlErr != nil {
				return controlErr
			}
			return err
		}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// Serve plays a function on each connection that a listener accepts, until the listener is
// closed. The function closes the connection.
func Serve(listener net.Listener, play func(*Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go play(New(conn))
	}
}

// SendPieces sends data in a number of pieces with a pause between two of them.
func (c *Conn) SendPieces(data []byte, pieces int, pause time.Duration) error {
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := c.Write(data[len(data)*i/pieces : len(data)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// End ends the connection.
func (c *Conn) End(end End) {
	switch end { // an error means that it has ended
	case Stays:
	case Resets:
		_ = c.SetLinger(0)
		_ = c.Close()
	case HalfClose:
		_ = c.CloseWrite()
	default:
		_ = c.Close()
	}
}

// Body returns size bytes that a name determines.
func Body(name string, size int) []byte {
	body := make([]byte, size)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(name))).Read(body) // never fails
	return body
}

// Chunked returns a body in the chunked transfer coding, with chunks of at most size bytes.
func Chunked(body []byte, size int) []byte {
	var out []byte
	for len(body) > 0 {
		n := min(size, len(body))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// Digest returns the digest of a body.
func Digest(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body) // never fails
	return h.Sum64()
}

// ReadPaced reads to the end with a pause after each part of size bytes.
func ReadPaced(r io.Reader, size int, pause time.Duration) ([]byte, error) {
	var out []byte
	buffer := make([]byte, size)
	for {
		n, err := r.Read(buffer)
		out = append(out, buffer[:n]...)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		time.Sleep(pause)
	}
}
