package health

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.steps": "25", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Guards against combined and repeated faults that violate the floor (the reporter
// of the simulation panics), or after which healthy targets stay ejected.
func TestCombinedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), 2, 6, 3, 120, Options{MaxEjectionTime: 4 * time.Second})
		s.run(5 * time.Second)
		names := []string{"hang", "half-fail", "slow", "some-callers", "wrong"}
		target := rapid.IntRange(0, len(s.targets)-1)
		entry := rapid.IntRange(0, 1)
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) { s.checkStates(rt) },
			"run": func(rt *rapid.T) {
				s.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"fail": func(rt *rapid.T) {
				s.targets[target.Draw(rt, "target")].behavior = grayFailures[rapid.SampledFrom(names).Draw(rt, "kind")]
			},
			"silence": func(rt *rapid.T) {
				cutOffEntry := entry.Draw(rt, "entry")
				s.targets[target.Draw(rt, "target")].unresponsiveTo = func(entry int) bool { return entry == cutOffEntry }
			},
			"refuse": func(rt *rapid.T) { s.targets[target.Draw(rt, "target")].refuse = true },
			"stale":  func(rt *rapid.T) { s.targets[target.Draw(rt, "target")].connsLostBefore = s.now },
			"heal":   func(rt *rapid.T) { s.targets[target.Draw(rt, "target")].clearFaults() },
			"restart": func(rt *rapid.T) {
				tgt := s.targets[target.Draw(rt, "target")]
				tgt.info.Incarnation = attempt.Incarnation{StartedMS: s.now.UnixMilli()}
				tgt.clearFaults()
				s.setTargets()
			},
			"remove": func(rt *rapid.T) {
				all := s.targets
				s.targets = all[:len(all)-1]
				s.setTargets()
				s.run(300 * time.Millisecond)
				s.targets = all
				s.setTargets()
			},
			"pause": func(rt *rapid.T) {
				e := s.entries[entry.Draw(rt, "entry")]
				e.paused = true
				s.run(time.Duration(rapid.IntRange(100, 4000).Draw(rt, "ms")) * time.Millisecond)
				e.paused = false
			},
		})
		for _, tgt := range s.targets {
			tgt.clearFaults()
		}
		s.run(time.Minute)
		for _, e := range s.entries {
			for _, tgt := range s.targets {
				if st := e.tracker.State(tgt.info.ID); st.Ejected || st.DomainUnreachable || st.Weight < 0.5 {
					rt.Fatalf("entry %d, target %s a minute after all faults ended: %+v", e.index, tgt.info.ID, st)
				}
			}
		}
	})
}

func (tgt *simTarget) clearFaults() { tgt.behavior, tgt.unresponsiveTo, tgt.refuse = nil, nil, false }

func (s *sim) checkStates(rt *rapid.T) {
	for _, e := range s.entries {
		out := 0
		for _, tgt := range s.targets {
			st := e.tracker.State(tgt.info.ID)
			if st.Weight < 0 || st.Weight > 1 || st.Suspicion < 0 || st.Suspicion > 1 || (st.Ejected && st.Weight > 0) {
				rt.Fatalf("state out of range: %+v", st)
			}
			if st.Ejected {
				out++
			}
			first := e.tracker.ClaimTrickle(s.now, tgt.info.ID)
			if second := e.tracker.ClaimTrickle(s.now, tgt.info.ID); first && second {
				rt.Fatal("trickle slot claimed twice")
			}
		}
		if 2*out > len(s.targets) {
			rt.Fatalf("%d of %d targets ejected at floor 0.5", out, len(s.targets))
		}
	}
}
