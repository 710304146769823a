package health

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// violations counts failed checks instead of ending the test.
type violations struct{ n int }

func (v *violations) Check(_ invariant.Name, ok bool, _ string, _ ...any) {
	if !ok {
		v.n++
	}
}

// mechanisms lists scenarios that count violations, each with the switch whose
// mechanism prevents them.
var mechanisms = []struct {
	name     string
	off      func(*switches)
	scenario func(o Options) int
}{
	// Without evidence of requests in progress, a hang shows at timeouts only.
	{"overdue", func(s *switches) { s.overdue = true }, func(o Options) int {
		d := detections("hang", 20, 1, 20, o)
		return over(d, time.Second)
	}},
	// Without comparison with peers, a slow shared dependency ejects all targets.
	{"peers", func(s *switches) { s.peers = true }, func(o Options) int { return max(2*mistakes("shared", 4, o)-30, 0) }},
	// Without regard to callers, one caller's failing requests eject targets.
	{"callers", func(s *switches) { s.callers = true }, func(o Options) int { return mistakes("bad-caller", 2, o) }},
	// Without the allowance for queues, a demand peak ejects healthy targets.
	{"queue", func(s *switches) { s.queue = true }, func(o Options) int { return mistakes("peak", 2, o) }},
	// Without the allowance for cold starts, a new incarnation is ejected.
	{"cold", func(s *switches) { s.cold = true }, func(o Options) int { return mistakes("cold", 1, o) }},
	// Without a bound on probes, a failing probe path ejects.
	{"probeCap", func(s *switches) { s.probeCap = true }, func(o Options) int { return mistakes("endpoint", 1, o) }},
	// A target's own endpoint must not eject it.
	{"hintRule", func(s *switches) { s.hintRule = true }, func(o Options) int { return mistakes("endpoint", 1, o) }},
	// Without a phase of its own per entry, the trickle requests of all entries
	// that ejected a target together arrive together.
	{"trickleSpread", func(s *switches) { s.trickleSpread = true }, trickleBurst},
	// Ages measured across a pause of this host would eject healthy targets.
	{"pause", func(s *switches) { s.pause = true }, func(o Options) int {
		s := newSim(1, 1, 8, 4, 160, o)
		s.run(warmUp)
		e := s.entries[0]
		for range 2 {
			ev := Evidence{Kind: Started, Target: "t03", Node: "n03", Class: "web"}
			for i := range uint64(3) {
				ev.Attempt = 1<<60 + i
				e.tr.Observe(s.now, ev)
			}
			e.paused = true
			s.run(1500 * time.Millisecond)
			ev.Kind, ev.Duration = Finished, 1500*time.Millisecond
			for i := range uint64(3) {
				ev.Attempt = 1<<60 + i
				s.note(e, e.tr.Observe(s.now, ev))
			}
			e.paused = false
			s.run(10 * time.Second)
		}
		return s.count(Eject) + s.count(PathDown)
	}},
	// More ejections than the floor allows drop healthy capacity.
	{"floor", func(s *switches) { s.floor = true }, func(o Options) int {
		s := newSim(2, 1, 8, 4, 160, o)
		v := &violations{}
		s.entries[0].tr.reporter = v
		s.run(warmUp)
		for i, name := range []string{"hang", "wrong", "half-fail", "slow", "hang", "wrong"} {
			s.targets[i].behave = grayFailures[name]
		}
		s.run(20 * time.Second)
		return v.n
	}},
	// Connections that went silent must not be held against target or path.
	{"stale", func(s *switches) { s.stale = true }, func(o Options) int {
		n := 0
		for seed := range uint64(40) {
			s := newSim(seed, 1, 8, 4, 160, o)
			s.run(warmUp)
			for range 2 {
				s.targets[4].staleBefore = s.now
				s.run(5 * time.Second)
			}
			n += s.count(Eject) + s.count(PathDown)
		}
		return n
	}},
	// The targets of an unreachable domain are not judged.
	{"domain", func(s *switches) { s.domain = true }, func(o Options) int {
		s := newSim(3, 1, 12, 3, 240, o)
		s.run(warmUp)
		for _, g := range s.targets {
			if g.info.Domain == "d1" {
				g.silentTo = func(int) bool { return true }
			}
		}
		s.run(10 * time.Second)
		n := 0
		for _, g := range s.targets {
			if st := s.entries[0].tr.State(g.info.ID); st.Ejected {
				n++
			} else if g.info.Domain == "d1" && st.Weight > unreachableWeight {
				n++
			}
		}
		return n
	}},
	// Silence between this entry and a gate must not reach other entries as
	// evidence on the target.
	{"path", func(s *switches) { s.path = true }, func(o Options) int {
		s := newSim(4, 3, 8, 4, 160, o)
		s.run(warmUp)
		s.targets[5].silentTo = func(caller int) bool { return caller == 0 }
		n := 0
		for range 50 {
			s.run(100 * time.Millisecond)
			for _, r := range s.entries[0].tr.Reports(s.now) {
				if r.Target == "t05" {
					n++
				}
			}
		}
		return n
	}},
	// Without a growing hold time, a flapping target returns each few seconds.
	{"doubling", func(s *switches) { s.doubling = true }, func(o Options) int {
		o.ReturnSuccesses = 3 // with more, five good seconds are too few to return
		s := newSim(5, 1, 8, 4, 160, o)
		s.run(warmUp)
		s.targets[6].behave = func(s *sim, _ int) answer {
			return answer{hang: s.now.Sub(simStart)/(5*time.Second)%2 == 0, latency: s.normal(1)}
		}
		s.run(4 * time.Minute)
		return max(s.count(Eject)-12, 0)
	}},
	// One entry's report must not eject elsewhere.
	{"reportRule", func(s *switches) { s.reportRule = true }, func(o Options) int {
		s := newSim(6, 1, 8, 4, 160, o)
		s.run(warmUp)
		s.every(time.Second, func() {
			r := Report{From: "mistaken", Target: "t02", Suspicion: 1}
			s.note(s.entries[0], s.entries[0].tr.Observe(s.now, Evidence{Kind: RemoteReport, Target: "t02", Report: r}))
		})
		s.run(time.Minute)
		return s.count(Eject)
	}},
}

func over(d []time.Duration, bound time.Duration) int {
	n := 0
	for _, v := range d {
		if v > bound {
			n++
		}
	}
	return n
}

// Each mechanism prevents its violation, and the violation appears without it.
func TestMechanisms(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if n := m.scenario(Options{}); n > 0 {
				t.Errorf("%d violations with the mechanism", n)
			}
			var o Options
			m.off(&o.off)
			if n := m.scenario(o); n == 0 {
				t.Error("no violation without the mechanism: the scenario proves nothing")
			}
		})
	}
}

// Several entries that suspect a little decide together what none could alone.
func TestReportsOfSeveralEntriesEject(t *testing.T) {
	s := newSim(7, 1, 8, 4, 160, Options{})
	s.run(warmUp)
	for _, from := range []string{"a", "b"} {
		r := Report{From: from, Target: "t02", Suspicion: 1}
		s.note(s.entries[0], s.entries[0].tr.Observe(s.now, Evidence{Kind: RemoteReport, Target: "t02", Report: r}))
	}
	if !s.entries[0].tr.State("t02").Ejected {
		t.Error("two entries' reports do not eject")
	}
}

// A gate that hears this entry but cannot answer is avoided by this entry only,
// and soon used again after the partition.
func TestOneWayPartition(t *testing.T) {
	s := newSim(8, 2, 8, 4, 160, Options{})
	s.run(warmUp)
	for range 2 {
		s.targets[1].silentTo = func(caller int) bool { return caller == 0 }
		s.run(3 * time.Second)
		if !s.entries[0].tr.State("t01").Ejected || s.entries[1].tr.State("t01").Ejected {
			t.Fatalf("ejected at the entry without answers: %v, at the other: %v",
				s.entries[0].tr.State("t01").Ejected, s.entries[1].tr.State("t01").Ejected)
		}
		s.targets[1].silentTo = nil
		s.run(15 * time.Second)
		if st := s.entries[0].tr.State("t01"); st.Ejected {
			t.Fatalf("still ejected after the partition: %+v", st)
		}
	}
}

// A crash evidence that a quarantined request explains is taken back.
func TestWithdrawnCrash(t *testing.T) {
	s := newSim(9, 1, 8, 4, 160, Options{})
	s.run(warmUp)
	tr := s.entries[0].tr
	tr.Observe(s.now, Evidence{Kind: Finished, Target: "t00", Fault: Crash})
	before := tr.targets["t00"].crash
	tr.Observe(s.now, Evidence{Kind: CrashRetracted, Target: "t00"})
	if before != crashRatio || tr.targets["t00"].crash != 0 {
		t.Errorf("crash evidence %v, after withdrawal %v", before, tr.targets["t00"].crash)
	}
}

// What an earlier incarnation left unfinished must not eject the next one.
func TestNewIncarnationStartsWithoutEvidence(t *testing.T) {
	s := newSim(10, 1, 8, 4, 160, Options{})
	s.run(warmUp)
	s.targets[2].behave = grayFailures["hang"]
	s.run(3 * time.Second)
	s.targets[2].heal()
	s.targets[2].info.Incarnation = attempt.Incarnation{StartedMS: s.now.UnixMilli()}
	s.changes = nil
	s.setTargets()
	s.run(5 * time.Second)
	if s.count(Return) != 1 || s.count(Eject) != 0 {
		t.Errorf("%d returns and %d ejections after the restart", s.count(Return), s.count(Eject))
	}
}

// Guards against a verdict that is counted as evidence on the target when it
// concerns the path, or the reverse.
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
		tr := New(o, invariant.PanicReporter{})
		tr.SetEntries(string(rune('a'+i)), entries)
		tr.SetTargets(start, []TargetInfo{{ID: "t", Node: "n", Domain: "d", Service: "s"}})
		tr.eject(start, suspect{g: tr.targets["t"]})
		trackers = append(trackers, tr)
	}
	var taken []int // per step
	most := 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		n := 0
		for _, tr := range trackers {
			if tr.ClaimTrickle(now, "t") {
				n++
				tr.targets["t"].trickleBusy = false
			}
		}
		taken = append(taken, n)
		sum := 0
		for _, k := range taken[max(0, len(taken)-window):] {
			sum += k
		}
		most = max(most, sum)
	}
	return max(most-8, 0)
}

// Guards against targets of a service without idempotent work that never
// return, and against such work at a target whose probes fail.
func TestProbedTrickle(t *testing.T) {
	now := time.Unix(0, 0)
	tr := New(Options{}, invariant.PanicReporter{})
	tr.SetEntries("e", 1)
	tr.SetTargets(now, []TargetInfo{{ID: "t", Node: "n", Domain: "d", Service: "s"}})
	tr.eject(now, suspect{g: tr.targets["t"]})
	probe := func(f Fault) { tr.Observe(now, Evidence{Kind: Probe, Target: "t", Node: "n", Fault: f}) }
	now = now.Add(5 * time.Second)
	if tr.ClaimProbedTrickle(now, "t") {
		t.Error("claimed without a probe")
	}
	probe(NoFault)
	probe(NoFault)
	probe(Error)
	probe(NoFault)
	probe(NoFault)
	if tr.ClaimProbedTrickle(now, "t") {
		t.Error("claimed with two good probes in sequence")
	}
	probe(NoFault)
	if !tr.ClaimProbedTrickle(now, "t") {
		t.Error("not claimed with three good probes in sequence")
	}
}

// Guards against a target that is judged by requests that queued at its gate
// until their time was up, as at a demand peak.
func TestQueuedUntilTheDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	tr := New(Options{}, invariant.PanicReporter{})
	tr.SetEntries("e", 1)
	tr.SetTargets(now, []TargetInfo{{ID: "t", Node: "n", Domain: "d", Service: "s"}, {ID: "u", Node: "m", Domain: "d", Service: "s"}})
	for id := uint64(1); id <= 20; id++ {
		ev := Evidence{Target: "t", Node: "n", Class: "web", Attempt: id, ConnectedAt: now}
		for _, step := range []struct {
			kind  Kind
			fault Fault
			after time.Duration
		}{{Started, NoFault, 0}, {GateStatus, NoFault, 20 * time.Second}, {Finished, GateUnresponsive, 10 * time.Second}} {
			for end := now.Add(step.after); now.Before(end); now = now.Add(100 * time.Millisecond) {
				tr.Tick(now)
			}
			ev.Kind, ev.Fault, ev.Running, ev.Duration = step.kind, step.fault, step.kind == GateStatus, 30*time.Second
			tr.Observe(now, ev)
		}
	}
	if s := tr.State("t"); s.Ejected || s.Suspicion > 0 {
		t.Errorf("suspicion %.2f, ejected %t: %s", s.Suspicion, s.Ejected, s.Why)
	}
}
