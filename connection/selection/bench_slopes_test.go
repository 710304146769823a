package selection

import (
	"fmt"
	"testing"
)

// BenchmarkGatesPerEntry counts the gates and targets to which one entry sends
// requests, over the subsets of 140 services.
func BenchmarkGatesPerEntry(b *testing.B) {
	for _, n := range []int{1000, 3000, 7300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			list := candidates(n, 9)
			for i := range list {
				list[i].Service = fmt.Sprint("service", i%140)
			}
			for b.Loop() {
				s := newSelector(Options{}, list)
				gates, targets := map[string]bool{}, 0
				for service := range s.services {
					for _, c := range s.Subset(service) {
						gates[c.Node] = true
						targets++
					}
				}
				b.ReportMetric(float64(len(gates)), "gates/entry")
				b.ReportMetric(float64(targets), "targets/entry")
			}
		})
	}
}
