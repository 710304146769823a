package bench

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// system serves the requests of a simulation: the fleet or the baseline.
type system interface {
	// submit starts serving a request that has reached its entry.
	submit(r *request)
}

// request is one customer request of a simulation.
type request struct {
	id         int
	service    int
	class      ClassModel
	customer   int
	entry      int
	deadline   time.Time
	onResponse func(response)
	finished   bool
	slotTime   time.Duration // time in a target's slot of the attempt that finished last
}

// response is what the customer receives.
type response struct {
	ok      bool // a successful response of a target
	corrupt bool // the body does not match its digest
}

// finish returns the response to the customer. Later calls for the same request
// have no effect.
func (r *request) finish(resp response) {
	if r.finished {
		return
	}
	r.finished = true
	r.onResponse(resp)
}

// simNode is a node and the one target on its host.
type simNode struct {
	name   string
	domain string
	target *simTarget
}

// simulation models the nodes, targets, network paths and demand of one fleet.
type simulation struct {
	*scheduler
	deployment       Deployment
	rng              *rand.Rand
	nodes            []*simNode
	targetsByService [][]*simTarget
	cutPaths         map[[2]int]bool // by sending and receiving node; one way
	stats            *stats
	arrivalRate      func(service int, class ClassModel) float64 // requests/s at the present time
	lastRequestID    int
}

func newSimulation(d Deployment, seed uint64) *simulation {
	s := &simulation{
		scheduler:  newScheduler(),
		deployment: d,
		rng:        rand.New(rand.NewPCG(seed, 1)),
		cutPaths:   map[[2]int]bool{},
		stats:      newStats(),
	}
	for service, model := range d.Services {
		var targets []*simTarget
		for i := range model.Targets {
			targets = append(targets, s.addNode(service, model, i))
		}
		s.targetsByService = append(s.targetsByService, targets)
	}
	return s
}

func (s *simulation) addNode(service int, model ServiceModel, indexInService int) *simTarget {
	index := len(s.nodes)
	domain := s.deployment.Domains[indexInService%len(s.deployment.Domains)]
	target := &simTarget{
		id: fmt.Sprintf("%s-%d", model.Name, indexInService), node: index, service: service, domain: domain, slots: model.Slots,
		sched: s.scheduler, rng: rand.New(rand.NewPCG(s.rng.Uint64(), uint64(index))), fault: faultNone,
	}
	s.nodes = append(s.nodes, &simNode{name: "node-" + target.id, domain: domain, target: target})
	return target
}

// latency returns the one-way latency between two nodes.
func (s *simulation) latency(from, to int) time.Duration {
	switch {
	case from == to:
		return 50 * time.Microsecond
	case s.nodes[from].domain == s.nodes[to].domain:
		return s.deployment.LocalLatency
	default:
		return s.deployment.DomainLatency
	}
}

// send runs deliver after the latency between two nodes, or never when the path
// is cut.
func (s *simulation) send(from, to int, deliver func()) {
	if s.cutPaths[[2]int{from, to}] {
		return
	}
	s.after(s.latency(from, to), deliver)
}

// startArrivals sends the requests of all classes at the rates of
// s.arrivalRate. Rates are read every 10 ms, so that arrivals follow changes of
// demand closely.
func (s *simulation) startArrivals(sys system) {
	const sampleInterval = 10 * time.Millisecond
	s.every(sampleInterval, func() {
		for service, model := range s.deployment.Services {
			for _, class := range model.Classes {
				for range poisson(s.rng, s.arrivalRate(service, class)*sampleInterval.Seconds()) {
					delay := time.Duration(s.rng.Int64N(int64(sampleInterval)))
					s.after(delay, func() { s.startRequest(sys, service, class) })
				}
			}
		}
	})
}

// startRequest sends one request to a random entry. The request fails at its
// deadline unless it has a response by then.
func (s *simulation) startRequest(sys system, service int, class ClassModel) {
	s.lastRequestID++
	sentAt := s.now
	r := &request{
		id: s.lastRequestID, service: service, class: class, entry: s.rng.IntN(len(s.nodes)),
		customer: s.rng.IntN(200), deadline: sentAt.Add(class.Deadline),
	}
	r.onResponse = func(resp response) {
		s.after(s.deployment.ClientLatency, func() { s.stats.countFinished(s.now, sentAt, r, resp) })
	}
	s.stats.countOffered(sentAt, r)
	s.after(s.deployment.ClientLatency, func() { sys.submit(r) })
	s.at(r.deadline, func() { r.finish(response{}) })
}

// poisson draws from a Poisson distribution with the given mean. It adds up
// draws with means of at most 30, since exp(-mean) underflows for a large mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for mean > 0 {
		step := min(mean, 30)
		mean -= step
		n += poissonStep(rng, step)
	}
	return n
}

func (s *simulation) targetByID(id string) *simTarget {
	for _, n := range s.nodes {
		if n.target.id == id {
			return n.target
		}
	}
	return nil
}
