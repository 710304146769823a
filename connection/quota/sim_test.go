package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

const simAccount = "atelier"

var testBounds = Bounds{Window: DefaultWindow, Overage: DefaultOverage, Slack: DefaultSlack}

// simOptions describe the fleet and the account of a simulation.
type simOptions struct {
	seed     uint64
	nodes    int
	entries  int // nodes that get requests of the account
	limit    Limit
	demand   func(t time.Duration) float64 // requests/s
	maxDelay time.Duration
	loss     float64 // of messages
	repeat   float64
	notRun   float64 // requests that end as not-run
	meter    MeterOptions
	ledger   LedgerOptions
}

type simNode struct {
	index       int
	name        string
	meter       *Meter
	ledger      *Ledger
	incarnation int64
	down        bool
	pausedUntil time.Duration
	group       int
	slow        bool          // messages to this node take 0.5 to 2 s longer
	limit       *Limit        // of the version at this node, if it differs
	excludes    string        // a node that is missing in this node's view
	changedAt   time.Duration // when down or group changed last
	alive       []string      // cached view, while settledAt is that of the simulation
	settledAt   time.Duration
	reachable   float64
	viewDue     time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type sim struct {
	options  simOptions
	random   *rand.Rand
	now      time.Duration
	queue    simQueue
	seq      int
	nodes    []*simNode
	ran      []time.Duration // admitted requests that ran
	requests []time.Duration
	refused  []time.Duration
	messages int
	byName   map[string]*simNode
	// lastChange is when down, group or excludes of any node changed last.
	lastChange time.Duration
}

func newSim(o simOptions) *sim {
	s := &sim{options: o, random: rand.New(rand.NewPCG(o.seed, 1)), byName: map[string]*simNode{}, lastChange: -time.Hour}
	for i := range o.nodes {
		n := &simNode{index: i, name: fmt.Sprintf("n%03d", i), changedAt: -time.Hour}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
		s.start(n)
		s.after(time.Duration(s.random.Int64N(int64(ReportInterval))), func() { s.tick(n) })
	}
	s.scheduleArrival()
	return s
}

func (s *sim) clock() time.Time { return time.Unix(1e6, 0).Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

func (s *sim) start(n *simNode) {
	n.incarnation++
	m, l := s.options.meter, s.options.ledger
	m.Node, m.Bounds, m.Incarnation = n.name, testBounds, attempt.Incarnation{StartedMS: n.incarnation}
	l.Node, l.Bounds = n.name, testBounds
	n.meter, n.ledger, n.down = NewMeter(m), NewLedger(l), false
}

func (s *sim) runUntil(t time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= t {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = t
}

// suspicionDelay is the time after which a node suspects another that it cannot reach.
// Each node pings one other a second and tells those that it reaches, so that a larger
// side of a partition learns faster.
func (s *sim) suspicionDelay(from, to *simNode, side int) time.Duration {
	draw := rand.New(rand.NewPCG(uint64(to.index), uint64(from.group))).ExpFloat64()
	return 1500*time.Millisecond + seconds(draw*float64(len(s.nodes))/float64(max(1, side)))
}

// missing returns for how long a node has been unreachable from another.
func (s *sim) missing(from, to *simNode) time.Duration {
	if !to.down && to.group == from.group {
		return 0
	}
	return s.now - max(to.changedAt, from.changedAt)
}

// view returns the nodes that a node takes for alive, and the share that responds.
func (s *sim) view(n *simNode) (alive []string, reachable float64) {
	if s.lastChange != n.settledAt || n.alive == nil || s.now >= n.viewDue {
		n.viewDue = s.now + time.Second
		if s.now-s.lastChange > 3*time.Minute {
			n.viewDue = time.Hour
		}
		n.alive, n.reachable = s.computeView(n)
		n.settledAt = s.lastChange
	}
	return n.alive, n.reachable
}

func (s *sim) computeView(n *simNode) (alive []string, reachable float64) {
	side := 0 // nodes that this one reaches
	for _, other := range s.nodes {
		if other.group == n.group && !other.down {
			side++
		}
	}
	for _, other := range s.nodes {
		if missing := s.missing(n, other); missing == 0 || missing < s.suspicionDelay(n, other, side) {
			reachable++
			if other.name != n.excludes {
				alive = append(alive, other.name)
			}
		}
	}
	return alive, reachable / float64(len(s.nodes))
}

// deliver runs f at a node unless the message is lost, and again if it is repeated.
func (s *sim) deliver(from, to *simNode, f func()) {
	s.messages++
	if from.down || from.group != to.group || s.random.Float64() < s.options.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.options.repeat {
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.Int64N(int64(s.options.maxDelay) + 1))
		if to.slow {
			delay += 500*time.Millisecond + time.Duration(s.random.Int64N(int64(1500*time.Millisecond)))
		}
		incarnation := to.incarnation
		var arrive func()
		arrive = func() {
			if s.now < to.pausedUntil {
				s.after(to.pausedUntil-s.now, arrive)
				return
			}
			if !to.down && to.incarnation == incarnation && from.group == to.group {
				f()
			}
		}
		s.after(delay, arrive)
	}
}

func (s *sim) tick(n *simNode) {
	s.after(ReportInterval, func() { s.tick(n) })
	if n.down || s.now < n.pausedUntil {
		return
	}
	alive, reachable := s.view(n)
	n.meter.SetNodes(alive)
	n.ledger.SetReachable(s.clock(), int(math.Round(reachable*float64(len(s.nodes)))), len(s.nodes), n.meter.Isolated())
	reports := n.meter.Reports(s.clock())
	for _, owner := range slices.Sorted(maps.Keys(reports)) {
		s.report(n, s.byName[owner], reports[owner])
	}
	pushes := n.ledger.Push(s.clock(), alive)
	for _, name := range slices.Sorted(maps.Keys(pushes)) {
		s.push(n, s.byName[name], pushes[name])
	}
}

func (s *sim) report(n, owner *simNode, r Report) {
	done, meter := false, n.meter
	s.deliver(n, owner, func() {
		v := owner.ledger.Report(s.clock(), r, func(string) Limit { return s.limitAt(owner) })
		s.deliver(owner, n, func() {
			if !done && n.meter == meter {
				done = true
				meter.Acknowledge(s.clock(), owner.name, r, v)
			}
		})
	})
	s.after(CallTimeout, func() {
		if !done && n.meter == meter && s.now >= n.pausedUntil {
			done = true
			meter.ReportFailed(s.clock(), owner.name)
		}
	})
}

func (s *sim) push(n, entry *simNode, v Verdicts) {
	done, ledger := false, n.ledger
	s.deliver(n, entry, func() {
		entry.meter.Apply(s.clock(), v)
		s.deliver(entry, n, func() { done = true })
	})
	s.after(CallTimeout, func() {
		if !done && n.ledger == ledger {
			ledger.PushFailed(s.clock(), entry.name, v)
		}
	})
}

func (s *sim) scheduleArrival() {
	// Arrivals are drawn at the highest rate, and thinned to the present one.
	const highest = 10
	s.after(seconds(s.random.ExpFloat64()/(highest*s.options.limit.Rate)), func() {
		s.scheduleArrival()
		if s.random.Float64()*highest*s.options.limit.Rate < s.options.demand(s.now) {
			s.arrive()
		}
	})
}

// arrive sends a request to a random entry that runs. Entries are spread over the nodes.
func (s *sim) arrive() {
	var n *simNode
	for range 20 {
		i := s.random.IntN(s.options.entries) * s.options.nodes / s.options.entries
		if n = s.nodes[i]; !n.down && s.now >= n.pausedUntil {
			break
		}
		n = nil
	}
	if n == nil {
		return
	}
	s.requests = append(s.requests, s.now)
	if !n.meter.Allow(s.clock(), simAccount, s.limitAt(n)).Allowed {
		s.refused = append(s.refused, s.now)
		return
	}
	if s.random.Float64() < s.options.notRun {
		meter := n.meter
		s.after(50*time.Millisecond, func() { meter.GiveBack(s.clock(), simAccount) })
		return
	}
	s.ran = append(s.ran, s.now)
}

func (s *sim) limitAt(n *simNode) Limit {
	if n.limit != nil {
		return *n.limit
	}
	return s.options.limit
}

func (s *sim) kill(n *simNode) { n.down, n.changedAt, s.lastChange = true, s.now, s.now }

func (s *sim) restart(n *simNode) {
	s.start(n)
	n.changedAt, s.lastChange = s.now, s.now
}

func (s *sim) partition(nodes []*simNode, group int) {
	for _, n := range nodes {
		n.group, n.changedAt = group, s.now
	}
	s.lastChange = s.now
}

// owner is the owner in the view of a node that knows all.
func (s *sim) owner() *simNode {
	names := make([]string, len(s.nodes))
	for i, n := range s.nodes {
		names[i] = n.name
	}
	return s.byName[Owner(simAccount, names)]
}

// maxInWindow returns the most requests that ran in any window that begins at or after a
// time.
func (s *sim) maxInWindow(from time.Duration) int {
	most, first := 0, 0
	for i, at := range s.ran {
		for first < i && (s.ran[first] < from || at-s.ran[first] >= testBounds.Window) {
			first++
		}
		if at >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (s *sim) refusedShare(from, to time.Duration) float64 {
	count := func(times []time.Duration) (n float64) {
		for _, t := range times {
			if t >= from && t < to {
				n++
			}
		}
		return n
	}
	return count(s.refused) / max(1, count(s.requests))
}
