package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

const benchServices = 140

// benchView returns a view with 9.24 targets per node, as 7,300 on 790 nodes.
func benchView(nodes int) membership.View {
	v := membership.View{Self: "n0000"}
	for i := range nodes {
		m := membership.Member{Node: fmt.Sprintf("n%04d", i), Region: fmt.Sprintf("r%d", i%3), Domain: fmt.Sprintf("d%d", i%9),
			State: membership.NodeAlive, DataAddress: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), Version: 1,
			Incarnation: attempt.Incarnation{StartedMS: 1, Random: uint64(i)}}
		for j := i * 924 / 100; j < (i+1)*924/100; j++ {
			m.Targets = append(m.Targets, membership.Target{ID: fmt.Sprintf("t%05d", j), Service: fmt.Sprintf("service-%d", j*11%benchServices), Slots: 6})
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func benchEntry(b *testing.B) *Entry {
	r := rand.New(rand.NewPCG(1, 2))
	e := New(Options{
		Node: "n0000", Region: "r0", Domain: "d0", Token: "token",
		HeaderBytes: 32 << 10, BodyBytes: 1 << 20, Now: time.Now, Rand: r, Log: zerolog.Nop(), Reporter: invariant.PanicReporter{},
		LogService: logservice.New(logservice.Options{}),
	})
	b.Cleanup(e.Close)
	return e
}

var benchNodes = []int{100, 400, 790}

// BenchmarkSetView measures SetView with a view equal to the last one, with one in
// which the slots of a target changed, and the heap that the first view needs.
func BenchmarkSetView(b *testing.B) {
	for _, n := range benchNodes {
		b.Run(fmt.Sprintf("same/nodes=%d", n), func(b *testing.B) {
			e := benchEntry(b)
			v := benchView(n)
			e.SetView(v)
			b.ReportAllocs()
			for b.Loop() {
				e.SetView(v)
			}
		})
		b.Run(fmt.Sprintf("changed/nodes=%d", n), func(b *testing.B) {
			e := benchEntry(b)
			v := benchView(n)
			e.SetView(v)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				member := &v.Members[i%n]
				targets := append([]membership.Target(nil), member.Targets...)
				targets[0].Slots = 5 + i%2
				members := append([]membership.Member(nil), v.Members...)
				members[i%n].Targets = targets
				members[i%n].Version++
				v = membership.View{Self: v.Self, Members: members}
				e.SetView(v)
			}
		})
		b.Run(fmt.Sprintf("heap/nodes=%d", n), func(b *testing.B) {
			v := benchView(n)
			for b.Loop() {
				before := heapInUse()
				e := benchEntry(b)
				e.SetView(v)
				b.ReportMetric(float64(heapInUse()-before), "heap-B")
				runtime.KeepAlive(e)
			}
		})
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkProbeScan measures the search for targets to probe when none is suspect.
// Each entry does it every 500 ms.
func BenchmarkProbeScan(b *testing.B) {
	for _, n := range benchNodes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			e := benchEntry(b)
			e.SetView(benchView(n))
			for b.Loop() {
				e.probeWantedTargets(context.Background(), time.Now())
			}
		})
	}
}

// BenchmarkSetConfig measures SetConfig with a fleet of full size.
func BenchmarkSetConfig(b *testing.B) {
	for _, n := range []int{200, 700, 2200} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			e := benchEntry(b)
			e.SetView(benchView(790))
			c := &config.Config{Services: map[string]config.Service{}}
			for i := range benchServices {
				c.Services[fmt.Sprintf("service-%d", i)] = config.Service{Floor: 0.5}
			}
			for i := range n {
				c.Routes = append(c.Routes, config.Route{ID: fmt.Sprint("r", i), PathPrefix: fmt.Sprint("/p", i),
					Service: fmt.Sprintf("service-%d", i%benchServices), Class: "view"})
			}
			b.ReportAllocs()
			for b.Loop() {
				e.SetConfig(c)
			}
		})
	}
}
