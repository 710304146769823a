package document

import (
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/version/distribute"
)

const (
	// requestInterval is the time between requests to peers for a newer document, and the
	// time without progress after which a transfer no longer keeps others from beginning.
	requestInterval = 300 * time.Millisecond
	// slowFetch is the age from which a transfer is supplemented by one from another peer,
	// although it makes progress: the link of its peer may be slow.
	slowFetch = 600 * time.Millisecond
	// maxFetches bounds the transfers in progress.
	maxFetches = 3
	// foreignDelay is the time for which a node waits for a peer of its own failure domain
	// to have a newer document before it requests it from another one. Bytes between
	// failure domains are paid for, and readers in each domain get a document from the log
	// service at about the same time.
	foreignDelay = 200 * time.Millisecond
)

// fetch is a transfer of a newer document from a peer.
type fetch struct{ startedAt, progressAt time.Time }

// BeginFetch notes that a transfer from a peer has begun. It reports whether it should get
// the last chunks first, since another transfer is in progress.
func (c *Core) BeginFetch(now time.Time, node string) (fromEnd bool) {
	fromEnd = len(c.fetches) > 0
	c.fetches[node] = fetch{startedAt: now, progressAt: now}
	return fromEnd
}

// EndFetch notes that a transfer from a peer has ended.
func (c *Core) EndFetch(node string) { delete(c.fetches, node) }

// mayFetch reports whether a transfer may begin beside those that are in progress.
func (c *Core) mayFetch(now time.Time) bool {
	if len(c.fetches) >= maxFetches {
		return false
	}
	for _, f := range c.fetches {
		if now.Sub(f.progressAt) < requestInterval && now.Sub(f.startedAt) < slowFetch {
			return false
		}
	}
	return true
}

// NewerPeer returns a random peer from which to request a newer document, at most
// once each requestInterval, and not while transfers in progress suffice. A peer of another
// failure domain is returned only when no peer of the own domain has a newer document and
// one has been known for foreignDelay, or when those of the own domain were asked: they may
// be lost. Without a document it returns any peer, since the versions known of them may be
// out of date.
func (c *Core) NewerPeer(now time.Time) (distribute.Peer, bool) {
	own, foreign := c.newerPeers()
	if len(own)+len(foreign) == 0 {
		c.forgetNewer()
		return distribute.Peer{}, false
	}
	if c.newerSince.IsZero() {
		c.newerSince = now
	}
	notAsked := func(peers []distribute.Peer) []distribute.Peer {
		return slices.DeleteFunc(slices.Clone(peers), func(p distribute.Peer) bool {
			_, running := c.fetches[p.Node]
			return running || c.asked[p.Node]
		})
	}
	newer := notAsked(own)
	if c.Newest() == 0 || len(newer) == 0 && (len(own) > 0 || now.Sub(c.newerSince) >= foreignDelay) {
		newer = append(newer, notAsked(foreign)...)
	}
	if now.Before(c.nextRequest) || !c.mayFetch(now) {
		return distribute.Peer{}, false
	}
	if len(newer) == 0 {
		clear(c.asked) // the next requests begin with the own domain again
		return distribute.Peer{}, false
	}
	c.nextRequest = now.Add(requestInterval)
	c.requests++
	p := newer[c.random.IntN(len(newer))]
	c.asked[p.Node] = true
	return p, true
}

// newerPeers returns the peers of the own failure domain and of the others that have a
// newer document.
func (c *Core) newerPeers() (own, foreign []distribute.Peer) {
	for _, p := range c.peers {
		switch {
		case p.Version <= c.Newest() && c.Newest() > 0:
		case p.Domain == c.options.Domain:
			own = append(own, p)
		default:
			foreign = append(foreign, p)
		}
	}
	return own, foreign
}

// forgetNewer begins the search for a newer document anew.
func (c *Core) forgetNewer() {
	c.newerSince, c.requests = time.Time{}, 0
	clear(c.asked)
}
