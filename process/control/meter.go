package control

import (
	"expvar"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
)

// Meter counts calls, errors and bytes per method. It counts the bytes of the
// connection, with the framing of drpc and without TCP/IP headers. It is safe
// for concurrent use.
type Meter struct {
	vars  *expvar.Map
	total atomic.Int64
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{vars: new(expvar.Map).Init()} }

// Vars returns the counters for expvar, such as Exchange.bytes_in.
func (m *Meter) Vars() *expvar.Map { return m.vars }

// Bytes returns the bytes received and sent so far, by all methods.
func (m *Meter) Bytes() int64 { return m.total.Load() }

func (m *Meter) add(rpc string, in, out int64, err error) {
	method := rpc[strings.LastIndexByte(rpc, '/')+1:]
	m.vars.Add(method+".calls", 1)
	m.vars.Add(method+".bytes_in", in)
	m.vars.Add(method+".bytes_out", out)
	if err != nil {
		m.vars.Add(method+".errors", 1)
	}
	m.total.Add(in + out)
}

const (
	// maxWriteBytes is the size of the parts in which a message is written, so that
	// progress shows while a slow link takes a large one.
	maxWriteBytes = 16 << 10
	// peerStallTimeout bounds a write that makes no progress: a frozen peer, or one without
	// power, closes no connection.
	peerStallTimeout = 5 * time.Second
)

// countedConn counts the bytes of a connection. One call at a time runs on a
// connection, so the bytes since the last call belong to the current one.
type countedConn struct {
	net.Conn
	guarded *guardedConn // nil at a client
	in, out atomic.Int64
	current atomic.Pointer[transfer.Transfer] // of the call in progress; nil without one
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	c.current.Load().Received(n)
	return n, err
}

// Write fails when the peer takes no part of p for peerStallTimeout.
func (c *countedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+maxWriteBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(peerStallTimeout)) // fails only if the connection is closed
		n, err := c.Conn.Write(part)
		written += n
		c.out.Add(int64(n))
		c.current.Load().Sent(n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// resetCounts returns the bytes since the last reset.
func (c *countedConn) resetCounts() (in, out int64) { return c.in.Swap(0), c.out.Swap(0) }
