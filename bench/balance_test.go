package bench

import (
	"fmt"
	"testing"
	"time"
)

// Guards against shared loads that leave more requests without a free slot, or send more of
// them out of their failure domain for the same number. Demand per domain swings, and the
// entries know little of the targets from their own responses.
func TestSharedLoadsFindFreeSlots(t *testing.T) {
	t.Parallel()
	run := func(share bool) balanceFigures {
		r := newBalanceRun(97, balanceRate, 1)
		r.useSelectors(share, false)
		r.run()
		return r.figures()
	}
	off, on := run(false), run(true)
	if on.Refused >= off.Refused || on.Remote > off.Remote {
		t.Errorf("without a free slot %.3f, out of the domain %.3f; without shared loads %.3f and %.3f", on.Refused, on.Remote, off.Refused, off.Remote)
	}
	if on.Bytes > 200 || on.RemoteBytes != 0 || off.Bytes != 0 {
		t.Errorf("%.0f bytes per response, %.0f between failure domains, %.0f without shared loads", on.Bytes, on.RemoteBytes, off.Bytes)
	}
}

// BenchmarkBalancePolicies gives the figures of the policies in docs/design/even-load.md, by
// the number of entries and the age of what they know.
func BenchmarkBalancePolicies(b *testing.B) {
	policies := []struct {
		name   string
		choose balancePolicy
	}{
		{"random", func(r *balanceRun, e *balanceEntry) int { return e.members[0][r.rng.IntN(len(e.members[0]))] }},
		{"least-of-all", leastOf(0, 0, 0)},
		{"least-of-2", leastOf(2, 0, 0)},
		{"least-of-2-aged-3s", leastOf(2, 3*time.Second, 0)},
		{"least-of-2-by-speed", leastOf(2, 0, 1)},
		{"least-of-4", leastOf(4, 0, 0)},
		{"hot-cold-1.0", hotCold(1.0)},
		{"hot-cold-1.2", hotCold(1.2)},
		{"drawn-of-2", sampled(2, time.Second)},
		{"drawn-of-4", sampled(4, time.Second)},
		{"drawn-of-all", sampled(0, time.Second)},
	}
	for _, entries := range balanceSizes {
		for _, age := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("entries=%d/age=%s/%s", entries, age, p.name), func(b *testing.B) {
					for b.Loop() {
						r := newBalanceRun(entries, balanceRate, 1)
						r.choose, r.age = p.choose, age
						r.run()
						reportBalance(b, r)
					}
				})
			}
		}
	}
}

// BenchmarkBalanceSharing gives the figures of the selector with and without shared loads, by
// the cost of another failure domain. With within, gates pass loads on only within theirs.
func BenchmarkBalanceSharing(b *testing.B) {
	for _, entries := range balanceSizes {
		for _, rate := range []float64{balanceRate, 4 * balanceRate} {
			for _, cost := range []float64{0.1, 0.2, 0.35, 0.5, 1} {
				for _, variant := range []string{"own", "shared", "within"} {
					b.Run(fmt.Sprintf("entries=%d/rate=%.1f/cost=%.2f/%s", entries, rate, cost, variant), func(b *testing.B) {
						for b.Loop() {
							r := newBalanceRun(entries, rate, 1)
							r.remoteCost = cost
							r.useSelectors(variant != "own", variant == "shared")
							r.run()
							reportBalance(b, r)
						}
					})
				}
			}
		}
	}
}

var balanceSizes = []int{97, 234, 790}

func reportBalance(b *testing.B, r *balanceRun) {
	f := r.figures()
	b.ReportMetric(f.MaxToMean, "max/mean")
	b.ReportMetric(f.DomainRatio, "max/mean-in-domain")
	b.ReportMetric(f.Refused, "refused")
	b.ReportMetric(f.Remote, "remote")
	b.ReportMetric(f.Bytes, "B/response")
	b.ReportMetric(f.RemoteBytes, "remote-B/response")
	b.ReportMetric(0, "ns/op")
}
