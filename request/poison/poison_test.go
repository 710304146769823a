package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// op is one step of a history; the meaning of a and b depends on kind.
type op struct{ kind, a, b int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	n := rapid.IntRange(0, 99)
	return op{n.Draw(t, "kind"), n.Draw(t, "a"), n.Draw(t, "b")}
}), 100, 400)

const (
	nodes, targets = 3, 6
	poisonDigest   = RequestDigest(99) // digests that crash nothing are 1 to 4
)

type inFlight struct {
	node   int
	digest RequestDigest
	target string
	start  time.Time
}

// world is a fleet of trackers with gossip. Callers send innocent requests and
// one poison request, which crashes each target that runs it and is sent again
// when its caller has learned of the crash.
type world struct {
	now      time.Time
	trackers [nodes]*Tracker
	running  []inFlight
	first    map[RequestDigest]time.Time // first crash since the last success
	excused  map[RequestDigest]bool      // present in two crashes by real bad luck
	lost     int                         // targets crashed by the poison
	blamed   map[RequestDigest]bool
	cleared  map[string]bool // targets exonerated
	faults   []string
}

func runHistory(o Options, ops []op) *world {
	w := &world{now: epoch, first: map[RequestDigest]time.Time{}, excused: map[RequestDigest]bool{}, blamed: map[RequestDigest]bool{}, cleared: map[string]bool{}}
	for i := range w.trackers {
		o.Node = fmt.Sprint("n", i)
		w.trackers[i] = New(o)
	}
	for _, p := range ops {
		w.now = w.now.Add(time.Duration(1+p.b) * time.Millisecond)
		w.step(p)
	}
	return w
}

func (w *world) step(p op) {
	n, target := p.a%nodes, fmt.Sprint("t", p.b%targets)
	switch {
	case p.kind < 50:
		w.start(n, RequestDigest(1+p.a%4), target)
	case p.kind < 70:
		if len(w.running) > 0 {
			i := p.a % len(w.running)
			r := w.running[i]
			w.running = slices.Delete(w.running, i, i+1)
			w.trackers[r.node].Finish(w.now, r.digest, r.target, true)
			delete(w.first, r.digest)
		}
	case p.kind < 80:
		w.gossip() // the caller hears of a crash no earlier than the fleet does
		if w.start(n, poisonDigest, target) {
			w.lost++
			w.now = w.now.Add(time.Millisecond)
			w.crash(target)
		}
	case p.kind < 82: // half of the targets fail for their own reasons
		for i := p.a % 2; i < targets; i += 2 {
			w.crash(fmt.Sprint("t", i))
		}
	default:
		w.gossip()
	}
}

func (w *world) start(n int, d RequestDigest, target string) bool {
	if w.trackers[n].Start(w.now, d, target) != Run {
		return false
	}
	w.running = append(w.running, inFlight{n, d, target, w.now})
	return true
}

func (w *world) crash(target string) {
	var digests [nodes][]RequestDigest
	present := map[RequestDigest]time.Time{} // latest start
	w.running = slices.DeleteFunc(w.running, func(r inFlight) bool {
		if r.target == target {
			digests[r.node] = append(digests[r.node], r.digest)
			present[r.digest] = maxTime(present[r.digest], r.start)
		}
		return r.target == target
	})
	for d, start := range present {
		if first, ok := w.first[d]; !ok {
			w.first[d] = w.now
		} else if start.After(first) {
			w.excused[d] = true
		}
	}
	for n, ds := range digests {
		w.note(w.trackers[n].Crash(w.now, target, ds))
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) gossip() {
	for range 2 {
		var all []Report
		for _, t := range w.trackers {
			all = append(all, t.Reports(w.now)...)
		}
		for _, t := range w.trackers {
			w.note(t.Merge(w.now, all))
		}
	}
	for _, t := range w.trackers { // before the gossip a node may not know of a success
		for _, d := range t.quarantined.Keys() {
			if q, _ := t.quarantined.Peek(d); w.now.Before(q.until) && d != poisonDigest && !w.excused[d] {
				w.faults = append(w.faults, fmt.Sprintf("innocent digest %d quarantined", d))
			}
		}
	}
}

func (w *world) note(cs []Change) {
	for _, c := range cs {
		switch c.Kind {
		case ChangeCrashRetracted:
			w.cleared[c.Target] = true
		case ChangeQuarantine:
			w.blamed[c.Digest] = true
		}
	}
	if w.lost > 2 {
		w.faults = append(w.faults, fmt.Sprintf("%d targets lost to one digest sent one after the other", w.lost))
	}
	for _, t := range w.trackers {
		if t.suspects.Len() > t.o.MaxDigests || t.quarantined.Len() > t.o.MaxDigests {
			w.faults = append(w.faults, "memory beyond its bound")
		}
	}
}

// Guards against more than two targets lost to one request, bystanders that
// are quarantined, and targets that stay under suspicion, with failing
// domains and gossip in between.
func TestPoisonHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runHistory(Options{}, history.Draw(t, "history"))
		if w.gossip(); len(w.faults) > 0 {
			t.Fatalf("%d faults, first: %s", len(w.faults), w.faults[0])
		}
		if w.blamed[poisonDigest] && len(w.cleared) == 0 {
			t.Fatal("no target is exonerated after the quarantine")
		}
		for i, tr := range w.trackers {
			if w.blamed[poisonDigest] && tr.Start(w.now, poisonDigest, "t0") != Quarantined {
				t.Fatalf("node %d does not know the quarantine", i)
			}
		}
	})
}

// Proves that the histories find the fault when a mechanism is off.
func TestPoisonHistoriesFindFaults(t *testing.T) {
	for name, o := range map[string]Options{
		"blameAll": {blameAll: true}, "keepOnSuccess": {keepOnSuccess: true}, "noQuarantine": {Quarantine: time.Nanosecond},
	} {
		found := 0
		for seed := range 100 {
			if len(runHistory(o, history.Example(seed)).faults) > 0 {
				found++
			}
		}
		t.Logf("%s: fault found in %d of 100 histories", name, found)
		if found == 0 {
			t.Errorf("%s: no history finds a fault", name)
		}
	}
}

// Guards against a unrelated that travels with the poison to the next target
// and is quarantined with it.
func TestSuspectsAreTriedApart(t *testing.T) {
	for _, off := range []bool{false, true} {
		a, b := New(Options{Node: "a", freeSuspects: off}), New(Options{Node: "b", freeSuspects: off})
		const poisonous, unrelated = RequestDigest(1), RequestDigest(2)
		a.Start(epoch, poisonous, "t1")
		a.Start(epoch, unrelated, "t1")
		a.Crash(epoch.Add(time.Second), "t1", []RequestDigest{poisonous, unrelated})
		now := epoch.Add(2 * time.Second)
		a.Start(now, poisonous, "t2")
		b.Merge(now, a.Reports(now))
		got := []Decision{a.Start(now, poisonous, "t3"), a.Start(now, unrelated, "t2"), b.Start(now, poisonous, "t3"), b.Start(now, unrelated, "t2"), a.Start(now, unrelated, "t3")}
		want := []Decision{Wait, Wait, Wait, Wait, Run}
		if off {
			want = []Decision{Run, Run, Run, Run, Run}
		}
		if !slices.Equal(got, want) {
			t.Errorf("free suspects %v: decisions %v, want %v", off, got, want)
		}
		inFlight := []RequestDigest{poisonous}
		if got[1] == Run {
			inFlight = append(inFlight, unrelated)
		}
		a.Crash(now.Add(time.Second), "t2", inFlight)
		now = now.Add(2 * time.Second)
		if q := a.Start(now, unrelated, "t4") == Quarantined; q != off {
			t.Errorf("free suspects %v: unrelated quarantined %v", off, q)
		}
		if a.Start(now, poisonous, "t4") != Quarantined {
			t.Errorf("free suspects %v: poisonous digest not quarantined", off)
		}
		if d := a.Start(now.Add(11*time.Minute), poisonous, "t4"); d != Run {
			t.Errorf("free suspects %v: decision %v after the quarantine, want run", off, d)
		}
	}
}

// Guards against reports whose order or repetition changes the result, and a
// node with a wrong clock that quarantines for longer than allowed.
func TestMergeIsOrderless(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	reports := []Report{
		{Node: "b", Digest: 1, Crashes: []CrashRecord{{"t1", at(0), at(1)}}},
		{Node: "c", Digest: 1, Crashes: []CrashRecord{{"t2", at(2), at(3)}}},
		{Node: "b", Digest: 2, Crashes: []CrashRecord{{"t1", at(0), at(1)}}},
		{Node: "c", Digest: 2, Crashes: []CrashRecord{{"t3", at(2), at(3)}}, Cleared: at(2)},
		{Node: "d", Digest: 3, Until: at(1_000_000), Crashes: []CrashRecord{{"t4", at(0), at(1)}}},
	}
	rapid.Check(t, func(t *rapid.T) {
		tr, seen := New(Options{Node: "a"}), map[string]bool{}
		mixed := append(rapid.Permutation(reports).Draw(t, "order"), rapid.Permutation(reports).Draw(t, "repeat")...)
		for _, c := range tr.Merge(at(5), mixed) {
			if c.Kind == ChangeCrashRetracted {
				seen[c.Target] = true
			}
		}
		if !seen["t1"] || !seen["t2"] || !seen["t4"] || seen["t3"] {
			t.Fatalf("exonerated targets %v", seen)
		}
		for d, want := range map[RequestDigest]Decision{1: Quarantined, 2: Run, 3: Quarantined} {
			if got := tr.Start(at(6), d, "t9"); got != want {
				t.Fatalf("digest %d: decision %v, want %v", d, got, want)
			}
		}
		if tr.Start(at(5+601), 3, "t9") != Run {
			t.Fatal("quarantine lasts beyond 10 minutes")
		}
	})
}

// Guards against digests that mix up requests or depend on late body bytes.
func TestDigest(t *testing.T) {
	body := make([]byte, DigestBodyBytes+1)
	base := DigestOf("s", "GET", "/a", "q", body)
	changed := slices.Clone(body)
	changed[DigestBodyBytes] = 1
	if DigestOf("s", "GET", "/a", "q", changed) != base {
		t.Error("bytes beyond the first 64 KiB count")
	}
	changed[DigestBodyBytes-1] = 1
	for i, d := range []RequestDigest{DigestOf("s", "GET", "/a", "q", changed), DigestOf("s", "GET", "/aq", "", body), DigestOf("sG", "ET", "/a", "q", body)} {
		if d == base {
			t.Errorf("request %d has the digest of another", i)
		}
	}
}
