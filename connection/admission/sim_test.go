package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

var epoch = time.Unix(1_800_000_000, 0)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// stream describes random arrivals of one class of work from one customer.
type stream struct {
	class       string
	customer    string
	rate        func(at time.Duration) float64 // requests/s, at most 10,000
	meanService time.Duration
	shape       int // shape of the gamma distribution of service times; 1 is exponential
	deadline    time.Duration
	rank        int
}

// constant returns a rate that does not change.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// surge returns a rate that is high instead of low after the first part of each period.
func surge(low, high float64, first, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period > first {
			return high
		}
		return low
	}
}

// sim runs a real Controller in virtual time against targets with random service
// times. A simulated entry picks the less loaded of two random targets that are
// not ejected and retries a refused request once at the least loaded other target.
type sim struct {
	controller    *Controller
	random        *rand.Rand
	targets       []string
	slowdown      map[string]float64 // factor on the service times of a target
	ejected       map[string]bool
	now           time.Duration
	sequence      int
	pendingEvents events
	requests      map[Ticket]*request
	offered       map[string][]int // number of requests by class and second
	answered      map[string][]int // number of responses before the deadline by class and second of the response
	latency       map[string][]time.Duration
	refusedAfter  map[string][]time.Duration
	byCustomer    bool // latency and offered by customer instead of class
}

type request struct {
	stream  stream
	arrived time.Duration
	retried bool
}

func newSim(o Options, seed uint64, targets, slots, queueLimit int, classes map[string]Class) *sim {
	sim := &sim{
		controller: New(o, invariant.PanicReporter{}), random: rand.New(rand.NewPCG(seed, 1)), slowdown: map[string]float64{}, ejected: map[string]bool{},
		requests: map[Ticket]*request{}, offered: map[string][]int{}, answered: map[string][]int{}, latency: map[string][]time.Duration{}, refusedAfter: map[string][]time.Duration{},
	}
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		sim.targets = append(sim.targets, id)
		sim.controller.SetTarget(epoch, Target{ID: id, Slots: slots, QueueLimit: queueLimit, Classes: classes})
	}
	return sim
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.pendingEvents, event{s.now + d, s.sequence, run})
}

func (s *sim) run(end time.Duration, streams ...stream) {
	for _, st := range streams {
		s.offered[s.series(st)], s.answered[s.series(st)] = make([]int, end/time.Second+1), make([]int, end/time.Second+1)
	}
	for _, st := range streams {
		s.arrivals(st)
	}
	s.tick()
	for len(s.pendingEvents) > 0 {
		e := heap.Pop(&s.pendingEvents).(event)
		if e.at > end {
			return
		}
		s.now = e.at
		e.run()
	}
}

func (s *sim) tick() {
	s.apply(s.controller.Tick(epoch.Add(s.now)))
	s.schedule(10*time.Millisecond, s.tick)
}

func (s *sim) arrivals(st stream) {
	rate := st.rate(s.now)
	if rate <= 0 {
		s.schedule(10*time.Millisecond, func() { s.arrivals(st) })
		return
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.offered[s.series(st)][s.now/time.Second]++
		s.submit(&request{stream: st, arrived: s.now}, s.pick())
		s.arrivals(st)
	})
}

// series returns the key of the results of a stream.
func (s *sim) series(st stream) string {
	if s.byCustomer {
		return st.customer
	}
	return st.class
}

func (s *sim) load(id string) float64 {
	load := s.controller.Load(epoch.Add(s.now), id)
	return float64(load.Running+load.Queued) / float64(load.Limit)
}

func (s *sim) usableTargets(except string) []string {
	return slices.DeleteFunc(slices.Clone(s.targets), func(id string) bool { return s.ejected[id] || id == except })
}

func (s *sim) pick() string {
	targets := s.usableTargets("")
	a, b := targets[s.random.IntN(len(targets))], targets[s.random.IntN(len(targets))]
	if s.load(b) < s.load(a) {
		return b
	}
	return a
}

func (s *sim) submit(req *request, target string) {
	decision := s.controller.Submit(epoch.Add(s.now), Work{
		Target: target, Class: req.stream.class, Customer: req.stream.customer, Deadline: epoch.Add(req.arrived + req.stream.deadline),
		Rank: req.stream.rank, ArrivedAt: epoch.Add(req.arrived),
	})
	s.requests[decision.Ticket] = req
	s.apply(append([]Decision{decision}, decision.Displaced...))
}

func (s *sim) apply(decisions []Decision) {
	for _, decision := range decisions {
		req := s.requests[decision.Ticket]
		switch decision.Kind {
		case Started:
			if ok, _ := s.controller.Confirm(epoch.Add(s.now), decision.Ticket); !ok {
				panic("Confirm refused work without a pause")
			}
			s.schedule(s.serviceTime(req, decision.Work.Target), func() { s.finish(req, decision.Ticket) })
		case Refused:
			delete(s.requests, decision.Ticket)
			s.refusedAfter[req.stream.class] = append(s.refusedAfter[req.stream.class], s.now-req.arrived)
			if others := s.usableTargets(decision.Work.Target); !req.retried && len(others) > 0 {
				req.retried = true
				s.submit(req, slices.MinFunc(others, func(a, b string) int {
					if s.load(a) < s.load(b) {
						return -1
					}
					return 1
				}))
			}
		}
	}
}

func (s *sim) serviceTime(req *request, target string) time.Duration {
	factor := 1.0
	if slow, ok := s.slowdown[target]; ok {
		factor = slow
	}
	sum := 0.0
	for range req.stream.shape {
		sum += s.random.ExpFloat64()
	}
	return time.Duration(sum / float64(req.stream.shape) * factor * float64(req.stream.meanService))
}

func (s *sim) finish(req *request, ticket Ticket) {
	delete(s.requests, ticket)
	duration := s.now - req.arrived
	s.latency[s.series(req.stream)] = append(s.latency[s.series(req.stream)], duration)
	if duration <= req.stream.deadline {
		s.answered[s.series(req.stream)][s.now/time.Second]++
	}
	s.apply(s.controller.Finish(epoch.Add(s.now), ticket, Result{OK: true}))
}

func p99(durations []time.Duration) time.Duration {
	durations = slices.Clone(durations)
	slices.Sort(durations)
	return durations[len(durations)*99/100]
}
