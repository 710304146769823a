package node

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/connection/membudget"
	"github.com/hyssopsill/hyssopsill/process/settings"
)

// listeners are the listeners of a node. They stay open while services restart.
type listeners struct {
	caller, peerData, peerControl, announce, admin *limitedListener
	metrics                                        *limitedListener // nil when the settings give no address
}

func (l *listeners) open(s settings.Settings, m *memory, logger zerolog.Logger) error {
	for _, spec := range []struct {
		name, address string
		to            **limitedListener
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
		limited := limitConnections(spec.name, listener, s.Limits.Connections, logger)
		limited.memory, limited.writeTimeout = m, s.Limits.WriteTimeout
		limited.control = spec.name == "peer_control"
		*spec.to = limited
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []*limitedListener{l.caller, l.peerData, l.peerControl, l.announce, l.admin, l.metrics} {
		if listener != nil {
			_ = listener.Close() // its server may have closed it
		}
	}
}

func (l *listeners) addresses() settings.Listen {
	a := settings.Listen{
		Caller: l.caller.Addr().String(), PeerData: l.peerData.Addr().String(),
		PeerControl: l.peerControl.Addr().String(), Announce: l.announce.Addr().String(), Admin: l.admin.Addr().String(),
	}
	if l.metrics != nil {
		a.Metrics = l.metrics.Addr().String()
	}
	return a
}

// limitConnections bounds the open connections of a listener. Accept waits
// while the bound is reached, and retries after an error: an HTTP server that gets one
// closes its listener, which would refuse callers until the process ends.
func limitConnections(name string, l net.Listener, n int, logger zerolog.Logger) *limitedListener {
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

	memory       *memory       // nil: no bound
	writeTimeout time.Duration // within which a client must read something of a response; 0: no bound
	control      bool          // not HTTP: a connection has a fixed charge
	// closeWaiting closes the connection that has waited for a request for the longest
	// time, unless that is less than headerWait. It reports whether it closed one. It may
	// be nil.
	closeWaiting func() bool
	// closeNext makes one more response close its connection.
	closeNext atomic.Bool
	lingering lingering
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		if !l.takeSlot() {
			return nil, net.ErrClosed
		}
		conn, err := l.acceptRetrying()
		if err != nil {
			<-l.slots
			return nil, err
		}
		c := &limitedConn{Conn: conn, listener: l, headerSince: time.Now()}
		c.holder.Value = c
		if l.control {
			c.charge.head = unauthenticatedBytes
		}
		if l.memory == nil {
			return c, nil
		}
		if !l.memory.update(c, c.charge.total(), true) {
			_ = c.Close() // nothing was read from it
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes) // fails only if the connection is closed
		}
		return c, nil
	}
}

const (
	// slotRetry is the time between two attempts to free a slot by closing a
	// connection that waits for a request.
	slotRetry = 20 * time.Millisecond
	// closeNextEvery is the number of such attempts between two responses that close
	// their connection, as a request may run for seconds before its response.
	closeNextEvery = 5
)

// takeSlot waits for a slot of a connection. While all are taken, it closes connections
// that wait or linger and lets responses close theirs, so that neither clients which send
// nothing nor clients which send requests without a pause occupy the listener.
func (l *limitedListener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	defer l.closeNext.Store(false)
	for attempts := 0; ; attempts++ {
		if l.closeWaiting != nil && l.closeWaiting() && l.memory != nil {
			l.memory.replaced.Add(1)
		}
		l.lingering.closeOldest(time.Now())
		if attempts%closeNextEvery == 0 {
			l.closeNext.Store(true)
		}
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.closed:
			return false
		case <-time.After(slotRetry):
		}
	}
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

// open returns the number of open connections, and 1 more while Accept waits.
func (l *limitedListener) open() int { return len(l.slots) }

func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of a listener. That of an HTTP server knows whether a request is on its
// way or runs, so that a shutdown ends only reads that wait for a further request.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once

	mu           sync.Mutex
	phase        connPhase
	headerSince  time.Time // in phaseHeader: when it began
	readsExpired bool      // reads fail until one has returned a byte
	// idleDeadlines is 2 when the connection becomes idle, less 1 for each read deadline
	// that the server sets. It is 0 before the server parses the next request.
	idleDeadlines int

	holder        membudget.Holder
	charge        connCharge
	writeDeadline time.Time // set by the handler

	lastWrite    time.Time // when a part of a response was written; zero before
	handling     bool      // a handler runs, or has broken off its response
	broken       bool      // a read or a write has failed, or the client has closed the connection
	resetOnClose bool      // SetLinger(0) is in force
	readAhead    bool      // bytes behind the request that runs have arrived
	holdsByte    bool      // the server holds a byte of them, and does not watch the connection

	// The lock of listener.lingering protects these.
	lingers      *list.Element
	lingersSince time.Time

	// The lock of the service protects these.
	waiting      *list.Element // in the service's list of connections without a request
	waitingSince time.Time
}

// connPhase is what a connection of an HTTP server does.
type connPhase int

const (
	phaseHeader  connPhase = iota // it was accepted, or a header was read in part
	phaseRequest                  // a request runs
	phaseIdle                     // no byte was read since the last response
)

// Close closes the connection for its server. It may linger then.
func (c *limitedConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		if !c.startLinger() {
			err = c.Conn.Close()
			c.release()
		}
	})
	return err
}

// release frees what a connection that is closed has held.
func (c *limitedConn) release() {
	c.listener.memory.release(c)
	<-c.listener.slots
}

// CloseWrite tells the client that no more is sent. net/http calls it before it closes a
// connection whose client still sends, so that no reset takes the response from it.
func (c *limitedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger is that of a TCP connection.
func (c *limitedConn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.resetOnClose = seconds == 0
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

func (c *limitedConn) Read(p []byte) (int, error) {
	if c.listener.control {
		return c.Conn.Read(p)
	}
	readsBody := c.beforeRead(len(p))
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.expired() {
		// A deadline in the past hides bytes that have arrived already.
		_ = c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only if the connection is closed
		n, err = c.Conn.Read(p)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setBroken()
	}
	if n > 0 || readsBody {
		if inHead, ok := c.noteBytes(time.Now(), p[:n], len(p), readsBody); !ok {
			return 0, c.refuseRead(inHead)
		}
	}
	if n > 0 && c.noteReadAhead(len(p)) {
		if err := c.awaitEnd(); err != nil {
			return 0, err
		}
	}
	return n, err
}

// setBroken notes that nothing more reaches the client, or that it has ended the connection.
func (c *limitedConn) setBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// setHandling notes whether a handler runs. One that panics does not return, so that its
// response stays broken off.
func (c *limitedConn) setHandling(handling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = handling
}

// beforeRead reports whether a read waits for the body of a request. Meanwhile the
// connection may be closed to make room. Between requests, and with a buffer of one
// byte, the server only learns whether the client has closed the connection.
func (c *limitedConn) beforeRead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdsByte = c.holdsByte && size <= 1 // the server uses the byte before it reads on
	if c.listener.memory == nil || c.phase != phaseRequest || size <= 1 {
		return false
	}
	c.listener.memory.update(c, c.charge.total(), true) // the charge does not grow
	return true
}

// noteBytes notes the bytes of a read. It reports whether they belong to a head, and
// false when the memory for them is refused.
func (c *limitedConn) noteBytes(now time.Time, p []byte, size int, readsBody bool) (inHead, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.phase == phaseIdle
	if first && len(p) > 0 {
		c.phase, c.headerSince = phaseHeader, now
	}
	if len(p) > 0 {
		c.allowReads()
	}
	if c.listener.memory == nil {
		return false, true
	}
	inHead = c.phase != phaseRequest
	if changed := c.charge.noteRead(p, size, inHead, first && c.idleDeadlines > 0); changed || readsBody {
		return inHead, c.listener.memory.update(c, c.charge.total(), inHead)
	}
	return inHead, true
}

// allowReads takes back expireReads. The caller holds c.mu.
func (c *limitedConn) allowReads() {
	if c.readsExpired {
		c.readsExpired = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

func (c *limitedConn) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsExpired
}

// SetReadDeadline has no effect while reads are expired. net/http sets one when
// the connection becomes idle, waits for the next request, which may be in its buffer,
// and sets another one before it parses it.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleDeadlines = max(0, c.idleDeadlines-1)
	if c.readsExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// setPeer notes that the client of a connection to peer_control is a node of the
// fleet, so that the connection is not closed to make room for others.
func (c *limitedConn) setPeer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.memory.update(c, c.charge.total(), false) // the charge does not grow
}

func (c *limitedConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleDeadlines = phaseIdle, 2
	c.charge.endRequest()
	c.listener.memory.update(c, c.charge.total(), true) // the charge does not grow
}

// setRequest notes that the header of a request is complete. The request may have come
// with the one before, so that no byte was read for it.
func (c *limitedConn) setRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseRequest
	c.allowReads()
	c.listener.memory.update(c, c.charge.total(), false) // the charge does not grow
}

// headerWait is how long a new connection may stay without a request, or a header
// incomplete, once the server shuts down or all connections of the listener are
// taken. Callers send a header within milliseconds.
const headerWait = time.Second

// expireReads makes the server close the connection unless a request runs or is on its
// way.
func (c *limitedConn) expireReads(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.phase == phaseIdle || (c.phase == phaseHeader && now.Sub(c.headerSince) > headerWait)
	if waits && !c.readsExpired {
		c.readsExpired = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// httpService runs one HTTP server on a listener of the node.
type httpService struct {
	name     string
	listener *limitedListener
	server   *http.Server
	closing  atomic.Bool // shutdown was called

	mu          sync.Mutex
	connections map[*limitedConn]struct{}
	waiting     list.List // connections without a request, the one that waits longest first
}

func newHTTPService(name string, l *limitedListener, h http.Handler, limits settings.Limits, logger zerolog.Logger) *httpService {
	s := &httpService{name: name, listener: l, connections: map[*limitedConn]struct{}{}}
	s.server = &http.Server{
		Handler:           observeHandler(s.closeDuringShutdown(h)),
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          log.New(logWriter{logger, name}, "", 0),
		ConnState:         s.observeState,
		ConnContext:       connContext,
	}
	l.closeWaiting = s.closeWaiting
	return s
}

// closeWaiting closes the connection that has waited for a complete head for the
// longest time. It reports whether there was one.
func (s *httpService) closeWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.waiting.Front()
	if first == nil {
		return false
	}
	c := first.Value.(*limitedConn)
	if time.Since(c.waitingSince) < headerWait {
		return false // its request may be on its way
	}
	s.setWaiting(c, false)
	_ = c.Conn.Close() // its server may have closed it
	return true
}

// setWaiting puts a connection at the end of the list of those that wait for a
// request, or takes it out. The caller holds s.mu.
func (s *httpService) setWaiting(c *limitedConn, waits bool) {
	if c.waiting != nil {
		s.waiting.Remove(c.waiting)
		c.waiting = nil
	}
	if waits {
		c.waiting, c.waitingSince = s.waiting.PushBack(c), time.Now()
	}
}

// closeDuringShutdown makes responses close their connection during a shutdown, and
// where the listener asks for it.
func (s *httpService) closeDuringShutdown(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() || (s.listener.closeNext.Load() && s.listener.closeNext.CompareAndSwap(true, false)) {
			w.Header()["Connection"] = []string{"close"}
		}
		h.ServeHTTP(w, r)
	})
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// observeHandler notes on the connection that a handler runs. The context of a request whose
// client has closed the connection before has ended.
func observeHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*limitedConn)
		if !ok { // another type of listener
			h.ServeHTTP(w, r)
			return
		}
		c.setHandling(true)
		if c.endedBefore() {
			ctx, cancel := context.WithCancel(r.Context())
			cancel()
			r = r.WithContext(ctx)
		}
		r, stop := c.watch(r)
		defer stop()
		h.ServeHTTP(w, r)
		c.setHandling(false) // not after a panic
	})
}

// observeState follows the states of the connections.
func (s *httpService) observeState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWaiting(c, state == http.StateNew || state == http.StateIdle)
	switch state {
	case http.StateNew:
		s.connections[c] = struct{}{}
	case http.StateActive:
		c.setRequest()
	case http.StateIdle:
		c.setIdle()
		if s.closing.Load() {
			c.expireReads(time.Now())
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, c)
	}
}

const (
	minShutdownPoll = 5 * time.Millisecond
	maxShutdownPoll = 50 * time.Millisecond
)

// shutdown closes the listener, ends the idle connections and waits until the others
// have ended or ctx ends. http.Server.Shutdown would drop the requests that it reads
// from then on, among them those on their way on connections accepted before.
func (s *httpService) shutdown(ctx context.Context) error {
	s.closing.Store(true)
	_ = s.listener.Close()
	for poll := minShutdownPoll; ; poll = min(2*poll, maxShutdownPoll) {
		s.expireIdleReads()
		if s.listener.open() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(poll):
		}
	}
}

// cut closes all connections at once.
func (s *httpService) cut() {
	s.listener.lingering.end()
	_ = s.server.Close() // the listener may be closed already
}

func (s *httpService) expireIdleReads() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.expireReads(now)
	}
}

func (s *httpService) String() string { return "listener " + s.name }

// Serve runs the server until ctx ends. After a shutdown of the server it waits
// for the end of ctx, so that the supervisor does not start the server again.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.cut)
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
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
