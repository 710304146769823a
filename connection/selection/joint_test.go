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

// jointModel combines a Selector with a real health.Tracker and holds the requests
// in flight.
type jointModel struct {
	selector      *Selector
	tracker       *health.Tracker
	now           time.Time
	candidates    []Candidate
	inFlight      []Choice
	attemptIDs    []uint64
	lastAttemptID uint64
	faults        map[string]health.Fault
}

func (j *jointModel) setCandidates() {
	j.selector.SetCandidates(j.now, j.candidates)
	var infos []health.TargetInfo
	for _, c := range j.selector.Subset("svc") {
		infos = append(infos, health.TargetInfo{ID: c.Target, Node: c.Node, Domain: c.Domain, Service: "svc", Floor: 0.5})
	}
	j.tracker.SetTargets(j.now, infos)
}

func (j *jointModel) candidate(id string) *Candidate {
	for i := range j.candidates {
		if j.candidates[i].Target == id {
			return &j.candidates[i]
		}
	}
	return nil
}

func (j *jointModel) start(rt *rapid.T) {
	query := Query{Service: "svc", ClaimTrickle: func(id string) bool { return j.tracker.ClaimTrickle(j.now, id) }}
	choice, ok := j.selector.Pick(j.now, query, j.tracker.State)
	if !ok {
		for _, candidate := range j.candidates {
			if !candidate.Leaving {
				rt.Fatalf("no target chosen although %s is not leaving and the floor keeps half in rotation", candidate.Target)
			}
		}
		return
	}
	state := j.tracker.State(choice.Target)
	if candidate := j.candidate(choice.Target); candidate == nil || candidate.Leaving {
		rt.Fatalf("new work for %s, which is leaving or unknown", choice.Target)
	}
	if state.Ejected != choice.Trickle && !state.DomainUnreachable {
		rt.Fatalf("trickle %v to %s: %+v", choice.Trickle, choice.Target, state)
	}
	j.lastAttemptID++
	j.selector.Started(j.now, choice.Target, false)
	j.inFlight, j.attemptIDs = append(j.inFlight, choice), append(j.attemptIDs, j.lastAttemptID)
	j.tracker.Observe(j.now, health.Evidence{Kind: health.Started, Target: choice.Target, Node: choice.Node, Attempt: j.lastAttemptID, ConnectedAt: j.now})
}

func (j *jointModel) finish() {
	if len(j.inFlight) == 0 {
		return
	}
	choice, attemptID := j.inFlight[0], j.attemptIDs[0]
	j.inFlight, j.attemptIDs = j.inFlight[1:], j.attemptIDs[1:]
	j.selector.Finished(choice.Target, false)
	j.selector.ObserveLoad(j.now, choice.Target, attempt.Load{Slots: 6, Limit: 6})
	j.tracker.Observe(j.now, health.Evidence{Kind: health.Finished, Target: choice.Target, Node: choice.Node, Attempt: attemptID,
		Fault: j.faults[choice.Target], Duration: 10 * time.Millisecond, Trickle: choice.Trickle, ConnectedAt: j.now})
}

// Guards against requests that reach leaving or ejected targets while targets
// fail, leave and join in random order.
func TestSelectionOverHealth(t *testing.T) {
	faults := []health.Fault{health.NoFault, health.Error, health.Corrupt, health.Crash, health.GateUnresponsive, health.ConnectionRefused}
	rapid.Check(t, func(rt *rapid.T) {
		j := &jointModel{now: start, candidates: candidates(8, 3), faults: map[string]health.Fault{}}
		j.selector = newSelector(Options{SubsetSize: 6}, j.candidates)
		j.tracker = health.New(health.Options{}, invariant.PanicReporter{})
		j.setCandidates()
		any := rapid.IntRange(0, 7)
		rt.Repeat(map[string]func(*rapid.T){
			"work": func(rt *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(rt, "requests") {
					j.start(rt)
					j.now = j.now.Add(10 * time.Millisecond)
					j.finish()
					j.tracker.Tick(j.now)
				}
			},
			"burst": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "requests") {
					j.start(rt)
				}
			},
			"finish": func(*rapid.T) { j.finish() },
			"fail": func(rt *rapid.T) {
				j.faults[fmt.Sprintf("t%05d", any.Draw(rt, "target"))] = rapid.SampledFrom(faults).Draw(rt, "fault")
			},
			"leave": func(rt *rapid.T) {
				c := &j.candidates[any.Draw(rt, "target")]
				c.Leaving = !c.Leaving
				j.setCandidates()
			},
			"wait": func(rt *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(rt, "ticks") {
					j.now = j.now.Add(100 * time.Millisecond)
					j.tracker.Tick(j.now)
				}
			},
		})
		for len(j.inFlight) > 0 {
			j.finish()
		}
		for id, m := range j.selector.targets {
			if m.inFlight != 0 {
				rt.Fatalf("%s has %d requests in flight after all ended", id, m.inFlight)
			}
		}
	})
}
