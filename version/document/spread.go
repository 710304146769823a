package document

import (
	"slices"

	"github.com/hyssopsill/hyssopsill/version/distribute"
)

// maxAnnouncements bounds the random peers to which a node announces one version, and the
// successors by name, whether or not they respond. Peers that are overloaded respond
// late, and announcements to ever more of them would add to their load.
const maxAnnouncements = 12 * DefaultFanOut

// Spread chooses the peers to which a node announces one version, in rounds. Many peers
// may be lost at once while membership still reports them, so an announcement counts only
// when its peer responds. Each round replaces the peers that did not, and is twice as
// large as the one before, so that a few rounds find the nodes that still run.
type Spread struct {
	version   int64
	factor    int               // peers of a round for each response that is missing
	last      string            // name of the last successor that was chosen
	random    []distribute.Peer // not chosen yet
	missing   map[peerClass]int // responses
	sent      map[peerClass]int // announcements
	chosen    map[string]peerClass
	responses int
}

// peerClass is why a peer was chosen.
type peerClass int

const (
	bySuccession peerClass = iota + 1 // it follows this node, or lost ones after it, by name
	atRandom
)

// NewSpread returns the announcements of the newest document: to the successor of this
// node by name and to random peers.
func (c *Core) NewSpread() *Spread {
	s := &Spread{
		version: c.Newest(), factor: 1, last: c.options.Node, sent: map[peerClass]int{}, chosen: map[string]peerClass{},
		missing: map[peerClass]int{bySuccession: 1, atRandom: c.options.FanOut},
	}
	var silent []distribute.Peer // tried last
	for _, i := range c.random.Perm(len(c.peers)) {
		if p := c.peers[i]; p.Silent {
			silent = append(silent, p)
		} else {
			s.random = append(s.random, p)
		}
	}
	s.random = append(s.random, silent...)
	return s
}

// NextRound returns the peers to which to announce the version now. There are none when
// enough of the earlier ones responded, or this node has a newer version.
func (c *Core) NextRound(s *Spread) []distribute.Peer {
	if c.Newest() != s.version {
		return nil
	}
	var out []distribute.Peer
	choose := func(p distribute.Peer, class peerClass) {
		s.sent[class]++
		s.chosen[p.Node] = class
		out = append(out, p)
	}
	for n := s.roundSize(bySuccession); n > 0; n-- {
		p, ok := c.nextByName(s.last)
		if !ok {
			break
		}
		s.last = p.Node
		if p.Version >= s.version {
			s.missing[bySuccession] = 0
			break
		}
		if s.chosen[p.Node] == 0 {
			choose(p, bySuccession)
		}
	}
	for n := s.roundSize(atRandom); n > 0 && len(s.random) > 0; s.random = s.random[1:] {
		i := slices.IndexFunc(c.peers, func(p distribute.Peer) bool { return p.Node == s.random[0].Node })
		if i < 0 || c.peers[i].Version >= s.version || s.chosen[c.peers[i].Node] != 0 {
			continue
		}
		choose(c.peers[i], atRandom)
		n--
	}
	s.factor *= 2
	return out
}

// roundSize returns the number of peers of a class in the next round.
func (s *Spread) roundSize(class peerClass) int {
	return min(s.missing[class]*s.factor, maxAnnouncements-s.sent[class])
}

// nextByName returns the peer whose name follows the given one, the first by name after
// the last. It passes over peers that do not respond, and ends at this node.
func (c *Core) nextByName(name string) (distribute.Peer, bool) {
	var next distribute.Peer
	for _, p := range c.peers {
		if !p.Silent && p.Node != name && (next.Node == "" || precedes(name, p.Node, next.Node)) {
			next = p
		}
	}
	return next, next.Node != "" && (name == c.options.Node || precedes(name, next.Node, c.options.Node))
}

// precedes reports whether name a comes before b when one counts from a start, with the
// first name after the last one.
func precedes(start, a, b string) bool {
	if afterStart := a > start; afterStart != (b > start) {
		return afterStart
	}
	return a < b
}

// Responded notes that a peer has responded to its announcement.
func (s *Spread) Responded(node string) {
	s.responses++
	if class := s.chosen[node]; s.missing[class] > 0 {
		s.missing[class]--
	}
}

// Responses returns the number of peers that have responded.
func (s *Spread) Responses() int { return s.responses }
