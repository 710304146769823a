package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/process/settings"
)

// listeners are the listeners of a node. They stay open while services restart.
type listeners struct {
	caller, peerData, peerControl, announce, admin net.Listener
	metrics                                        net.Listener // nil when the settings give no address
}

func (l *listeners) open(s settings.Settings, logger zerolog.Logger) error {
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
		*spec.to = limitConnections(spec.name, listener, s.Limits.Connections, logger)
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
// while the bound is reached, and retries after an error: an HTTP server that gets one
// closes its listener, which would refuse callers until the process ends.
func limitConnections(name string, l net.Listener, n int, logger zerolog.Logger) net.Listener {
	return &limitedListener{Listener: l, name: name, log: logger, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// acceptRetryDelay is the delay after a failed accept, which may fail for as long as
// the process has no file descriptor or the host no memory.
const acceptRetryDelay = 50 * time.Millisecond

type limitedListener struct {
	net.Listener
	name      string
	log       zerolog.Logger
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
	conn, err := l.acceptRetrying()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// acceptRetrying accepts a connection. It fails only when the listener is closed.
func (l *limitedListener) acceptRetrying() (net.Conn, error) {
	failing := false
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && failing:
			l.log.Info().Str("listener", l.name).Msg("node: connections are accepted again")
			return conn, nil
		case err == nil, errors.Is(err, net.ErrClosed):
			return conn, err
		case !failing:
			failing = true
			l.log.Error().Err(err).Str("listener", l.name).Msg("node: a connection cannot be accepted, retrying")
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
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
