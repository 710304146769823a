package roundtrip

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 16 << 10
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// conn is one connection. It serves one exchange at a time.
type conn struct {
	client        *Client
	address       string
	netConn       net.Conn
	rawConn       syscall.RawConn
	limitedReader io.LimitedReader
	reader        *bufio.Reader
	bytesSent     atomic.Int64 // of the current request
	connectedAt   time.Time
	idleSince     time.Time

	writeFunc  func(fd uintptr) bool // writeFD, kept so that no call allocates it
	writeRest  []byte                // of the current Write
	writeMu    sync.Mutex            // held during each system call that writes
	writeError error                 // of the first such call that failed

	peekFunc   func(fd uintptr) bool // peekFD, kept so that no call allocates it
	peekBuffer [1]byte
	peeked     peekResult
}

// peekResult is what a look at a connection shows.
type peekResult int

const (
	peekedEnd  peekResult = iota // the peer has closed it, or it has failed
	peekedNone                   // it is open and has nothing to read
	peekedData
)

func newConn(c *Client, address string, netConn net.Conn) *conn {
	cn := &conn{client: c, address: address, netConn: netConn, connectedAt: time.Now()}
	if sc, ok := netConn.(syscall.Conn); ok {
		cn.rawConn, _ = sc.SyscallConn() // without it isUsable checks the buffer only, and no reset during a write is noticed
	}
	cn.peekFunc, cn.writeFunc = cn.peekFD, cn.writeFD
	cn.limitedReader = io.LimitedReader{R: netConn, N: math.MaxInt64}
	cn.reader = bufio.NewReaderSize(&cn.limitedReader, readBufferBytes)
	return cn
}

func (cn *conn) close() { _ = cn.netConn.Close() }

// closeAfter closes a connection after an exchange. Where an upload was given up, the peer may
// have no room for what is not sent yet and would never see an orderly end behind it, so it
// gets a reset.
func (cn *conn) closeAfter(ctx context.Context, sender *bodySender) {
	if tcp, ok := cn.netConn.(*net.TCPConn); ok && sender != nil && ctx.Err() != nil {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	cn.close()
}

// isUsable reports whether an idle connection is open and has nothing to read. A
// byte that arrived while it was idle belongs to no exchange.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	if cn.rawConn == nil {
		return true
	}
	return cn.peek() == peekedNone
}

// isClosedByPeer reports whether the peer sends nothing more, or the connection has failed.
func (cn *conn) isClosedByPeer() bool { return cn.rawConn != nil && cn.peek() == peekedEnd }

// peek looks at a connection that nothing else reads from.
func (cn *conn) peek() peekResult {
	cn.peeked = peekedEnd
	if cn.rawConn.Read(cn.peekFunc) != nil {
		return peekedEnd
	}
	return cn.peeked
}

// peekFD sets peeked. It does not wait.
func (cn *conn) peekFD(fd uintptr) bool {
	n, _, err := syscall.Recvfrom(int(fd), cn.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case n > 0:
		cn.peeked = peekedData
	case n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK):
		cn.peeked = peekedNone
	}
	return true
}

// exchange sends a request and reads the header of its response. A streamed body
// is sent while the response is read.
func (cn *conn) exchange(ctx context.Context, req *Request) (*http.Response, *Error) {
	stopInterrupt := context.AfterFunc(ctx, cn.interrupt)
	cn.bytesSent.Store(0)
	var sender *bodySender
	if req.Body != nil {
		sender = startBodySender(cn, req)
	} else if err := cn.send(req, bytes.NewReader(req.Prefix)); err != nil {
		stopInterrupt()
		cn.close()
		return nil, &Error{Stage: cn.failureStage(StageSend), Err: err}
	}
	resp, unrelated, err := cn.readResponse(req)
	if err != nil {
		stopInterrupt()
		cn.closeAfter(ctx, sender)
		stage := StageRead
		if sender != nil {
			sender.stopAndWait()
			if sender.err != nil && sender.sourceFailed {
				err = sender.err
			}
			stage = cn.failureStage(stage)
		}
		return nil, &Error{Stage: stage, Err: err}
	}
	resp.Body = &responseBody{cn: cn, original: resp.Body, stopInterrupt: stopInterrupt, ctx: ctx, sender: sender,
		rejects: resp.StatusCode >= http.StatusMultipleChoices, reusable: !resp.Close && unrelated == 0,
		closeDelimited: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody}
	return resp, nil
}

// failureStage returns StageDial when no byte was sent, else stage.
func (cn *conn) failureStage(stage Stage) Stage {
	if cn.bytesSent.Load() == 0 {
		return StageDial
	}
	return stage
}

// interrupt fails the reads and writes in progress.
func (cn *conn) interrupt() { _ = cn.netConn.SetDeadline(time.Unix(1, 0)) }

// send writes a request.
func (cn *conn) send(req *Request, body io.Reader) error {
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(cn)
	if err := req.httpRequest(body).Write(w); err != nil {
		return err
	}
	return w.Flush()
}

const (
	// maxUnrelatedResponses bounds the responses to other requests that are discarded.
	maxUnrelatedResponses = 4
	// maxUnrelatedBytes bounds the body of each of them, which may have no end.
	maxUnrelatedBytes = 256 << 10
)

// readResponse reads the header of the response to req. It discards and counts the
// responses to other requests that arrive before it.
func (cn *conn) readResponse(req *Request) (resp *http.Response, unrelated int, err error) {
	for {
		resp, err = cn.readHeader(req.Method)
		if err != nil || req.IsResponse == nil || req.IsResponse(resp.Header) {
			return resp, unrelated, err
		}
		if unrelated++; unrelated > maxUnrelatedResponses {
			return nil, unrelated, errUnrelatedResponses
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnrelatedBytes+1))
		if err == nil && n > maxUnrelatedBytes {
			err = errUnrelatedResponses
		}
		if err != nil {
			return nil, unrelated, err
		}
	}
}

var errUnrelatedResponses = errors.New("only responses to other requests arrived")

// readHeader reads the header of the next final response.
func (cn *conn) readHeader(method string) (*http.Response, error) {
	cn.limitedReader.N = cn.client.options.HeaderBytes
	for {
		resp, err := cn.parseHeader(method)
		if err != nil {
			if cn.limitedReader.N <= 0 {
				err = errHeaderTooLarge
			}
			return nil, err
		}
		if err := CheckFieldNames(resp.Header); err != nil {
			return nil, err
		}
		switch status := resp.StatusCode; {
		case status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols: // no request asks for another protocol
			return nil, fmt.Errorf("status %d of the response is no final answer", status)
		case status >= http.StatusOK:
			cn.limitedReader.N = math.MaxInt64
			return resp, nil
		}
	}
}

const versionHTTP10 = "HTTP/1.0"

// parseHeader parses the header of a response. It fails for a transfer coding under HTTP/1.0,
// whose framing counts as faulty (RFC 9112, section 6.1). net/http ignores the field there, so
// that the coding would become a part of the body; so it is shown HTTP/1.1.
func (cn *conn) parseHeader(method string) (*http.Response, error) {
	begin, err := cn.reader.Peek(len(versionHTTP10))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	isHTTP10 := string(begin) == versionHTTP10
	if isHTTP10 {
		begin[len(begin)-1] = '1'
	}
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	if err != nil || !isHTTP10 {
		return resp, err
	}
	if len(resp.TransferEncoding) > 0 {
		return nil, errHTTP10TransferCoding
	}
	resp.Proto, resp.ProtoMinor = versionHTTP10, 0
	resp.Close = resp.Close || !httpguts.HeaderValuesContainsToken(resp.Header["Connection"], "keep-alive")
	return resp, nil
}

var errHTTP10TransferCoding = errors.New("the response has a transfer coding under HTTP/1.0")

// Status codes outside these bounds are invalid (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

var errHeaderTooLarge = errors.New("header of the response is too large")

// responseBody is the body of a response. When it has been read to its end, the
// connection returns to the pool.
//
// The body of a successful response ends only when the body of the request has been sent,
// too, unless that comes to a standstill. Many HTTP clients, among them that of net/http,
// give up the rest of their request once they have read the whole response, so that a
// proxy which delivers the response sooner would break off a request that its target still
// reads.
type responseBody struct {
	cn            *conn
	original      io.ReadCloser
	stopInterrupt func() bool
	ctx           context.Context
	sender        *bodySender
	rejects       bool // the response states that the request did not succeed
	reusable      bool
	// closeDelimited is set when the end of the connection ends the response.
	closeDelimited bool
	finished       bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.finished {
		return 0, io.EOF
	}
	n, err := b.original.Read(p)
	if errors.Is(err, io.EOF) && b.closeDelimited {
		if failure := b.cn.readEndFailure(); failure != nil {
			err = fmt.Errorf("the connection failed before the end of the response: %w", failure)
		}
	}
	if errors.Is(err, io.EOF) {
		b.finish(true)
	} else if err != nil && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close ends the exchange. It closes the connection unless the body was read to
// its end.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

// finish returns the connection to the pool after a complete exchange and closes
// it otherwise.
func (b *responseBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	interrupted := !b.stopInterrupt()
	sent := b.sender == nil || (complete && b.sender.wait(senderEndTimeout) && b.sender.err == nil)
	if complete && b.reusable && sent && !interrupted {
		b.cn.client.putIdle(b.cn)
		return
	}
	if complete && !sent && !b.rejects {
		b.sender.awaitEnd(b.ctx, b.cn) // the connection is not reused, as the peer may still read from it
	}
	b.cn.closeAfter(b.ctx, b.sender)
	if b.sender != nil {
		b.sender.stopAndWait()
	}
}
