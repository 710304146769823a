package loadview

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

var start = time.Unix(1_700_000_000, 0)

func newTestView(n int) (*View, map[string]*Known) {
	known, all := map[string]*Known{}, []string{}
	for i := range n {
		target := fmt.Sprintf("n%d/t", i)
		known[target] = &Known{}
		all = append(all, target)
	}
	return NewView(known, all), known
}

// Guards against an older load that replaces a fresher one, and an age that restarts when a
// load is passed on.
func TestFresherLoadIsKept(t *testing.T) {
	a, knownA := newTestView(12)
	b, knownB := newTestView(12)
	c, knownC := newTestView(12)
	knownA["n1/t"].Observe(start, attempt.Load{Limit: 11, Running: 5})
	header := a.Freshest(start.Add(400*time.Millisecond), "n0/t")
	if counts := b.Merge(start.Add(500*time.Millisecond), header); counts != (Counts{Fresher: 1}) {
		t.Fatal(counts)
	}
	// Without clocks in common, b takes the load to be as old as it was when it was sent.
	if k := knownB["n1/t"]; math.Ceil(k.Load*11) != 5 || !k.At.Equal(start.Add(100*time.Millisecond)) {
		t.Errorf("known %+v", *k)
	}
	knownC["n1/t"].Observe(start.Add(300*time.Millisecond), attempt.Load{Limit: 11, Running: 9})
	if counts := c.Merge(start.Add(700*time.Millisecond), b.Freshest(start.Add(700*time.Millisecond), "")); counts != (Counts{NotFresher: 1}) {
		t.Error(counts)
	}
	if header := b.Freshest(start.Add(3*time.Second), ""); header != "" {
		t.Errorf("a load 2.9 s old is passed on: %q", header)
	}
}

// Guards against a header over its bound, and one that leaves out the freshest loads.
func TestHeaderIsBounded(t *testing.T) {
	a, known := newTestView(24)
	for i := range 24 {
		known[fmt.Sprintf("n%d/t", i)].Observe(start.Add(time.Duration((i*7)%24)*time.Millisecond), attempt.Load{Limit: 4, Running: 4, Queued: 100_000})
	}
	b, knownB := newTestView(24)
	header := a.Freshest(start.Add(time.Second), "n0/t")
	if len(header) > 64 {
		t.Errorf("%d bytes", len(header))
	}
	b.Merge(start.Add(time.Second), header)
	for i := range 24 {
		if at := (i * 7) % 24; (at >= 16) != (knownB[fmt.Sprintf("n%d/t", i)].Load == maxLoad) {
			t.Errorf("target of age %d: %+v", at, *knownB[fmt.Sprintf("n%d/t", i)])
		}
	}
}

// Guards against impossible loads that enter the view, and loads of foreign targets.
func TestBadLoadsAreIgnored(t *testing.T) {
	v, known := newTestView(4)
	id := IDOf("n1/t")
	for _, s := range []Shared{{id, -1, 0, 0, false}, {id, math.NaN(), 0, 0, false}, {id, 0, math.NaN(), 0, false}, {id, 1e9, 0, 0, false}, {id, math.Inf(1), 0, 0, false},
		{id, 1, 0, -time.Second, false}, {id, 1, 0, time.Hour, true}, {1 << 30, 1, 0, 0, false}} {
		if counts := v.mergeShared(start, []Shared{s}); counts.Bad != 1 {
			t.Errorf("%+v: %+v", s, counts)
		}
	}
	if counts := v.mergeShared(start, []Shared{{IDOf("elsewhere"), 1, 0, 0, false}}); counts.Unknown != 1 {
		t.Error(counts)
	}
	for _, header := range []string{"", "x", "aaaaaaa!", "aaaaaaaaa", string(make([]byte, 800)), "aaaa\naaa", "AAAAAAD_"} {
		if counts := v.Merge(start, header); counts.Bad != 1 {
			t.Errorf("%q: %+v", header, counts)
		}
	}
	if known["n1/t"].Observe(start, attempt.Load{Limit: 1, Running: -1}) || known["n1/t"].Observe(start, attempt.Load{Limit: 0}) || !known["n1/t"].At.IsZero() {
		t.Error("an impossible load of a gate is taken over")
	}
}

// Guards against a failing target of which only the entry learns that it refused, and
// against one that stays failing after a later response.
func TestFailingTargetsArePassedOn(t *testing.T) {
	a, knownA := newTestView(24)
	for i := range 24 { // the failing target is among the oldest
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		knownA[fmt.Sprintf("n%d/t", i)].Observe(at, attempt.Load{Limit: 10, Running: 4})
	}
	knownA["n3/t"].ObserveFailing(start.Add(30 * time.Millisecond))
	now := start.Add(300 * time.Millisecond)
	b, knownB := newTestView(24)
	if counts := b.Merge(now, a.Freshest(now, "")); counts.Fresher != MaxShared {
		t.Fatalf("%+v", counts)
	}
	if k := knownB["n3/t"]; !k.Failing || k.Load != 0 {
		t.Errorf("the failing target is not passed on: %+v", *k)
	}
	knownA["n3/t"].Observe(now, attempt.Load{Limit: 10, Running: 4})
	b.Merge(now.Add(time.Millisecond), a.Freshest(now.Add(time.Millisecond), ""))
	if k := knownB["n3/t"]; k.Failing || k.Load < 0.3 {
		t.Errorf("still failing after a response: %+v", *k)
	}
}

// Guards against an unknown target that is taken for an idle one.
func TestUnknownTargetIsAverage(t *testing.T) {
	v, known := newTestView(3)
	if _, ok := v.Estimate(start, known["n0/t"], false, 11, time.Second); ok {
		t.Error("an estimate without knowledge")
	}
	v, known = newTestView(3)
	known["n1/t"].Observe(start, attempt.Load{Limit: 10, Running: 4})
	known["n2/t"].Observe(start, attempt.Load{Limit: 10, Running: 8})
	if e, ok := v.Estimate(start, known["n0/t"], false, 10, time.Second); !ok || math.Abs(e.Mean-0.6) > 1e-9 || e.Deviation < 0.2 {
		t.Errorf("%+v", e)
	}
	if e, _ := v.Estimate(start, known["n1/t"], false, 10, time.Second); e.Mean != 0.4 || e.Deviation != 0 {
		t.Errorf("%+v", e)
	}
}

// Guards against a panic, and against impossible loads from any header.
func FuzzMerge(f *testing.F) {
	a, knownA := newTestView(8)
	knownA["n1/t"].Observe(start, attempt.Load{Limit: 11, Running: 5})
	f.Add(a.Freshest(start, ""))
	f.Add("")
	f.Add("AAAAAAAA")
	f.Fuzz(func(t *testing.T, header string) {
		v, known := newTestView(8)
		v.Merge(start, header)
		for _, k := range known {
			if !(k.Load >= 0 && k.Load <= maxLoad && k.Long >= 0 && k.Long <= maxLoad) || k.At.After(start) {
				t.Errorf("%q: %+v", header, *k)
			}
			if e, ok := v.Estimate(start, k, false, 11, time.Second); ok && !(e.Mean >= 0 && e.Deviation >= 0) {
				t.Errorf("%q: %+v", header, e)
			}
		}
	})
}
