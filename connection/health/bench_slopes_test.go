package health

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkIdleTick measures one tick, due every 100 ms, over targets without traffic.
func BenchmarkIdleTick(b *testing.B) {
	for _, n := range []int{240, 1200, 3360} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			t, _ := benchTracker(n)
			now := simStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				t.Tick(now)
			}
		})
	}
}

// BenchmarkTrackerHeap measures the heap that a Tracker uses after 10 requests to
// each target, in two classes.
func BenchmarkTrackerHeap(b *testing.B) {
	for _, n := range []int{240, 1200, 3360} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				t, infos := benchTracker(n)
				now := simStart
				for i := range 10 {
					for _, info := range infos {
						t.Observe(now, Evidence{Kind: Finished, Target: info.ID, Node: info.Node, Class: fmt.Sprint("c", i%2), Duration: time.Duration(10+i) * time.Millisecond})
					}
					now = now.Add(100 * time.Millisecond)
					t.Tick(now)
				}
				infos = nil
				b.ReportMetric(float64(heapInUse()-before), "heap-B")
				runtime.KeepAlive(t)
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
