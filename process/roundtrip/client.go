package roundtrip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Options configure a Client.
type Options struct {
	DialTimeout time.Duration // default 1s
	IdleTimeout time.Duration // idle connections are closed after it; default 60s
	MaxIdle     int           // idle connections kept per address; default 128
	HeaderBytes int64         // limit on the header of a response; default 32 KiB
}

// Client sends requests to addresses and keeps the connections for reuse. It is
// safe for concurrent use.
type Client struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by address, the most recently used last
	closed bool
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = time.Second
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 60 * time.Second
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = 128
	}
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = 32 << 10
	}
	return &Client{options: o, dialer: net.Dialer{Timeout: o.DialTimeout}, idle: map[string][]*conn{}}
}

// Stage is the stage in which an exchange failed.
type Stage string

const (
	StageDial Stage = "dial" // no byte was sent
	StageSend Stage = "send" // a part of the request was sent
	StageRead Stage = "read" // the request was sent, but no whole header of a response arrived
)

// Error reports a failed exchange.
type Error struct {
	Stage  Stage
	Reused bool // the exchange used an idle connection of the pool
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NothingSent reports whether err proves that no byte of the request was sent.
func NothingSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Stage == StageDial
}

// KeptConnectionEnded reports whether the peer has ended a connection of the pool in place of
// a response, as it may at any time. This tells nothing about the state of the peer, and not
// whether the request has arrived: only an idempotent one may be sent again.
func KeptConnectionEnded(err error) bool {
	var e *Error
	if !errors.As(err, &e) || !e.Reused {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(e.Err, end) {
			return true
		}
	}
	return false
}

// Response is the response to a request. Its body must be closed; the connection
// is kept only when the body was read to its end.
type Response struct {
	*http.Response
	Reused      bool
	ConnectedAt time.Time // when the connection was opened
}

// Do sends req to address once and waits for the header of the response. When an
// idle connection proves to be closed before any byte was sent, Do uses another
// one. The exchange fails when ctx ends, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, &Error{Stage: StageDial, Err: err}
		}
		var cn *conn
		if !req.NewConnection {
			cn = c.getIdle(address)
		}
		reused := cn != nil
		if !reused {
			netConn, err := c.dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, &Error{Stage: StageDial, Err: err}
			}
			cn = newConn(c, address, netConn)
		}
		if !req.checkBeforeSend(cn.connectedAt) {
			c.putIdle(cn)
			return nil, &Error{Stage: StageDial, Reused: reused, Err: ErrNotSent}
		}
		resp, err := cn.exchange(ctx, req)
		if err == nil {
			return &Response{Response: resp, Reused: reused, ConnectedAt: cn.connectedAt}, nil
		}
		// A streamed body may have been read in part and cannot be sent again.
		if err.Stage == StageDial && reused && req.Body == nil && ctx.Err() == nil {
			continue
		}
		err.Reused = reused
		if ctx.Err() != nil {
			err.Err = ctx.Err()
		}
		return nil, err
	}
}

// Close closes the idle connections and keeps none from now on.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, conns := range idle {
		closeAll(conns)
	}
}

// CloseIdle closes the idle connections to an address, so that the next exchange
// opens a new one.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	closeAll(conns)
}

// CloseExpired closes the connections that were idle for longer than
// Options.IdleTimeout.
func (c *Client) CloseExpired(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for address, conns := range c.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) > c.options.IdleTimeout {
			n++
		}
		expired = append(expired, conns[:n]...)
		if n == len(conns) {
			delete(c.idle, address)
		} else {
			c.idle[address] = conns[n:]
		}
	}
	c.mu.Unlock()
	closeAll(expired)
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.close()
	}
}

// getIdle removes a usable idle connection from the pool and returns it, or nil
// when there is none.
func (c *Client) getIdle(address string) *conn {
	for {
		c.mu.Lock()
		conns := c.idle[address]
		if len(conns) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := conns[len(conns)-1]
		conns[len(conns)-1] = nil
		c.idle[address] = conns[:len(conns)-1]
		c.mu.Unlock()
		if time.Since(cn.idleSince) < c.options.IdleTimeout && cn.isUsable() {
			return cn
		}
		cn.close()
	}
}

// putIdle adds a connection to the pool, or closes it when the pool has no room
// for its address or the client is closed.
func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	if !c.closed && len(c.idle[cn.address]) < c.options.MaxIdle {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
		cn = nil
	}
	c.mu.Unlock()
	if cn != nil {
		cn.close()
	}
}
