package order

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

var epoch = time.Unix(1_800_000_000, 0)

// op is one step of a history; the meaning of a and b depends on kind.
type op struct{ kind, a, b int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	n := rapid.IntRange(0, 99)
	return op{n.Draw(t, "kind"), n.Draw(t, "a"), n.Draw(t, "b")}
}), 100, 400)

const nodes, orders = 3, 4 // half of the orders have foreign keys

type node struct {
	self     Owner
	registry *Registry
	bindings *Bindings
}

// message is one attempt on its way; it may be delivered more than once.
type message struct {
	id       attempt.ID
	order    int
	key      Key
	deadline time.Time
}

// world is a fleet of real registries and folds with a fake log and network.
// It counts the runs of each order itself.
type world struct {
	o                options
	now              time.Time
	back             time.Duration // by which the clocks of the gates step back now
	r                *rand.Rand
	minter           *KeyIssuer
	nodes            [nodes]*node
	log              []eventlog.Record
	down             bool
	issued           [orders]string
	sent             []message
	admitted, begun  []message
	runs             [orders]int
	notRun, starts   map[attempt.ID]bool
	faults           []string
	long, incarnated int
}

type options struct {
	registry Options
	bindings BindingsOptions
}

func (w *world) Check(name invariant.Name, ok bool, format string, args ...any) {
	if !ok {
		w.faultf("invariant %s: %s", name, fmt.Sprintf(format, args...))
	}
}

func (w *world) faultf(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func runHistory(o options, ops []op) []string {
	w := &world{o: o, now: epoch, r: rand.New(rand.NewPCG(1, 2)), notRun: map[attempt.ID]bool{}, starts: map[attempt.ID]bool{}}
	w.minter = NewKeyIssuer(KeyIssuerOptions{FleetToken: "secret"}, w.r)
	for i := range w.nodes {
		w.restart(i)
	}
	for _, p := range ops {
		w.now = w.now.Add(time.Duration(p.b) * time.Millisecond)
		w.step(p)
	}
	return w.faults
}

func (w *world) restart(i int) {
	w.incarnated++
	self := Owner{Node: fmt.Sprint("n", i), Incarnation: attempt.Incarnation{StartedMS: w.now.UnixMilli(), Random: uint64(w.incarnated)}}
	ro := w.o.registry
	ro.Self = self
	w.nodes[i] = &node{self, NewRegistry(ro, w), NewBindings(w.o.bindings, self)}
}

func (w *world) step(p op) {
	n := w.nodes[p.b%nodes]
	switch {
	case p.kind < 20:
		w.send(p.a%orders, n)
	case p.kind < 40:
		if len(w.sent) > 0 {
			w.deliver(w.sent[p.a%len(w.sent)])
		}
	case p.kind < 52:
		if m, ok := take(&w.admitted, p.a); ok {
			w.start(m)
		}
	case p.kind < 62:
		if m, ok := take(&w.begun, p.a); ok {
			w.finish(m, attempt.Answered)
		}
	case p.kind < 65:
		if m, ok := take(&w.begun, p.a); ok {
			w.finish(m, attempt.Unknown)
		}
	case p.kind < 74:
		if len(w.sent) > 0 {
			w.withdraw(w.sent[p.a%len(w.sent)])
		}
	case p.kind < 75:
		w.restart(p.b % nodes)
	case p.kind < 78:
		w.down = !w.down
	case p.kind < 80: // pause of all processes; the bindings' window is not reached
		if w.long < 60 {
			w.long++
			w.now = w.now.Add(time.Duration(p.a) * 12 * time.Second)
		}
	case p.kind < 81:
		w.back = time.Duration(p.a) * 30 * time.Second
	case p.kind < 82:
		w.back = 0
	default:
		w.exchange(n, p.a)
	}
}

func take(ms *[]message, i int) (message, bool) {
	if len(*ms) == 0 {
		return message{}, false
	}
	i %= len(*ms)
	m := (*ms)[i]
	*ms = append((*ms)[:i:i], (*ms)[i+1:]...)
	return m, true
}

// send is a customer's request, new or repeated, at any entry.
func (w *world) send(o int, n *node) {
	var key Key
	if o%2 == 0 {
		if w.issued[o] == "" {
			w.issued[o] = w.minter.Issue(w.now, "s", "c", n.self)
		}
		var err error
		// A clock that is behind accepts the key a little longer.
		if key, err = w.minter.Parse(w.now.Add(-w.back), w.issued[o]); err != nil && !errors.Is(err, ErrTooEarly) {
			return
		}
	} else {
		id := w.minter.CustomerKeyID("s", "c", fmt.Sprint(o))
		state, k := n.bindings.Lookup(w.now, id, "s")
		if state == Unbound {
			n.bindings.Propose(w.now, id, n.self)
		}
		if state != Bound {
			return
		}
		key = k
	}
	id := attempt.ID{Request: attempt.RequestID(fmt.Sprint(len(w.sent))), Number: 1, Entry: n.self.Node}
	w.sent = append(w.sent, message{id, o, key, w.now.Add(30 * time.Second)})
}

func (w *world) gate(m message) *node {
	for _, n := range w.nodes {
		if n.self.Node == m.key.Owner.Node {
			return n
		}
	}
	panic("no node of the name")
}

func (w *world) deliver(m message) {
	switch res := w.gate(m).registry.Begin(w.now.Add(-w.back), m.key, m.id); res.Action {
	case Run:
		w.admitted = append(w.admitted, m)
	case Done:
		if w.runs[m.order] == 0 {
			w.faultf("order %d answered without a run", m.order)
		}
	case Refuse:
		if res.Outcome == attempt.NotRun {
			w.reportNotRun(m)
		}
	}
}

func (w *world) reportNotRun(m message) {
	if w.runs[m.order] > 0 || w.starts[m.id] {
		w.faultf("order %d reported as not run after %d runs", m.order, w.runs[m.order])
	}
	w.notRun[m.id] = true
}

func (w *world) start(m message) {
	g := w.gate(m).registry
	if !g.Start(w.now.Add(-w.back), m.key, m.id, m.deadline) {
		if s, ok := g.attempts[hashAttempt(m.id)]; ok && s.phase == attemptReserved {
			w.reportNotRun(m)
		}
		w.wake(m, g.Finish(w.now.Add(-w.back), m.key, m.id, Result{Outcome: attempt.NotRun}))
		return
	}
	if w.notRun[m.id] {
		w.faultf("attempt %s starts after it was reported as not run", m.id)
	}
	w.starts[m.id] = true
	if w.runs[m.order]++; w.runs[m.order] > 1 {
		w.faultf("order %d runs %d times", m.order, w.runs[m.order])
	}
	w.begun = append(w.begun, m)
}

func (w *world) finish(m message, o attempt.Outcome) {
	res := Result{Outcome: o, Status: 200, Body: make([]byte, 100)}
	w.wake(m, w.gate(m).registry.Finish(w.now.Add(-w.back), m.key, m.id, res))
}

func (w *world) wake(m message, woken []attempt.ID) {
	for _, id := range woken {
		for _, s := range w.sent {
			if s.id == id {
				w.deliver(s)
			}
		}
	}
}

func (w *world) withdraw(m message) {
	age := w.now.Sub(m.deadline) + 30*time.Second
	res, woken := w.gate(m).registry.Withdraw(w.now.Add(-w.back), Withdrawal{Attempt: m.id, Gate: m.key.Owner, Key: m.key, Age: age})
	if res == NeverStarted {
		w.reportNotRun(m)
	}
	w.wake(m, woken)
}

// exchange lets a node read the log, append its batch, or both. An append may
// be lost, be added with its answer lost, or be added twice.
func (w *world) exchange(n *node, how int) {
	if w.down {
		if _, ok := n.bindings.NextBatch(w.now); ok {
			n.bindings.Appended(w.now, false)
		}
		return
	}
	if how%3 > 0 {
		if data, ok := n.bindings.NextBatch(w.now); ok {
			for range []int{1, 1, 0, 2}[how%4] {
				w.log = append(w.log, eventlog.Record{Offset: int64(len(w.log) + 1), Data: data})
			}
			n.bindings.Appended(w.now, how%4 == 0)
		}
	}
	if how%3 < 2 {
		for _, r := range w.log[n.bindings.Next()-1:] {
			if _, err := n.bindings.Apply(w.now, r); err != nil {
				w.faultf("apply: %v", err)
			}
		}
		n.bindings.CaughtUp(w.now)
	}
}

var small = options{registry: Options{MaxResponseBytes: 400, AttemptTTL: 10 * time.Minute}}

// Guards against an order that runs twice, or that is reported as not run
// although it ran or runs later: with pauses, clocks that step back, restarts,
// repeats at other nodes, late and double deliveries, withdrawals, lost append
// answers and log outages together.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if faults := runHistory(small, history.Draw(t, "history")); len(faults) > 0 {
			t.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}

// Proves that the histories find the fault when a mechanism is off.
func TestOrderHistoriesFindFaults(t *testing.T) {
	off := func(change func(o *options)) options {
		o := small
		change(&o)
		return o
	}
	const seeds = 300
	for seed := range seeds {
		if faults := runHistory(small, history.Example(seed)); len(faults) > 0 {
			t.Fatalf("seed %d: fault with everything on: %s", seed, faults[0])
		}
	}
	for name, o := range map[string]options{
		"forgetStarted":    off(func(o *options) { o.registry.forgetStarted = true }),
		"ignoreWithdrawn":  off(func(o *options) { o.registry.ignoreWithdrawn = true }),
		"ignoreDeadline":   off(func(o *options) { o.registry.ignoreDeadline = true }),
		"ignoreOwner":      off(func(o *options) { o.registry.ignoreOwner = true }),
		"forgetOnOverflow": off(func(o *options) { o.registry.forgetOnOverflow = true }),
		"trustAll":         off(func(o *options) { o.registry.trustAll = true }),
		"followClock":      off(func(o *options) { o.registry.followClock = true }),
		"lastWins":         off(func(o *options) { o.bindings.lastWins = true }),
		"trustAppend":      off(func(o *options) { o.bindings.trustAppend = true }),
	} {
		found := 0
		for seed := range seeds {
			if len(runHistory(o, history.Example(seed))) > 0 {
				found++
			}
		}
		t.Logf("%s: fault found in %d of %d histories", name, found, seeds)
		if found == 0 {
			t.Errorf("%s: no history finds a fault", name)
		}
	}
}
