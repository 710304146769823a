package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
)

const (
	// DefaultCallTimeout is the time without any bytes, sent or received, after which a
	// call fails.
	DefaultCallTimeout = 2 * time.Second

	dialTimeout = time.Second
	// At most idleConnections idle connections are kept, each for idleTimeout.
	// Pings go to random nodes, so most connections are not used again soon.
	idleConnections = 32
	idleTimeout     = 10 * time.Second
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Token is the fleet token.
	Token string
	// Meter counts the calls. Default a new one.
	Meter *Meter
	// Timeout is the time without any bytes, sent or received, after which a call fails.
	// A large message on a slow link takes longer as a whole. Default 2s.
	Timeout time.Duration
}

// Client calls other nodes by their control address. It is safe for concurrent
// use.
type Client struct {
	options ClientOptions
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	if o.Meter == nil {
		o.Meter = NewMeter()
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultCallTimeout
	}
	return &Client{options: o, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: idleConnections, KeyCapacity: 1,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// meteredConn counts the bytes of its connection for the called methods.
type meteredConn struct {
	*drpcconn.Conn
	counted *countedConn
	meter   *Meter
}

// Invoke calls one method and counts its bytes.
func (c *meteredConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	c.counted.current.Store(transfer.FromContext(ctx))
	defer c.counted.current.Store(nil)
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	received, sent := c.counted.resetCounts()
	c.meter.add(rpc, received, sent, err)
	return err
}

// dial opens a connection for the pool.
func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	return c.dialMetered(ctx, address)
}

func (c *Client) dialMetered(ctx context.Context, address string) (*meteredConn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn}
	return &meteredConn{counted: counted, meter: c.options.Meter, Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxResponseBytes}},
	})}, nil
}

func call[Req, Resp any](ctx context.Context, c *Client, address string, method func(controlpb.DRPCControlClient, context.Context, Req) (Resp, error), request Req) (Resp, error) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	return invoke(ctx, c.pool.Get(ctx, address, c.dial), address, method, request)
}

// callOnNewConnection is a call that uses no kept connection. One that has gone silent costs
// a call its whole timeout.
func callOnNewConnection[Req, Resp any](ctx context.Context, c *Client, address string, method func(controlpb.DRPCControlClient, context.Context, Req) (Resp, error), request Req) (Resp, error) {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	conn, err := c.dialMetered(ctx, address)
	if err != nil {
		var none Resp
		return none, fmt.Errorf("control: %s: %w", address, err)
	}
	defer func() { _ = conn.Close() }() // the call has ended
	return invoke(ctx, conn, address, method, request)
}

func (c *Client) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	t := transfer.FromContext(ctx)
	if t == nil {
		t = transfer.New("")
		ctx = transfer.NewContext(ctx, t)
	}
	ctx, cancel := t.EndWhenIdle(ctx, c.options.Timeout, c.options.Timeout)
	return drpcmetadata.AddPairs(ctx, map[string]string{tokenKey: c.options.Token}), cancel
}

func invoke[Req, Resp any](ctx context.Context, conn drpc.Conn, address string, method func(controlpb.DRPCControlClient, context.Context, Req) (Resp, error), request Req) (Resp, error) {
	response, err := method(controlpb.NewDRPCControlClient(conn), ctx, request)
	if err != nil {
		return response, fmt.Errorf("control: %s: %w", address, err)
	}
	return response, nil
}

// Method is a call that carries a membership message.
type Method int

// Values of Method.
const (
	MethodExchange Method = iota
	MethodPing
	MethodPingRequest
)

// Exchange sends a membership message and returns the messages of the response.
func (c *Client) Exchange(ctx context.Context, address string, m Method, from string, message []byte) ([][]byte, error) {
	method := controlpb.DRPCControlClient.Exchange
	switch m {
	case MethodPing:
		method = controlpb.DRPCControlClient.Ping
	case MethodPingRequest:
		method = controlpb.DRPCControlClient.PingRequest
	}
	response, err := call(ctx, c, address, method, &controlpb.ExchangeRequest{From: from, Message: message})
	if err != nil {
		return nil, err
	}
	return response.Messages, nil
}

// Configuration sends configuration records to a node, or requests records from
// it, on a connection of its own: a version must be in force everywhere within
// seconds, also after the kept connections have gone silent.
func (c *Client) Configuration(ctx context.Context, address string, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	return callOnNewConnection(ctx, c, address, controlpb.DRPCControlClient.Configuration, r)
}

// errUnknownCall is returned by calls that the program of the peer does not know.
var errUnknownCall = errors.New("the peer does not know this call")

// Document requests the chunks of a node's document on a connection of its own, as
// Configuration does, and passes them on to receive as they arrive. An error of receive
// ends the call.
func (c *Client) Document(ctx context.Context, address string, r *controlpb.DocumentRequest, receive func(*controlpb.DocumentPart) error) error {
	ctx, cancel := c.callContext(ctx)
	defer cancel()
	conn, err := c.dialMetered(ctx, address)
	if err != nil {
		return fmt.Errorf("control: %s: %w", address, err)
	}
	defer func() { _ = conn.Close() }() // the call has ended
	conn.counted.current.Store(transfer.FromContext(ctx))
	err = receiveDocument(ctx, conn, r, receive)
	received, sent := conn.counted.resetCounts()
	c.options.Meter.add("/Document", received, sent, err)
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), transfer.ErrStalled):
		err = transfer.ErrStalled
	case strings.Contains(err.Error(), "unknown rpc"): // drpc sends the text only
		err = errUnknownCall
	}
	return fmt.Errorf("control: %s: %w", address, err)
}

func receiveDocument(ctx context.Context, conn drpc.Conn, r *controlpb.DocumentRequest, receive func(*controlpb.DocumentPart) error) error {
	stream, err := controlpb.NewDRPCControlClient(conn).Document(ctx, r)
	if err != nil {
		return err
	}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := receive(part); err != nil {
			return err
		}
	}
}

// Snapshot requests a snapshot of the configuration state that covers offsets
// above newerThan. It returns nil when the node has none.
func (c *Client) Snapshot(ctx context.Context, address string, newerThan int64) ([]byte, error) {
	response, err := call(ctx, c, address, controlpb.DRPCControlClient.Snapshot, &controlpb.SnapshotRequest{NewerThan: newerThan})
	if err != nil {
		return nil, err
	}
	return response.Snapshot, nil
}

// Explain requests decision records. The query and the records are JSON.
func (c *Client) Explain(ctx context.Context, address string, query []byte) ([]byte, error) {
	response, err := call(ctx, c, address, controlpb.DRPCControlClient.Explain, &controlpb.ExplainRequest{Query: query})
	if err != nil {
		return nil, err
	}
	return response.Records, nil
}

// Status requests the node's identity, versions and state.
func (c *Client) Status(ctx context.Context, address string) (*controlpb.StatusResponse, error) {
	return call(ctx, c, address, controlpb.DRPCControlClient.Status, &controlpb.StatusRequest{})
}
