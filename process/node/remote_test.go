package node

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/version/membership"
)

// referenceShares computes the shares by decoding all reports of a view.
func referenceShares(own map[string]float64, v membership.View) map[string]float64 {
	var otherDemands []map[uint32]float32
	for _, m := range v.Members {
		if m.Node == v.Self || m.State == membership.NodeDead || m.State == membership.NodeLeft {
			continue
		}
		if r, err := decodeReports(m.Node, time.Time{}, m.Reports); err == nil {
			otherDemands = append(otherDemands, r.demand)
		}
	}
	shares := map[string]float64{}
	for service, rate := range own {
		total := rate
		for _, demand := range otherDemands {
			total += float64(demand[serviceHash(service)])
		}
		if total > 0 {
			shares[service] = rate / total
		}
	}
	return shares
}

// Guards against shares that include outdated demand of a node that changed, died
// or disappeared, and against a changed report that is missed or returned twice.
func TestRemoteReportsMatchView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		own := map[string]float64{"s0": 5, "s1": 0, "s2": 0.25}
		r, previousReports := newRemoteReports(), map[string]string{}
		members := map[int]membership.Member{}
		for round := range uint64(30) {
			for range rapid.IntRange(0, 3).Draw(rt, "changes") {
				i := rapid.IntRange(0, 5).Draw(rt, "node")
				m := membership.Member{Node: fmt.Sprint("n", i), State: rapid.SampledFrom([]membership.NodeState{
					membership.NodeAlive, membership.NodeSuspect, membership.NodeDead, membership.NodeLeft}).Draw(rt, "state")}
				demand := map[uint32]float32{}
				for s := range 3 {
					demand[serviceHash(fmt.Sprint("s", s))] = float32(rapid.IntRange(0, 1000).Draw(rt, "rate")) / 10
				}
				m.Reports = encodeReports(reports{demand: demand}, 1024)
				switch rapid.IntRange(0, 5).Draw(rt, "kind") {
				case 0:
					m.Reports = []byte{reportsFormat, partDemand}
				case 1:
					m.Reports = nil
				}
				if members[i] = m; rapid.IntRange(0, 4).Draw(rt, "gone") == 0 {
					delete(members, i)
				}
			}
			v := membership.View{Self: "n0"}
			changes := 0
			currentReports := map[string]string{}
			for i := range 6 {
				m, ok := members[i]
				if !ok {
					continue
				}
				v.Members = append(v.Members, m)
				if m.Node == v.Self || m.State == membership.NodeDead || m.State == membership.NodeLeft {
					continue
				}
				previous, known := previousReports[m.Node]
				if currentReports[m.Node] = string(m.Reports); !known || previous != currentReports[m.Node] {
					changes++
				}
			}
			previousReports = currentReports
			changed, malformed := r.update(time.Time{}, v, round+1)
			if len(changed)+malformed != changes {
				rt.Fatalf("%d changed reports and %d malformed ones, want %d in all", len(changed), malformed, changes)
			}
			got, want := r.shares(own), referenceShares(own, v)
			for service, share := range want {
				if math.Abs(got[service]-share) > 1e-6 {
					rt.Fatalf("share of %s is %g, want %g", service, got[service], share)
				}
			}
			if len(got) != len(want) {
				rt.Fatalf("shares %v, want %v", got, want)
			}
		}
	})
}

// Guards against a rate that is infinite, NaN or negative and makes the sum wrong
// permanently.
func TestInvalidDemandIsIgnored(t *testing.T) {
	r := newRemoteReports()
	for round, rate := range []float32{float32(math.Inf(1)), float32(math.NaN()), -5, 3} {
		m := membership.Member{Node: "n1", State: membership.NodeAlive, Reports: encodeReports(reports{demand: map[uint32]float32{serviceHash("s"): rate}}, 1024)}
		r.update(time.Time{}, membership.View{Self: "n0", Members: []membership.Member{m}}, uint64(round+1))
		want := 1.0
		if rate == 3 {
			want = 0.25
		}
		if got := r.shares(map[string]float64{"s": 1})["s"]; got != want {
			t.Errorf("rate %g: share %g, want %g", rate, got, want)
		}
	}
}
