package membership

import (
	"fmt"
	"testing"
	"time"
)

const (
	budgetBytesPerSecond = 10_000 // of a node, sent and received
	replacementsPerDay   = 1800.0 // at 790 nodes
	fullNodes            = 790
	targetsPerNode       = 9.24 // 7,300 targets on 790 nodes
)

// measureTraffic runs a fleet in which nodes are replaced and all reports change each
// second. It returns the bytes/s per node, sent and received.
func measureTraffic(tb testing.TB, nodes int, d time.Duration) float64 {
	f := newRunningFleet(uint64(nodes), nodes, 9, Options{})
	for i := range int(float64(nodes) * (targetsPerNode - 9)) {
		n := f.nodes[i]
		extra := n.local.Targets[0]
		extra.ID += "x"
		n.local.Targets = append(n.local.Targets, extra)
	}
	f.joinWithoutTraffic()
	f.run(10 * time.Second) // lets queues settle and timers spread
	f.bytes, f.byKind = 0, [KindDeltas + 1]int64{}
	interval := time.Duration(24 * float64(time.Hour) / replacementsPerDay * fullNodes / float64(nodes))
	interval = min(interval, 10*time.Second) // more often than in production, so that a short run has some replacements
	next := f.now.Add(interval / 2)
	var drained *fleetNode
	replacedCount := 0
	for second := range int(d.Seconds()) {
		for i, n := range f.nodes {
			if n.stopped {
				continue
			}
			n.local.Reports = fmt.Appendf(nil, "%060d", second*len(f.nodes)+i)
			n.SetLocal(f.now, n.local)
		}
		if drained != nil {
			drained.stopped = true
			f.start(drained.self.node+"r", drained.self.meta.Domain, 9)
			drained, replacedCount = nil, replacedCount+1
		}
		if !f.now.Before(next) {
			next = next.Add(interval)
			drained = f.nodes[f.random.IntN(nodes)]
			if drained.stopped {
				drained = nil
				next = f.now
				continue
			}
			drained.local.Leaving, drained.local.Left = true, replacedCount%3 == 0 // a third leave gracefully, the others end while leaving
			drained.SetLocal(f.now, drained.local)
		}
		f.run(time.Second)
	}
	if replacedCount == 0 {
		tb.Fatal("no node was replaced")
	}
	perNode := 2 * float64(f.bytes) / d.Seconds() / float64(nodes)
	tb.Logf("%d nodes: %.0f bytes/s per node, %d replaced in %s; payload by kind of message %d", nodes, perNode, replacedCount, d, f.byKind)
	return perNode
}

// Guards against control traffic of a large fleet beyond the budget of a node. Each
// byte is counted at the sender and at the receiver.
func TestTrafficStaysWithinBudget(t *testing.T) {
	for _, nodes := range []int{100, 400, fullNodes} {
		if got := measureTraffic(t, nodes, trafficTime); got > budgetBytesPerSecond {
			t.Errorf("%d nodes: %.0f bytes/s per node, budget %d", nodes, got, budgetBytesPerSecond)
		}
	}
}

func BenchmarkTraffic(b *testing.B) {
	for _, nodes := range []int{100, 400, fullNodes} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(measureTraffic(b, nodes, time.Minute), "bytes/s/node")
			}
		})
	}
}
