package node

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/connection/membudget"
	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Estimates of the memory that a connection holds.
const (
	// connectionBytes is the stack, the read and write buffers of 4 KiB each, and the
	// state of an HTTP server for one connection.
	connectionBytes = 20 << 10
	// unauthenticatedBytes is what a connection to peer_control holds beside connectionBytes
	// before the fleet token was shown. TestUnauthenticatedClientHoldsLittle measures the sum.
	unauthenticatedBytes = 12 << 10
	// lineBytes is what a header line costs once parsed, beside its bytes, in the
	// request and in its copy for the next hop.
	lineBytes = 256
	// byteFactor accounts for the bytes of a head that are held in the parsed request
	// and in its copy.
	byteFactor = 2
	// bodyStep is the step in which the bytes of a body are charged, so that most
	// requests need no update for their body.
	bodyStep = 16 << 10
	// maxBodyCharge is what is held of one body: the buffered prefix and the buffer
	// through which the rest is forwarded.
	maxBodyCharge = 96 << 10
	// serverBufferBytes is the size of the read and of the write buffer of net/http. A
	// read into a buffer of this size or more shows that the read buffer was empty.
	serverBufferBytes = 4 << 10

	// ordinaryHeadBytes and ordinaryHeadLines describe the head of an ordinary request.
	ordinaryHeadBytes = 4 << 10
	ordinaryHeadLines = 64
)

// sendBufferBytes bounds what the kernel, which doubles this value, holds of a response
// that is not read. 200 Mbit/s over a round trip of 4 ms need 100 KB.
const sendBufferBytes = 128 << 10

// headCost returns the estimate for head bytes with some line ends.
func headCost(size, lines int) int64 { return byteFactor*int64(size) + lineBytes*int64(lines) }

// memory counts what the connections of all listeners of a node hold against one
// budget. A nil memory has no bound.
type memory struct {
	log     zerolog.Logger
	refusal []byte // response to a request that is refused before it was parsed

	mu       sync.Mutex
	budget   *membudget.Budget
	logged   bool // state in the last line about it
	loggedAt time.Time

	slowReaders atomic.Int64 // connections ended because the client read nothing
	replaced    atomic.Int64 // waiting connections closed in favour of new ones
	lingering   atomic.Int64 // connections that linger now
	lingerEnded atomic.Int64 // connections closed before their client had all of the response
	unreadEnds  atomic.Int64 // connections that their client closed with bytes unread
}

func newMemory(limits settings.Limits, descriptors int, profile attempt.HTTPProfile, logger zerolog.Logger) *memory {
	return &memory{
		log: logger, refusal: refusalResponse(profile),
		budget: membudget.New(membudget.Options{
			Bytes: limits.ConnectionMemory(), Ordinary: connectionBytes + headCost(ordinaryHeadBytes, ordinaryHeadLines),
			Connections: descriptors / 2, // the other half is for connections to gates, targets and the log
		}),
	}
}

// refusalResponse returns the bytes of the response to a request that is refused
// because of the budget. Such a request was not parsed, so it has not run.
func refusalResponse(profile attempt.HTTPProfile) []byte {
	w := responseBuffer{header: http.Header{"Connection": {"close"}}}
	profile.WriteProblem(&w, attempt.NewProblem("", attempt.NotRun, attempt.ReasonOverload, "the memory for connections is used up", time.Second))
	return w.Bytes()
}

// responseBuffer is an http.ResponseWriter that keeps the response as it is sent.
type responseBuffer struct {
	bytes.Buffer
	header http.Header
}

func (w *responseBuffer) Header() http.Header { return w.header }

func (w *responseBuffer) WriteHeader(status int) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(w) // a bytes.Buffer never fails
	w.WriteString("\r\n")
}

// update sets the charge of a connection, and closes others where this makes room. It
// reports false when the memory is refused.
func (m *memory) update(c *limitedConn, bytes int64, evictable bool) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	d := m.budget.Update(&c.holder, bytes, evictable)
	m.logChange()
	m.mu.Unlock()
	for _, victim := range d.Close {
		_ = victim.Value.(*limitedConn).Conn.Close() // its server may have closed it
	}
	return d.Admitted
}

// noteLinger counts a connection that begins to linger.
func (m *memory) noteLinger() {
	if m != nil {
		m.lingering.Add(1)
	}
}

// noteLingerEnd counts the end of one, whose client has received the response or not.
func (m *memory) noteLingerEnd(received bool) {
	if m == nil {
		return
	}
	m.lingering.Add(-1)
	if !received {
		m.lingerEnded.Add(1)
	}
}

// noteUnreadEnd counts a connection that its client has closed with bytes unread.
func (m *memory) noteUnreadEnd() {
	if m != nil {
		m.unreadEnds.Add(1)
	}
}

func (m *memory) release(c *limitedConn) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(&c.holder)
	m.logChange()
}

// changeLogInterval is the least time between two lines about the state of the budget,
// which clients can change many times a second.
const changeLogInterval = 5 * time.Second

// logChange writes a line when the budget is reached or no longer reached. The caller
// holds m.mu.
func (m *memory) logChange() {
	s := m.budget.Stats()
	if s.Reached == m.logged {
		return
	}
	now := time.Now()
	if now.Sub(m.loggedAt) < changeLogInterval {
		return
	}
	m.logged, m.loggedAt = s.Reached, now
	event, text := m.log.Info(), "node: the memory budget for connections is no longer reached"
	if s.Reached {
		event, text = m.log.Warn(), "node: the memory budget for connections is reached, the largest are closed or refused"
	}
	event.Int64("used_bytes", s.Used).Int64("budget_bytes", s.Bytes).Int("connections", s.Connections).
		Int64("refused", s.Refused).Int64("closed", s.Evicted).Msg(text)
}

// memoryMetric is the metric connection_memory.
type memoryMetric struct {
	BudgetBytes int64 `json:"budget_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	Connections int   `json:"connections"`
	Reached     bool  `json:"reached"`
	Refused     int64 `json:"refused"`
	Closed      int64 `json:"closed"`
	SlowReaders int64 `json:"slow_readers"`
	Replaced    int64 `json:"replaced"`
	Lingering   int64 `json:"lingering"`
	LingerEnded int64 `json:"linger_ended"`
	UnreadEnds  int64 `json:"unread_ends"`
}

func (m *memory) metric() any {
	m.mu.Lock()
	s := m.budget.Stats()
	m.mu.Unlock()
	return memoryMetric{BudgetBytes: s.Bytes, UsedBytes: s.Used, Connections: s.Connections, Reached: s.Reached,
		Refused: s.Refused, Closed: s.Evicted, SlowReaders: m.slowReaders.Load(), Replaced: m.replaced.Load(),
		Lingering: m.lingering.Load(), LingerEnded: m.lingerEnded.Load(), UnreadEnds: m.unreadEnds.Load()}
}

// connCharge is what one connection holds, by its estimate.
type connCharge struct {
	head     int64 // of the head that is read or runs
	buffered readBuffer
	body     int64 // bytes of the body that were read
	charged  int64 // for the body
}

// readBuffer estimates what is in the read buffer of the server.
type readBuffer struct {
	size, lines         int // of the bytes in it
	lastSize, lastLines int // of the last read
}

// noteRead adds bytes that were read into free bytes of the buffer. Those that the
// server has taken out of it meanwhile are subtracted, as a client that pipelines
// requests may never let it become empty.
func (b *readBuffer) noteRead(free, size, lines int) {
	left := min(b.size, max(0, serverBufferBytes-free))
	if left <= b.lastSize { // only bytes of the last read are left
		b.lines = b.lastLines
	}
	b.size, b.lines = left+size, min(b.lines, left)+lines
	b.lastSize, b.lastLines = size, lines
}

// cost returns the charge for the bytes in the buffer.
func (b *readBuffer) cost() int64 { return headCost(b.size, b.lines) }

// total returns the charge without a response.
func (c *connCharge) total() int64 { return connectionBytes + c.head + c.charged }

// noteRead adds bytes that were read into a buffer of a size. inHead tells that they
// belong to a head, first that nothing of this head was parsed before. It reports whether
// the charge has changed.
func (c *connCharge) noteRead(p []byte, size int, inHead, first bool) bool {
	cost := int64(0)
	if size >= serverBufferBytes {
		c.buffered = readBuffer{}
		if first {
			c.head = 0
		}
	}
	if size <= serverBufferBytes { // else the bytes bypass the read buffer, as only bodies do
		lines := bytes.Count(p, []byte{'\n'})
		cost = headCost(len(p), lines)
		c.buffered.noteRead(size, len(p), lines)
	}
	if inHead {
		c.head += cost
		return true
	}
	c.body += int64(len(p))
	before := c.charged
	c.charged = min(c.body/bodyStep*bodyStep, maxBodyCharge)
	return c.charged != before
}

// endRequest releases the request. What may be left in the read buffer belongs to the
// next one.
func (c *connCharge) endRequest() { c.head, c.body, c.charged = c.buffered.cost(), 0, 0 }

var errMemory = errors.New("the memory for connections is used up")

// refuseRead ends a connection whose client was refused memory. In a head, the client
// gets a response: all earlier responses were sent before it was read.
func (c *limitedConn) refuseRead(inHead bool) error {
	if inHead {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Millisecond)) // the write must not wait for the client
		if _, err := c.Conn.Write(c.listener.memory.refusal); err == nil {
			c.noteWrite()
		}
		_ = c.CloseWrite()
	}
	// net/http closes the connection without a response after an error of this type.
	return &net.OpError{Op: "read", Net: "tcp", Err: errMemory}
}

// Write sends a part of a response. It fails when the client reads nothing for the
// write timeout of the listener.
func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.writeCharged(p)
	if err != nil {
		c.setBroken()
	}
	return n, err
}

func (c *limitedConn) writeCharged(p []byte) (int, error) {
	if len(p) > serverBufferBytes && !c.listener.control { // responses of peer_control go to nodes of the fleet
		if !c.chargeResponse(int64(len(p))) {
			return 0, &net.OpError{Op: "write", Net: "tcp", Err: errMemory}
		}
		defer c.chargeResponse(0)
	}
	written := 0
	for {
		deadline := c.armWrite()
		n, err := c.Conn.Write(p[written:])
		written += n
		if n > 0 {
			c.noteWrite()
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.listener.writeTimeout <= 0 {
			return written, err
		}
		if n == 0 && c.listener.memory != nil {
			c.listener.memory.slowReaders.Add(1)
		}
		if n == 0 || !c.writeMayGoOn(deadline) {
			return written, err
		}
	}
}

// noteWrite notes that a part of a response was written.
func (c *limitedConn) noteWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = time.Now()
}

// chargeResponse sets the charge for a response that is being sent; 0 ends it. While
// it is sent, the connection may be closed to make room.
func (c *limitedConn) chargeResponse(size int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener.memory.update(c, c.charge.total()+size, size > 0)
}

// armWrite sets the deadline for the next part of a response and returns it.
func (c *limitedConn) armWrite() time.Time {
	if c.listener.writeTimeout <= 0 {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(c.listener.writeTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	_ = c.Conn.SetWriteDeadline(deadline) // fails only if the connection is closed
	return deadline
}

// writeMayGoOn reports whether a write that ended at a deadline may continue, because
// the deadline was not the one that the handler has set.
func (c *limitedConn) writeMayGoOn(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeDeadline.IsZero() || deadline.Before(c.writeDeadline)
}

// SetWriteDeadline sets the deadline of the handler, which holds beside the write
// timeout.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}
