package health

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// violationCounter is a reporter that counts failed checks instead of ending the
// test.
type violationCounter struct{ n int }

func (v *violationCounter) Check(_ invariant.Name, ok bool, _ string, _ ...any) {
	if !ok {
		v.n++
	}
}

// mechanisms lists scenarios that return a number of violations, each with the
// switch that turns off the mechanism that prevents them.
var mechanisms = []struct {
	name     string
	off      func(*switches)
	scenario func(o Options) int
}{
	// Without evidence from requests in progress, a hang shows only at timeouts.
	{"overdue", func(s *switches) { s.overdue = true }, func(o Options) int {
		d := detectionTimes("hang", 20, 1, 20, o)
		return countOver(d, time.Second)
	}},
	// Without comparison with peers, a slow shared dependency ejects all targets.
	{"peers", func(s *switches) { s.peers = true }, func(o Options) int { return max(2*mistakenEjections("shared", 4, o)-30, 0) }},
	// Without telling callers apart, the failing requests of one caller eject targets.
	{"callers", func(s *switches) { s.callers = true }, func(o Options) int { return mistakenEjections("bad-caller", 2, o) }},
	// Without the allowance for queues, a demand peak ejects healthy targets.
	{"queue", func(s *switches) { s.queue = true }, func(o Options) int { return mistakenEjections("peak", 2, o) }},
	// Without the allowance for cold starts, a new incarnation is ejected.
	{"cold", func(s *switches) { s.cold = true }, func(o Options) int { return mistakenEjections("cold", 1, o) }},
	// Without a bound on the evidence from probes, a failing probe path ejects.
	{"probeCap", func(s *switches) { s.probeCap = true }, func(o Options) int { return mistakenEjections("endpoint", 1, o) }},
	// Without the bound on hints, a target's own health endpoint ejects it.
	{"hintRule", func(s *switches) { s.hintRule = true }, func(o Options) int { return mistakenEjections("endpoint", 1, o) }},
	// Without a delay that differs between entries, the trickle requests of entries
	// that eject a target at one time arrive at one time.
	{"trickleSpread", func(s *switches) { s.trickleSpread = true }, trickleBurst},
	// Without detection of pauses, ages measured across a pause of this host eject
	// healthy targets.
	{"pause", func(s *switches) { s.pause = true }, func(o Options) int {
		s := newSim(1, 1, 8, 4, 160, o)
		s.run(warmUp)
		e := s.entries[0]
		for range 2 {
			ev := Evidence{Kind: Started, Target: "t03", Node: "n03", Class: "web"}
			for i := range uint64(3) {
				ev.Attempt = 1<<60 + i
				e.tracker.Observe(s.now, ev)
			}
			e.paused = true
			s.run(1500 * time.Millisecond)
			ev.Kind, ev.Duration = Finished, 1500*time.Millisecond
			for i := range uint64(3) {
				ev.Attempt = 1<<60 + i
				s.handleChanges(e, e.tracker.Observe(s.now, ev))
			}
			e.paused = false
			s.run(10 * time.Second)
		}
		return s.count(Eject) + s.count(PathDown)
	}},
	// Without the floor, a service may lose more targets than it can spare.
	{"floor", func(s *switches) { s.floor = true }, func(o Options) int {
		s := newSim(2, 1, 8, 4, 160, o)
		v := &violationCounter{}
		s.entries[0].tracker.reporter = v
		s.run(warmUp)
		for i, name := range []string{"hang", "wrong", "half-fail", "slow", "hang", "wrong"} {
			s.targets[i].behavior = grayFailures[name]
		}
		s.run(20 * time.Second)
		return v.n
	}},
	// Without detection of lost connections, they count against target or path.
	{"stale", func(s *switches) { s.stale = true }, func(o Options) int {
		n := 0
		for seed := range uint64(40) {
			s := newSim(seed, 1, 8, 4, 160, o)
			s.run(warmUp)
			for range 2 {
				s.targets[4].connsLostBefore = s.now
				s.run(5 * time.Second)
			}
			n += s.count(Eject) + s.count(PathDown)
		}
		return n
	}},
	// Without detection of unreachable domains, their targets are ejected.
	{"domain", func(s *switches) { s.domain = true }, func(o Options) int {
		s := newSim(3, 1, 12, 3, 240, o)
		s.run(warmUp)
		for _, tgt := range s.targets {
			if tgt.info.Domain == "d1" {
				tgt.unresponsiveTo = func(int) bool { return true }
			}
		}
		s.run(10 * time.Second)
		n := 0
		for _, tgt := range s.targets {
			if st := s.entries[0].tracker.State(tgt.info.ID); st.Ejected {
				n++
			} else if tgt.info.Domain == "d1" && st.Weight > unreachableWeight {
				n++
			}
		}
		return n
	}},
	// Without evidence on paths, a failure between this entry and a gate reaches
	// other entries as evidence on the target.
	{"path", func(s *switches) { s.path = true }, func(o Options) int {
		s := newSim(4, 3, 8, 4, 160, o)
		s.run(warmUp)
		s.targets[5].unresponsiveTo = func(entry int) bool { return entry == 0 }
		n := 0
		for range 50 {
			s.run(100 * time.Millisecond)
			for _, r := range s.entries[0].tracker.Reports(s.now) {
				if r.Target == "t05" {
					n++
				}
			}
		}
		return n
	}},
	// Without a growing ejection time, a flapping target returns every few seconds.
	{"doubling", func(s *switches) { s.doubling = true }, func(o Options) int {
		o.ReturnSuccesses = 3 // with more, five good seconds are too short to return
		s := newSim(5, 1, 8, 4, 160, o)
		s.run(warmUp)
		s.targets[6].behavior = func(s *sim, _ int) response {
			return response{hang: s.now.Sub(simStart)/(5*time.Second)%2 == 0, latency: s.healthyLatency(1)}
		}
		s.run(4 * time.Minute)
		return max(s.count(Eject)-12, 0)
	}},
	// Without a bound on reports, the report of a single entry ejects elsewhere.
	{"reportRule", func(s *switches) { s.reportRule = true }, func(o Options) int {
		s := newSim(6, 1, 8, 4, 160, o)
		s.run(warmUp)
		s.every(time.Second, func() {
			r := Report{From: "mistaken", Target: "t02", Suspicion: 1}
			s.handleChanges(s.entries[0], s.entries[0].tracker.Observe(s.now, Evidence{Kind: RemoteReport, Target: "t02", Report: r}))
		})
		s.run(time.Minute)
		return s.count(Eject)
	}},
}

func countOver(times []time.Duration, bound time.Duration) int {
	n := 0
	for _, v := range times {
		if v > bound {
			n++
		}
	}
	return n
}

// Guards against mechanisms that no longer prevent their violations, and against
// scenarios that show no violation when the mechanism is off.
func TestMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if n := m.scenario(Options{}); n > 0 {
				t.Errorf("%d violations with the mechanism", n)
			}
			var o Options
			m.off(&o.disabled)
			if n := m.scenario(o); n == 0 {
				t.Error("no violation without the mechanism: the scenario proves nothing")
			}
		})
	}
}

// Guards against reports that do not add up: two entries whose reports are not
// enough alone eject a target together.
func TestReportsOfSeveralEntriesEject(t *testing.T) {
	s := newSim(7, 1, 8, 4, 160, Options{})
	s.run(warmUp)
	for _, from := range []string{"a", "b"} {
		r := Report{From: from, Target: "t02", Suspicion: 1}
		s.handleChanges(s.entries[0], s.entries[0].tracker.Observe(s.now, Evidence{Kind: RemoteReport, Target: "t02", Report: r}))
	}
	if !s.entries[0].tracker.State("t02").Ejected {
		t.Error("the reports of two entries do not eject the target")
	}
}

// Guards against ejection at all entries when the responses of a gate do not reach
// one of them, and against ejection that lasts long after the partition.
func TestOneWayPartition(t *testing.T) {
	s := newSim(8, 2, 8, 4, 160, Options{})
	s.run(warmUp)
	for range 2 {
		s.targets[1].unresponsiveTo = func(entry int) bool { return entry == 0 }
		s.run(3 * time.Second)
		if !s.entries[0].tracker.State("t01").Ejected || s.entries[1].tracker.State("t01").Ejected {
			t.Fatalf("ejected at the entry without responses: %v, at the other: %v",
				s.entries[0].tracker.State("t01").Ejected, s.entries[1].tracker.State("t01").Ejected)
		}
		s.targets[1].unresponsiveTo = nil
		s.run(15 * time.Second)
		if st := s.entries[0].tracker.State("t01"); st.Ejected {
			t.Fatalf("still ejected after the partition: %+v", st)
		}
	}
}

// Guards against crash evidence that stays after it was retracted because a
// quarantined request caused the crash.
func TestRetractedCrash(t *testing.T) {
	s := newSim(9, 1, 8, 4, 160, Options{})
	s.run(warmUp)
	tracker := s.entries[0].tracker
	tracker.Observe(s.now, Evidence{Kind: Finished, Target: "t00", Fault: Crash})
	before := tracker.targets["t00"].crashSum
	tracker.Observe(s.now, Evidence{Kind: CrashRetracted, Target: "t00"})
	if before != crashRatio || tracker.targets["t00"].crashSum != 0 {
		t.Errorf("crash evidence %v, after retraction %v", before, tracker.targets["t00"].crashSum)
	}
}

// Guards against requests that an earlier incarnation left unfinished and that
// eject the next one.
func TestNewIncarnationStartsWithoutEvidence(t *testing.T) {
	s := newSim(10, 1, 8, 4, 160, Options{})
	s.run(warmUp)
	s.targets[2].behavior = grayFailures["hang"]
	s.run(3 * time.Second)
	s.targets[2].clearFaults()
	s.targets[2].info.Incarnation = attempt.Incarnation{StartedMS: s.now.UnixMilli()}
	s.changes = nil
	s.setTargets()
	s.run(5 * time.Second)
	if s.count(Return) != 1 || s.count(Eject) != 0 {
		t.Errorf("%d returns and %d ejections after the restart", s.count(Return), s.count(Eject))
	}
}

// Guards against a verdict that is taken as evidence on the target when it concerns
// the path, or the reverse.
func TestFaultOf(t *testing.T) {
	for _, c := range []struct {
		v    attempt.Verdict
		r    attempt.Reason
		code int
		want Fault
	}{
		{attempt.VerdictRan, "", 200, NoFault}, {attempt.VerdictRan, "", 404, NoFault},
		{attempt.VerdictRan, "", 503, Error}, {attempt.VerdictRefused, attempt.ReasonOverload, 503, Refused},
		{attempt.VerdictFailed, attempt.ReasonDeadline, 0, Timeout}, {attempt.VerdictFailed, attempt.ReasonResponseCorrupt, 0, Corrupt},
		{attempt.VerdictCrashed, "", 0, Crash}, {"", "", 0, GateUnresponsive},
	} {
		if got := FaultOf(c.v, c.r, c.code); got != c.want {
			t.Errorf("FaultOf(%q, %q, %d) = %d, want %d", c.v, c.r, c.code, got, c.want)
		}
	}
}

// trickleBurst returns by how much the trickle requests of 24 entries in any
// quarter of a second exceed 8, three times the mean.
func trickleBurst(o Options) int {
	const entries, step, window = 24, 10 * time.Millisecond, 25
	var trackers []*Tracker
	start := time.Unix(0, 0)
	for i := range entries {
		tracker := New(o, invariant.PanicReporter{})
		tracker.SetEntries(string(rune('a'+i)), entries)
		tracker.SetTargets(start, []TargetInfo{{ID: "t", Node: "n", Domain: "d", Service: "s"}})
		tracker.eject(start, ejectionCandidate{target: tracker.targets["t"]})
		trackers = append(trackers, tracker)
	}
	var claims []int // per step
	maxClaims := 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		n := 0
		for _, tracker := range trackers {
			if tracker.ClaimTrickle(now, "t") {
				n++
				tracker.targets["t"].trickleInProgress = false
			}
		}
		claims = append(claims, n)
		sum := 0
		for _, k := range claims[max(0, len(claims)-window):] {
			sum += k
		}
		maxClaims = max(maxClaims, sum)
	}
	return max(maxClaims-8, 0)
}

// Guards against targets of a service without idempotent work that never
// return, and against non-idempotent work at a target whose probes fail.
func TestProbedTrickle(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New(Options{}, invariant.PanicReporter{})
	tracker.SetEntries("e", 1)
	tracker.SetTargets(now, []TargetInfo{{ID: "t", Node: "n", Domain: "d", Service: "s"}})
	tracker.eject(now, ejectionCandidate{target: tracker.targets["t"]})
	probe := func(f Fault) { tracker.Observe(now, Evidence{Kind: Probe, Target: "t", Node: "n", Fault: f}) }
	now = now.Add(5 * time.Second)
	if tracker.ClaimProbedTrickle(now, "t") {
		t.Error("claimed without a probe")
	}
	probe(NoFault)
	probe(NoFault)
	probe(Error)
	probe(NoFault)
	probe(NoFault)
	if tracker.ClaimProbedTrickle(now, "t") {
		t.Error("claimed with two good probes in sequence")
	}
	probe(NoFault)
	if !tracker.ClaimProbedTrickle(now, "t") {
		t.Error("not claimed with three good probes in sequence")
	}
}

// Guards against suspicion of a target because of requests that queued at its gate
// until their timeout, as at a demand peak.
func TestQueuedUntilDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New(Options{}, invariant.PanicReporter{})
	tracker.SetEntries("e", 1)
	tracker.SetTargets(now, []TargetInfo{{ID: "t", Node: "n", Domain: "d", Service: "s"}, {ID: "u", Node: "m", Domain: "d", Service: "s"}})
	for id := uint64(1); id <= 20; id++ {
		ev := Evidence{Target: "t", Node: "n", Class: "web", Attempt: id, ConnectedAt: now}
		for _, step := range []struct {
			kind  Kind
			fault Fault
			after time.Duration
		}{{Started, NoFault, 0}, {GateStatus, NoFault, 20 * time.Second}, {Finished, GateUnresponsive, 10 * time.Second}} {
			for end := now.Add(step.after); now.Before(end); now = now.Add(100 * time.Millisecond) {
				tracker.Tick(now)
			}
			ev.Kind, ev.Fault, ev.Running, ev.Duration = step.kind, step.fault, step.kind == GateStatus, 30*time.Second
			tracker.Observe(now, ev)
		}
	}
	if s := tracker.State("t"); s.Ejected || s.Suspicion > 0 {
		t.Errorf("suspicion %.2f, ejected %t: %s", s.Suspicion, s.Ejected, s.Why)
	}
}
