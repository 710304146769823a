package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/hyssopsill/hyssopsill/version/membership"
)

// ErrSuperseded reports that another process runs under this node's name with a
// higher incarnation. This process must end.
var ErrSuperseded = errors.New("another process runs under this node's name")

const (
	// maxCalls bounds the calls of one service in progress. A further call is
	// dropped; the protocols retry it.
	maxCalls = 256
	// maxExchangeBytes bounds the messages in one response; the rest is sent in
	// separate calls.
	maxExchangeBytes = 4 << 20
)

// Gossip runs a Membership over the control service. It is safe for concurrent
// use and a suture service.
type Gossip struct {
	client *Client
	node   string
	calls  *callGroup

	mu         sync.Mutex
	membership *membership.Membership
}

// NewGossip returns the service of one membership. Nothing else may use the
// membership afterwards.
func NewGossip(node string, m *membership.Membership, c *Client) *Gossip {
	return &Gossip{client: c, node: node, membership: m, calls: newCallGroup()}
}

// Serve runs the membership until ctx ends. It returns ErrSuperseded when the
// process must end.
func (g *Gossip) Serve(ctx context.Context) error {
	defer g.calls.open(ctx)()
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		g.mu.Lock()
		outgoing := g.membership.Tick(time.Now())
		superseded := g.membership.Superseded()
		g.mu.Unlock()
		if superseded {
			return fmt.Errorf("membership: %w: %w", ErrSuperseded, suture.ErrDoNotRestart)
		}
		g.dispatch(outgoing)
	}
}

// WithLock calls fn with the lock held, for methods of the membership such as
// SetLocal.
func (g *Gossip) WithLock(fn func(m *membership.Membership)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fn(g.membership)
}

// View returns the current view of the members.
func (g *Gossip) View() membership.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.View()
}

// Exchange implements Handler: it passes a message to the membership and returns
// the messages that respond to it.
func (g *Gossip) Exchange(_ context.Context, from string, data []byte) ([][]byte, error) {
	msg, err := membership.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if msg.From != from {
		return nil, fmt.Errorf("%w: message of %q in a call of %q", ErrInvalid, msg.From, from)
	}
	var responses [][]byte
	var others []membership.OutgoingMessage
	size := 0
	for _, outgoing := range g.receive(msg) {
		if outgoing.To == from && size < maxExchangeBytes {
			response := outgoing.Message.Encode()
			size += len(response)
			responses = append(responses, response)
		} else {
			others = append(others, outgoing)
		}
	}
	g.dispatch(others)
	return responses, nil
}

func (g *Gossip) receive(msg membership.Message) []membership.OutgoingMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.Receive(time.Now(), msg.From, msg)
}

func (g *Gossip) dispatch(outgoing []membership.OutgoingMessage) {
	for _, message := range outgoing {
		if message.Address != "" {
			g.calls.start(func(ctx context.Context) { g.send(ctx, message) })
		}
	}
}

// send sends one message and handles the responses. It reports no failure: the
// membership notices the missing response.
func (g *Gossip) send(ctx context.Context, outgoing membership.OutgoingMessage) {
	method := MethodExchange
	switch outgoing.Message.Kind {
	case membership.KindPing:
		method = MethodPing
	case membership.KindPingReq:
		method = MethodPingRequest
	}
	responses, err := g.client.Exchange(ctx, outgoing.Address, method, g.node, outgoing.Message.Encode())
	if err != nil {
		return
	}
	for _, data := range responses {
		msg, err := membership.Decode(data)
		if err != nil {
			continue
		}
		replies := g.receive(msg)
		for i := range replies {
			if replies[i].Address == "" && replies[i].To == msg.From { // a seed that is no member yet
				replies[i].Address = outgoing.Address
			}
		}
		g.dispatch(replies)
	}
}

// callGroup runs at most maxCalls calls at a time between open and its close
// function.
type callGroup struct {
	slots   chan struct{}
	mu      sync.Mutex
	ctx     context.Context // nil while closed
	running sync.WaitGroup
}

func newCallGroup() *callGroup { return &callGroup{slots: make(chan struct{}, maxCalls)} }

// open lets calls start. The returned function cancels them, waits for them and
// lets no further call start.
func (c *callGroup) open(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	return func() {
		cancel()
		c.mu.Lock()
		c.ctx = nil
		c.mu.Unlock()
		c.running.Wait()
	}
}

// start runs a call in the background. It returns false when the group is closed
// or maxCalls calls are in progress.
func (c *callGroup) start(call func(context.Context)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		return false
	}
	select {
	case c.slots <- struct{}{}:
	default:
		return false
	}
	ctx := c.ctx
	c.running.Go(func() {
		defer func() { <-c.slots }()
		call(ctx)
	})
	return true
}
