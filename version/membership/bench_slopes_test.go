package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkView measures building the view after another node's state changed.
func BenchmarkView(b *testing.B) {
	for _, nodes := range []int{100, 400, 790} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			a := newRunningFleet(15, nodes, 9, Options{}).nodes[0]
			member := a.members[a.names[1]]
			b.ReportAllocs()
			for b.Loop() {
				a.update(member, func(member *memberState) { member.version++ })
				a.View()
			}
		})
	}
}

// BenchmarkLoss measures the traffic per node in the minute after a rack of 30 hosts
// or a failure domain (a ninth of the nodes) fails, or after a region (a third of the
// nodes) is partitioned for the first 30 s.
func BenchmarkLoss(b *testing.B) {
	for _, nodes := range []int{200, 400, 790} {
		regionOf := func(n *fleetNode) byte { return n.self.meta.Domain[0] }
		for name, fail := range map[string]func(f *fleet){
			"none": func(*fleet) {},
			"rack": func(f *fleet) {
				for _, n := range f.nodes[:30] {
					n.stopped = true
				}
			},
			"domain": func(f *fleet) {
				for _, n := range f.nodes {
					n.stopped = n.self.meta.Domain == "a0"
				}
			},
			"link": func(f *fleet) {
				f.partitioned = func(x, y *fleetNode) bool { return (regionOf(x) == 'a') != (regionOf(y) == 'a') }
			},
		} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, nodes), func(b *testing.B) {
				for b.Loop() {
					f := newRunningFleet(16, nodes, 9, Options{})
					f.run(10 * time.Second)
					fail(f)
					total, peak := int64(0), int64(0)
					for second := range 60 {
						if second == 30 {
							f.partitioned = nil
						}
						f.bytes = 0
						f.run(time.Second)
						total, peak = total+f.bytes, max(peak, f.bytes)
					}
					running := 0
					for _, n := range f.nodes {
						if !n.stopped {
							running++
						}
					}
					b.ReportMetric(2*float64(total)/60/float64(running), "bytes/s/node")
					b.ReportMetric(2*float64(peak)/float64(running), "peak-bytes/s/node")
				}
			})
		}
	}
}
