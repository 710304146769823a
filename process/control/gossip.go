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

// ErrSuperseded: another process runs under this node's name with a higher
// incarnation; this one must end.
var ErrSuperseded = errors.New("another process runs under this node's name")

const (
	// maxCalls bounds the calls of one service under way; a further one is
	// dropped, which the protocols repeat by themselves.
	maxCalls = 256
	// maxAnswerBytes bounds the messages in one answer; the rest is sent in
	// calls of its own.
	maxAnswerBytes = 4 << 20
)

// Gossip runs a Membership over the control service. It is safe for concurrent
// use and a suture service.
type Gossip struct {
	client *Client
	node   string
	calls  *calls

	mu sync.Mutex
	m  *membership.Membership
}

// NewGossip returns the service of one membership, which nothing else may use
// afterwards.
func NewGossip(node string, m *membership.Membership, c *Client) *Gossip {
	return &Gossip{client: c, node: node, m: m, calls: newCalls()}
}

// Serve ticks until ctx ends. It returns ErrSuperseded when the process must
// end.
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
		sends := g.m.Tick(time.Now())
		superseded := g.m.Superseded()
		g.mu.Unlock()
		if superseded {
			return fmt.Errorf("membership: %w: %w", ErrSuperseded, suture.ErrDoNotRestart)
		}
		g.dispatch(sends)
	}
}

// WithLock runs a function on the membership under the lock, such as SetLocal.
func (g *Gossip) WithLock(use func(m *membership.Membership)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	use(g.m)
}

// View returns the members.
func (g *Gossip) View() membership.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.View()
}

// Exchange is the part of Handler for membership messages.
func (g *Gossip) Exchange(_ context.Context, from string, data []byte) ([][]byte, error) {
	msg, err := membership.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if msg.From != from {
		return nil, fmt.Errorf("%w: message of %q in a call of %q", ErrInvalid, msg.From, from)
	}
	var answers [][]byte
	var others []membership.OutgoingMessage
	size := 0
	for _, s := range g.receive(msg) {
		if s.To == from && size < maxAnswerBytes {
			answer := s.Message.Encode()
			size += len(answer)
			answers = append(answers, answer)
		} else {
			others = append(others, s)
		}
	}
	g.dispatch(others)
	return answers, nil
}

func (g *Gossip) receive(msg membership.Message) []membership.OutgoingMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.m.Receive(time.Now(), msg.From, msg)
}

func (g *Gossip) dispatch(sends []membership.OutgoingMessage) {
	for _, s := range sends {
		if s.Address != "" {
			g.calls.start(func(ctx context.Context) { g.send(ctx, s) })
		}
	}
}

// send passes one message and handles the answers. Its failure needs no report:
// the missing answer is what the membership judges.
func (g *Gossip) send(ctx context.Context, s membership.OutgoingMessage) {
	method := MethodExchange
	switch s.Message.Kind {
	case membership.KindPing:
		method = MethodPing
	case membership.KindPingReq:
		method = MethodPingRequest
	}
	answers, err := g.client.Exchange(ctx, s.Address, method, g.node, s.Message.Encode())
	if err != nil {
		return
	}
	for _, data := range answers {
		msg, err := membership.Decode(data)
		if err != nil {
			continue
		}
		sends := g.receive(msg)
		for i := range sends {
			if sends[i].Address == "" && sends[i].To == msg.From { // a seed that is no member yet
				sends[i].Address = s.Address
			}
		}
		g.dispatch(sends)
	}
}

// calls runs a bounded number of calls while a service is open.
type calls struct {
	slots chan struct{}
	mu    sync.Mutex
	ctx   context.Context // nil while closed
	wait  sync.WaitGroup
}

func newCalls() *calls { return &calls{slots: make(chan struct{}, maxCalls)} }

// open lets calls start until the returned function is called, which waits for
// them.
func (c *calls) open(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	return func() {
		cancel()
		c.mu.Lock()
		c.ctx = nil
		c.mu.Unlock()
		c.wait.Wait()
	}
}

func (c *calls) start(call func(context.Context)) bool {
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
	c.wait.Go(func() {
		defer func() { <-c.slots }()
		call(ctx)
	})
	return true
}
