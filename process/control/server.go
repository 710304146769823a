package control

import (
	"container/list"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
)

// Error codes of failed calls.
const (
	CodeUnauthorized = 1 // fleet token missing or wrong
	CodeInvalid      = 2 // malformed or oversized message
	CodeInternal     = 3 // any other error of the handler, or its panic
)

const (
	// MaxRequestBytes bounds a message to a server.
	MaxRequestBytes = 2 << 20
	// MaxResponseBytes bounds a message to a client; a snapshot fits.
	MaxResponseBytes = 6 << 20
	// MaxMessageBytes bounds one membership message.
	MaxMessageBytes = 256 << 10
	// MaxQueryBytes bounds a query of Explain.
	MaxQueryBytes = 16 << 10

	// DefaultMaxConnections bounds a server's connections. Each of 790 nodes
	// may keep one open.
	DefaultMaxConnections = 2048

	// DefaultHandshakeTimeout bounds the time from the accept of a connection to its
	// first call. A peer that dials calls at once.
	DefaultHandshakeTimeout = 3 * time.Second

	tokenKey          = "fleet"
	inactivityTimeout = 30 * time.Second
	acceptRetryDelay  = 50 * time.Millisecond
)

// ErrInvalid is wrapped by the errors of a Handler that the message of the calling
// node causes.
var ErrInvalid = errors.New("invalid message")

// Handler serves the calls of other nodes. It must be safe for concurrent use.
type Handler interface {
	// Exchange handles an encoded membership message of a node and returns the
	// encoded messages that respond to it.
	Exchange(ctx context.Context, from string, message []byte) ([][]byte, error)
	// Configuration handles the records in a request and returns the records that
	// the request selects.
	Configuration(ctx context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error)
	// Document sends the document in force in parts if it is newer than the caller's.
	// A part must not be changed after it was sent.
	Document(ctx context.Context, r *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error
	// Snapshot returns an encoded snapshot of the configuration state that covers
	// offsets above newerThan, or nil.
	Snapshot(ctx context.Context, newerThan int64) ([]byte, error)
	// Explain returns decision records as JSON for a query in JSON.
	Explain(ctx context.Context, query []byte) ([]byte, error)
	// Status returns the node's identity, versions and state.
	Status(ctx context.Context) (*controlpb.StatusResponse, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	// Token is the fleet token. Required.
	Token string
	// Meter counts the calls. Default a new one.
	Meter *Meter
	// Log receives the errors of individual connections and calls. Default none.
	Log func(error)
	// MaxConnections bounds the open connections. A further one is closed at
	// once. Default 2048.
	MaxConnections int
	// HandshakeTimeout bounds how long a connection may stay without a call that
	// shows the fleet token. Default 3s.
	HandshakeTimeout time.Duration
	// OnPeer is called once for each connection on which the fleet token was shown,
	// with the connection as it was accepted. Default none.
	OnPeer func(net.Conn)
}

// Server serves the calls of other nodes.
type Server struct {
	options ServerOptions
	token   [sha256.Size]byte
	mux     *drpcmux.Mux
	server  *drpcserver.Server

	mu              sync.Mutex
	unauthenticated list.List // *guardedConn that have not shown the fleet token, the oldest first
}

// NewServer returns a server. It fails without a token.
func NewServer(o ServerOptions, h Handler) (*Server, error) {
	if o.Token == "" {
		return nil, errors.New("control: fleet token is empty")
	}
	if o.Meter == nil {
		o.Meter = NewMeter()
	}
	if o.Log == nil {
		o.Log = func(error) {}
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.HandshakeTimeout <= 0 {
		o.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if o.OnPeer == nil {
		o.OnPeer = func(net.Conn) {}
	}
	if len(o.Token) > MaxTokenBytes {
		return nil, fmt.Errorf("control: fleet token of %d bytes, at most %d", len(o.Token), MaxTokenBytes)
	}
	s := &Server{options: o, token: sha256.Sum256([]byte(o.Token)), mux: drpcmux.New()}
	if err := controlpb.DRPCRegisterControl(s.mux, &rpcService{handler: h}); err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	s.server = drpcserver.NewWithOptions(s, drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxRequestBytes},
		InactivityTimeout: inactivityTimeout,
	}})
	return s, nil
}

// Meter returns the meter that counts the calls to the server.
func (s *Server) Meter() *Meter { return s.options.Meter }

type connKey struct{}

// Serve accepts connections until the listener is closed. It closes the listener
// when ctx ends. Then it waits for the connections to end.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	slots := make(chan struct{}, s.options.MaxConnections)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			s.options.Log(fmt.Errorf("control: accept: %w", err)) // such as too many open files
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			wait.Go(func() {
				defer func() { <-slots }()
				s.serveConn(ctx, conn)
			})
		default:
			s.options.Log(fmt.Errorf("control: connection of %s refused: %d are open", conn.RemoteAddr(), s.options.MaxConnections))
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	guarded := newGuardedConn(conn, s.options.HandshakeTimeout)
	counted := &countedConn{Conn: guarded, guarded: guarded}
	element := s.addUnauthenticated(guarded)
	defer s.removeUnauthenticated(element)
	guarded.onAccept = func() {
		s.removeUnauthenticated(element)
		s.options.OnPeer(conn)
	}
	err := s.server.ServeOne(context.WithValue(ctx, connKey{}, counted), counted)
	if in, out := counted.resetCounts(); in+out > 0 {
		s.options.Meter.add("none", in, out, nil)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		s.options.Log(fmt.Errorf("control: connection of %s: %w", conn.RemoteAddr(), err))
	}
}

// HandleRPC checks the fleet token, runs the call and counts its bytes. A panic
// of a handler fails the call and not the process.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	counted := stream.Context().Value(connKey{}).(*countedConn) // set by serveConn
	defer func() {
		if recovered := recover(); recovered != nil {
			err = drpcerr.WithCode(fmt.Errorf("control: %s: internal error", rpc), CodeInternal)
			s.options.Log(fmt.Errorf("control: %s: panic: %v", rpc, recovered))
		}
		in, out := counted.resetCounts()
		s.options.Meter.add(s.knownMethod(rpc), in, out, err)
	}()
	authorized := s.authorized(stream.Context())
	counted.guarded.decide(authorized)
	if !authorized {
		return drpcerr.WithCode(fmt.Errorf("control: %s: fleet token missing or wrong", s.knownMethod(rpc)), CodeUnauthorized)
	}
	return s.mux.HandleRPC(stream, rpc)
}

// knownMethod returns rpc if the service has it, else "none", so that unknown names
// in the calls of a client add no counters.
func (s *Server) knownMethod(rpc string) string {
	desc := controlpb.DRPCControlDescription{}
	for i := range desc.NumMethods() {
		if name, _, _, _, _ := desc.Method(i); name == rpc {
			return rpc
		}
	}
	return "none"
}

func (s *Server) authorized(ctx context.Context) bool {
	metadata, _ := drpcmetadata.Get(ctx)
	presented := sha256.Sum256([]byte(metadata[tokenKey]))
	return subtle.ConstantTimeCompare(presented[:], s.token[:]) == 1
}

// rpcService implements the generated server interface on a Handler. It checks
// limits and maps errors to codes.
type rpcService struct{ handler Handler }

func (s *rpcService) Exchange(ctx context.Context, r *controlpb.ExchangeRequest) (*controlpb.ExchangeResponse, error) {
	if len(r.Message) > MaxMessageBytes {
		return nil, tooLargeError("message", len(r.Message), MaxMessageBytes)
	}
	messages, err := s.handler.Exchange(ctx, r.From, r.Message)
	if err != nil {
		return nil, withCode(err)
	}
	return &controlpb.ExchangeResponse{Messages: messages}, nil
}

func (s *rpcService) Ping(ctx context.Context, r *controlpb.ExchangeRequest) (*controlpb.ExchangeResponse, error) {
	return s.Exchange(ctx, r)
}

func (s *rpcService) PingRequest(ctx context.Context, r *controlpb.ExchangeRequest) (*controlpb.ExchangeResponse, error) {
	return s.Exchange(ctx, r)
}

func (s *rpcService) Configuration(ctx context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	if r.After < 0 || r.Limit < 0 {
		return nil, withCode(fmt.Errorf("%w: after %d, limit %d", ErrInvalid, r.After, r.Limit))
	}
	response, err := s.handler.Configuration(ctx, r)
	return response, withCode(err)
}

func (s *rpcService) Document(r *controlpb.DocumentRequest, stream controlpb.DRPCControl_DocumentStream) error {
	return withCode(s.handler.Document(stream.Context(), r, stream.Send))
}

func (s *rpcService) Snapshot(ctx context.Context, r *controlpb.SnapshotRequest) (*controlpb.SnapshotResponse, error) {
	data, err := s.handler.Snapshot(ctx, r.NewerThan)
	if err != nil {
		return nil, withCode(err)
	}
	return &controlpb.SnapshotResponse{Snapshot: data}, nil
}

func (s *rpcService) Explain(ctx context.Context, r *controlpb.ExplainRequest) (*controlpb.ExplainResponse, error) {
	if len(r.Query) > MaxQueryBytes {
		return nil, tooLargeError("query", len(r.Query), MaxQueryBytes)
	}
	records, err := s.handler.Explain(ctx, r.Query)
	if err != nil {
		return nil, withCode(err)
	}
	return &controlpb.ExplainResponse{Records: records}, nil
}

func (s *rpcService) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	response, err := s.handler.Status(ctx)
	return response, withCode(err)
}

func tooLargeError(what string, size, limit int) error {
	return withCode(fmt.Errorf("%w: %s of %d bytes, at most %d", ErrInvalid, what, size, limit))
}

func withCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrInvalid):
		return drpcerr.WithCode(err, CodeInvalid)
	}
	return drpcerr.WithCode(err, CodeInternal)
}
