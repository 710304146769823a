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

// response is what a target does with a request.
type response struct {
	fault   Fault
	latency time.Duration
	hang    bool
	caller  uint64
}

type simTarget struct {
	info           TargetInfo
	behavior       func(s *sim, entry int) response // nil: healthy
	unresponsiveTo func(entry int) bool             // the path loses the gate's responses
	// Connections opened before connsLostBefore are lost: they carry no response.
	connsLostBefore time.Time
	refuse          bool
	served          int
	slots           int         // 0: unlimited, without a queue
	busyUntil       []time.Time // by slot
}

// enqueue returns the latency of a request with its time in the queue for a slot,
// or false when the queue of four requests per slot is full.
func (tgt *simTarget) enqueue(now time.Time, service time.Duration) (time.Duration, bool) {
	if tgt.slots == 0 {
		return service, true
	}
	for len(tgt.busyUntil) < tgt.slots {
		tgt.busyUntil = append(tgt.busyUntil, now)
	}
	first := 0
	for i, b := range tgt.busyUntil {
		if b.Before(tgt.busyUntil[first]) {
			first = i
		}
	}
	start := tgt.busyUntil[first]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > 4*service {
		return 0, false
	}
	tgt.busyUntil[first] = start.Add(service)
	return start.Add(service).Sub(now), true
}

type simEntry struct {
	index      int
	tracker    *Tracker
	rate       float64 // requests/s
	attempt    uint64
	idle       map[string][]time.Time   // opening times of idle connections by node
	queueTimes map[uint64]time.Duration // time that an attempt queues at its gate, by attempt
	paused     bool
}

const (
	simDeadline = 2 * time.Second
	simHop      = time.Millisecond
)

var simStart = time.Unix(1_700_000_000, 0)

// newSim returns a simulation whose targets are spread in turn over the domains,
// with one gate each. The rate is that of each entry, in requests/s.
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
		e := &simEntry{index: i, tracker: New(o, invariant.PanicReporter{}), rate: rate, idle: map[string][]time.Time{}, queueTimes: map[uint64]time.Duration{}}
		e.tracker.SetEntries(fmt.Sprintf("e%d", i), entries)
		e.tracker.SetTargets(s.now, infos)
		s.entries = append(s.entries, e)
		s.every(100*time.Millisecond, func() {
			if !e.paused {
				s.handleChanges(e, e.tracker.Tick(s.now))
			}
		})
		s.every(500*time.Millisecond, func() { s.gossip(e) })
		s.scheduleArrivals(e)
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
	reports := e.tracker.Reports(s.now)
	for _, other := range s.entries {
		if other == e {
			continue
		}
		s.after(50*time.Millisecond, func() {
			for _, r := range reports {
				s.handleChanges(other, other.tracker.Observe(s.now, Evidence{Kind: RemoteReport, Target: r.Target, Report: r}))
			}
		})
	}
}

func (s *sim) scheduleArrivals(e *simEntry) {
	s.after(time.Duration(s.rand.ExpFloat64()/e.rate*float64(time.Second)), func() {
		if !e.paused {
			s.request(e)
		}
		s.scheduleArrivals(e)
	})
}

// choose draws a target by weight, or claims a trickle slot.
func (s *sim) choose(e *simEntry) (*simTarget, bool) {
	for _, tgt := range s.targets {
		if e.tracker.ClaimTrickle(s.now, tgt.info.ID) {
			return tgt, true
		}
	}
	// The less loaded of two, as in package selection.
	a, b := s.draw(e), s.draw(e)
	load := func(tgt *simTarget) int {
		return len(e.tracker.targets[tgt.info.ID].pending) - e.tracker.State(tgt.info.ID).Overdue
	}
	if load(b) < load(a) {
		a = b
	}
	return a, false
}

func (s *sim) draw(e *simEntry) *simTarget {
	sum := 0.0
	for _, tgt := range s.targets {
		sum += e.tracker.State(tgt.info.ID).Weight
	}
	x := s.rand.Float64() * sum
	for _, tgt := range s.targets {
		if x -= e.tracker.State(tgt.info.ID).Weight; x < 0 {
			return tgt
		}
	}
	return s.targets[0]
}

func (s *sim) request(e *simEntry) {
	tgt, trickle := s.choose(e)
	e.attempt++
	ev := Evidence{Target: tgt.info.ID, Node: tgt.info.Node, Class: "web", Attempt: e.attempt, ConnectedAt: s.now, Trickle: trickle}
	if idle := e.idle[tgt.info.Node]; len(idle) > 0 && !trickle {
		ev.ConnectedAt = idle[len(idle)-1]
		e.idle[tgt.info.Node] = idle[:len(idle)-1]
	}
	ev.Kind = Started
	s.handleChanges(e, e.tracker.Observe(s.now, ev))
	tgt.served++
	started := s.now
	var finish func(d time.Duration, f Fault)
	finish = func(d time.Duration, f Fault) {
		s.after(d, func() {
			if e.paused { // a paused host reads the response later
				finish(10*time.Millisecond, f)
				return
			}
			ev.Kind, ev.Fault, ev.Duration = Finished, f, s.now.Sub(started)
			if !f.concernsPath() {
				e.idle[tgt.info.Node] = append(e.idle[tgt.info.Node], ev.ConnectedAt)
			}
			s.handleChanges(e, e.tracker.Observe(s.now, ev))
		})
	}
	switch {
	case tgt.refuse:
		finish(simHop, ConnectionRefused)
	case ev.ConnectedAt.Before(tgt.connsLostBefore), tgt.unresponsiveTo != nil && tgt.unresponsiveTo(e.index):
		finish(simDeadline, GateUnresponsive)
	default:
		resp := response{latency: s.healthyLatency(1)}
		ev.Caller = 100 + s.rand.Uint64N(1000)
		if tgt.behavior != nil {
			if resp = tgt.behavior(s, e.index); resp.caller != 0 {
				ev.Caller = resp.caller
			}
		}
		if !resp.hang {
			if d, ok := tgt.enqueue(s.now, resp.latency); ok {
				ev.Load = attempt.Load{Slots: tgt.slots, Limit: tgt.slots, Queued: int(float64(tgt.slots) * float64(d-resp.latency) / float64(resp.latency))}
				e.queueTimes[e.attempt] = d - resp.latency
				resp.latency = d
			} else {
				resp = response{fault: Refused}
			}
		}
		if resp.hang || resp.latency > simDeadline {
			finish(simDeadline, Timeout)
		} else {
			finish(resp.latency+simHop, resp.fault)
		}
	}
}

// healthyLatency draws the latency of a healthy target times the factor: median
// 10 ms, one in 100 above 40 ms.
func (s *sim) healthyLatency(factor float64) time.Duration {
	return time.Duration(factor * 1e7 * math.Exp(0.6*s.rand.NormFloat64()))
}

// handleChanges records changes and acts on them as the I/O layer does.
func (s *sim) handleChanges(e *simEntry, changes []Change) {
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
	for _, tgt := range s.targets {
		if tgt.info.ID != c.Target || (tgt.unresponsiveTo != nil && tgt.unresponsiveTo(e.index)) {
			continue
		}
		attempts := &e.tracker.targets[c.Target].pending
		ev := Evidence{Kind: GateStatus, Target: c.Target, Node: c.Node, Attempt: c.Attempt}
		for _, pending := range *attempts {
			if pending.attempt == c.Attempt {
				ev.Running = !pending.connectedAt.Before(tgt.connsLostBefore)
				ev.Service = max(s.now.Sub(pending.started)-e.queueTimes[pending.attempt], 0)
			}
		}
		if tgt.refuse {
			ev.Fault = ConnectionRefused
		}
		s.after(2*simHop, func() { s.handleChanges(e, e.tracker.Observe(s.now, ev)) })
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

// timeToEject runs until all entries have ejected the targets, and returns the time
// that this took, or limit.
func (s *sim) timeToEject(limit time.Duration, ids ...string) time.Duration {
	start := s.now
	for s.now.Sub(start) < limit {
		s.run(20 * time.Millisecond)
		all := true
		for _, e := range s.entries {
			for _, id := range ids {
				all = all && e.tracker.State(id).Ejected
			}
		}
		if all {
			return s.now.Sub(start)
		}
	}
	return limit
}

// grayFailures are the behaviors of a failing target that detection must find.
var grayFailures = map[string]func(s *sim, entry int) response{
	"hang":      func(*sim, int) response { return response{hang: true} },
	"half-fail": func(s *sim, _ int) response { return failHalf(s, response{fault: Error, latency: s.healthyLatency(1)}) },
	"slow":      func(s *sim, _ int) response { return response{latency: s.healthyLatency(10)} },
	"some-callers": func(s *sim, _ int) response {
		return failHalf(s, response{hang: true})
	},
	"wrong": func(s *sim, _ int) response { return response{fault: Corrupt, latency: s.healthyLatency(1)} },
}

// failHalf returns bad for half of the requests, and a healthy response otherwise.
func failHalf(s *sim, bad response) response {
	if s.rand.IntN(2) == 0 {
		return bad
	}
	return response{latency: s.healthyLatency(1)}
}
