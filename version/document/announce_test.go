package document

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/version/chunk"
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

// delivery is an event of a fleet in virtual time.
type delivery struct {
	at  time.Time
	run func(now time.Time)
}

// documentFleet distributes one document by announcements.
type documentFleet struct {
	random          *rand.Rand
	nodes           []string
	cores           map[string]*Core
	peers           map[string]distribute.Peer
	events          []delivery
	lossRate        float64 // of messages
	copies, foreign int     // documents that were sent, and those between failure domains
	inForceAt       map[string]time.Time
}

func newDocumentFleet(nodes, domains int, lossRate float64) *documentFleet {
	f := &documentFleet{random: rand.New(rand.NewPCG(5, 6)), cores: map[string]*Core{}, peers: map[string]distribute.Peer{},
		lossRate: lossRate, inForceAt: map[string]time.Time{}}
	var peers []distribute.Peer
	for i := range nodes {
		p := distribute.Peer{Node: fmt.Sprintf("n%d-%d", i%domains, i/domains), Domain: strconv.Itoa(i % domains), Version: 1}
		peers = append(peers, p)
		f.peers[p.Node] = p
		f.nodes = append(f.nodes, p.Node)
	}
	for i, p := range peers {
		c := New(Options{Node: p.Node, Domain: p.Domain, Decode: decode}, rand.New(rand.NewPCG(7, uint64(i))), nil)
		_, _ = c.Offer([]byte("1"), FromLog) // always decodes
		c.SetPeers(peers)
		f.cores[p.Node] = c
	}
	return f
}

// send runs fn after the delay between two nodes unless the message is lost.
func (f *documentFleet) send(now time.Time, from, to string, fn func(now time.Time)) {
	delay := 2 * time.Millisecond
	if f.peers[from].Domain != f.peers[to].Domain {
		delay = 5 * time.Millisecond
	}
	if f.random.Float64() >= f.lossRate {
		f.events = append(f.events, delivery{now.Add(delay), fn})
	}
}

func (f *documentFleet) offer(now time.Time, node, data string) {
	c := f.cores[node]
	if outcome, _ := c.Offer([]byte(data), FromPeer); outcome != InForce {
		return
	}
	f.inForceAt[node] = now
	version := c.Version()
	for _, p := range c.NextRound(c.NewSpread()) {
		f.send(now, node, p.Node, func(now time.Time) {
			if from, ok := f.cores[p.Node].Announce(now, node, version); ok {
				f.fetch(now, p.Node, from.Node)
			}
		})
	}
}

func (f *documentFleet) fetch(now time.Time, node, from string) {
	f.send(now, node, from, func(now time.Time) {
		data, newer := f.cores[from].NewerThan(1)
		if !newer {
			return
		}
		f.copies++
		if f.peers[node].Domain != f.peers[from].Domain {
			f.foreign++
		}
		f.send(now, from, node, func(now time.Time) { f.offer(now, node, string(data)) })
	})
}

// gossip tells all nodes which versions the others have, as membership does within about
// a second.
func (f *documentFleet) gossip() {
	var peers []distribute.Peer
	for _, node := range f.nodes {
		p := f.peers[node]
		p.Version = f.cores[node].Version()
		peers = append(peers, p)
	}
	for _, c := range f.cores {
		c.SetPeers(peers)
	}
}

// run gives document 2 to a third of the nodes, and stops after two seconds.
func (f *documentFleet) run(start time.Time) {
	for _, node := range f.nodes {
		if f.random.Float64() < 1.0/3 {
			f.events = append(f.events, delivery{start.Add(time.Duration(f.random.Int64N(int64(20 * time.Millisecond)))), func(now time.Time) { f.offer(now, node, "2") }})
		}
		for tick := start; tick.Before(start.Add(2 * time.Second)); tick = tick.Add(100 * time.Millisecond) {
			f.events = append(f.events, delivery{tick, func(now time.Time) {
				if p, ok := f.cores[node].NewerPeer(now); ok {
					f.fetch(now, node, p.Node)
				}
			}})
		}
	}
	f.events = append(f.events, delivery{start.Add(time.Second), func(time.Time) { f.gossip() }})
	for len(f.events) > 0 {
		next := 0
		for i, e := range f.events {
			if e.at.Before(f.events[next].at) {
				next = i
			}
		}
		event := f.events[next]
		f.events = slices.Delete(f.events, next, next+1)
		event.run(event.at)
	}
}

// Guards against documents that each node gets from several peers, mostly of other
// failure domains: in a fleet of 108 nodes with documents of 20 KB that was two thirds of
// the bytes between failure domains. Also guards against a saving that leaves nodes
// without the document when messages are lost.
func TestAnnouncementsSaveCopies(t *testing.T) {
	for _, lossRate := range []float64{0, 0.1} {
		f := newDocumentFleet(108, 3, lossRate)
		start := time.Unix(100, 0)
		f.run(start)
		missing, last := 0, time.Duration(0)
		for node, c := range f.cores {
			if c.Version() != 2 {
				missing++
			}
			last = max(last, f.inForceAt[node].Sub(start))
		}
		t.Logf("loss rate %.1f: %d copies, %d between failure domains; %d nodes without it, the last after %s", lossRate, f.copies, f.foreign, missing, last)
		if f.copies > 108 || f.foreign > 10 || missing > 0 {
			t.Errorf("loss rate %.1f: %d copies, want at most one for each of 108 nodes; %d between failure domains, want at most 10; %d nodes without it", lossRate, f.copies, f.foreign, missing)
		}
	}
}

// Guards against a node that takes its configuration for the newest one while a peer has a
// newer one, and against one that never does so after it refused a document.
func TestOutdatedUntilNewestIsInForce(t *testing.T) {
	c := newCore(nil)
	offer := func(data string) {
		if _, err := c.Offer([]byte(data), FromPeer); err != nil {
			t.Fatal(err)
		}
	}
	offer("5")
	c.SetPeers([]distribute.Peer{{Node: "n1", Version: 5}})
	if c.Outdated() {
		t.Error("outdated with the version of all peers")
	}
	c.SetPeers([]distribute.Peer{{Node: "n1", Version: 6}})
	if !c.Outdated() {
		t.Error("not outdated although a peer has version 6")
	}
	offer("6")
	if c.Outdated() {
		t.Error("outdated with version 6 in force")
	}
	c.SetPeers([]distribute.Peer{{Node: "n1", Version: 7}})
	c.RefuseChunks(7)
	if _, ok := c.NewerPeer(time.Unix(1, 0)); ok || c.Outdated() {
		t.Error("requests version 7 again although its document was refused")
	}
}

// Guards against a document above the limit that is passed on or decoded.
func TestTooLargeDocumentIsRefused(t *testing.T) {
	c := newCore(nil)
	outcome, err := c.Offer(append([]byte("5 "), make([]byte, chunk.MaxDocumentBytes)...), FromLog)
	if outcome != Refused || err == nil || !strings.Contains(err.Error(), "at most 2097152") || c.Version() != 0 {
		t.Errorf("%s, %v, version %d, want a refusal that names the limit", outcome, err, c.Version())
	}
}
