package document

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

const (
	// DefaultFanOut is the number of random peers to which a node passes a new
	// document on. With 4 it reaches 98 of 100 nodes, and with the successor of
	// each node all but about 3 in 10,000, which learn of the version by membership
	// and ask.
	DefaultFanOut = 4
	// DefaultReaders follow the log service in each failure domain. Calls to it
	// are paid for, so that not every node follows it.
	DefaultReaders = 2
	// askEvery is the time between questions to peers that hold a newer version.
	askEvery = 300 * time.Millisecond
)

// Options of a Core.
type Options struct {
	Node   string // this node, to which nothing is passed on
	Domain string // failure domain of this node
	// Decode returns the configuration of a document, or the reason why the
	// whole document is refused.
	Decode func([]byte) (*config.Config, error)
	// OnConfig receives each configuration that comes into force, in order of
	// versions.
	OnConfig func(*config.Config)
	// FanOut is the number of peers to which a new document is passed on.
	// Default DefaultFanOut.
	FanOut int
}

// Outcome is what became of an offered document.
type Outcome string

const (
	InForce Outcome = "in force" // newer than the one before
	Old     Outcome = "old"      // not newer than the one in force
	Refused Outcome = "refused"  // invalid
)

// Core holds the document in force. It is not safe for concurrent use.
type Core struct {
	options  Options
	random   *rand.Rand
	reporter invariant.Reporter

	config  *config.Config
	data    []byte
	peers   []distribute.Peer
	nextAsk time.Time
}

// New returns a core without a document.
func New(o Options, r *rand.Rand, rep invariant.Reporter) *Core {
	if o.FanOut <= 0 {
		o.FanOut = DefaultFanOut
	}
	return &Core{options: o, random: r, reporter: rep}
}

// Version returns the version in force, 0 without one.
func (c *Core) Version() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// SetPeers replaces the peers, as membership sees them.
func (c *Core) SetPeers(peers []distribute.Peer) {
	c.peers = slices.DeleteFunc(slices.Clone(peers), func(p distribute.Peer) bool { return p.Node == c.options.Node })
}

// IsReader reports whether this node follows the log service for its failure
// domain.
func (c *Core) IsReader() bool {
	same := func(p distribute.Peer) bool { return p.Domain == c.options.Domain }
	return distribute.Rank("document reader", c.options.Node, c.peers, same) < DefaultReaders
}

// Offer takes a document that was read from the log service or sent by a peer.
// The error tells why a document was refused.
func (c *Core) Offer(data []byte) (Outcome, error) {
	next, err := c.options.Decode(data)
	if err != nil {
		return Refused, err
	}
	if next.Version <= c.Version() {
		return Old, nil
	}
	if c.reporter != nil {
		c.reporter.Check(invariant.ConfigForward, next.Version > c.Version(), "version %d after %d", next.Version, c.Version())
	}
	c.config, c.data = next, slices.Clone(data)
	if c.options.OnConfig != nil {
		c.options.OnConfig(next)
	}
	return InForce, nil
}

// NewerThan returns the document in force when its version is above one.
func (c *Core) NewerThan(than int64) ([]byte, bool) { return c.data, c.Version() > than }

// PushPeers returns the peers to which the document in force is passed on: random
// ones, and the next one by name.
func (c *Core) PushPeers() []distribute.Peer {
	var out []distribute.Peer
	next := c.successor()
	if next >= 0 && c.peers[next].Version < c.Version() {
		out = append(out, c.peers[next])
	}
	most := len(out) + c.options.FanOut
	for _, i := range c.random.Perm(len(c.peers)) {
		if len(out) == most {
			break
		}
		if i != next && c.peers[i].Version < c.Version() {
			out = append(out, c.peers[i])
		}
	}
	return out
}

// successor is the index of the next peer by name, of the first after the last,
// and -1 without peers.
func (c *Core) successor() int {
	next, first := -1, -1
	for i, p := range c.peers {
		if first < 0 || p.Node < c.peers[first].Node {
			first = i
		}
		if p.Node > c.options.Node && (next < 0 || p.Node < c.peers[next].Node) {
			next = i
		}
	}
	if next < 0 {
		return first
	}
	return next
}

// NewerPeer returns a random peer that holds a newer version, at most once each
// askEvery. A node without a document asks any peer, since what it knows of
// their versions may be old.
func (c *Core) NewerPeer(now time.Time) (distribute.Peer, bool) {
	if now.Before(c.nextAsk) {
		return distribute.Peer{}, false
	}
	var ahead []distribute.Peer
	for _, p := range c.peers {
		if p.Version > c.Version() || c.config == nil {
			ahead = append(ahead, p)
		}
	}
	if len(ahead) == 0 {
		return distribute.Peer{}, false
	}
	c.nextAsk = now.Add(askEvery)
	return ahead[c.random.IntN(len(ahead))], true
}
