package soak

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// Proxy forwards TCP connections to a target address and injects faults into them on
// request. It is safe for concurrent use.
type Proxy struct {
	listener       net.Listener
	mu             sync.Mutex
	target         string
	dropToTarget   bool // discard bytes towards the target
	dropFromTarget bool // discard bytes from the target
	delay          time.Duration
	conns          []net.Conn
	silent         map[net.Conn]bool // connections whose data is no longer forwarded
}

const forwardBufferBytes = 32 << 10 // read buffer of one direction

// NewProxy listens on a free port of the loopback interface.
func NewProxy() (*Proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, silent: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Drop sets for each direction whether bytes are discarded.
func (p *Proxy) Drop(toTarget, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropToTarget, p.dropFromTarget = toTarget, fromTarget
}

// Delay sets a delay for forwarded data in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Silence stops forwarding on the open connections without closing them. New
// connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		p.silent[c] = true
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close()
	}
	p.conns = nil
	clear(p.silent)
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		target := p.target
		p.mu.Unlock()
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go p.forward(out, in, &p.dropToTarget)
		go p.forward(in, out, &p.dropFromTarget)
	}
}

// forward copies data in one direction until either connection fails.
func (p *Proxy) forward(to, from net.Conn, drop *bool) {
	defer p.remove(to)
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		dropped, delay := *drop || p.silent[from], p.delay
		p.mu.Unlock()
		if n > 0 && !dropped {
			time.Sleep(delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other net.Conn) bool { return other == c })
	delete(p.silent, c)
}
