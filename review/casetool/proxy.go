package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. It can make the open ones silent for good.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]struct{}{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.mu.Unlock()
		go p.copy(l, client, server)
		go p.copy(l, server, client)
	}
}

// copy forwards bytes until one side closes. A silent link swallows the bytes and the
// close alike, as a path that has lost the connection does.
func (p *proxy) copy(l *link, from, to net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if !silent && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		_ = from.Close()
		if !silent {
			_ = to.Close()
		}
		return
	}
}

// silence makes the open connections silent and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.links)
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
		delete(p.links, l)
	}
	return n
}

func (p *proxy) close() { _ = p.listener.Close() }
