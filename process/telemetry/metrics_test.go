package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// observeRequests records at least one request per customer and per class of the
// services, which have four classes each.
func observeRequests(h *Histograms, services, customers int) {
	for i := range max(services*4, customers) {
		h.Observe(fmt.Sprint("service", i%services), fmt.Sprint("class", i/services%4),
			fmt.Sprint("customer", i%customers), time.Duration(i)*time.Microsecond)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against histogram memory that grows with the number of customers. Without
// grouping it does.
func TestHistogramMemoryIsBounded(t *testing.T) {
	const bound = 32 << 20 // half of the 64 MB that a node may use for control
	before := heapBytes()
	h := NewHistograms(0)
	observeRequests(h, 140, 52_000)
	used := heapBytes() - before
	t.Logf("140 services x 4 classes, 52,000 customers: %d histograms, %.1f MiB", h.Series(), float64(used)/(1<<20))
	if h.Series() != 140*4+CustomerGroups || used > bound {
		t.Errorf("got %d histograms and %d bytes, want %d and at most %d", h.Series(), used, 140*4+CustomerGroups, bound)
	}
	runtime.KeepAlive(h)

	ungrouped := NewHistograms(0)
	ungrouped.perCustomer = true
	observeRequests(ungrouped, 140, 5_200)
	if ungrouped.Series() <= h.Series() {
		t.Errorf("without groups: %d histograms for 5,200 customers, want more than %d", ungrouped.Series(), h.Series())
	}
}

// Guards against unbounded series when service names vary.
func TestHistogramSeriesOverflow(t *testing.T) {
	h := NewHistograms(3)
	for i := range 10 {
		h.Observe(fmt.Sprint("s", i), "c", "x", time.Millisecond)
	}
	s := h.Snapshot()
	if len(s.Classes) != 4 || s.Classes[OtherSeries].Count != 7 {
		t.Fatalf("got %+v, want three series and 7 requests in %q", s.Classes, OtherSeries)
	}
}

// Guards against wrong units, lost outliers and lost concurrent records.
func TestHistogramQuantiles(t *testing.T) {
	h := NewHistograms(0)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for ms := 1; ms <= 100; ms++ {
				h.Observe("s", "c", "x", time.Duration(ms)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	h.Observe("s", "c", "x", 48*time.Hour)
	s := h.Snapshot().Classes["s/c"]
	if s.Count != 401 || s.P50MS < 49 || s.P50MS > 52 || s.P99MS < 98 || s.P99MS > 102 || s.MaxMS < 3.5e6 {
		t.Fatalf("got %+v", s)
	}
}

// Guards against mixing the metrics of two nodes of one process, and against a panic
// of expvar when a node starts again.
func TestMetricsPerNode(t *testing.T) {
	a, b := New(Options{Node: "test-a"}), New(Options{Node: "test-b"})
	for _, m := range []*Metrics{a, b, New(Options{Node: "test-a"}), a} {
		if err := m.Publish(); err != nil {
			t.Fatal(err)
		}
	}
	a.Add("entry.requests", 2)
	a.ControlBytes("Ping", 10, 5)
	a.ObserveRequest("orders", "place", "c", attempt.NotRun, attempt.ReasonOverload, time.Millisecond)
	if v := expvar.Get("test-a").String(); !strings.Contains(v, `"entry.requests": 2`) &&
		!strings.Contains(v, `"entry.requests":2`) {
		t.Errorf("test-a: %s", v)
	}
	if b.Counter("entry.requests") != 0 || a.ControlTotal() != 15 {
		t.Error("counters of two nodes mix or control bytes are wrong")
	}
	rec := httptest.NewRecorder()
	a.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/debug/vars", nil))
	var vars map[string]json.RawMessage
	if err := json.Unmarshal(rec.Body.Bytes(), &vars); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"invariants", "latency", "outcomes", "counters", "control_bytes", "memstats"} {
		if vars[name] == nil {
			t.Errorf("/debug/vars lacks %q", name)
		}
	}
	if !strings.Contains(string(vars["outcomes"]), "not-run.overload") {
		t.Errorf("outcomes: %s", vars["outcomes"])
	}
	a.Unpublish()
	if v := expvar.Get("test-a").String(); v != "null" {
		t.Errorf("after Unpublish: %s", v)
	}
}

// Guards against violations that are not counted or kept without bound.
func TestInvariants(t *testing.T) {
	i := NewInvariants(InvariantOptions{MaxViolations: 2, Now: func() time.Time { return testStart }})
	i.Check(invariant.Floor, true, "")
	for n := range 3 {
		i.Check(invariant.Floor, false, "violation %d", n)
	}
	s := i.Snapshot()
	if c := s.Counts[invariant.Floor]; c.Checks != 4 || c.Violations != 3 {
		t.Errorf("got %+v", c)
	}
	if len(s.Last) != 2 || s.Last[1].Detail != "violation 2" {
		t.Errorf("last: %+v", s.Last)
	}
	if _, ok := s.Counts[invariant.NoCut]; !ok {
		t.Error("an invariant that was never checked is not listed")
	}
	defer func() {
		if recover() == nil {
			t.Error("a violation with the option Panic did not panic")
		}
	}()
	NewInvariants(InvariantOptions{Panic: true}).Check(invariant.Floor, false, "x")
}

func BenchmarkHistogramRecord(b *testing.B) {
	for _, n := range []int{10, 35, 140} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			before := heapBytes()
			h := NewHistograms(0)
			observeRequests(h, n, 52_000)
			used := heapBytes() - before
			services := make([]string, n)
			for i := range services {
				services[i] = fmt.Sprint("service", i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.Observe(services[i%n], "class1", "customer7", time.Millisecond)
			}
			b.ReportMetric(float64(used), "bytes")
		})
	}
}
