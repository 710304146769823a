package selection

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// joint is a Selector over a real Tracker, with the requests in progress.
type joint struct {
	s        *Selector
	t        *health.Tracker
	now      time.Time
	cs       []Candidate
	progress []Choice
	attempts []uint64
	next     uint64
	bad      map[string]health.Fault
}

func (j *joint) publish() {
	j.s.SetCandidates(j.now, j.cs)
	var infos []health.TargetInfo
	for _, c := range j.s.Subset("svc") {
		infos = append(infos, health.TargetInfo{ID: c.Target, Node: c.Node, Domain: c.Domain, Service: "svc", Floor: 0.5})
	}
	j.t.SetTargets(j.now, infos)
}

func (j *joint) candidate(id string) *Candidate {
	for i := range j.cs {
		if j.cs[i].Target == id {
			return &j.cs[i]
		}
	}
	return nil
}

func (j *joint) start(rt *rapid.T) {
	q := Query{Service: "svc", ClaimTrickle: func(id string) bool { return j.t.ClaimTrickle(j.now, id) }}
	c, ok := j.s.Pick(j.now, q, j.t.State)
	if !ok {
		for _, x := range j.cs {
			if !x.Leaving {
				rt.Fatalf("no target though %s stays and the floor keeps half in rotation", x.Target)
			}
		}
		return
	}
	st := j.t.State(c.Target)
	if x := j.candidate(c.Target); x == nil || x.Leaving {
		rt.Fatalf("new work for %s, which is leaving or gone", c.Target)
	}
	if st.Ejected != c.Trickle && !st.DomainUnreachable {
		rt.Fatalf("trickle %v to %s: %+v", c.Trickle, c.Target, st)
	}
	j.next++
	j.s.Started(c.Target, false)
	j.progress, j.attempts = append(j.progress, c), append(j.attempts, j.next)
	j.t.Observe(j.now, health.Evidence{Kind: health.Started, Target: c.Target, Node: c.Node, Attempt: j.next, ConnectedAt: j.now})
}

func (j *joint) finish() {
	if len(j.progress) == 0 {
		return
	}
	c, id := j.progress[0], j.attempts[0]
	j.progress, j.attempts = j.progress[1:], j.attempts[1:]
	j.s.Finished(c.Target, false)
	j.s.ObserveLoad(j.now, c.Target, attempt.Load{Slots: 6, Limit: 6})
	j.t.Observe(j.now, health.Evidence{Kind: health.Finished, Target: c.Target, Node: c.Node, Attempt: id,
		Fault: j.bad[c.Target], Duration: 10 * time.Millisecond, Trickle: c.Trickle, ConnectedAt: j.now})
}

// Requests must reach neither leaving nor ejected targets, whatever fails,
// leaves or joins, also together and twice.
func TestSelectionOverHealth(t *testing.T) {
	faults := []health.Fault{health.NoFault, health.Error, health.Corrupt, health.Crash, health.GateUnresponsive, health.ConnectionRefused}
	rapid.Check(t, func(rt *rapid.T) {
		j := &joint{now: start, cs: candidates(8, 3), bad: map[string]health.Fault{}}
		j.s = selector(Options{SubsetSize: 6}, j.cs)
		j.t = health.New(health.Options{}, invariant.PanicReporter{})
		j.publish()
		any := rapid.IntRange(0, 7)
		rt.Repeat(map[string]func(*rapid.T){
			"work": func(rt *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(rt, "requests") {
					j.start(rt)
					j.now = j.now.Add(10 * time.Millisecond)
					j.finish()
					j.t.Tick(j.now)
				}
			},
			"burst": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "requests") {
					j.start(rt)
				}
			},
			"finish": func(*rapid.T) { j.finish() },
			"fail": func(rt *rapid.T) {
				j.bad[fmt.Sprintf("t%05d", any.Draw(rt, "target"))] = rapid.SampledFrom(faults).Draw(rt, "fault")
			},
			"leave": func(rt *rapid.T) {
				c := &j.cs[any.Draw(rt, "target")]
				c.Leaving = !c.Leaving
				j.publish()
			},
			"wait": func(rt *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(rt, "ticks") {
					j.now = j.now.Add(100 * time.Millisecond)
					j.t.Tick(j.now)
				}
			},
		})
		for len(j.progress) > 0 {
			j.finish()
		}
		for id, m := range j.s.targets {
			if m.inFlight != 0 {
				rt.Fatalf("%s has %d requests in flight after all ended", id, m.inFlight)
			}
		}
	})
}
