package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
)

// listeners are the listeners of a node. They stay open while services restart.
type listeners struct {
	caller, peerData, peerControl, announce, admin net.Listener
	metrics                                        net.Listener // nil when the settings give no address
}

func (l *listeners) open(s settings.Settings) error {
	for _, spec := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"caller", s.Listen.Caller, &l.caller},
		{"peer_data", s.Listen.PeerData, &l.peerData},
		{"peer_control", s.Listen.PeerControl, &l.peerControl},
		{"announce", s.Listen.Announce, &l.announce},
		{"admin", s.Listen.Admin, &l.admin},
		{"metrics", s.Listen.Metrics, &l.metrics},
	} {
		if spec.address == "" && spec.name == "metrics" {
			continue
		}
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			l.close()
			return fmt.Errorf("node: listener %s: %w", spec.name, err)
		}
		*spec.to = limitConnections(listener, s.Limits.Connections)
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peerData, l.peerControl, l.announce, l.admin, l.metrics} {
		if listener != nil {
			_ = listener.Close() // its server may have closed it
		}
	}
}

func (l *listeners) addresses() settings.Listen {
	return settings.Listen{
		Caller: l.caller.Addr().String(), PeerData: l.peerData.Addr().String(),
		PeerControl: l.peerControl.Addr().String(), Announce: l.announce.Addr().String(), Admin: l.admin.Addr().String(),
	}
}

// limitConnections bounds the open connections of a listener. Accept waits
// while the bound is reached.
func limitConnections(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	releaseOnce sync.Once
	release     func()
}

func (c *limitedConn) Close() error {
	c.releaseOnce.Do(c.release)
	return c.Conn.Close()
}

// httpService runs one HTTP server on a listener of the node.
type httpService struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func newHTTPService(name string, l net.Listener, h http.Handler, limits settings.Limits, logger zerolog.Logger) *httpService {
	return &httpService{name: name, listener: l, server: &http.Server{
		Handler:           h,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          log.New(logWriter{logger, name}, "", 0),
	}}
}

func (s *httpService) String() string { return "listener " + s.name }

// Serve runs the server until ctx ends. After a shutdown of the server it waits
// for the end of ctx, so that the supervisor does not start the server again.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("node: listener %s: %w", s.name, err)
	}
	<-ctx.Done()
	return ctx.Err()
}

// logWriter writes the lines of an HTTP server's error log to the node's log.
type logWriter struct {
	log  zerolog.Logger
	name string
}

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Warn().Str("listener", w.name).Msgf("node: %s", string(p[:max(0, len(p)-1)]))
	return len(p), nil
}
