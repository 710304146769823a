package poison

import (
	"fmt"
	"testing"
	"time"
)

// benchTracker returns a Tracker with suspects known from other nodes, and with running
// digests that are not suspect.
func benchTracker(suspects, running int) *Tracker {
	t := New(Options{Node: "n0"})
	for i := range suspects {
		t.Merge(epoch, []Report{{Node: fmt.Sprint("n", 1+i%30), Digest: RequestDigest(1<<32 + i),
			Crashes: []CrashRecord{{Target: fmt.Sprint("t", i), Started: epoch.Add(-time.Second), At: epoch}}}})
	}
	for i := range running {
		t.Start(epoch, RequestDigest(i+1), fmt.Sprint("t", i%9))
	}
	return t
}

// BenchmarkStartFinish measures Start and Finish of a request that is not a suspect.
func BenchmarkStartFinish(b *testing.B) {
	for _, n := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			t := benchTracker(n, 50)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d := RequestDigest(1<<40 + i)
				t.Start(epoch, d, "t1")
				t.Finish(epoch, d, "t1", true)
			}
		})
	}
}

// BenchmarkReports measures Reports with 200 requests in flight.
func BenchmarkReports(b *testing.B) {
	for _, n := range []int{16, 256, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			t := benchTracker(n, 200)
			for b.Loop() {
				t.Reports(epoch.Add(time.Second))
			}
		})
	}
}
