package document

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

var errMalformed = errors.New("broken")

// decode reads a document that consists of its version in decimal digits and, after
// a space, the name of the customer header.
func decode(data []byte) (*config.Config, error) {
	digits, header, _ := strings.Cut(string(data), " ")
	version, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return nil, errMalformed
	}
	return &config.Config{Version: version, CustomerHeader: strings.TrimSpace(header)}, nil
}

const Refused Outcome = "refused" // Options.Decode returned an error

// Offer decodes a document and puts it in force if it is valid and newer.
func (c *Core) Offer(data []byte, source Source) (Outcome, error) {
	d, err := c.Decode(data, eventlog.Position{})
	if err != nil {
		return Refused, err
	}
	return c.Put(d, source), nil
}

func newCore(onConfig func(*config.Config)) *Core {
	return New(Options{Node: "n0", Decode: decode, OnConfig: onConfig}, rand.New(rand.NewPCG(1, 2)), nil)
}

// Guards against a node on which an older, repeated or malformed document replaces
// the one in force.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var inForce []int64
		c := newCore(func(c *config.Config) { inForce = append(inForce, c.Version) })
		highest := int64(0)
		for _, v := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
			outcome, err := c.Offer([]byte(strconv.FormatInt(v, 10)), FromPeer)
			if err != nil || (outcome == InForce) != (v > highest) {
				t.Fatalf("version %d after %d: %s, %v", v, highest, outcome, err)
			}
			highest = max(highest, v)
			if outcome, err := c.Offer([]byte("no number"), FromLog); outcome != Refused || !errors.Is(err, errMalformed) {
				t.Fatalf("malformed document: %s, %v", outcome, err)
			}
			if c.Version() != highest {
				t.Fatalf("version %d in force, want %d", c.Version(), highest)
			}
		}
		for i := 1; i < len(inForce); i++ {
			if inForce[i] <= inForce[i-1] {
				t.Fatalf("versions in force: %v", inForce)
			}
		}
	})
}

// Guards against nodes that stay on different documents when the operator publishes
// another one under a version that the log service lost.
func TestDocumentReplacesLostOneOfSameVersion(t *testing.T) {
	var inForce []string
	c := newCore(func(c *config.Config) { inForce = append(inForce, c.CustomerHeader) })
	for _, step := range []struct {
		data   string
		source Source
		want   Outcome
	}{
		{"7 a", FromLog, InForce},
		{"7  a", FromLog, Old}, // another encoding of the same content
		{"7 b", FromPeer, Old}, // a peer's may be the lost one
		{"6 c", FromLog, Old},
		{"7 b", FromLog, Reissued},
		{"7 b", FromLog, Old},
	} {
		if outcome, err := c.Offer([]byte(step.data), step.source); outcome != step.want || err != nil {
			t.Errorf("document %q: %s, %v, want %s", step.data, outcome, err, step.want)
		}
	}
	if want := []string{"a", "b"}; !slices.Equal(inForce, want) {
		t.Errorf("documents in force: %v, want %v", inForce, want)
	}
}

// Guards against a node that stays on an old document when it can't read the log
// service and no peer announces a new one: it must request one from a peer with a
// newer version (from any peer while it has no document), and not too often. Also
// guards against announcing to a peer that has the version.
func TestNewerPeerAndFirstAnnouncements(t *testing.T) {
	c := newCore(nil)
	now := time.Unix(0, 0)
	if _, ok := c.NewerPeer(now); ok {
		t.Fatal("requests from a peer without knowing one")
	}
	c.SetPeers([]distribute.Peer{{Node: "n0"}, {Node: "n1", Version: 0}})
	if p, ok := c.NewerPeer(now); !ok || p.Node != "n1" {
		t.Fatalf("a node without a document requests from %+v, %v", p, ok)
	}
	if _, ok := c.NewerPeer(now.Add(requestInterval / 2)); ok {
		t.Fatal("requests again at once")
	}
	if _, err := c.Offer([]byte("5"), FromPeer); err != nil {
		t.Fatal(err)
	}
	c.SetPeers([]distribute.Peer{{Node: "n1", Version: 5}, {Node: "n2", Version: 4}})
	if _, ok := c.NewerPeer(now.Add(time.Minute)); ok {
		t.Fatal("requests from a peer without a newer version")
	}
	if peers := c.NextRound(c.NewSpread()); len(peers) != 1 || peers[0].Node != "n2" {
		t.Fatalf("announces to %+v, want the peer with an older version", peers)
	}
	c.SetPeers([]distribute.Peer{{Node: "n1", Version: 6}})
	if p, ok := c.NewerPeer(now.Add(time.Minute)); !ok || p.Node != "n1" {
		t.Fatalf("requests from %+v, %v", p, ok)
	}
	if data, newer := c.NewerThan(4); !newer || string(data) != "5" {
		t.Fatalf("newer than 4: %s, %v", data, newer)
	}
	if _, newer := c.NewerThan(5); newer {
		t.Fatal("newer than the version in force")
	}
}

// Guards against announcements that reach only part of the nodes. The others learn
// of the version through membership, which takes seconds in a large fleet.
func TestPushReachesNearlyAllNodes(t *testing.T) {
	const nodes, seeds = 900, 20
	missed := 0
	for seed := range uint64(seeds) {
		peers := make([]distribute.Peer, nodes)
		cores := map[string]*Core{}
		for i := range peers {
			peers[i] = distribute.Peer{Node: "n" + strconv.Itoa(i)}
		}
		for i, p := range peers {
			c := New(Options{Node: p.Node, Decode: decode}, rand.New(rand.NewPCG(seed, uint64(i))), nil)
			c.SetPeers(peers)
			cores[p.Node] = c
		}
		for queue := []string{"n0"}; len(queue) > 0; queue = queue[1:] {
			c := cores[queue[0]]
			if outcome, _ := c.Offer([]byte("7"), FromPeer); outcome == InForce {
				for _, p := range c.NextRound(c.NewSpread()) {
					queue = append(queue, p.Node)
				}
			}
		}
		for _, c := range cores {
			if c.Version() != 7 {
				missed++
			}
		}
	}
	if maxMissed := nodes * seeds * 3 / 1000; missed > maxMissed {
		t.Errorf("%d of %d nodes missed, want at most %d", missed, nodes*seeds, maxMissed)
	}
}

// Guards against a node that asks the same lost peers of its failure domain for a newer
// document again and again, although others have announced it.
func TestLostPeersAreNotAskedAgainBeforeOthers(t *testing.T) {
	c := New(Options{Node: "n0", Domain: "d0", Decode: decode}, rand.New(rand.NewPCG(1, 2)), nil)
	if _, err := c.Offer([]byte("5"), FromLog); err != nil {
		t.Fatal(err)
	}
	c.SetPeers([]distribute.Peer{{Node: "lost1", Domain: "d0", Version: 6}, {Node: "lost2", Domain: "d0", Version: 6}, {Node: "runs", Domain: "d1", Version: 6}})
	now := time.Unix(0, 0)
	asked := map[string]int{}
	for range 3 {
		if p, ok := c.NewerPeer(now); ok {
			asked[p.Node]++
		}
		now = now.Add(requestInterval)
	}
	if asked["lost1"] != 1 || asked["lost2"] != 1 || asked["runs"] != 1 {
		t.Fatalf("three requests went to %v, want one to each peer", asked)
	}
	if p, ok := c.Announce(now, "lost2", 6); !ok || p.Node != "lost2" {
		t.Errorf("after its announcement the request goes to %+v, %v, want lost2, which runs again", p, ok)
	}
}
