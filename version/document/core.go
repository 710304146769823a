package document

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/chunk"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

const (
	// DefaultFanOut is the number of random peers that respond to a node's announcement of
	// a new document. With 4 random peers the announcements reach 98 of 100 nodes. As
	// each node also announces it to its successor by name, they reach all but about 3 in
	// 10,000, which learn of the version through membership and request it.
	DefaultFanOut = 4
	// MinReaders is the minimum number of nodes in each failure domain that follow
	// the log service.
	MinReaders = 2
	// FleetReaders is the number of nodes in a fleet that follow the log service. Not
	// every node of a larger fleet does, since calls to the service are paid for and
	// each reader gets each document. When the service turns three quarters of the
	// nodes away, it turns all 32 away in 1 of 10,000 cases.
	FleetReaders = 32
	// MinWatchers is the minimum number of nodes in the fleet, one in each failure domain
	// at least, that detect soon that their connection to the log service has gone
	// silent. All connections may go silent at once, also after two nodes have ended.
	MinWatchers = 3
)

// Options of a Core.
type Options struct {
	Node   string // this node, which is never a peer
	Domain string // failure domain of this node
	// Decode returns the configuration of a document, or the reason why the
	// whole document is refused.
	Decode func([]byte) (*config.Config, error)
	// OnConfig is called with each configuration that comes into force, in order
	// of versions.
	OnConfig func(*config.Config)
	// FanOut is the number of random peers that respond to the announcement of a new
	// document. Default DefaultFanOut.
	FanOut int
}

// Outcome is what Core.Put did with a document.
type Outcome string

const (
	InForce  Outcome = "in force" // newer than the one before, which it replaces
	Reissued Outcome = "reissued" // another document of the version in force, which it replaces
	Old      Outcome = "old"      // not newer than the one in force
)

// Source is where a document comes from.
type Source int

const (
	FromLog  Source = iota + 1 // read from the log service
	FromPeer                   // sent by another node
)

// Core holds the document in force. It is not safe for concurrent use.
type Core struct {
	options  Options
	random   *rand.Rand
	reporter invariant.Reporter

	config      *config.Config
	data        []byte
	position    eventlog.Position // from which to follow the log service after the document; zero if unknown
	chunked     *chunkedDocument  // the last document whose chunks are known; nil without one
	refused     int64             // highest version of a peer that Options.Decode refused
	assembly    *assembly         // of a newer document; nil without one
	fetches     map[string]fetch  // transfers in progress, by peer
	peers       []distribute.Peer
	announced   map[string]int64 // by node, the newest version that it announced
	newerSince  time.Time        // when a peer was first known to have a newer document; zero without one
	requests    int              // requests to peers since newerSince
	asked       map[string]bool  // peers that were requested since newerSince and have announced nothing since
	access      distribute.Access
	nextRequest time.Time
}

// New returns a Core without a document.
func New(o Options, random *rand.Rand, reporter invariant.Reporter) *Core {
	if o.FanOut <= 0 {
		o.FanOut = DefaultFanOut
	}
	return &Core{options: o, random: random, reporter: reporter, announced: map[string]int64{}, asked: map[string]bool{}, fetches: map[string]fetch{}}
}

// Arrival tells how the newest document reaches a node.
type Arrival struct {
	NewerSince time.Time // when a peer was first known to have a newer document; zero without one
	Requests   int       // requests to peers for it
}

// Arrival returns what is known of a document that is newer than the one in force.
func (c *Core) Arrival() Arrival { return Arrival{NewerSince: c.newerSince, Requests: c.requests} }

// Version returns the version in force, 0 without one.
func (c *Core) Version() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Outdated reports whether a newer version than the one in force is known: a peer has it,
// or this node has not decoded it yet.
func (c *Core) Outdated() bool {
	newer := func(version int64) bool { return version > max(c.Version(), c.refused) }
	return c.chunked != nil && newer(c.chunked.Version) || slices.ContainsFunc(c.peers, func(p distribute.Peer) bool { return newer(p.Version) })
}

// SetPeers replaces the peers by those that membership reports.
func (c *Core) SetPeers(peers []distribute.Peer) {
	c.peers = slices.DeleteFunc(slices.Clone(peers), func(p distribute.Peer) bool { return p.Node == c.options.Node })
	for i := range c.peers {
		p := &c.peers[i]
		p.Version = max(p.Version, c.announced[p.Node])
	}
}

// Announce records that a peer has announced a version, and returns the peer from which
// to request a newer document now, which may be another one (see NewerPeer).
func (c *Core) Announce(now time.Time, node string, version int64) (distribute.Peer, bool) {
	i := slices.IndexFunc(c.peers, func(p distribute.Peer) bool { return p.Node == node })
	if i < 0 || version <= c.Newest() {
		return distribute.Peer{}, false
	}
	c.announced[node] = max(version, c.announced[node])
	delete(c.asked, node) // it runs
	c.peers[i].Version = max(version, c.peers[i].Version)
	return c.NewerPeer(now)
}

// Readers chooses the nodes that follow the log service.
var Readers = distribute.Readers{Salt: "document reader", PerDomain: MinReaders, Fleet: FleetReaders, Watchers: MinWatchers}

// Role returns whether this node follows the log service.
func (c *Core) Role() distribute.Role {
	return Readers.Role(distribute.Peer{Node: c.options.Node, Domain: c.options.Domain, Access: c.access}, c.peers)
}

// Access returns whether this node can read the log service.
func (c *Core) Access() distribute.Access { return c.access }

// SetAccess records whether this node can read the log service.
func (c *Core) SetAccess(a distribute.Access) { c.access = a }

// Decoded is a valid document.
type Decoded struct {
	config   *config.Config
	data     []byte
	position eventlog.Position
}

// Version returns the version of the document.
func (d Decoded) Version() int64 { return d.config.Version }

// Decode checks a document. The position is the one from which to follow the log service
// after the document, zero if it is not known. Decode may be called while other methods
// run, since it takes long for a large document.
func (c *Core) Decode(data []byte, position eventlog.Position) (Decoded, error) {
	if len(data) > chunk.MaxDocumentBytes {
		return Decoded{}, fmt.Errorf("document of %d bytes, at most %d", len(data), chunk.MaxDocumentBytes)
	}
	next, err := c.options.Decode(data)
	return Decoded{config: next, data: data, position: position}, err
}

// IsInForce reports whether data is the document in force.
func (c *Core) IsInForce(data []byte) bool { return c.config != nil && bytes.Equal(data, c.data) }

// SetPosition notes the position of the document in force, which the log service returned.
func (c *Core) SetPosition(p eventlog.Position) { c.position = p }

// Put puts a document in force if it is newer.
//
// After a restore of the log service from an older copy, an operator may publish
// another document under a version that the service lost. The one in the log service
// replaces the one in force. Nodes take it from the log service only, since peers
// cannot tell which of the two is the later one.
func (c *Core) Put(d Decoded, source Source) Outcome {
	next, outcome := d.config, InForce
	switch {
	case next.Version > c.Version():
	case next.Version == c.Version() && source == FromLog && c.differs(d.data, next):
		outcome = Reissued
	default:
		return Old
	}
	if c.reporter != nil {
		c.reporter.Check(invariant.ConfigForward, next.Version >= c.Version(), "version %d after %d", next.Version, c.Version())
	}
	c.config, c.data, c.position = next, slices.Clone(d.data), d.position
	if c.assembly != nil && c.assembly.Version <= next.Version {
		c.assembly = nil
	}
	c.nextRequest = time.Time{} // the next newer document may be requested at once
	c.forgetNewer()
	maps.DeleteFunc(c.announced, func(_ string, version int64) bool { return version <= next.Version })
	if c.options.OnConfig != nil {
		c.options.OnConfig(next)
	}
	return outcome
}

// differs reports whether a document has another content than the one in force. Two
// encodings of one content do not differ.
func (c *Core) differs(data []byte, decoded *config.Config) bool {
	if bytes.Equal(data, c.data) {
		return false
	}
	current, err := c.options.Decode(c.data) // c.config may have been changed by its users
	return err != nil || !reflect.DeepEqual(decoded, current)
}

// NewerThan returns the document in force and whether it is newer than a version.
func (c *Core) NewerThan(version int64) ([]byte, bool) { return c.data, c.Version() > version }
