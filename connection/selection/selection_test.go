package selection

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func candidates(n, domains int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{Target: fmt.Sprintf("t%05d", i), Node: fmt.Sprintf("n%04d", i%790), Service: "svc", Slots: 6,
			Domain: fmt.Sprintf("d%d", i%domains), Region: fmt.Sprintf("r%d", i%domains/3)}
	}
	return cs
}

func selector(o Options, cs []Candidate) *Selector {
	o.Entry, o.Domain, o.Region = "e0", "d0", "r0"
	s := New(o, rand.New(rand.NewPCG(1, 2)))
	s.SetCandidates(start, cs)
	return s
}

func healthy(string) health.State { return health.State{Weight: 1} }

// A subset that differs between nodes, or moves more than the places that
// change, costs new connections and evidence.
func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n, domains := rapid.IntRange(1, 200).Draw(rt, "n"), rapid.IntRange(1, 9).Draw(rt, "domains")
		size := rapid.IntRange(1, 30).Draw(rt, "size")
		cs := candidates(n, domains)
		a := Subset("e1", "d0", size, cs)
		if len(a) != min(n, size) {
			rt.Fatalf("subset has %d of %d, size %d", len(a), n, size)
		}
		shuffled := append([]Candidate(nil), cs...)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		r.Shuffle(n, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		in := map[string]bool{}
		for i, c := range Subset("e1", "d0", size, shuffled) {
			if c.Target != a[i].Target {
				rt.Fatalf("place %d depends on the order of candidates", i)
			}
			in[c.Target] = true
		}
		gone := rapid.IntRange(0, n-1).Draw(rt, "gone")
		rest := append(append([]Candidate(nil), cs[:gone]...), cs[gone+1:]...)
		fresh := 0
		for _, c := range Subset("e1", "d0", size, rest) {
			if !in[c.Target] {
				fresh++
			}
		}
		// A domain that runs out of targets passes its place to another.
		if fresh > 1 {
			rt.Fatalf("%d new members after one candidate left", fresh)
		}
	})
}

// Guards against a subset that is kept although the candidates of its service
// changed, and against load that is lost where they did not.
func TestSubsetFollowsCandidates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cs := candidates(rapid.IntRange(2, 60).Draw(rt, "n"), 4)
		for i := range cs {
			cs[i].Service = fmt.Sprint("s", i%3)
		}
		s := selector(Options{SubsetSize: 6}, cs)
		for range 20 {
			i := rapid.IntRange(0, len(cs)-1).Draw(rt, "candidate")
			cs = append([]Candidate(nil), cs...)
			switch c := &cs[i]; rapid.IntRange(0, 4).Draw(rt, "change") {
			case 0:
				c.Leaving = !c.Leaving
			case 1:
				c.Service = fmt.Sprint("s", rapid.IntRange(0, 2).Draw(rt, "service"))
			case 2:
				c.Domain = fmt.Sprint("d", rapid.IntRange(0, 3).Draw(rt, "domain"))
			case 3:
				c.ColdSince = c.ColdSince.Add(time.Second)
			}
			inFlight := map[string]int{}
			for id, m := range s.targets {
				inFlight[id] = m.inFlight
			}
			s.SetCandidates(start, cs)
			fresh := selector(Options{SubsetSize: 6}, cs)
			for _, service := range []string{"s0", "s1", "s2"} {
				got, want := s.Subset(service), fresh.Subset(service)
				if !slices.Equal(got, want) {
					rt.Fatalf("service %s: %v, want %v", service, got, want)
				}
				for _, c := range got {
					if s.targets[c.Target].inFlight != inFlight[c.Target] {
						rt.Fatalf("target %s: %d in flight, want %d", c.Target, s.targets[c.Target].inFlight, inFlight[c.Target])
					}
				}
				if len(got) > 0 {
					s.Started(got[0].Target, false)
				}
			}
		}
	})
}

// spreadLoss is the share of a subset that one failure domain takes with it.
func spreadLoss(o Options) float64 {
	cs := candidates(240, 9)
	for i := range cs[:120] { // half of the targets in one domain
		cs[i].Domain = "d8"
	}
	n := map[string]int{}
	members := selector(o, cs).Subset("svc")
	worst := 0
	for _, c := range members {
		n[c.Domain]++
		worst = max(worst, n[c.Domain])
	}
	return float64(worst) / float64(len(members))
}

// shares runs picks with the given in-flight time in picks and returns counts.
func shares(s *Selector, picks, inFlight int, state func(string) health.State, now time.Time) map[string]int {
	counts, queue := map[string]int{}, []string(nil)
	for range picks {
		c, ok := s.Pick(now, Query{Service: "svc"}, state)
		if !ok {
			continue
		}
		counts[c.Target]++
		s.Started(c.Target, false)
		queue = append(queue, c.Target)
		if len(queue) > inFlight {
			s.Finished(queue[0], false)
			queue = queue[1:]
		}
	}
	return counts
}

// Each mechanism of selection prevents its violation; without it the violation
// appears.
func TestMechanisms(t *testing.T) {
	for _, m := range []struct {
		name     string
		off      func(*switches)
		violated func(o Options) bool
	}{
		// A subset within one failure domain is lost with it.
		{"spread", func(s *switches) { s.spread = true }, func(o Options) bool { return spreadLoss(o) > 0.25 }},
		// Work that leaves an idle failure domain pays the way.
		{"local", func(s *switches) { s.local = true }, func(o Options) bool {
			remote := 0
			for id, n := range shares(selector(o, candidates(24, 4)), 1000, 2, healthy, start) {
				if id != "t00000" && id != "t00004" && id != "t00008" && id != "t00012" && id != "t00016" && id != "t00020" {
					remote += n
				}
			}
			return remote > 0
		}},
		// One random choice gives single targets a queue while others idle.
		{"twoChoices", func(s *switches) { s.twoChoices = true }, func(o Options) bool {
			s, most := selector(o, candidates(12, 1)), 0.0
			queue := []string{}
			for range 3000 {
				c, _ := s.Pick(start, Query{Service: "svc"}, healthy)
				s.Started(c.Target, false)
				most = max(most, c.Load)
				if queue = append(queue, c.Target); len(queue) > 36 {
					s.Finished(queue[0], false)
					queue = queue[1:]
				}
			}
			return most > 1
		}},
		// Without the load that gates report, an entry sends to targets that others have filled.
		{"reported", func(s *switches) { s.reported = true }, func(o Options) bool {
			s := selector(o, candidates(4, 1))
			s.ObserveLoad(start, "t00001", attempt.Load{Slots: 6, Limit: 6, Running: 6, Queued: 6})
			return shares(s, 400, 0, healthy, start)["t00001"] > 40
		}},
		// A cold target at full share is overrun.
		{"slowStart", func(s *switches) { s.slowStart = true }, func(o Options) bool {
			cs := candidates(8, 1)
			cs[2].ColdSince, cs[2].SlowStart = start, 5*time.Second
			return shares(selector(o, cs), 8000, 0, healthy, start)["t00002"] > 300
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			if m.violated(Options{}) {
				t.Error("violated with the mechanism")
			}
			var o Options
			m.off(&o.off)
			if !m.violated(o) {
				t.Error("not violated without the mechanism: the scenario proves nothing")
			}
		})
	}
}

// Work spills over when the own domain is full, and returns with idle slots.
func TestSpillOver(t *testing.T) {
	s := selector(Options{}, candidates(24, 4))
	remote := func(inFlight int) int {
		n := 0
		for id, c := range shares(s, 2000, inFlight, healthy, start) {
			var i int
			_, _ = fmt.Sscanf(id, "t%d", &i)
			if i%4 != 0 {
				n += c
			}
		}
		return n
	}
	if n := remote(120); n < 500 {
		t.Errorf("%d of 2000 requests spilled over at 120 in flight on 36 local slots", n)
	}
}

// A retry that goes to a tried target, an ejected one or needlessly to the
// failed domain wastes the attempt.
func TestPickRespectsQuery(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n, domains := rapid.IntRange(1, 20).Draw(rt, "n"), rapid.IntRange(1, 4).Draw(rt, "domains")
		cs := candidates(n, domains)
		states := map[string]health.State{}
		for i := range cs {
			cs[i].Leaving = rapid.IntRange(0, 5).Draw(rt, "leaving") == 0
			states[cs[i].Target] = health.State{Weight: 1}
			if rapid.IntRange(0, 2).Draw(rt, "ejected") == 0 {
				states[cs[i].Target] = health.State{Ejected: true}
			}
		}
		s := selector(Options{}, cs)
		state := func(id string) health.State { return states[id] }
		q := Query{Service: "svc"}
		usable := map[string]Candidate{}
		for _, c := range cs {
			switch {
			case rapid.IntRange(0, 3).Draw(rt, "tried") == 0:
				q.ExcludeTargets = append(q.ExcludeTargets, c.Target)
			case rapid.IntRange(0, 5).Draw(rt, "refused") == 0:
				q.ExcludeNodes = append(q.ExcludeNodes, c.Node)
			case !c.Leaving && !states[c.Target].Ejected:
				usable[c.Target] = c
			}
		}
		if rapid.Bool().Draw(rt, "avoid") {
			q.AvoidDomains = []string{"d0"}
		}
		q.FreeSlotOnly = rapid.Bool().Draw(rt, "free")
		if q.FreeSlotOnly {
			for id := range usable {
				running := rapid.IntRange(0, 6).Draw(rt, "running")
				s.ObserveLoad(start, id, attempt.Load{Slots: 6, Limit: 6, Running: running})
				if running == 6 {
					delete(usable, id)
				}
			}
		}
		c, ok := s.Pick(start, q, state)
		if ok != (len(usable) > 0) {
			rt.Fatalf("picked %v, %d usable", ok, len(usable))
		}
		if !ok {
			return
		}
		if _, good := usable[c.Target]; !good {
			rt.Fatalf("picked %s, which is not usable", c.Target)
		}
		if len(q.AvoidDomains) > 0 && c.Domain == "d0" {
			for _, u := range usable {
				if u.Domain != "d0" {
					rt.Fatalf("picked the avoided domain though %s is elsewhere", u.Target)
				}
			}
		}
	})
}

// An ejected target whose trickle is never sent cannot return.
func TestTrickle(t *testing.T) {
	s := selector(Options{}, candidates(8, 4))
	state := func(id string) health.State { return health.State{Ejected: id == "t00005", Weight: 1} }
	taken := 0
	q := Query{Service: "svc", ClaimTrickle: func(string) bool { taken++; return taken == 1 }}
	n := 0
	for range 500 {
		c, ok := s.Pick(start, q, state)
		if !ok || c.Trickle != (c.Target == "t00005") {
			t.Fatalf("pick %+v %v", c, ok)
		}
		if c.Trickle {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d trickle requests for one claimed slot", n)
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 7300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			cs := candidates(n, 9)
			for b.Loop() {
				Subset("e0", "d0", 24, cs)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 52, 7300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			s := selector(Options{}, candidates(n, 9))
			b.ReportAllocs()
			for b.Loop() {
				c, _ := s.Pick(start, Query{Service: "svc"}, healthy)
				s.Started(c.Target, false)
				s.Finished(c.Target, false)
			}
		})
	}
}

func BenchmarkPickOneOfFourEjected(b *testing.B) {
	s := selector(Options{}, candidates(52, 9))
	states := map[string]health.State{}
	for i, c := range s.Subset("svc") {
		states[c.Target] = health.State{Ejected: i%4 == 0, Weight: float64(min(i%4, 1))}
	}
	state := func(id string) health.State { return states[id] }
	for b.Loop() {
		_, _ = s.Pick(start, Query{Service: "svc"}, state)
	}
}
