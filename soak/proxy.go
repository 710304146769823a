package soak

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// Proxy passes TCP connections on to an address and harms them on demand. It is
// safe for concurrent use.
type Proxy struct {
	listener net.Listener
	mu       sync.Mutex
	to       string
	dropTo   bool // bytes towards the address
	dropBack bool // bytes from it
	delay    time.Duration
	conns    []net.Conn
	silent   map[net.Conn]bool // connections that pass nothing any more
}

const proxyBytes = 32 << 10 // passed on at a time

// NewProxy listens on a free port of the loopback interface.
func NewProxy() (*Proxy, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, silent: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// SetTarget names the address to which new connections are passed on.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = address
}

// Drop loses bytes towards the address, or back.
func (p *Proxy) Drop(to, back bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropTo, p.dropBack = to, back
}

// Delay delays what is passed on, in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Silence makes the open connections silent for ever; new ones work.
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
			_ = tcp.SetLinger(0) // the close below resets
		}
		_ = c.Close()
	}
	p.conns = nil
	clear(p.silent)
}

func (p *Proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		to := p.to
		p.mu.Unlock()
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go p.pass(out, in, &p.dropTo)
		go p.pass(in, out, &p.dropBack)
	}
}

func (p *Proxy) pass(to, from net.Conn, drop *bool) {
	defer p.forget(to)
	buffer := make([]byte, proxyBytes)
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

func (p *Proxy) forget(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(other net.Conn) bool { return other == c })
	delete(p.silent, c)
}
