package roundtrip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options of a Client.
type Options struct {
	DialTimeout time.Duration // default 1s
	IdleTimeout time.Duration // idle connections are closed after it; default 60s
	MaxIdle     int           // idle connections kept per address; default 128
	HeaderBytes int64         // bound on the header of an answer; default 32 KiB
}

// Client keeps connections to addresses. It is safe for concurrent use.
type Client struct {
	o      Options
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // the most recently used last
	closed bool
}

// New returns a client.
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
	return &Client{o: o, dialer: net.Dialer{Timeout: o.DialTimeout}, idle: map[string][]*conn{}}
}

// Stage tells how far an exchange got before it failed.
type Stage string

const (
	StageDial Stage = "dial" // no byte was sent
	StageSend Stage = "send" // a part of the request was sent
	StageRead Stage = "read" // the request was sent, no whole header of an answer arrived
)

// Error is a failed exchange.
type Error struct {
	Stage  Stage
	Reused bool // the exchange used a kept connection
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

// Response is an answer. Its body must be closed; a connection is kept only
// when the body was read to its end.
type Response struct {
	*http.Response
	Reused      bool
	ConnectedAt time.Time // when the connection was opened
}

// Do sends req to address once and waits for the header of the answer. A kept
// connection that turns out to be closed before anything was sent on it is
// replaced. The request is cut off when ctx ends.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	for {
		cn := c.takeIdle(address)
		reused := cn != nil
		if !reused {
			nc, err := c.dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, &Error{Stage: StageDial, Err: err}
			}
			cn = newConn(c, address, nc)
		}
		if !req.allow(cn.opened) {
			c.putIdle(cn)
			return nil, &Error{Stage: StageDial, Reused: reused, Err: ErrNotSent}
		}
		resp, err := cn.exchange(ctx, req)
		if err == nil {
			return &Response{Response: resp, Reused: reused, ConnectedAt: cn.opened}, nil
		}
		// A streamed body has been read in part and cannot be sent again.
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
	for _, cs := range idle {
		closeAll(cs)
	}
}

// CloseIdle closes the idle connections to an address, so that the next exchange
// opens a new one.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	cs := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	closeAll(cs)
}

// CloseExpired closes connections that were idle for longer than the bound.
func (c *Client) CloseExpired(now time.Time) {
	var old []*conn
	c.mu.Lock()
	for address, cs := range c.idle {
		n := 0
		for n < len(cs) && now.Sub(cs[n].idleSince) > c.o.IdleTimeout {
			n++
		}
		old = append(old, cs[:n]...)
		if n == len(cs) {
			delete(c.idle, address)
		} else {
			c.idle[address] = cs[n:]
		}
	}
	c.mu.Unlock()
	closeAll(old)
}

func closeAll(cs []*conn) {
	for _, cn := range cs {
		cn.close()
	}
}

// takeIdle returns a usable kept connection, or nil.
func (c *Client) takeIdle(address string) *conn {
	for {
		c.mu.Lock()
		cs := c.idle[address]
		if len(cs) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := cs[len(cs)-1]
		cs[len(cs)-1] = nil
		c.idle[address] = cs[:len(cs)-1]
		c.mu.Unlock()
		if time.Since(cn.idleSince) < c.o.IdleTimeout && cn.quiet() {
			return cn
		}
		cn.close()
	}
}

func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	if !c.closed && len(c.idle[cn.address]) < c.o.MaxIdle {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
		cn = nil
	}
	c.mu.Unlock()
	if cn != nil {
		cn.close()
	}
}
