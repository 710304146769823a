package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

// Intervals of the I/O layer, as in the daemon.
const (
	entryTick     = 100 * time.Millisecond
	gateTick      = 10 * time.Millisecond
	reportEvery   = time.Second
	gossipRound   = 200 * time.Millisecond // of urgent gossip
	gossipFanOut  = 4
	warmupTime    = 12 * time.Second     // an entry allows for cold targets during its first 10 s
	cancelMargin  = 5 * time.Millisecond // a gate cancels this long before the caller's deadline
	defaultHedge  = 50 * time.Millisecond
	minimumRemain = 5 * time.Millisecond
)

// fleet serves requests with the project's decision objects: an entry and a
// gate on each node, as process/entry and process/gate drive them.
type fleet struct {
	sim       *simulation
	entries   []*entryModel
	gates     []*gateModel
	ejections []ejection
	hedge     bool
}

// ejection is an entry's decision to take a target out of rotation.
type ejection struct {
	entry  int
	target string
}

type entryModel struct {
	f        *fleet
	index    int
	health   *health.Tracker
	selector *selection.Selector
	budgets  []*retry.Budget
	next     uint64
	attempts map[uint64]*attemptModel
}

// attemptModel is one attempt in progress at an entry.
type attemptModel struct {
	id        uint64
	flow      *flow
	index     int // in the flow's history
	target    *simTarget
	trickle   bool
	sent      time.Time
	over      bool
	ticket    admission.Ticket
	atGate    bool
	startedAt time.Time // at the target
	gone      bool      // cancelled by the entry
	noWait    bool      // refuse rather than queue: a slot is free elsewhere
}

// flow is the state of one request at its entry.
type flow struct {
	e       *entryModel
	r       *request
	history []retry.Attempt
	models  []*attemptModel
}

func newFleet(sim *simulation, hedge bool) *fleet {
	f := &fleet{sim: sim, hedge: hedge}
	for i := range sim.nodes {
		f.entries = append(f.entries, f.newEntry(i))
		f.gates = append(f.gates, f.newGate(i))
	}
	sim.every(entryTick, f.tickEntries)
	sim.every(gateTick, f.tickGates)
	sim.every(reportEvery, f.gossip)
	return f
}

func (f *fleet) newEntry(i int) *entryModel {
	sim := f.sim
	node := sim.nodes[i]
	e := &entryModel{
		f: f, index: i, attempts: map[uint64]*attemptModel{},
		health: health.New(health.Options{}, invariant.PanicReporter{}),
		selector: selection.New(selection.Options{Entry: node.name, Domain: node.domain},
			rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(i)))),
	}
	e.health.SetEntries(node.name, len(sim.nodes))
	var infos []health.TargetInfo
	var candidates []selection.Candidate
	for service, model := range sim.deployment.Services {
		e.budgets = append(e.budgets, retry.NewBudget(retry.Options{}))
		for _, t := range sim.byService[service] {
			owner := sim.nodes[t.node].name
			infos = append(infos, health.TargetInfo{ID: t.id, Node: owner, Domain: t.domain, Service: model.Name, Floor: model.Floor})
			candidates = append(candidates, selection.Candidate{
				Target: t.id, Node: owner, Domain: t.domain, Service: model.Name, Slots: t.slots})
		}
	}
	e.selector.SetCandidates(sim.now, candidates)
	var subset []health.TargetInfo
	for _, info := range infos {
		for _, c := range e.selector.Subset(info.Service) {
			if c.Target == info.ID {
				subset = append(subset, info)
			}
		}
	}
	e.note(e.health.SetTargets(sim.now, subset))
	return e
}

func (f *fleet) tickEntries() {
	for _, e := range f.entries {
		e.note(e.health.Tick(f.sim.now))
	}
}

// gossip sends all reports at the pace of periodic gossip.
func (f *fleet) gossip() {
	for _, from := range f.entries {
		f.spread(from)
	}
}

// spread sends an entry's reports to all others: the number of entries that
// have them grows by the fan-out in each round.
func (f *fleet) spread(from *entryModel) {
	reports := from.health.Reports(f.sim.now)
	if len(reports) == 0 {
		return
	}
	reached, delay := 1, time.Duration(0)
	for i, index := range f.sim.rng.Perm(len(f.entries)) {
		if i >= reached {
			reached *= gossipFanOut + 1
			delay += gossipRound
		}
		to := f.entries[index]
		if to == from {
			continue
		}
		f.sim.after(delay+time.Duration(f.sim.rng.Int64N(int64(gossipRound))), func() { to.merge(reports) })
	}
}

func (e *entryModel) merge(reports []health.Report) {
	now := e.f.sim.now
	for _, report := range reports {
		report.At = now
		e.note(e.health.Observe(now, health.Evidence{Kind: health.RemoteReport, Target: report.Target, Report: report}))
	}
}

// note handles the changes that a health tracker reports.
func (e *entryModel) note(changes []health.Change) {
	for _, c := range changes {
		switch c.Kind {
		case health.Eject:
			e.f.ejections = append(e.f.ejections, ejection{e.index, c.Target})
		case health.VerifyAttempt:
			e.verify(c)
		case health.ReportDue:
			e.f.spread(e)
		}
	}
}

// verify asks the gate, on a new connection, whether it holds an attempt.
func (e *entryModel) verify(c health.Change) {
	a := e.attempts[c.Attempt]
	if a == nil {
		return
	}
	e.f.sim.send(e.index, a.target.node, func() {
		running := a.atGate && !a.over
		service, others := time.Duration(0), 0
		if !a.startedAt.IsZero() {
			service = max(e.f.sim.now.Sub(a.startedAt), time.Microsecond)
			others = e.f.gates[a.target.node].runningSince(a, service/2)
		}
		e.f.sim.send(a.target.node, e.index, func() {
			e.note(e.health.Observe(e.f.sim.now, health.Evidence{
				Kind: health.GateStatus, Target: a.target.id, Node: c.Node, Attempt: a.id, Running: running, Service: service, OtherAttempts: others}))
		})
	})
}

// submit starts a request at its entry.
func (f *fleet) submit(r *request) {
	e := f.entries[r.entry]
	fl := &flow{e: e, r: r}
	e.budgets[r.service].CountFirstAttempt(f.sim.now)
	if !fl.try(selection.Query{Service: f.sim.deployment.Services[r.service].Name, ClaimTrickle: fl.trickle()}, false) {
		r.finish(answer{})
		return
	}
	f.sim.at(r.deadline.Add(-cancelMargin/2), func() { fl.expire() })
	fl.step()
}

// trickle lets idempotent first attempts use the trickle slot of an ejected
// target.
func (fl *flow) trickle() func(string) bool {
	if !fl.r.class.Idempotent || fl.r.class.Long {
		return nil
	}
	return func(target string) bool { return fl.e.health.ClaimTrickle(fl.e.f.sim.now, target) }
}

func (fl *flow) try(q selection.Query, hedged bool) bool {
	q.Long = fl.r.class.Long
	e, sim := fl.e, fl.e.f.sim
	choice, ok := e.selector.Pick(sim.now, q, e.health.State)
	if !ok {
		return false
	}
	target := sim.target(choice.Target)
	e.next++
	a := &attemptModel{id: e.next, flow: fl, index: len(fl.history), target: target, trickle: choice.Trickle, sent: sim.now}
	if len(fl.history) == 0 && !fl.r.class.Long && !choice.Trickle {
		_, a.noWait = e.selector.Pick(sim.now, selection.Query{Service: q.Service, ExcludeTargets: []string{choice.Target}, FreeSlotOnly: true}, e.health.State)
	}
	fl.history = append(fl.history, retry.Attempt{
		Target: choice.Target, Node: choice.Node, Domain: choice.Domain, Started: sim.now, InProgress: true, Hedge: hedged})
	fl.models = append(fl.models, a)
	e.attempts[a.id] = a
	e.selector.Started(target.id, fl.r.class.Long)
	e.note(e.health.Observe(sim.now, health.Evidence{Kind: health.Started, Target: target.id, Node: choice.Node,
		Class: fl.r.class.Name, Attempt: a.id, ConnectedAt: epoch, Trickle: a.trickle}))
	sim.send(e.index, target.node, func() { e.f.gates[target.node].receive(a) })
	return true
}

// conclude handles the gate's answer to an attempt.
func (e *entryModel) conclude(a *attemptModel, verdict attempt.Verdict, reason attempt.Reason, status int, load attempt.Load, service time.Duration) {
	if a.over {
		return
	}
	a.over = true
	delete(e.attempts, a.id)
	now := e.f.sim.now
	e.selector.Finished(a.target.id, a.flow.r.class.Long)
	if load.Slots > 0 {
		e.selector.ObserveLoad(now, a.target.id, load)
	}
	e.note(e.health.Observe(now, health.Evidence{Kind: health.Finished, Target: a.target.id, Node: e.f.sim.nodes[a.target.node].name,
		Class: a.flow.r.class.Name, Attempt: a.id, ConnectedAt: epoch, Trickle: a.trickle, Load: load, Service: service,
		Caller: xxhash.Sum64String(strconv.Itoa(a.flow.r.customer)),
		Fault:  health.FaultOf(verdict, reason, status), Duration: now.Sub(a.sent)}))
	h := &a.flow.history[a.index]
	h.InProgress, h.Verdict, h.Reason, h.Status = false, verdict, reason, status
	a.flow.step()
}

// step asks the retry policy for what follows.
func (fl *flow) step() {
	if fl.r.finished {
		return
	}
	sim := fl.e.f.sim
	d := retry.Decide(sim.now, fl.policy(), fl.history, fl.e.budgets[fl.r.service])
	switch d.Action {
	case retry.Stop:
		fl.r.finish(answer{ok: d.Outcome == attempt.Answered && fl.answeredWell()})
		fl.cancelAll()
	case retry.Retry, retry.Hedge:
		q := selection.Query{Service: sim.deployment.Services[fl.r.service].Name, ExcludeTargets: d.ExcludeTargets,
			ExcludeNodes: d.ExcludeNodes, AvoidDomains: d.AvoidDomains, FreeSlotOnly: d.FreeSlotOnly}
		ok := fl.try(q, d.Action == retry.Hedge)
		if !ok && fl.history[len(fl.history)-1].Reason == attempt.ReasonBusy {
			q.ExcludeTargets = nil
			ok = fl.try(q, false)
		}
		if !ok && d.Action == retry.Retry {
			fl.r.finish(answer{})
		}
	case retry.Withdraw:
		fl.withdraw(d.Number - 1)
	case retry.Wait:
		if !d.At.IsZero() {
			sim.at(d.At, fl.step)
		}
	}
}

func (fl *flow) answeredWell() bool {
	for _, h := range fl.history {
		if h.Verdict == attempt.VerdictRan && h.Reason == attempt.ReasonNone && h.Status < 500 {
			return true
		}
	}
	return false
}

func (fl *flow) policy() retry.Policy {
	p := retry.Policy{Idempotent: fl.r.class.Idempotent, Deadline: fl.r.deadline, MinRemaining: minimumRemain,
		Hedge: fl.e.f.hedge, HedgeAfter: defaultHedge, Long: fl.r.class.Long}
	service := fl.e.f.sim.deployment.Services[fl.r.service].Name
	if p50, p95, ok := fl.e.health.DurationPercentiles(service, fl.r.class.Name); ok {
		p.HedgeAfter, p.MinRemaining = p95, p50
	}
	return p
}

// withdraw asks the gate whether an attempt started. The model's gates always
// answer; a cut path leaves the attempt unknown.
func (fl *flow) withdraw(index int) {
	a, sim := fl.models[index], fl.e.f.sim
	fl.history[index].WithdrawRequested = true
	sim.send(fl.e.index, a.target.node, func() {
		never := !a.atGate
		a.gone = true
		sim.send(a.target.node, fl.e.index, func() {
			fl.history[index].NeverStarted = never
			fl.step()
		})
	})
}

// expire ends what is still in progress at the deadline.
func (fl *flow) expire() {
	fl.r.finish(answer{})
	fl.cancelAll()
}

// cancelAll ends the attempts that are still in progress. An attempt that ran
// to the deadline without any answer from its gate counts as silence.
func (fl *flow) cancelAll() {
	sim := fl.e.f.sim
	for _, a := range fl.models {
		if a.over {
			continue
		}
		a.over = true
		delete(fl.e.attempts, a.id)
		fl.e.selector.Finished(a.target.id, fl.r.class.Long)
		kind, fault := health.Cancelled, health.NoFault
		if !sim.now.Before(fl.r.deadline.Add(-cancelMargin)) {
			kind, fault = health.Finished, health.GateUnresponsive
		}
		fl.e.note(fl.e.health.Observe(sim.now, health.Evidence{Kind: kind, Target: a.target.id,
			Node: sim.nodes[a.target.node].name, Class: fl.r.class.Name, Attempt: a.id, ConnectedAt: epoch,
			Fault: fault, Trickle: a.trickle, Duration: sim.now.Sub(a.sent)}))
		sim.send(fl.e.index, a.target.node, func() { fl.e.f.gates[a.target.node].cancel(a) })
	}
}
