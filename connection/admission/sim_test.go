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
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// stream is one kind of offered work.
type stream struct {
	class    string
	customer string
	rate     func(at time.Duration) float64 // requests/s, at most 10,000
	mean     time.Duration                  // of the service time
	shape    int                            // of the gamma distribution of service times; 1 is exponential
	deadline time.Duration
}

// sim runs a real Controller in virtual time against targets with random service
// times. An entry picks the less loaded of two targets that are not ejected
// and, after a refusal, tries the least loaded other one once.
type sim struct {
	g        *Controller
	r        *rand.Rand
	targets  []string
	slow     map[string]float64 // factor on service times
	ejected  map[string]bool
	now      time.Duration
	seq      int
	queue    events
	pending  map[Ticket]*request
	offered  map[string][]int // by class and second
	answered map[string][]int // in time, by class and second of the answer
	latency  map[string][]time.Duration
}

type request struct {
	s       stream
	arrived time.Duration
	retried bool
}

func newSim(o Options, seed uint64, targets, slots, queueLimit int, classes map[string]Class) *sim {
	s := &sim{
		g: New(o, invariant.PanicReporter{}), r: rand.New(rand.NewPCG(seed, 1)), slow: map[string]float64{}, ejected: map[string]bool{},
		pending: map[Ticket]*request{}, offered: map[string][]int{}, answered: map[string][]int{}, latency: map[string][]time.Duration{},
	}
	for i := range targets {
		id := fmt.Sprintf("t%d", i)
		s.targets = append(s.targets, id)
		s.g.SetTarget(epoch, Target{ID: id, Slots: slots, QueueLimit: queueLimit, Classes: classes})
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, run})
}

func (s *sim) run(end time.Duration, streams ...stream) {
	for _, st := range streams {
		s.offered[st.class], s.answered[st.class] = make([]int, end/time.Second+1), make([]int, end/time.Second+1)
	}
	for _, st := range streams {
		s.arrivals(st)
	}
	s.tick()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > end {
			return
		}
		s.now = e.at
		e.run()
	}
}

func (s *sim) tick() {
	s.decide(s.g.Tick(epoch.Add(s.now)))
	s.after(10*time.Millisecond, s.tick)
}

func (s *sim) arrivals(st stream) {
	rate := st.rate(s.now)
	if rate <= 0 {
		s.after(10*time.Millisecond, func() { s.arrivals(st) })
		return
	}
	s.after(time.Duration(s.r.ExpFloat64()/rate*float64(time.Second)), func() {
		s.offered[st.class][s.now/time.Second]++
		s.submit(&request{s: st, arrived: s.now}, s.pick())
		s.arrivals(st)
	})
}

func (s *sim) load(id string) float64 {
	l := s.g.Load(id)
	return float64(l.Running+l.Queued) / float64(l.Limit)
}

func (s *sim) usable(except string) []string {
	return slices.DeleteFunc(slices.Clone(s.targets), func(id string) bool { return s.ejected[id] || id == except })
}

func (s *sim) pick() string {
	targets := s.usable("")
	a, b := targets[s.r.IntN(len(targets))], targets[s.r.IntN(len(targets))]
	if s.load(b) < s.load(a) {
		return b
	}
	return a
}

func (s *sim) submit(q *request, target string) {
	d := s.g.Submit(epoch.Add(s.now), Work{
		Target: target, Class: q.s.class, Customer: q.s.customer, Deadline: epoch.Add(q.arrived + q.s.deadline),
	})
	s.pending[d.Ticket] = q
	s.decide(append([]Decision{d}, d.Displaced...))
}

func (s *sim) decide(ds []Decision) {
	for _, d := range ds {
		q := s.pending[d.Ticket]
		switch d.Kind {
		case Started:
			if ok, _ := s.g.Confirm(epoch.Add(s.now), d.Ticket); !ok {
				panic("confirm failed without a pause")
			}
			s.after(s.service(q, d.Work.Target), func() { s.finish(q, d.Ticket) })
		case Refused:
			delete(s.pending, d.Ticket)
			if others := s.usable(d.Work.Target); !q.retried && len(others) > 0 {
				q.retried = true
				s.submit(q, slices.MinFunc(others, func(a, b string) int {
					if s.load(a) < s.load(b) {
						return -1
					}
					return 1
				}))
			}
		}
	}
}

func (s *sim) service(q *request, target string) time.Duration {
	f := 1.0
	if v, ok := s.slow[target]; ok {
		f = v
	}
	sum := 0.0
	for range q.s.shape {
		sum += s.r.ExpFloat64()
	}
	return time.Duration(sum / float64(q.s.shape) * f * float64(q.s.mean))
}

func (s *sim) finish(q *request, t Ticket) {
	delete(s.pending, t)
	took := s.now - q.arrived
	s.latency[q.s.class] = append(s.latency[q.s.class], took)
	if took <= q.s.deadline {
		s.answered[q.s.class][s.now/time.Second]++
	}
	s.decide(s.g.Finish(epoch.Add(s.now), t, Result{OK: true}))
}

func p99(ds []time.Duration) time.Duration {
	ds = slices.Clone(ds)
	slices.Sort(ds)
	return ds[len(ds)*99/100]
}
