package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// operation is one step of a history; the meaning of a and b depends on kind.
type operation struct{ kind, a, b int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
	n := rapid.IntRange(0, 99)
	return operation{n.Draw(t, "kind"), n.Draw(t, "a"), n.Draw(t, "b")}
}), 100, 400)

const (
	nodeCount, targetCount = 3, 6
	poisonDigest           = RequestDigest(99) // harmless digests are 1 to 4
)

type runningCopy struct {
	node      int
	digest    RequestDigest
	target    string
	startedAt time.Time
}

// simulation is a fleet of trackers that exchange reports by gossip. Callers send
// harmless requests and one poison request, which crashes each target that runs it
// and is sent again once its caller knows of the crash.
type simulation struct {
	now               time.Time
	trackers          [nodeCount]*Tracker
	running           []runningCopy
	firstCrash        map[RequestDigest]time.Time // first crash since the last success
	quarantineAllowed map[RequestDigest]bool      // in flight at two crashes that it did not cause
	targetsLost       int                         // number of crashes that the poison request caused
	quarantined       map[RequestDigest]bool
	retracted         map[string]bool // targets whose crashes were retracted
	violations        []string
}

func runHistory(opts Options, ops []operation) *simulation {
	s := &simulation{now: epoch, firstCrash: map[RequestDigest]time.Time{}, quarantineAllowed: map[RequestDigest]bool{}, quarantined: map[RequestDigest]bool{}, retracted: map[string]bool{}}
	for i := range s.trackers {
		opts.Node = fmt.Sprint("n", i)
		s.trackers[i] = New(opts)
	}
	for _, op := range ops {
		s.now = s.now.Add(time.Duration(1+op.b) * time.Millisecond)
		s.step(op)
	}
	return s
}

func (s *simulation) step(op operation) {
	node, target := op.a%nodeCount, fmt.Sprint("t", op.b%targetCount)
	switch {
	case op.kind < 50:
		s.start(node, RequestDigest(1+op.a%4), target)
	case op.kind < 70:
		if len(s.running) > 0 {
			i := op.a % len(s.running)
			running := s.running[i]
			s.running = slices.Delete(s.running, i, i+1)
			s.trackers[running.node].Finish(s.now, running.digest, running.target, true)
			delete(s.firstCrash, running.digest)
		}
	case op.kind < 80:
		s.gossip() // the caller does not know of a crash earlier than the fleet
		if s.start(node, poisonDigest, target) {
			s.targetsLost++
			s.now = s.now.Add(time.Millisecond)
			s.crash(target)
		}
	case op.kind < 82: // half of the targets crash for other reasons
		for i := op.a % 2; i < targetCount; i += 2 {
			s.crash(fmt.Sprint("t", i))
		}
	default:
		s.gossip()
	}
}

func (s *simulation) start(node int, digest RequestDigest, target string) bool {
	if s.trackers[node].Start(s.now, digest, target) != Run {
		return false
	}
	s.running = append(s.running, runningCopy{node, digest, target, s.now})
	return true
}

func (s *simulation) crash(target string) {
	var digests [nodeCount][]RequestDigest
	latestStarts := map[RequestDigest]time.Time{}
	s.running = slices.DeleteFunc(s.running, func(running runningCopy) bool {
		if running.target == target {
			digests[running.node] = append(digests[running.node], running.digest)
			latestStarts[running.digest] = maxTime(latestStarts[running.digest], running.startedAt)
		}
		return running.target == target
	})
	for digest, start := range latestStarts {
		if first, ok := s.firstCrash[digest]; !ok {
			s.firstCrash[digest] = s.now
		} else if start.After(first) {
			s.quarantineAllowed[digest] = true
		}
	}
	for node, inFlight := range digests {
		s.recordChanges(s.trackers[node].Crash(s.now, target, inFlight))
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *simulation) gossip() {
	for range 2 {
		var reports []Report
		for _, tracker := range s.trackers {
			reports = append(reports, tracker.Reports(s.now)...)
		}
		for _, tracker := range s.trackers {
			s.recordChanges(tracker.Merge(s.now, reports))
		}
	}
	for _, tracker := range s.trackers { // before the gossip a node may not know of a success
		for _, digest := range tracker.quarantined.Keys() {
			if quarantine, _ := tracker.quarantined.Peek(digest); s.now.Before(quarantine.until) && digest != poisonDigest && !s.quarantineAllowed[digest] {
				s.violations = append(s.violations, fmt.Sprintf("harmless digest %d quarantined", digest))
			}
		}
	}
}

func (s *simulation) recordChanges(changes []Change) {
	for _, change := range changes {
		switch change.Kind {
		case ChangeCrashRetracted:
			s.retracted[change.Target] = true
		case ChangeQuarantine:
			s.quarantined[change.Digest] = true
		}
	}
	if s.targetsLost > 2 {
		s.violations = append(s.violations, fmt.Sprintf("%d targets crashed by one digest that was sent to them one after the other", s.targetsLost))
	}
	for _, tracker := range s.trackers {
		if tracker.suspects.Len() > tracker.opts.MaxDigests || tracker.quarantined.Len() > tracker.opts.MaxDigests {
			s.violations = append(s.violations, "more digests in memory than MaxDigests")
		}
	}
}

// Guards against one request that crashes more than two targets, quarantined
// harmless requests, and crashes that are not retracted after a quarantine, while
// failure domains crash and nodes gossip.
func TestPoisonHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runHistory(Options{}, history.Draw(t, "history"))
		if s.gossip(); len(s.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
		if s.quarantined[poisonDigest] && len(s.retracted) == 0 {
			t.Fatal("no crash is retracted after the quarantine")
		}
		for i, tracker := range s.trackers {
			if s.quarantined[poisonDigest] && tracker.Start(s.now, poisonDigest, "t0") != Quarantined {
				t.Fatalf("node %d does not know of the quarantine", i)
			}
		}
	})
}

// Guards against histories that detect no violation when a check of the package
// is disabled.
func TestPoisonHistoriesDetectDisabledChecks(t *testing.T) {
	for name, opts := range map[string]Options{
		"blameAll": {blameAll: true}, "keepOnSuccess": {keepOnSuccess: true}, "noQuarantine": {Quarantine: time.Nanosecond},
	} {
		found := 0
		for seed := range 100 {
			if len(runHistory(opts, history.Example(seed)).violations) > 0 {
				found++
			}
		}
		t.Logf("%s: violation found in %d of 100 histories", name, found)
		if found == 0 {
			t.Errorf("%s: no history finds a violation", name)
		}
	}
}

// Guards against an unrelated digest that runs together with the poisonous one at
// the next target and is quarantined with it.
func TestSuspectsRunSeparately(t *testing.T) {
	for _, unrestricted := range []bool{false, true} {
		a, b := New(Options{Node: "a", unrestrictedSuspects: unrestricted}), New(Options{Node: "b", unrestrictedSuspects: unrestricted})
		const poisonous, unrelated = RequestDigest(1), RequestDigest(2)
		a.Start(epoch, poisonous, "t1")
		a.Start(epoch, unrelated, "t1")
		a.Crash(epoch.Add(time.Second), "t1", []RequestDigest{poisonous, unrelated})
		now := epoch.Add(2 * time.Second)
		a.Start(now, poisonous, "t2")
		b.Merge(now, a.Reports(now))
		got := []Decision{a.Start(now, poisonous, "t3"), a.Start(now, unrelated, "t2"), b.Start(now, poisonous, "t3"), b.Start(now, unrelated, "t2"), a.Start(now, unrelated, "t3")}
		want := []Decision{Wait, Wait, Wait, Wait, Run}
		if unrestricted {
			want = []Decision{Run, Run, Run, Run, Run}
		}
		if !slices.Equal(got, want) {
			t.Errorf("unrestricted suspects %v: decisions %v, want %v", unrestricted, got, want)
		}
		inFlight := []RequestDigest{poisonous}
		if got[1] == Run {
			inFlight = append(inFlight, unrelated)
		}
		a.Crash(now.Add(time.Second), "t2", inFlight)
		now = now.Add(2 * time.Second)
		if isQuarantined := a.Start(now, unrelated, "t4") == Quarantined; isQuarantined != unrestricted {
			t.Errorf("unrestricted suspects %v: unrelated quarantined %v", unrestricted, isQuarantined)
		}
		if a.Start(now, poisonous, "t4") != Quarantined {
			t.Errorf("unrestricted suspects %v: poisonous digest not quarantined", unrestricted)
		}
		if decision := a.Start(now.Add(11*time.Minute), poisonous, "t4"); decision != Run {
			t.Errorf("unrestricted suspects %v: decision %v after the quarantine, want run", unrestricted, decision)
		}
	}
}

// Guards against a result that depends on the order or duplication of reports, and
// against a node with a wrong clock that extends a quarantine beyond its maximum.
func TestMergeIgnoresReportOrder(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	reports := []Report{
		{Node: "b", Digest: 1, Crashes: []CrashRecord{{Target: "t1", Started: at(0), At: at(1)}}},
		{Node: "c", Digest: 1, Crashes: []CrashRecord{{Target: "t2", Started: at(2), At: at(3)}}},
		{Node: "b", Digest: 2, Crashes: []CrashRecord{{Target: "t1", Started: at(0), At: at(1)}}},
		{Node: "c", Digest: 2, Crashes: []CrashRecord{{Target: "t3", Started: at(2), At: at(3)}}, Cleared: at(2)},
		{Node: "d", Digest: 3, Until: at(1_000_000), Crashes: []CrashRecord{{Target: "t4", Started: at(0), At: at(1)}}},
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker, retracted := New(Options{Node: "a"}), map[string]bool{}
		mixed := append(rapid.Permutation(reports).Draw(t, "order"), rapid.Permutation(reports).Draw(t, "repeat")...)
		for _, change := range tracker.Merge(at(5), mixed) {
			if change.Kind == ChangeCrashRetracted {
				retracted[change.Target] = true
			}
		}
		if !retracted["t1"] || !retracted["t2"] || !retracted["t4"] || retracted["t3"] {
			t.Fatalf("targets with retracted crashes: %v", retracted)
		}
		for digest, want := range map[RequestDigest]Decision{1: Quarantined, 2: Run, 3: Quarantined} {
			if got := tracker.Start(at(6), digest, "t9"); got != want {
				t.Fatalf("digest %d: decision %v, want %v", digest, got, want)
			}
		}
		if tracker.Start(at(5+601), 3, "t9") != Run {
			t.Fatal("quarantine lasts beyond 10 minutes")
		}
	})
}

// Guards against different requests with equal digests, and against digests that
// cover body bytes beyond DigestBodyBytes.
func TestDigest(t *testing.T) {
	body := make([]byte, DigestBodyBytes+1)
	content := Content{Service: "s", Method: "GET", Path: "/a", Query: "q", Caller: "c", Body: body, Length: int64(len(body))}
	base := RequestOf(content)
	changed := slices.Clone(body)
	changed[DigestBodyBytes] = 1
	if RequestOf(withBody(content, changed)) != base {
		t.Error("bytes beyond the first 64 KiB change the digest")
	}
	changed[DigestBodyBytes-1] = 1
	pathAndQuery, serviceAndMethod, length := content, content, content
	pathAndQuery.Path, pathAndQuery.Query = "/aq", ""
	serviceAndMethod.Service, serviceAndMethod.Method = "sG", "ET"
	length.Length++
	for i, c := range []Content{withBody(content, changed), pathAndQuery, serviceAndMethod, length} {
		if r := RequestOf(c); r.Digest == base.Digest || r.Shared == base.Shared {
			t.Errorf("request %d has a digest of another", i)
		}
	}
	caller := content
	caller.Caller = "d"
	if r := RequestOf(caller); r.Digest == base.Digest || r.Shared != base.Shared {
		t.Errorf("equal requests of two callers: %+v and %+v, want another Digest and the same Shared", r, base)
	}
}

func withBody(c Content, body []byte) Content {
	c.Body = body
	return c
}
