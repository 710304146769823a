package health

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// sim drives trackers in virtual time with random requests to simulated gates
// and targets.
type sim struct {
	now     time.Time
	rand    *rand.Rand
	events  eventHeap
	seq     int
	targets []*simTarget
	entries []*simEntry
	changes []Change
	hook    func(Change)
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// answer is what a target does with a request.
type answer struct {
	fault   Fault
	latency time.Duration
	hang    bool
	caller  uint64
}

type simTarget struct {
	info     TargetInfo
	behave   func(s *sim, caller int) answer // nil: healthy
	silentTo func(caller int) bool           // the path loses the gate's answers
	// staleBefore makes connections opened before it silent.
	staleBefore time.Time
	refuse      bool
	served      int
	slots       int         // 0: no queue
	busyUntil   []time.Time // per slot
}

// enqueue returns the whole latency behind the slots' work, or false when the
// queue of four requests per slot is full.
func (g *simTarget) enqueue(now time.Time, service time.Duration) (time.Duration, bool) {
	if g.slots == 0 {
		return service, true
	}
	for len(g.busyUntil) < g.slots {
		g.busyUntil = append(g.busyUntil, now)
	}
	first := 0
	for i, b := range g.busyUntil {
		if b.Before(g.busyUntil[first]) {
			first = i
		}
	}
	start := g.busyUntil[first]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > 4*service {
		return 0, false
	}
	g.busyUntil[first] = start.Add(service)
	return start.Add(service).Sub(now), true
}

type simEntry struct {
	index   int
	tr      *Tracker
	rate    float64 // requests/s
	attempt uint64
	idle    map[string][]time.Time   // opening times of idle connections per node
	waits   map[uint64]time.Duration // time that an attempt queues at its gate
	paused  bool
}

const (
	simDeadline = 2 * time.Second
	simHop      = time.Millisecond
)

var simStart = time.Unix(1_700_000_000, 0)

// newSim has targets spread in turn over the domains, one gate each.
func newSim(seed uint64, entries, targets, domains int, rate float64, o Options) *sim {
	s := &sim{now: simStart, rand: rand.New(rand.NewPCG(seed, 1))}
	var infos []TargetInfo
	for i := range targets {
		info := TargetInfo{ID: fmt.Sprintf("t%02d", i), Node: fmt.Sprintf("n%02d", i),
			Domain: fmt.Sprintf("d%d", i%domains), Service: "svc", Floor: 0.5}
		infos = append(infos, info)
		s.targets = append(s.targets, &simTarget{info: info})
	}
	for i := range entries {
		e := &simEntry{index: i, tr: New(o, invariant.PanicReporter{}), rate: rate, idle: map[string][]time.Time{}, waits: map[uint64]time.Duration{}}
		e.tr.SetEntries(fmt.Sprintf("e%d", i), entries)
		e.tr.SetTargets(s.now, infos)
		s.entries = append(s.entries, e)
		s.every(100*time.Millisecond, func() {
			if !e.paused {
				s.note(e, e.tr.Tick(s.now))
			}
		})
		s.every(500*time.Millisecond, func() { s.gossip(e) })
		s.arrive(e)
	}
	return s
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, fn})
}

func (s *sim) every(d time.Duration, fn func()) {
	s.after(d, func() { fn(); s.every(d, fn) })
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *sim) gossip(e *simEntry) {
	reports := e.tr.Reports(s.now)
	for _, o := range s.entries {
		if o == e {
			continue
		}
		s.after(50*time.Millisecond, func() {
			for _, r := range reports {
				s.note(o, o.tr.Observe(s.now, Evidence{Kind: RemoteReport, Target: r.Target, Report: r}))
			}
		})
	}
}

func (s *sim) arrive(e *simEntry) {
	s.after(time.Duration(s.rand.ExpFloat64()/e.rate*float64(time.Second)), func() {
		if !e.paused {
			s.request(e)
		}
		s.arrive(e)
	})
}

// choose draws a target by weight, or claims a trickle slot.
func (s *sim) choose(e *simEntry) (*simTarget, bool) {
	for _, g := range s.targets {
		if e.tr.ClaimTrickle(s.now, g.info.ID) {
			return g, true
		}
	}
	// The less loaded of two, as package selection does.
	a, b := s.draw(e), s.draw(e)
	load := func(g *simTarget) int {
		return len(e.tr.targets[g.info.ID].progress) - e.tr.State(g.info.ID).Overdue
	}
	if load(b) < load(a) {
		a = b
	}
	return a, false
}

func (s *sim) draw(e *simEntry) *simTarget {
	sum := 0.0
	for _, g := range s.targets {
		sum += e.tr.State(g.info.ID).Weight
	}
	x := s.rand.Float64() * sum
	for _, g := range s.targets {
		if x -= e.tr.State(g.info.ID).Weight; x < 0 {
			return g
		}
	}
	return s.targets[0]
}

func (s *sim) request(e *simEntry) {
	g, trickle := s.choose(e)
	e.attempt++
	ev := Evidence{Target: g.info.ID, Node: g.info.Node, Class: "web", Attempt: e.attempt, ConnectedAt: s.now, Trickle: trickle}
	if idle := e.idle[g.info.Node]; len(idle) > 0 && !trickle {
		ev.ConnectedAt = idle[len(idle)-1]
		e.idle[g.info.Node] = idle[:len(idle)-1]
	}
	ev.Kind = Started
	s.note(e, e.tr.Observe(s.now, ev))
	g.served++
	started := s.now
	var finish func(d time.Duration, f Fault)
	finish = func(d time.Duration, f Fault) {
		s.after(d, func() {
			if e.paused { // a paused host reads the answer later
				finish(10*time.Millisecond, f)
				return
			}
			ev.Kind, ev.Fault, ev.Duration = Finished, f, s.now.Sub(started)
			if !f.ofPath() {
				e.idle[g.info.Node] = append(e.idle[g.info.Node], ev.ConnectedAt)
			}
			s.note(e, e.tr.Observe(s.now, ev))
		})
	}
	switch {
	case g.refuse:
		finish(simHop, ConnectionRefused)
	case ev.ConnectedAt.Before(g.staleBefore), g.silentTo != nil && g.silentTo(e.index):
		finish(simDeadline, GateUnresponsive)
	default:
		a := answer{latency: s.normal(1)}
		ev.Caller = 100 + s.rand.Uint64N(1000)
		if g.behave != nil {
			if a = g.behave(s, e.index); a.caller != 0 {
				ev.Caller = a.caller
			}
		}
		if !a.hang {
			if d, ok := g.enqueue(s.now, a.latency); ok {
				ev.Load = attempt.Load{Slots: g.slots, Limit: g.slots, Queued: int(float64(g.slots) * float64(d-a.latency) / float64(a.latency))}
				e.waits[e.attempt] = d - a.latency
				a.latency = d
			} else {
				a = answer{fault: Refused}
			}
		}
		if a.hang || a.latency > simDeadline {
			finish(simDeadline, Timeout)
		} else {
			finish(a.latency+simHop, a.fault)
		}
	}
}

// normal is a healthy latency: median 10 ms, one in 100 above 40 ms.
func (s *sim) normal(factor float64) time.Duration {
	return time.Duration(factor * 1e7 * math.Exp(0.6*s.rand.NormFloat64()))
}

// note records changes and plays the I/O layer's part in them.
func (s *sim) note(e *simEntry, changes []Change) {
	for _, c := range changes {
		s.changes = append(s.changes, c)
		if s.hook != nil {
			s.hook(c)
		}
		switch c.Kind {
		case VerifyAttempt:
			s.verify(e, c)
		case ReplaceConnection:
			delete(e.idle, c.Node)
		case ReportDue:
			s.gossip(e)
		}
	}
}

func (s *sim) verify(e *simEntry, c Change) {
	for _, g := range s.targets {
		if g.info.ID != c.Target || (g.silentTo != nil && g.silentTo(e.index)) {
			continue
		}
		p := &e.tr.targets[c.Target].progress
		ev := Evidence{Kind: GateStatus, Target: c.Target, Node: c.Node, Attempt: c.Attempt}
		for _, q := range *p {
			if q.attempt == c.Attempt {
				ev.Running = !q.connectedAt.Before(g.staleBefore)
				ev.Service = max(s.now.Sub(q.started)-e.waits[q.attempt], 0)
			}
		}
		if g.refuse {
			ev.Fault = ConnectionRefused
		}
		s.after(2*simHop, func() { s.note(e, e.tr.Observe(s.now, ev)) })
	}
}

func (s *sim) count(k ChangeKind) int {
	n := 0
	for _, c := range s.changes {
		if c.Kind == k {
			n++
		}
	}
	return n
}

// detect waits until all entries have the targets out of rotation, and returns
// the time it took, or limit.
func (s *sim) detect(limit time.Duration, ids ...string) time.Duration {
	start := s.now
	for s.now.Sub(start) < limit {
		s.run(20 * time.Millisecond)
		all := true
		for _, e := range s.entries {
			for _, id := range ids {
				all = all && e.tr.State(id).Ejected
			}
		}
		if all {
			return s.now.Sub(start)
		}
	}
	return limit
}

// Gray failures of the design page.
var grayFailures = map[string]func(s *sim, caller int) answer{
	"hang":      func(*sim, int) answer { return answer{hang: true} },
	"half-fail": func(s *sim, _ int) answer { return half(s, answer{fault: Error, latency: s.normal(1)}) },
	"slow":      func(s *sim, _ int) answer { return answer{latency: s.normal(10)} },
	"some-callers": func(s *sim, _ int) answer {
		return half(s, answer{hang: true})
	},
	"wrong": func(s *sim, _ int) answer { return answer{fault: Corrupt, latency: s.normal(1)} },
}

func half(s *sim, bad answer) answer {
	if s.rand.IntN(2) == 0 {
		return bad
	}
	return answer{latency: s.normal(1)}
}
