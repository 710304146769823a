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

// TestMain fixes the seed and the number of checks of rapid unless flags set them.
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
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Target: fmt.Sprintf("t%05d", i), Node: fmt.Sprintf("n%04d", i%790), Service: "svc", Slots: 6,
			Domain: fmt.Sprintf("d%d", i%domains), Region: fmt.Sprintf("r%d", i%domains/3)}
	}
	return list
}

func newSelector(o Options, list []Candidate) *Selector {
	o.Entry, o.Domain, o.Region = "e0", "d0", "r0"
	s := New(o, rand.New(rand.NewPCG(1, 2)))
	s.SetCandidates(start, list)
	return s
}

func healthy(string) health.State { return health.State{Weight: 1} }

// Guards against a subset that depends on the order of candidates or that changes
// in more than one place when a candidate leaves, which costs new connections and
// health evidence.
func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n, domains := rapid.IntRange(1, 200).Draw(rt, "n"), rapid.IntRange(1, 9).Draw(rt, "domains")
		size := rapid.IntRange(1, 30).Draw(rt, "size")
		list := candidates(n, domains)
		before := Subset("e1", "d0", size, list)
		if len(before) != min(n, size) {
			rt.Fatalf("subset has %d of %d, size %d", len(before), n, size)
		}
		shuffled := append([]Candidate(nil), list...)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		r.Shuffle(n, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		members := map[string]bool{}
		for i, c := range Subset("e1", "d0", size, shuffled) {
			if c.Target != before[i].Target {
				rt.Fatalf("place %d depends on the order of candidates", i)
			}
			members[c.Target] = true
		}
		removed := rapid.IntRange(0, n-1).Draw(rt, "removed")
		remaining := append(append([]Candidate(nil), list[:removed]...), list[removed+1:]...)
		added := 0
		for _, c := range Subset("e1", "d0", size, remaining) {
			if !members[c.Target] {
				added++
			}
		}
		// The place of a domain without further targets goes to another domain.
		if added > 1 {
			rt.Fatalf("%d new members after one candidate left", added)
		}
	})
}

// Guards against a subset that is kept although the candidates of its service
// changed, and against counts of requests in flight that are lost.
func TestSubsetFollowsCandidates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := candidates(rapid.IntRange(2, 60).Draw(rt, "n"), 4)
		for i := range list {
			list[i].Service = fmt.Sprint("s", i%3)
		}
		s := newSelector(Options{SubsetSize: 6}, list)
		for range 20 {
			i := rapid.IntRange(0, len(list)-1).Draw(rt, "candidate")
			list = append([]Candidate(nil), list...)
			switch c := &list[i]; rapid.IntRange(0, 4).Draw(rt, "change") {
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
			s.SetCandidates(start, list)
			fresh := newSelector(Options{SubsetSize: 6}, list)
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
					s.Started(start, got[0].Target, false)
				}
			}
		}
	})
}

// largestDomainShare returns the largest share of a subset in one failure domain,
// which is lost when the domain fails.
func largestDomainShare(o Options) float64 {
	list := candidates(240, 9)
	for i := range list[:120] { // half of the targets in one domain
		list[i].Domain = "d8"
	}
	perDomain := map[string]int{}
	members := newSelector(o, list).Subset("svc")
	worst := 0
	for _, c := range members {
		perDomain[c.Domain]++
		worst = max(worst, perDomain[c.Domain])
	}
	return float64(worst) / float64(len(members))
}

// countPicks picks targets the given number of times, with at most inFlight
// requests in flight after each pick, and returns the number of picks per target.
func countPicks(s *Selector, picks, inFlight int, state func(string) health.State, now time.Time) map[string]int {
	counts, queue := map[string]int{}, []string(nil)
	for range picks {
		choice, ok := s.Pick(now, Query{Service: "svc"}, state)
		if !ok {
			continue
		}
		counts[choice.Target]++
		s.Started(now, choice.Target, false)
		queue = append(queue, choice.Target)
		if len(queue) > inFlight {
			s.Finished(queue[0], false)
			queue = queue[1:]
		}
	}
	return counts
}

// Proves that each mechanism of selection prevents its violation: the violation
// appears only when the mechanism is disabled.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, mechanism := range []struct {
		name     string
		disable  func(*switches)
		violated func(o Options) bool
	}{
		// A subset within one failure domain is lost with it.
		{"spread", func(s *switches) { s.spread = true }, func(o Options) bool { return largestDomainShare(o) > 0.25 }},
		// Work that leaves an idle failure domain pays for the longer way.
		{"local", func(s *switches) { s.local = true }, func(o Options) bool {
			remote := 0
			for id, n := range countPicks(newSelector(o, candidates(24, 4)), 1000, 2, healthy, start) {
				if id != "t00000" && id != "t00004" && id != "t00008" && id != "t00012" && id != "t00016" && id != "t00020" {
					remote += n
				}
			}
			return remote > 0
		}},
		// With one random choice, single targets get a queue while others are idle.
		{"twoChoices", func(s *switches) { s.twoChoices = true }, func(o Options) bool {
			s, maxLoad := newSelector(o, candidates(12, 1)), 0.0
			queue := []string{}
			for range 3000 {
				c, _ := s.Pick(start, Query{Service: "svc"}, healthy)
				s.Started(start, c.Target, false)
				maxLoad = max(maxLoad, c.Load)
				if queue = append(queue, c.Target); len(queue) > 36 {
					s.Finished(queue[0], false)
					queue = queue[1:]
				}
			}
			return maxLoad > 1
		}},
		// Without the load that gates report, an entry sends to targets that others have filled.
		{"reported", func(s *switches) { s.reported = true }, func(o Options) bool {
			s := newSelector(o, candidates(4, 1))
			s.ObserveLoad(start, "t00001", attempt.Load{Slots: 6, Limit: 6, Running: 6, Queued: 6})
			return countPicks(s, 400, 0, healthy, start)["t00001"] > 40
		}},
		// A cold target that gets its full share is overloaded.
		{"slowStart", func(s *switches) { s.slowStart = true }, func(o Options) bool {
			list := candidates(8, 1)
			list[2].ColdSince, list[2].SlowStart = start, 5*time.Second
			return countPicks(newSelector(o, list), 8000, 0, healthy, start)["t00002"] > 300
		}},
	} {
		t.Run(mechanism.name, func(t *testing.T) {
			if mechanism.violated(Options{}) {
				t.Error("violated with the mechanism")
			}
			var o Options
			mechanism.disable(&o.disabled)
			if !mechanism.violated(o) {
				t.Error("not violated without the mechanism: the scenario proves nothing")
			}
		})
	}
}

// Guards against work that stays in its own failure domain although that is full.
func TestSpillOver(t *testing.T) {
	s := newSelector(Options{}, candidates(24, 4))
	countRemote := func(inFlight int) int {
		count := 0
		for id, picks := range countPicks(s, 2000, inFlight, healthy, start) {
			var i int
			_, _ = fmt.Sscanf(id, "t%d", &i)
			if i%4 != 0 {
				count += picks
			}
		}
		return count
	}
	if count := countRemote(120); count < 500 {
		t.Errorf("%d of 2000 requests spilled over at 120 in flight on 36 local slots", count)
	}
}

// Guards against a wasted retry: at a target that was tried before or is ejected,
// or in the failed domain although another has usable targets.
func TestPickRespectsQuery(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count, domains := rapid.IntRange(1, 20).Draw(rt, "n"), rapid.IntRange(1, 4).Draw(rt, "domains")
		list := candidates(count, domains)
		states := map[string]health.State{}
		for i := range list {
			list[i].Leaving = rapid.IntRange(0, 5).Draw(rt, "leaving") == 0
			states[list[i].Target] = health.State{Weight: 1}
			if rapid.IntRange(0, 2).Draw(rt, "ejected") == 0 {
				states[list[i].Target] = health.State{Ejected: true}
			}
		}
		s := newSelector(Options{}, list)
		state := func(id string) health.State { return states[id] }
		query := Query{Service: "svc"}
		usable := map[string]Candidate{}
		for _, c := range list {
			switch {
			case rapid.IntRange(0, 3).Draw(rt, "tried") == 0:
				query.ExcludeTargets = append(query.ExcludeTargets, c.Target)
			case rapid.IntRange(0, 5).Draw(rt, "refused") == 0:
				query.ExcludeNodes = append(query.ExcludeNodes, c.Node)
			case !c.Leaving && !states[c.Target].Ejected:
				usable[c.Target] = c
			}
		}
		if rapid.Bool().Draw(rt, "avoid") {
			query.AvoidDomains = []string{"d0"}
		}
		query.FreeSlotOnly = rapid.Bool().Draw(rt, "free")
		if query.FreeSlotOnly {
			for id := range usable {
				running := rapid.IntRange(0, 6).Draw(rt, "running")
				s.ObserveLoad(start, id, attempt.Load{Slots: 6, Limit: 6, Running: running})
				if running == 6 {
					delete(usable, id)
				}
			}
		}
		c, ok := s.Pick(start, query, state)
		if ok != (len(usable) > 0) {
			rt.Fatalf("picked %v, %d usable", ok, len(usable))
		}
		if !ok {
			return
		}
		if _, isUsable := usable[c.Target]; !isUsable {
			rt.Fatalf("picked %s, which is not usable", c.Target)
		}
		if len(query.AvoidDomains) > 0 && c.Domain == "d0" {
			for _, u := range usable {
				if u.Domain != "d0" {
					rt.Fatalf("picked the avoided domain although %s is elsewhere", u.Target)
				}
			}
		}
	})
}

// Guards against trickle requests that are not sent, without which an ejected
// target never returns, and against more of them than slots were claimed.
func TestTrickle(t *testing.T) {
	s := newSelector(Options{}, candidates(8, 4))
	state := func(id string) health.State { return health.State{Ejected: id == "t00005", Weight: 1} }
	calls := 0
	query := Query{Service: "svc", ClaimTrickle: func(string) bool { calls++; return calls == 1 }}
	trickles := 0
	for range 500 {
		c, ok := s.Pick(start, query, state)
		if !ok || c.Trickle != (c.Target == "t00005") {
			t.Fatalf("pick %+v %v", c, ok)
		}
		if c.Trickle {
			trickles++
		}
	}
	if trickles != 1 {
		t.Errorf("%d trickle requests for one claimed slot", trickles)
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 7300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			list := candidates(n, 9)
			for b.Loop() {
				Subset("e0", "d0", 24, list)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 52, 7300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			s := newSelector(Options{}, candidates(n, 9))
			b.ReportAllocs()
			for b.Loop() {
				c, _ := s.Pick(start, Query{Service: "svc"}, healthy)
				s.Started(start, c.Target, false)
				s.Finished(c.Target, false)
			}
		})
	}
}

func BenchmarkPickOneOfFourEjected(b *testing.B) {
	s := newSelector(Options{}, candidates(52, 9))
	states := map[string]health.State{}
	for i, c := range s.Subset("svc") {
		states[c.Target] = health.State{Ejected: i%4 == 0, Weight: float64(min(i%4, 1))}
	}
	state := func(id string) health.State { return states[id] }
	for b.Loop() {
		_, _ = s.Pick(start, Query{Service: "svc"}, state)
	}
}
