package distribute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// Guards against a change that stays unread while the log serves only three nodes that
// are not ranked as readers.
func TestChangeIsReadWhenReadersAreTurnedAway(t *testing.T) {
	testWithAndWithout(t, Options{noHandover: true}, func(t *testing.T, o Options) bool {
		slowest := time.Duration(0)
		for seed := range uint64(10) {
			s := newSim(seed, 40, o)
			s.append(t, "first")
			s.run(time.Minute)
			served := 0
			for _, n := range s.nodes {
				n.turnedAway = n.IsReader() || served == 3
				if !n.turnedAway {
					served++
				}
			}
			version, publishedAt := s.append(t, "second"), s.now
			for s.run(100 * time.Millisecond); len(s.nodesBehind(version)) > 0 && s.now.Sub(publishedAt) < time.Minute; {
				s.run(100 * time.Millisecond)
			}
			slowest = max(slowest, s.now.Sub(publishedAt))
		}
		t.Logf("slowest of 10 changes in force after %s", slowest)
		return slowest > 5*time.Second
	})
}

// Guards against snapshots that nobody writes while the node ranked first cannot use
// the log.
func TestSnapshotIsWrittenWhenFirstWriterIsTurnedAway(t *testing.T) {
	testWithAndWithout(t, Options{noHandover: true}, func(t *testing.T, o Options) bool {
		o.SnapshotChanges = 5
		s := newSim(4, 12, o)
		s.append(t, "first")
		s.run(time.Minute)
		for _, n := range s.nodes {
			n.turnedAway = n.isSnapshotWriter(s.now)
		}
		for i := range 6 {
			s.append(t, fmt.Sprint("change", i))
			s.run(time.Second)
		}
		s.run(2 * time.Minute)
		page, err := s.log.Read(t.Context(), eventlog.StreamSnapshots, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		return len(page.Records) == 0
	})
}

// fleet returns the nodes of a fleet in equal failure domains.
func fleet(nodes, domains int) []Peer {
	var peers []Peer
	for i := range nodes {
		peers = append(peers, Peer{Node: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains), Access: AccessUsable})
	}
	return peers
}

// Guards against a fleet in which no node that can read has the duty once the reports
// have spread, and against one in which far more nodes than needed have it.
func TestReadersAreNodesThatCanRead(t *testing.T) {
	readers := Readers{Salt: "test", PerDomain: 2, Fleet: 32}
	for _, size := range []struct{ nodes, domains int }{{1, 1}, {24, 4}, {27, 3}, {81, 4}, {234, 6}, {790, 9}} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, uint64(size.nodes)))
			peers := fleet(size.nodes, size.domains)
			share := random.Float64()
			for i := range peers {
				if random.Float64() < share {
					peers[i].Access = AccessLost
				}
			}
			canRead, active, needed := 0, 0, 0
			for _, self := range peers {
				role := readers.Role(self, peers)
				switch {
				case self.Access != AccessLost:
					canRead++
					if role.Reader {
						active++
					}
				case role.Needed:
					needed++
				}
			}
			quota := max(size.nodes/size.domains, 32/size.domains+1)
			if want := min(canRead, 2); active < want || active > quota*size.domains || needed > 2*size.domains {
				t.Errorf("%d nodes, seed %d: %d of %d nodes that can read are readers, %d others retry", size.nodes, seed, active, canRead, needed)
			}
		}
	}
}

// Guards against a fleet without enough watchers among the nodes that can read, and
// against one in which most readers watch, which costs a call a second each.
func TestWatchersAreFew(t *testing.T) {
	readers := Readers{Salt: "test", PerDomain: 2, Fleet: 32, Watchers: 3}
	for _, size := range []struct{ nodes, domains, want int }{{1, 1, 1}, {3, 1, 3}, {3, 3, 3}, {10, 2, 4}, {24, 4, 4}, {81, 4, 4}, {234, 6, 6}} {
		peers := fleet(size.nodes, size.domains)
		watchers := 0
		for _, self := range peers {
			if role := readers.Role(self, peers); role.Watcher && role.Reader {
				watchers++
			}
		}
		if watchers != size.want {
			t.Errorf("%d nodes in %d domains: %d watchers, want %d", size.nodes, size.domains, watchers, size.want)
		}
	}
}

// Guards against a silent reader, such as a paused one, that keeps others from taking
// over.
func TestSilentReadersAreReplaced(t *testing.T) {
	readers := Readers{Salt: "test", PerDomain: 2}
	peers := fleet(10, 1)
	for i := range peers {
		if readers.Role(peers[i], peers).Reader {
			peers[i].Silent = true
		}
	}
	replacements := 0
	for _, self := range peers {
		if !self.Silent && readers.Role(self, peers).Reader {
			replacements++
		}
	}
	if replacements != 2 {
		t.Errorf("%d nodes take over from two silent readers, want 2", replacements)
	}
}
