package health

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

var targetHours = flag.Float64("target-hours", 2, "target hours per scenario of TestHealthyTargetsAreNotEjected")

// healthyScenarios are misleading scenarios in which all targets whose path works
// are healthy. Each starts after the warm-up and lasts a minute.
var healthyScenarios = map[string]func(s *sim){
	"quiet": func(*sim) {},
	"endpoint": func(s *sim) {
		// The health endpoint of one target fails while its work succeeds.
		tgt := s.targets[1]
		s.every(time.Second, func() {
			for _, e := range s.entries {
				s.handleChanges(e, e.tracker.Observe(s.now, Evidence{Kind: Hint, Target: tgt.info.ID, Node: tgt.info.Node}))
				s.handleChanges(e, e.tracker.Observe(s.now, Evidence{Kind: Probe, Target: tgt.info.ID, Node: tgt.info.Node, Fault: Error}))
			}
		})
	},
	"cold": func(s *sim) {
		tgt := s.targets[2]
		since := s.now
		tgt.info.Incarnation = attempt.Incarnation{StartedMS: s.now.UnixMilli()}
		s.setTargets()
		tgt.behavior = func(s *sim, _ int) response {
			return response{latency: s.healthyLatency(max(5-s.now.Sub(since).Seconds(), 1))}
		}
	},
	"peak": func(s *sim) {
		// Service time 100 ms on 6 slots: five times the demand is twice the capacity.
		for _, e := range s.entries {
			base := e.rate
			for i := range 20 {
				s.after(time.Duration(i)*100*time.Millisecond, func() { e.rate = base * (1 + 4*float64(i+1)/20) })
			}
			s.after(30*time.Second, func() { e.rate = base })
		}
	},
	"partition": func(s *sim) {
		// Entry 0 gets no responses of three gates; the other entry gets all.
		for i := range 3 {
			s.targets[i].unresponsiveTo = func(entry int) bool { return entry == 0 }
		}
	},
}

// commonFaults are faults that all targets show at once.
var commonFaults = map[string]func(s *sim){
	"shared": func(s *sim) {
		// A dependency of all targets is slow.
		for _, tgt := range s.targets {
			tgt.behavior = func(s *sim, _ int) response { return response{latency: s.healthyLatency(5)} }
		}
	},
	"bad-caller": func(s *sim) {
		// One caller's requests, a fifth of all, fail wherever they run.
		for _, tgt := range s.targets {
			tgt.behavior = func(s *sim, _ int) response {
				resp := response{latency: s.healthyLatency(1)}
				if s.rand.IntN(5) == 0 {
					resp.fault, resp.caller = Error, 7
				}
				return resp
			}
		}
	},
}

func (s *sim) setTargets() {
	var infos []TargetInfo
	for _, tgt := range s.targets {
		infos = append(infos, tgt.info)
	}
	for _, e := range s.entries {
		s.handleChanges(e, e.tracker.SetTargets(s.now, infos))
	}
}

// targetHoursPerRun is the target hours of 8 targets in one minute.
const targetHoursPerRun = 8.0 / 60

// mistakenEjections runs a scenario for the given target hours and returns the
// number of ejections of targets whose path works.
func mistakenEjections(name string, hours float64, o Options) int {
	runs := int(hours/targetHoursPerRun) + 1
	results := make(chan int)
	for i := range runs {
		go func() {
			s := newSim(uint64(i)+1000, 2, 8, 4, 80, o)
			if name == "peak" {
				for _, tgt := range s.targets {
					tgt.slots = 6
					tgt.behavior = func(s *sim, _ int) response { return response{latency: s.healthyLatency(10)} }
				}
			}
			s.run(warmUp)
			s.changes = nil
			if f := healthyScenarios[name]; f != nil {
				f(s)
			} else {
				commonFaults[name](s)
			}
			s.run(time.Minute)
			n := 0
			for _, c := range s.changes {
				var index int
				_, _ = fmt.Sscanf(c.Target, "t%d", &index)
				if c.Kind == Eject && s.targets[index].unresponsiveTo == nil {
					n++
				}
			}
			results <- n
		}()
	}
	sum := 0
	for range runs {
		sum += <-results
	}
	return sum
}

// Guards against ejecting healthy targets, which takes away capacity when it is
// scarce.
func TestHealthyTargetsAreNotEjected(t *testing.T) {
	for name := range healthyScenarios {
		t.Run(name, func(t *testing.T) {
			n := mistakenEjections(name, *targetHours, Options{})
			t.Logf("%d healthy targets ejected in %.0f target hours", n, *targetHours)
			if float64(n) > *targetHours/100 {
				t.Errorf("%d healthy targets ejected in %.0f target hours", n, *targetHours)
			}
		})
	}
}

// Guards against ejecting one target after another for a fault that all of them
// show at once. In its first half second such a fault cannot always be told from
// the fault of one target; one ejection in two events is allowed.
func TestCommonFaultEjectsFewTargets(t *testing.T) {
	for name := range commonFaults {
		t.Run(name, func(t *testing.T) {
			n, events := mistakenEjections(name, *targetHours, Options{}), int(*targetHours/targetHoursPerRun)+1
			t.Logf("%d healthy targets ejected in %d events", n, events)
			if 2*n > events {
				t.Errorf("%d healthy targets ejected in %d events", n, events)
			}
		})
	}
}
