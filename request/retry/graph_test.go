package retry

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// callGraph replays services that call each other while a part of all runs fails, and
// counts the arrivals at each service as the budget does: a retry, and a call made by a
// run that is itself a retry, is an arrival beyond the first of its request.
type callGraph struct {
	random    *rand.Rand
	charge    bool    // charge calls by the share of retries among the work of their host
	ask       bool    // retry only work whose called services have room in their budgets
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
	called CalledRoom
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
	graphFactor = 0.8 // as gates use it
)

func newCallGraph(seed uint64) *callGraph {
	g := &callGraph{random: rand.New(rand.NewPCG(seed, 9)), callShare: 1, now: time.Unix(1000, 0)}
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
func newUserGraph(seed uint64) *callGraph {
	g := &callGraph{random: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1000, 0)}
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
// isRepeat is true when a retry called for it, share what its gate knows of that. It
// returns the room of the retry budgets that the last gate reports.
func (g *callGraph) request(service int, failing, share float64, isRepeat bool) float64 {
	s, room := &g.services[service], 1.0
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
		case g.ask && !gate.called.AllowsRetry(g.now) || !gate.budget.Take(g.now):
			return room
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
			reported := g.request(callee, failing, gate.retryShare(g.now), isRepeat || number > 0)
			gate.called.Observe(g.now, strconv.Itoa(callee), reported)
		}
		room = min(gate.budget.Room(g.now), gate.called.Room(g.now))
		if g.random.Float64() >= failing {
			return room
		}
	}
	return room
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

// play plays a burst with many failures.
func (g *callGraph) play() {
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
}

// testBudget plays graphs of calls with both mechanisms, and with each switched off. It
// returns in how many graphs a budget was broken without the charge for calls, and without
// the question for room at the called services.
func testBudget(t *testing.T, newGraph func(seed uint64) *callGraph) (withoutCharge, withoutAsking int) {
	t.Helper()
	broken, repeats, firsts := 0, 0, 0
	for seed := range uint64(30) {
		for _, off := range []string{"", "charge", "ask"} {
			g := newGraph(seed)
			g.charge, g.ask = off != "charge", off != "ask"
			g.play()
			excess := g.excess()
			if off == "" {
				for i := range g.services {
					repeats, firsts = repeats+len(g.services[i].repeats), firsts+len(g.services[i].firsts)
				}
			}
			switch {
			case excess <= 0:
			case off == "charge":
				withoutCharge++
			case off == "ask":
				withoutAsking++
			default:
				broken++
				t.Errorf("seed %d: %.0f arrivals beyond the budget", seed, excess)
			}
		}
	}
	t.Logf("of 30 graphs %d broke a budget, %d without the charge for calls, %d without asking for room; %d repeats for %d requests",
		broken, withoutCharge, withoutAsking, repeats, firsts)
	if float64(repeats) < 0.5*graphRatio*float64(firsts) {
		t.Errorf("%d repeats for %d requests: the budget is hardly used", repeats, firsts)
	}
	return withoutCharge, withoutAsking
}

// Guards against retries that break the budget of a service which is called by retried
// runs of others, and against a budget that holds because it admits no retries.
func TestBudgetHoldsForCalls(t *testing.T) {
	if withoutCharge, _ := testBudget(t, newUserGraph); withoutCharge == 0 {
		t.Error("no budget is broken without the charge: the test checks nothing")
	}
}

// Guards against the same in random graphs of several levels and many calls a run.
func TestBudgetHoldsInDeepGraphs(t *testing.T) {
	if withoutCharge, withoutAsking := testBudget(t, newCallGraph); withoutCharge == 0 || withoutAsking == 0 {
		t.Errorf("%d and %d budgets are broken with a mechanism switched off: the test checks nothing", withoutCharge, withoutAsking)
	}
}
