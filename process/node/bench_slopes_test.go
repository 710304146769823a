package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/version/membership"
)

// BenchmarkReports applies a view in which one report changed and computes this
// node's shares of 140 services. Each report has the demand for 100 services. As
// a reference, "all" decodes all reports; "changed" decodes the changed one only.
func BenchmarkReports(b *testing.B) {
	own := map[string]float64{}
	for i := range 140 {
		own[fmt.Sprintf("service-%d", i)] = float64(i + 1)
	}
	report := func(i int) []byte {
		r := reports{demand: map[uint32]float32{}}
		for s := range 100 {
			r.demand[serviceHash(fmt.Sprintf("service-%d", s))] = float32(1 + i%7 + s)
		}
		return encodeReports(r, membership.MaxReports)
	}
	for _, n := range []int{100, 400, 789} {
		v := membership.View{Self: "self"}
		for i := range n {
			v.Members = append(v.Members, membership.Member{Node: fmt.Sprintf("n%03d", i), State: membership.NodeAlive, Reports: report(i)})
		}
		b.Run(fmt.Sprintf("all/peers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				referenceShares(own, v)
			}
		})
		b.Run(fmt.Sprintf("changed/peers=%d", n), func(b *testing.B) {
			r := newRemoteReports()
			r.update(time.Time{}, v, 1)
			next := [][]byte{report(1), report(2)}
			b.ReportAllocs()
			for i := 2; b.Loop(); i++ {
				v.Members[i%n].Reports = next[i/n%2]
				r.update(time.Time{}, v, uint64(i))
				r.shares(own)
			}
		})
	}
}
