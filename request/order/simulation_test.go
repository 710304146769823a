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

// operation is one step of a history; the meaning of a and b depends on kind.
type operation struct{ kind, a, b int }

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
	n := rapid.IntRange(0, 99)
	return operation{n.Draw(t, "kind"), n.Draw(t, "a"), n.Draw(t, "b")}
}), 100, 400)

const nodeCount, orderCount = 3, 4 // half of the orders have customer keys

type simulatedNode struct {
	self     Owner
	registry *Registry
	bindings *Bindings
}

// attemptMessage is an attempt sent to a gate; it may be delivered more than once.
type attemptMessage struct {
	id       attempt.ID
	order    int
	key      Key
	deadline time.Time
}

// simulation is a fleet of real Registry and Bindings values with a simulated
// log and network. It counts the runs of each order independently of them.
type simulation struct {
	opts                       simulationOptions
	now                        time.Time
	clockLag                   time.Duration // by which the clocks of the gates are behind
	random                     *rand.Rand
	issuer                     *KeyIssuer
	nodes                      [nodeCount]*simulatedNode
	log                        []eventlog.Record
	logDown                    bool
	issuedKeys                 [orderCount]string
	sent                       []attemptMessage
	admitted, started          []attemptMessage
	runCounts                  [orderCount]int
	reportedNotRun, startedIDs map[attempt.ID]bool
	violations                 []string
	longPauses, incarnations   int
}

type simulationOptions struct {
	registry Options
	bindings BindingsOptions
}

func (s *simulation) Check(name invariant.Name, ok bool, format string, args ...any) {
	if !ok {
		s.violationf("invariant %s: %s", name, fmt.Sprintf(format, args...))
	}
}

func (s *simulation) violationf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func runHistory(opts simulationOptions, ops []operation) []string {
	s := &simulation{opts: opts, now: epoch, random: rand.New(rand.NewPCG(1, 2)), reportedNotRun: map[attempt.ID]bool{}, startedIDs: map[attempt.ID]bool{}}
	s.issuer = NewKeyIssuer(KeyIssuerOptions{FleetToken: "secret"}, s.random)
	for i := range s.nodes {
		s.restart(i)
	}
	for _, op := range ops {
		s.now = s.now.Add(time.Duration(op.b) * time.Millisecond)
		s.step(op)
	}
	return s.violations
}

func (s *simulation) restart(i int) {
	s.incarnations++
	self := Owner{Node: fmt.Sprint("n", i), Incarnation: attempt.Incarnation{StartedMS: s.now.UnixMilli(), Random: uint64(s.incarnations)}}
	registryOptions := s.opts.registry
	registryOptions.Self = self
	s.nodes[i] = &simulatedNode{self, NewRegistry(registryOptions, s), NewBindings(s.opts.bindings, self)}
}

func (s *simulation) step(op operation) {
	n := s.nodes[op.b%nodeCount]
	switch {
	case op.kind < 20:
		s.send(op.a%orderCount, n)
	case op.kind < 40:
		if len(s.sent) > 0 {
			s.deliver(s.sent[op.a%len(s.sent)])
		}
	case op.kind < 52:
		if m, ok := removeAt(&s.admitted, op.a); ok {
			s.start(m)
		}
	case op.kind < 62:
		if m, ok := removeAt(&s.started, op.a); ok {
			s.finish(m, attempt.Answered)
		}
	case op.kind < 65:
		if m, ok := removeAt(&s.started, op.a); ok {
			s.finish(m, attempt.Unknown)
		}
	case op.kind < 74:
		if len(s.sent) > 0 {
			s.withdraw(s.sent[op.a%len(s.sent)])
		}
	case op.kind < 75:
		s.restart(op.b % nodeCount)
	case op.kind < 78:
		s.logDown = !s.logDown
	case op.kind < 80: // pause of all processes; the bindings' window is not reached
		if s.longPauses < 60 {
			s.longPauses++
			s.now = s.now.Add(time.Duration(op.a) * 12 * time.Second)
		}
	case op.kind < 81:
		s.clockLag = time.Duration(op.a) * 30 * time.Second
	case op.kind < 82:
		s.clockLag = 0
	default:
		s.accessLog(n, op.a)
	}
}

func removeAt(messages *[]attemptMessage, i int) (attemptMessage, bool) {
	if len(*messages) == 0 {
		return attemptMessage{}, false
	}
	i %= len(*messages)
	m := (*messages)[i]
	*messages = append((*messages)[:i:i], (*messages)[i+1:]...)
	return m, true
}

// send sends a customer's request, new or retried, from any entry.
func (s *simulation) send(order int, n *simulatedNode) {
	var key Key
	if order%2 == 0 {
		if s.issuedKeys[order] == "" {
			s.issuedKeys[order] = s.issuer.Issue(s.now, "s", "c", n.self)
		}
		var err error
		// A clock that is behind accepts the key a little longer.
		if key, err = s.issuer.Parse(s.now.Add(-s.clockLag), s.issuedKeys[order]); err != nil && !errors.Is(err, ErrTooEarly) {
			return
		}
	} else {
		id := s.issuer.CustomerKeyID("s", "c", fmt.Sprint(order))
		state, bound := n.bindings.Lookup(s.now, id, "s")
		if state == Unbound {
			n.bindings.Propose(s.now, id, n.self)
		}
		if state != Bound {
			return
		}
		key = bound
	}
	id := attempt.ID{Request: attempt.RequestID(fmt.Sprint(len(s.sent))), Number: 1, Entry: n.self.Node}
	s.sent = append(s.sent, attemptMessage{id, order, key, s.now.Add(30 * time.Second)})
}

func (s *simulation) owningNode(m attemptMessage) *simulatedNode {
	for _, n := range s.nodes {
		if n.self.Node == m.key.Owner.Node {
			return n
		}
	}
	panic("no node has this name")
}

func (s *simulation) deliver(m attemptMessage) {
	switch res := s.owningNode(m).registry.Begin(s.now.Add(-s.clockLag), m.key, m.id); res.Action {
	case Run:
		s.admitted = append(s.admitted, m)
	case Done:
		if s.runCounts[m.order] == 0 {
			s.violationf("order %d answered without a run", m.order)
		}
	case Refuse:
		if res.Outcome == attempt.NotRun {
			s.recordNotRun(m)
		}
	}
}

func (s *simulation) recordNotRun(m attemptMessage) {
	if s.runCounts[m.order] > 0 || s.startedIDs[m.id] {
		s.violationf("order %d reported as not run after %d runs", m.order, s.runCounts[m.order])
	}
	s.reportedNotRun[m.id] = true
}

func (s *simulation) start(m attemptMessage) {
	registry := s.owningNode(m).registry
	if !registry.Start(s.now.Add(-s.clockLag), m.key, m.id, m.deadline) {
		if state, ok := registry.attempts[hashAttempt(m.id)]; ok && state.phase == attemptReserved {
			s.recordNotRun(m)
		}
		s.redeliverWoken(m, registry.Finish(s.now.Add(-s.clockLag), m.key, m.id, Result{Outcome: attempt.NotRun}))
		return
	}
	if s.reportedNotRun[m.id] {
		s.violationf("attempt %s starts after it was reported as not run", m.id)
	}
	s.startedIDs[m.id] = true
	if s.runCounts[m.order]++; s.runCounts[m.order] > 1 {
		s.violationf("order %d runs %d times", m.order, s.runCounts[m.order])
	}
	s.started = append(s.started, m)
}

func (s *simulation) finish(m attemptMessage, outcome attempt.Outcome) {
	res := Result{Outcome: outcome, Status: 200, Body: make([]byte, 100)}
	s.redeliverWoken(m, s.owningNode(m).registry.Finish(s.now.Add(-s.clockLag), m.key, m.id, res))
}

func (s *simulation) redeliverWoken(m attemptMessage, woken []attempt.ID) {
	for _, id := range woken {
		for _, sent := range s.sent {
			if sent.id == id {
				s.deliver(sent)
			}
		}
	}
}

func (s *simulation) withdraw(m attemptMessage) {
	age := s.now.Sub(m.deadline) + 30*time.Second
	res, woken := s.owningNode(m).registry.Withdraw(s.now.Add(-s.clockLag), Withdrawal{Attempt: m.id, Gate: m.key.Owner, Key: m.key, Age: age})
	if res == NeverStarted {
		s.recordNotRun(m)
	}
	s.redeliverWoken(m, woken)
}

// accessLog makes a node read the log, append its batch, or both. An append may
// be lost, or succeed with its response lost, or be added twice.
func (s *simulation) accessLog(n *simulatedNode, mode int) {
	if s.logDown {
		if _, ok := n.bindings.NextBatch(s.now); ok {
			n.bindings.Appended(s.now, false)
		}
		return
	}
	if mode%3 > 0 {
		if data, ok := n.bindings.NextBatch(s.now); ok {
			for range []int{1, 1, 0, 2}[mode%4] {
				s.log = append(s.log, eventlog.Record{Offset: int64(len(s.log) + 1), Data: data})
			}
			n.bindings.Appended(s.now, mode%4 == 0)
		}
	}
	if mode%3 < 2 {
		for _, r := range s.log[n.bindings.Next()-1:] {
			if _, err := n.bindings.Apply(s.now, r); err != nil {
				s.violationf("apply: %v", err)
			}
		}
		n.bindings.CaughtUp(s.now)
	}
}

var baseOptions = simulationOptions{registry: Options{MaxResponseBytes: 400, AttemptTTL: 10 * time.Minute}}

// Guards against an order that runs twice, or that is reported as not run
// although it ran or runs later. Histories combine pauses, clocks that step
// back, restarts, retries at other nodes, late and duplicate deliveries,
// withdrawals, lost append responses and log outages.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violations := runHistory(baseOptions, history.Draw(t, "history")); len(violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

// Guards against histories that detect no violation when a check of the package
// is disabled.
func TestOrderHistoriesDetectDisabledChecks(t *testing.T) {
	with := func(change func(opts *simulationOptions)) simulationOptions {
		opts := baseOptions
		change(&opts)
		return opts
	}
	const seeds = 300
	for seed := range seeds {
		if violations := runHistory(baseOptions, history.Example(seed)); len(violations) > 0 {
			t.Fatalf("seed %d: violation with all checks enabled: %s", seed, violations[0])
		}
	}
	for name, opts := range map[string]simulationOptions{
		"forgetStarted":    with(func(opts *simulationOptions) { opts.registry.forgetStarted = true }),
		"ignoreWithdrawn":  with(func(opts *simulationOptions) { opts.registry.ignoreWithdrawn = true }),
		"ignoreDeadline":   with(func(opts *simulationOptions) { opts.registry.ignoreDeadline = true }),
		"ignoreOwner":      with(func(opts *simulationOptions) { opts.registry.ignoreOwner = true }),
		"forgetOnOverflow": with(func(opts *simulationOptions) { opts.registry.forgetOnOverflow = true }),
		"trustAll":         with(func(opts *simulationOptions) { opts.registry.trustAll = true }),
		"followClock":      with(func(opts *simulationOptions) { opts.registry.followClock = true }),
		"lastWins":         with(func(opts *simulationOptions) { opts.bindings.lastWins = true }),
		"trustAppend":      with(func(opts *simulationOptions) { opts.bindings.trustAppend = true }),
	} {
		found := 0
		for seed := range seeds {
			if len(runHistory(opts, history.Example(seed))) > 0 {
				found++
			}
		}
		t.Logf("%s: violation found in %d of %d histories", name, found, seeds)
		if found == 0 {
			t.Errorf("%s: no history finds a violation", name)
		}
	}
}
