package roundtrip

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 16 << 10
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// conn is one connection. It serves one exchange at a time.
type conn struct {
	client    *Client
	address   string
	nc        net.Conn
	raw       syscall.RawConn
	limit     io.LimitedReader
	r         *bufio.Reader
	sent      atomic.Int64 // bytes of the current request that were written
	opened    time.Time
	idleSince time.Time

	peek    func(fd uintptr) bool // peekFD, kept so that no call allocates it
	peeked  [1]byte
	nothing bool // result of peekFD
}

func newConn(c *Client, address string, nc net.Conn) *conn {
	cn := &conn{client: c, address: address, nc: nc, opened: time.Now()}
	if sc, ok := nc.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn() // without it the check of an idle connection is left out
	}
	cn.peek = cn.peekFD
	cn.limit = io.LimitedReader{R: nc, N: math.MaxInt64}
	cn.r = bufio.NewReaderSize(&cn.limit, readBufferBytes)
	return cn
}

func (cn *conn) close() { _ = cn.nc.Close() }

// quiet reports whether an idle connection is open and has nothing to read. A
// byte that arrived without a request belongs to no exchange.
func (cn *conn) quiet() bool {
	if cn.r.Buffered() > 0 {
		return false
	}
	if cn.raw == nil {
		return true
	}
	cn.nothing = false
	return cn.raw.Read(cn.peek) == nil && cn.nothing
}

// peekFD looks for a byte or the end of the connection without waiting.
func (cn *conn) peekFD(fd uintptr) bool {
	n, _, err := syscall.Recvfrom(int(fd), cn.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	cn.nothing = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
	return true
}

// Write passes bytes of a request on and counts them.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.nc.Write(p)
	cn.sent.Add(int64(n))
	return n, err
}

// exchange sends a request and reads the header of its answer.
func (cn *conn) exchange(ctx context.Context, req *Request) (*http.Response, *Error) {
	stop := context.AfterFunc(ctx, cn.interrupt)
	cn.sent.Store(0)
	var sending *bodySender
	if req.Body != nil {
		sending = startBody(cn, req)
	} else if err := cn.send(req, bytes.NewReader(req.Prefix)); err != nil {
		stop()
		cn.close()
		return nil, &Error{Stage: cn.failedStage(StageSend), Err: err}
	}
	resp, strays, err := cn.readAnswer(req)
	if err != nil {
		stop()
		cn.close()
		stage := StageRead
		if sending != nil {
			sending.abandon()
			if sending.err != nil && sending.fromSource {
				err = sending.err
			}
			stage = cn.failedStage(stage)
		}
		return nil, &Error{Stage: stage, Err: err}
	}
	resp.Body = &body{cn: cn, rc: resp.Body, stop: stop, ctx: ctx, sending: sending, keep: !resp.Close && strays == 0}
	return resp, nil
}

// failedStage returns StageDial when no byte was sent, else stage.
func (cn *conn) failedStage(stage Stage) Stage {
	if cn.sent.Load() == 0 {
		return StageDial
	}
	return stage
}

// interrupt fails the reads and writes in progress.
func (cn *conn) interrupt() { _ = cn.nc.SetDeadline(time.Unix(1, 0)) }

// send writes a request.
func (cn *conn) send(req *Request, body io.Reader) error {
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(cn)
	if err := req.message(body).Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// maxStrays bounds the answers to other requests that are discarded.
const maxStrays = 4

// readAnswer reads the header of the answer to req and counts the answers to
// other requests before it.
func (cn *conn) readAnswer(req *Request) (resp *http.Response, strays int, err error) {
	for {
		resp, err = cn.readHeader(req.Method)
		if err != nil || req.IsResponse == nil || req.IsResponse(resp.Header) {
			return resp, strays, err
		}
		if strays++; strays > maxStrays {
			return nil, strays, errStrays
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return nil, strays, err
		}
	}
}

var errStrays = errors.New("only answers to other requests arrived")

// readHeader reads until the header of a final answer.
func (cn *conn) readHeader(method string) (*http.Response, error) {
	cn.limit.N = cn.client.o.HeaderBytes
	for {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: method})
		if err != nil {
			if cn.limit.N <= 0 {
				err = errHeaderBytes
			}
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			cn.limit.N = math.MaxInt64
			return resp, nil
		}
	}
}

var errHeaderBytes = errors.New("header of the answer is too large")

// bodySender sends a request with a streamed body while the answer is awaited.
type bodySender struct {
	done       chan struct{}
	give       func() // makes a read of the source return
	err        error
	fromSource bool // the body could not be read
}

// sendGrace is how long the sender of a body may take to notice its own end
// after the whole answer has arrived.
const sendGrace = 5 * time.Millisecond

func (s *bodySender) wait(d time.Duration) bool {
	select {
	case <-s.done:
		return true
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.done:
		return true
	case <-timer.C:
		return false
	}
}

// abandon waits for the sender after its connection was closed.
func (s *bodySender) abandon() {
	if s.wait(sendGrace) {
		return
	}
	if s.give != nil {
		s.give()
	}
	<-s.done
}

func startBody(cn *conn, req *Request) *bodySender {
	s := &bodySender{done: make(chan struct{}), give: req.InterruptBody}
	go func() {
		defer close(s.done)
		from := &source{Reader: req.Body, want: -1}
		if req.Length >= 0 {
			from.want = req.Length - int64(len(req.Prefix))
		}
		s.err = cn.send(req, io.MultiReader(bytes.NewReader(req.Prefix), from))
		s.fromSource = s.err != nil && from.failed
		if s.fromSource {
			cn.interrupt() // the receiver can never get a whole request
		}
	}()
	return s
}

// body is the body of an answer. Its end gives the connection back.
type body struct {
	cn      *conn
	rc      io.ReadCloser
	stop    func() bool
	ctx     context.Context
	sending *bodySender
	keep    bool
	over    bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.over {
		return 0, io.EOF
	}
	n, err := b.rc.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish(true)
	} else if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close discards the rest of the answer.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

// finish keeps the connection after a whole exchange and closes it otherwise.
func (b *body) finish(whole bool) {
	if b.over {
		return
	}
	b.over = true
	interrupted := !b.stop()
	sent := b.sending == nil || (whole && b.sending.wait(sendGrace) && b.sending.err == nil)
	if whole && b.keep && sent && !interrupted {
		b.cn.client.putIdle(b.cn)
		return
	}
	b.cn.close()
	if b.sending != nil {
		b.sending.abandon()
	}
}
