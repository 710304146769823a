package record

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// A fixed seed gives each run the same result; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func requestRecord(id, target string, at time.Time) Record {
	return Record{At: at, Node: "n1", Kind: KindRequest, Request: &Request{
		ID: attempt.RequestID(id), Outcome: attempt.Answered, Status: 200,
		Attempts: []Attempt{{Number: 1, Target: target, Node: "n2", Verdict: attempt.VerdictRan}},
	}}
}

// fillRing adds drawn records and returns them all.
func fillRing(t *rapid.T, ring *Ring) []Record {
	n := rapid.IntRange(0, 200).Draw(t, "records")
	var all []Record
	for i := range n {
		id := rapid.IntRange(0, 20).Draw(t, "id")
		r := requestRecord(fmt.Sprint("r", id), fmt.Sprint("t", id%5), testStart.Add(time.Duration(i)*time.Second))
		r.Request.Detail = string(make([]byte, rapid.IntRange(0, 3000).Draw(t, "detail")))
		ring.Add(r)
		all = append(all, r)
	}
	return all
}

// Guards against a ring that outgrows its bounds or whose index disagrees with
// its content.
func TestRingBoundsAndLookups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring := NewRing(RingOptions{MaxRecords: 50, MaxBytes: 32 << 10})
		all := fillRing(t, ring)
		stats := ring.Stats()
		if stats.Records > 50 || stats.Bytes > 32<<10 || stats.Records+int(stats.Evicted) != len(all) {
			t.Fatalf("bounds: %+v for %d records", stats, len(all))
		}
		kept := all[len(all)-stats.Records:]
		for id := range 21 {
			name := attempt.RequestID(fmt.Sprint("r", id))
			want := 0
			for i := range kept {
				if kept[i].Request.ID == name {
					want++
				}
			}
			if got := len(ring.ByRequest(name)); got != want {
				t.Fatalf("request %s: got %d records, want %d", name, got, want)
			}
		}
		from, to := testStart.Add(40*time.Second), testStart.Add(120*time.Second)
		want := 0
		for i := range kept {
			if kept[i].Concerns("t3") && kept[i].InRange(from, to) {
				want++
			}
		}
		if got := len(ring.ByTarget("t3", from, to)); got != want {
			t.Fatalf("target: got %d records, want %d", got, want)
		}
	})
}

// Guards against a bound that holds without eviction, so that the test of the
// bounds would prove nothing.
func TestRingWithoutEvictionExceedsBounds(t *testing.T) {
	ring := NewRing(RingOptions{MaxRecords: 10, unbounded: true})
	for i := range 11 {
		ring.Add(requestRecord("r", "t", testStart.Add(time.Duration(i))))
	}
	if ring.Stats().Records != 11 {
		t.Fatalf("got %d records, want the bound of 10 exceeded", ring.Stats().Records)
	}
}

// Guards against a ring that claims to be complete since a time before an eviction.
func TestRingReportsCompleteSince(t *testing.T) {
	ring := NewRing(RingOptions{MaxRecords: 2})
	for i := range 4 {
		ring.Add(requestRecord("r", "t", testStart.Add(time.Duration(i)*time.Second)))
	}
	if s := ring.Stats(); !s.CompleteSince.Equal(testStart.Add(time.Second)) {
		t.Fatalf("complete since %v, want %v", s.CompleteSince, testStart.Add(time.Second))
	}
}

// Guards against sentences that do not say why a request was retried or a target
// ejected.
func TestSentencesExplainRetryAndEjection(t *testing.T) {
	r := requestRecord("r1", "t1", testStart)
	r.Request.Attempts = []Attempt{
		{Number: 1, Target: "t1", Node: "n1", Why: "it had the lower load", Verdict: attempt.VerdictRefused,
			Reason: attempt.ReasonLeaving, DurationMS: 1.5, Next: "it never started, so another target was tried"},
		{Number: 2, Target: "t2", Node: "n2", Verdict: attempt.VerdictRan, Status: 200, DurationMS: 12},
	}
	want := []string{
		"2026-03-01 08:00:00.000 n1: Request r1 was answered with status 200 after 0s.",
		"Attempt 1 went to target t1 at node n1 (chosen: it had the lower load); after 1.5ms the gate refused " +
			"it before it started: the target was leaving.",
		"Then: it never started, so another target was tried.",
		"Attempt 2 went to target t2 at node n2; after 12ms the target responded (status 200).",
		"Configuration version 0 was in force.",
	}
	if got := r.Sentences(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
	c := Record{At: testStart, Node: "n1", Kind: KindEjection, Change: &Change{
		Subject: "t1", Service: "orders", From: "healthy", To: "ejected", Why: "7 of 10 answers failed"}}
	wantChange := "2026-03-01 08:00:00.000 n1: Target t1 of service orders was ejected (from healthy to ejected): " +
		"7 of 10 answers failed."
	if got := c.Sentences()[0]; got != wantChange {
		t.Errorf("got %q, want %q", got, wantChange)
	}
}

// Guards against duplicates in a timeline after the response to an append was
// lost, and proves that the comparison of identities removes them.
func TestCollectorDropsDuplicateRecords(t *testing.T) {
	for _, keepDuplicates := range []bool{false, true} {
		c := NewCollector()
		c.keepDuplicates = keepDuplicates
		for range 2 {
			for seq := uint64(1); seq <= 3; seq++ {
				c.Add(Record{At: testStart, Node: "n", Incarnation: "i", Sequence: seq, Kind: KindDrain})
			}
		}
		want := map[bool]int{false: 3, true: 6}[keepDuplicates]
		if got := len(c.Records()); got != want {
			t.Errorf("keepDuplicates %v: got %d records, want %d", keepDuplicates, got, want)
		}
	}
}

// Guards against a missing batch for which the collector reports no gap.
func TestCollectorFindsGaps(t *testing.T) {
	c := NewCollector()
	for _, r := range []Record{{Sequence: 9}, {Sequence: 1}, {Sequence: 2, Kind: KindGap, Count: 3}, {Sequence: 5}} {
		r.Node = "n"
		c.Add(r)
	}
	want := []Gap{{"n", "", 2, 3, true}, {"n", "", 6, 3, false}}
	if got := c.Gaps(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against a ring whose real memory exceeds the byte bound because the
// estimate does not cover records, unused items and the index.
func TestRingMemoryStaysWithinBound(t *testing.T) {
	const bound = 4 << 20
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, candidates := range []int{0, 3, 24} {
		before := heap()
		ring := NewRing(RingOptions{MaxBytes: bound, MaxRecords: 1 << 20})
		for i := 0; ring.Stats().Evicted < 10_000; i++ {
			r := requestRecord(fmt.Sprintf("%032x", i), fmt.Sprint("target", i), testStart)
			for j := range candidates {
				r.Request.Attempts[0].Candidates = append(r.Request.Attempts[0].Candidates, Candidate{Target: "t", Why: fmt.Sprint("load", j)})
			}
			ring.Add(r)
		}
		used := heap() - before
		t.Logf("%d candidates: %d records, %.2f MiB estimated, %.2f MiB used", candidates, ring.Stats().Records,
			float64(ring.Stats().Bytes)/(1<<20), float64(used)/(1<<20))
		if used > bound*5/4 {
			t.Errorf("%d candidates: %d bytes used, bound %d", candidates, used, bound)
		}
		runtime.KeepAlive(ring)
	}
}

func BenchmarkRingLookup(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		ring := NewRing(RingOptions{MaxRecords: n, MaxBytes: 1 << 30})
		for i := range n {
			ring.Add(requestRecord(fmt.Sprint("r", i), fmt.Sprint("t", i%24), testStart.Add(time.Duration(i))))
		}
		b.Run(fmt.Sprintf("request/records=%d", n), func(b *testing.B) {
			for i := range b.N {
				ring.ByRequest(attempt.RequestID(fmt.Sprint("r", i%n)))
			}
		})
		b.Run(fmt.Sprintf("target/records=%d", n), func(b *testing.B) {
			for b.Loop() {
				ring.ByTarget("t3", time.Time{}, time.Time{})
			}
		})
	}
}

func BenchmarkRecordEncode(b *testing.B) {
	for _, n := range []int{2, 8, 24} {
		r := requestRecord("0123456789abcdef0123456789abcdef", "t1", testStart)
		for i := range n {
			r.Request.Attempts[0].Candidates = append(r.Request.Attempts[0].Candidates,
				Candidate{Target: fmt.Sprint("orders-", i), Weight: 1, Load: 0.5, Why: "load was higher"})
		}
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := json.Marshal(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/record")
		})
	}
}
