package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// callGraph replays services that call each other while a part of all runs fails, and
// counts the arrivals at each service as the budget does: a retry, and a call made by a
// run that is itself a retry, is an arrival beyond the first of its request.
type callGraph struct {
	random    *rand.Rand
	charge    bool    // charge calls by the share of retries among the work of their host
	callShare float64 // of the runs that make calls
	services  []graphService
	now       time.Time
}

type graphService struct {
	rate    float64 // requests of customers per second
	calls   []int   // services that each run calls
	gates   []*graphGate
	firsts  []time.Time
	repeats []time.Time
}

type graphGate struct {
	budget *Budget
	runs   []graphRun
}

type graphRun struct {
	end    time.Time
	repeat float64 // as far as the gate knows: 1 for a retry, less for a call
}

const (
	graphRatio  = 0.2
	graphSlack  = 60.0
	graphWindow = 10 * time.Second
	graphFactor = 0.7 // as gates use it
)

func newCallGraph(seed uint64, charge bool) *callGraph {
	g := &callGraph{random: rand.New(rand.NewPCG(seed, 9)), charge: charge, callShare: 1, now: time.Unix(1000, 0)}
	n := 2 + g.random.IntN(4)
	for i := range n {
		s := graphService{rate: 5 + 30*g.random.Float64()}
		for callee := i + 1; callee < n; callee++ {
			for range g.random.IntN(3) {
				s.calls = append(s.calls, callee)
			}
		}
		gates := 3 + g.random.IntN(20)
		for range gates {
			s.gates = append(s.gates, &graphGate{budget: NewBudget(Options{Share: graphFactor * graphRatio,
				PerSecond: graphFactor * graphSlack / graphWindow.Seconds() / float64(gates), Window: graphWindow})})
		}
		g.services = append(g.services, s)
	}
	return g
}

// newUserGraph returns the calls of a deployment of the users: two of the services make
// two calls in 7 of 10 runs, and the third takes only these calls.
func newUserGraph(seed uint64, charge bool) *callGraph {
	g := &callGraph{random: rand.New(rand.NewPCG(seed, 9)), charge: charge, now: time.Unix(1000, 0)}
	for _, s := range []graphService{{rate: 14, calls: []int{1, 1}}, {rate: 36}, {rate: 5, calls: []int{3, 3}}, {rate: 7}} {
		for range 6 {
			s.gates = append(s.gates, &graphGate{budget: NewBudget(Options{Share: graphFactor * graphRatio,
				PerSecond: graphFactor * graphSlack / graphWindow.Seconds() / 6, Window: graphWindow})})
		}
		g.services = append(g.services, s)
	}
	g.callShare = 0.7
	return g
}

// retryShare returns the share of the runs at a gate that are retries.
func (gate *graphGate) retryShare(now time.Time) float64 {
	var running []graphRun
	repeats := 0.0
	for _, r := range gate.runs {
		if r.end.After(now) {
			running, repeats = append(running, r), repeats+r.repeat
		}
	}
	gate.runs = running
	if len(running) == 0 {
		return 0
	}
	return repeats / float64(len(running))
}

// request runs a request at a service, and again when it fails and a gate has budget.
// isRepeat is true when a retry called for it, share what its gate knows of that.
func (g *callGraph) request(service int, failing, share float64, isRepeat bool) {
	s := &g.services[service]
	for number := range 2 {
		gate := s.gates[g.random.IntN(len(s.gates))]
		run := graphRun{end: g.now.Add(time.Duration(g.random.ExpFloat64() * float64(500*time.Millisecond))), repeat: 1}
		switch {
		case number == 0:
			gate.budget.CountFirstAttempt(g.now)
			run.repeat = share
			if g.charge {
				gate.budget.Charge(g.now, share)
			}
			s.firsts = append(s.firsts, g.now)
		case !gate.budget.Take(g.now):
			return
		}
		if number > 0 || isRepeat {
			s.repeats = append(s.repeats, g.now)
		}
		gate.runs = append(gate.runs, run)
		calls := s.calls
		if g.random.Float64() >= g.callShare {
			calls = nil
		}
		for _, callee := range calls {
			g.request(callee, failing, gate.retryShare(g.now), isRepeat || number > 0)
		}
		if g.random.Float64() >= failing {
			return
		}
	}
}

// excess returns by how many arrivals the worst window of a service exceeds its budget.
func (g *callGraph) excess() float64 {
	worst := -graphSlack
	for i := range g.services {
		s := &g.services[i]
		for end := time.Unix(1010, 0); end.Before(g.now); end = end.Add(500 * time.Millisecond) {
			requests := max(countBetween(s.firsts, end.Add(-graphWindow), end), countBetween(s.firsts, end.Add(-2*graphWindow), end.Add(-graphWindow)),
				countBetween(s.firsts, end.Add(-3*graphWindow/2), end.Add(-graphWindow/2)))
			worst = max(worst, float64(countBetween(s.repeats, end.Add(-graphWindow), end))-graphRatio*float64(requests)-graphSlack)
		}
	}
	return worst
}

func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// testBudget plays a burst with many failures on graphs of calls, with and without the
// charge for calls.
func testBudget(t *testing.T, newGraph func(seed uint64, charge bool) *callGraph) {
	t.Helper()
	brokenWith, brokenWithout, repeats, firsts := 0, 0, 0, 0
	for seed := range uint64(30) {
		for _, charge := range []bool{true, false} {
			g := newGraph(seed, charge)
			for second := range 30 {
				failing, burst := 0.05, 1.0
				if second >= 8 && second < 18 {
					failing, burst = 0.5, 2.0
				}
				for range 10 {
					for i := range g.services {
						for n := g.services[i].rate * burst / 10; g.random.Float64() < n; n-- {
							g.request(i, failing, 0, false)
						}
					}
					g.now = g.now.Add(100 * time.Millisecond)
				}
			}
			excess := g.excess()
			switch {
			case charge:
				if excess > 0 {
					brokenWith++
					t.Errorf("seed %d: %.0f arrivals beyond the budget", seed, excess)
				}
				for i := range g.services {
					repeats, firsts = repeats+len(g.services[i].repeats), firsts+len(g.services[i].firsts)
				}
			case excess > 0:
				brokenWithout++
			}
		}
	}
	t.Logf("%d of 30 graphs broke a budget with the charge for calls, %d without; %d repeats for %d requests", brokenWith, brokenWithout, repeats, firsts)
	if brokenWithout == 0 {
		t.Error("no budget is broken without the charge: the test checks nothing")
	}
	if float64(repeats) < 0.5*graphRatio*float64(firsts) {
		t.Errorf("%d repeats for %d requests: the budget is hardly used", repeats, firsts)
	}
}

// Guards against retries that break the budget of a service which is called by retried
// runs of others, and against a budget that holds because it admits no retries.
func TestBudgetHoldsForCalls(t *testing.T) { testBudget(t, newUserGraph) }

// Guards against the same in random graphs of several levels and many calls a run.
func TestBudgetHoldsInDeepGraphs(t *testing.T) { testBudget(t, newCallGraph) }
