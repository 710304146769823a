package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

func benchTracker(targets int) (*Tracker, []TargetInfo) {
	t := New(Options{}, invariant.PanicReporter{})
	var infos []TargetInfo
	for i := range targets {
		infos = append(infos, TargetInfo{ID: fmt.Sprintf("t%05d", i), Node: fmt.Sprintf("n%04d", i%790),
			Domain: fmt.Sprintf("d%d", i%9), Service: fmt.Sprintf("s%03d", i/24), Floor: 0.5})
	}
	t.SetTargets(simStart, infos)
	return t, infos
}

// BenchmarkObserve measures the observations of one request: its start and its end.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{24, 240, 3360} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			t, infos := benchTracker(n)
			now := simStart
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				info := infos[i%n]
				e := Evidence{Kind: Started, Target: info.ID, Node: info.Node, Class: "web", Attempt: uint64(i), ConnectedAt: simStart}
				t.Observe(now, e)
				e.Kind, e.Duration = Finished, 10*time.Millisecond
				t.Observe(now, e)
				if i%20 == 19 { // 200 requests/s
					now = now.Add(100 * time.Millisecond)
					b.StopTimer()
					t.Tick(now)
					b.StartTimer()
				}
			}
		})
	}
}

// BenchmarkTick measures a tick after 20 requests, the number per tick at 200/s.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{24, 240, 3360} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			t, infos := benchTracker(n)
			now := simStart
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				for j := range 20 {
					info := infos[(i*20+j)*7%n]
					t.Observe(now, Evidence{Kind: Finished, Target: info.ID, Node: info.Node, Class: "web", Duration: 10 * time.Millisecond})
				}
				now = now.Add(100 * time.Millisecond)
				b.StartTimer()
				t.Tick(now)
			}
		})
	}
}
