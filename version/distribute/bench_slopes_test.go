package distribute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
)

// BenchmarkIdleTick measures a tick without new records, due every 100 ms, and
// SetPeers, which the service calls before each tick.
func BenchmarkIdleTick(b *testing.B) {
	for _, n := range []int{100, 400, 789} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			var peers []Peer
			for i := range n {
				peers = append(peers, Peer{Node: fmt.Sprintf("node-%03d", i), Domain: fmt.Sprintf("%c%d", 'a'+i%3, i/3%3), Address: "10.0.0.1:7200"})
			}
			c := New(Options{Node: "self", Domain: "a0"}, rand.New(rand.NewPCG(1, 1)), &violations{})
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				c.SetPeers(peers)
				for _, a := range c.Tick(now) {
					if a.Kind == ReadSnapshot {
						c.SnapshotRead(now, nil, nil)
					}
					c.LogRead(now, eventlog.Page{First: 1, Next: 1}, nil)
				}
			}
		})
	}
}

// BenchmarkChangeEverywhere measures the virtual time until one change is in force
// on all nodes.
func BenchmarkChangeEverywhere(b *testing.B) {
	for _, n := range []int{100, 400, 790} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(1, n, Options{})
				s.run(3 * time.Second)
				version := s.append(b, "one")
				startedAt := s.now
				for len(s.nodesBehind(version)) > 0 {
					if s.run(100 * time.Millisecond); s.now.Sub(startedAt) > time.Minute {
						b.Fatalf("%d nodes behind", len(s.nodesBehind(version)))
					}
				}
				b.ReportMetric(s.now.Sub(startedAt).Seconds(), "s/change")
			}
		})
	}
}
