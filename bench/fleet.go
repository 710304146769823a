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

// Intervals and limits of the I/O layer, with the values of the daemon.
const (
	entryTickInterval   = 100 * time.Millisecond
	gateTickInterval    = 10 * time.Millisecond
	reportInterval      = time.Second
	gossipRoundInterval = 200 * time.Millisecond // of urgent reports
	gossipFanOut        = 4
	warmupTime          = 12 * time.Second     // above the 10 s in which a new entry allows for cold targets
	cancelMargin        = 5 * time.Millisecond // a gate cancels this long before the caller's deadline
	defaultHedgeDelay   = 50 * time.Millisecond
	minRemaining        = 5 * time.Millisecond
)

// fleet is the system under test: an entry and a gate on each node, which call
// the decision objects as process/entry and process/gate do.
type fleet struct {
	sim       *simulation
	entries   []*entryModel
	gates     []*gateModel
	ejections []ejection
	hedge     bool
}

// ejection records that an entry ejected a target.
type ejection struct {
	entryIndex int
	target     string
}

// entryModel models the entry of one node.
type entryModel struct {
	fleet         *fleet
	index         int
	health        *health.Tracker
	selector      *selection.Selector
	budgets       []*retry.Budget
	lastAttemptID uint64
	attempts      map[uint64]*attemptModel
}

// attemptModel is one attempt in progress at an entry.
type attemptModel struct {
	id        uint64
	state     *requestState
	index     int // in the request's history
	target    *simTarget
	trickle   bool
	sentAt    time.Time
	ended     bool
	ticket    admission.Ticket
	atGate    bool      // the gate has received it
	startedAt time.Time // at the target
	cancelled bool      // the entry has cancelled or withdrawn it
	noWait    bool      // the gate refuses it rather than queue it, as another target has a free slot
}

// requestState is the state of one request at its entry.
type requestState struct {
	entry    *entryModel
	request  *request
	history  []retry.Attempt
	attempts []*attemptModel
}

func newFleet(sim *simulation, hedge bool) *fleet {
	f := &fleet{sim: sim, hedge: hedge}
	for i := range sim.nodes {
		f.entries = append(f.entries, f.newEntry(i))
		f.gates = append(f.gates, f.newGate(i))
	}
	sim.every(entryTickInterval, f.tickEntries)
	sim.every(gateTickInterval, f.tickGates)
	sim.every(reportInterval, f.gossipReports)
	return f
}

func (f *fleet) newEntry(index int) *entryModel {
	sim := f.sim
	node := sim.nodes[index]
	e := &entryModel{
		fleet: f, index: index, attempts: map[uint64]*attemptModel{},
		health: health.New(health.Options{}, invariant.PanicReporter{}),
		selector: selection.New(selection.Options{Entry: node.name, Domain: node.domain},
			rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(index)))),
	}
	e.health.SetEntries(node.name, len(sim.nodes))
	var infos []health.TargetInfo
	var candidates []selection.Candidate
	for service, model := range sim.deployment.Services {
		e.budgets = append(e.budgets, retry.NewBudget(retry.Options{}))
		for _, t := range sim.targetsByService[service] {
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
	e.handleHealthChanges(e.health.SetTargets(sim.now, subset))
	return e
}

func (f *fleet) tickEntries() {
	for _, e := range f.entries {
		e.handleHealthChanges(e.health.Tick(f.sim.now))
	}
}

// gossipReports sends the reports of all entries, as periodic gossip does.
func (f *fleet) gossipReports() {
	for _, from := range f.entries {
		f.sendReports(from)
	}
}

// sendReports sends an entry's health reports to all others. In each gossip
// round, every entry that has the reports forwards them to gossipFanOut more.
func (f *fleet) sendReports(from *entryModel) {
	reports := from.health.Reports(f.sim.now)
	if len(reports) == 0 {
		return
	}
	informed, delay := 1, time.Duration(0)
	for i, index := range f.sim.rng.Perm(len(f.entries)) {
		if i >= informed {
			informed *= gossipFanOut + 1
			delay += gossipRoundInterval
		}
		to := f.entries[index]
		if to == from {
			continue
		}
		f.sim.after(delay+time.Duration(f.sim.rng.Int64N(int64(gossipRoundInterval))), func() { to.mergeReports(reports) })
	}
}

func (e *entryModel) mergeReports(reports []health.Report) {
	now := e.fleet.sim.now
	for _, report := range reports {
		report.At = now
		e.handleHealthChanges(e.health.Observe(now, health.Evidence{Kind: health.RemoteReport, Target: report.Target, Report: report}))
	}
}

// handleHealthChanges acts on the changes that the health tracker reports.
func (e *entryModel) handleHealthChanges(changes []health.Change) {
	for _, c := range changes {
		switch c.Kind {
		case health.Eject:
			e.fleet.ejections = append(e.fleet.ejections, ejection{e.index, c.Target})
		case health.VerifyAttempt:
			e.verifyAttempt(c)
		case health.ReportDue:
			e.fleet.sendReports(e)
		}
	}
}

// verifyAttempt requests the status of an attempt from its gate, as the daemon
// does on a new connection.
func (e *entryModel) verifyAttempt(c health.Change) {
	a := e.attempts[c.Attempt]
	if a == nil {
		return
	}
	e.fleet.sim.send(e.index, a.target.node, func() {
		running := a.atGate && !a.ended
		serviceTime, otherAttempts := time.Duration(0), 0
		if !a.startedAt.IsZero() {
			serviceTime = max(e.fleet.sim.now.Sub(a.startedAt), time.Microsecond)
			otherAttempts = e.fleet.gates[a.target.node].countOthersRunning(a, serviceTime/2)
		}
		e.fleet.sim.send(a.target.node, e.index, func() {
			e.handleHealthChanges(e.health.Observe(e.fleet.sim.now, health.Evidence{
				Kind: health.GateStatus, Target: a.target.id, Node: c.Node, Attempt: a.id, Running: running, Service: serviceTime, OtherAttempts: otherAttempts}))
		})
	})
}

// submit starts a request at its entry.
func (f *fleet) submit(r *request) {
	entry := f.entries[r.entry]
	state := &requestState{entry: entry, request: r}
	entry.budgets[r.service].CountFirstAttempt(f.sim.now)
	if !state.startAttempt(selection.Query{Service: f.sim.deployment.Services[r.service].Name, ClaimTrickle: state.trickleClaim()}, false) {
		r.finish(response{})
		return
	}
	f.sim.at(r.deadline.Add(-cancelMargin/2), func() { state.endAtDeadline() })
	state.applyRetryDecision()
}

// trickleClaim returns the function by which a first attempt claims a trickle
// slot of an ejected target. It is nil for long and for non-idempotent requests,
// which are not sent as trickle.
func (s *requestState) trickleClaim() func(string) bool {
	if !s.request.class.Idempotent || s.request.class.Long {
		return nil
	}
	return func(target string) bool { return s.entry.health.ClaimTrickle(s.entry.fleet.sim.now, target) }
}

// startAttempt sends an attempt to the target that the selector picks. It returns
// false when there is none to pick.
func (s *requestState) startAttempt(query selection.Query, hedged bool) bool {
	query.Long = s.request.class.Long
	entry, sim := s.entry, s.entry.fleet.sim
	choice, ok := entry.selector.Pick(sim.now, query, entry.health.State)
	if !ok {
		return false
	}
	target := sim.targetByID(choice.Target)
	entry.lastAttemptID++
	a := &attemptModel{id: entry.lastAttemptID, state: s, index: len(s.history), target: target, trickle: choice.Trickle, sentAt: sim.now}
	if len(s.history) == 0 && !s.request.class.Long && !choice.Trickle {
		_, a.noWait = entry.selector.Pick(sim.now, selection.Query{Service: query.Service, ExcludeTargets: []string{choice.Target}, FreeSlotOnly: true}, entry.health.State)
	}
	s.history = append(s.history, retry.Attempt{
		Target: choice.Target, Node: choice.Node, Domain: choice.Domain, Started: sim.now, InProgress: true, Hedge: hedged})
	s.attempts = append(s.attempts, a)
	entry.attempts[a.id] = a
	entry.selector.Started(sim.now, target.id, s.request.class.Long)
	entry.handleHealthChanges(entry.health.Observe(sim.now, health.Evidence{Kind: health.Started, Target: target.id, Node: choice.Node,
		Class: s.request.class.Name, Attempt: a.id, ConnectedAt: epoch, Trickle: a.trickle}))
	sim.send(entry.index, target.node, func() { entry.fleet.gates[target.node].receive(a) })
	return true
}

// finishAttempt handles the gate's response to an attempt.
func (e *entryModel) finishAttempt(a *attemptModel, verdict attempt.Verdict, reason attempt.Reason, status int, load attempt.Load, serviceTime time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	delete(e.attempts, a.id)
	now := e.fleet.sim.now
	e.selector.Finished(a.target.id, a.state.request.class.Long)
	if load.Slots > 0 {
		e.selector.ObserveLoad(now, a.target.id, load)
	}
	e.handleHealthChanges(e.health.Observe(now, health.Evidence{Kind: health.Finished, Target: a.target.id, Node: e.fleet.sim.nodes[a.target.node].name,
		Class: a.state.request.class.Name, Attempt: a.id, ConnectedAt: epoch, Trickle: a.trickle, Load: load, Service: serviceTime,
		Caller: xxhash.Sum64String(strconv.Itoa(a.state.request.customer)),
		Fault:  health.FaultOf(verdict, reason, status), Duration: now.Sub(a.sentAt)}))
	record := &a.state.history[a.index]
	record.InProgress, record.Verdict, record.Reason, record.Status = false, verdict, reason, status
	a.state.applyRetryDecision()
}

// applyRetryDecision carries out what the retry policy decides on the request's
// attempts so far.
func (s *requestState) applyRetryDecision() {
	if s.request.finished {
		return
	}
	sim := s.entry.fleet.sim
	decision := retry.Decide(sim.now, s.retryPolicy(), s.history, s.entry.budgets[s.request.service])
	switch decision.Action {
	case retry.Stop:
		s.request.finish(response{ok: decision.Outcome == attempt.Answered && s.hasSuccessfulResponse()})
		s.cancelAttempts()
	case retry.Retry, retry.Hedge:
		query := selection.Query{Service: sim.deployment.Services[s.request.service].Name, ExcludeTargets: decision.ExcludeTargets,
			ExcludeNodes: decision.ExcludeNodes, AvoidDomains: decision.AvoidDomains, FreeSlotOnly: decision.FreeSlotOnly}
		started := s.startAttempt(query, decision.Action == retry.Hedge)
		if !started && s.history[len(s.history)-1].Reason == attempt.ReasonBusy {
			query.ExcludeTargets = nil
			started = s.startAttempt(query, false)
		}
		if !started && decision.Action == retry.Retry {
			s.request.finish(response{})
		}
	case retry.Withdraw:
		s.withdraw(decision.Number - 1)
	case retry.Wait:
		if !decision.At.IsZero() {
			sim.at(decision.At, s.applyRetryDecision)
		}
	}
}

func (s *requestState) hasSuccessfulResponse() bool {
	for _, h := range s.history {
		if h.Verdict == attempt.VerdictRan && h.Reason == attempt.ReasonNone && h.Status < 500 {
			return true
		}
	}
	return false
}

func (s *requestState) retryPolicy() retry.Policy {
	p := retry.Policy{Idempotent: s.request.class.Idempotent, Deadline: s.request.deadline, MinRemaining: minRemaining,
		Hedge: s.entry.fleet.hedge, HedgeAfter: defaultHedgeDelay, Long: s.request.class.Long}
	service := s.entry.fleet.sim.deployment.Services[s.request.service].Name
	if p50, p95, ok := s.entry.health.DurationPercentiles(service, s.request.class.Name); ok {
		p.HedgeAfter, p.MinRemaining = p95, p50
	}
	return p
}

// withdraw checks with an attempt's gate whether the attempt has reached it, and
// makes the gate drop the attempt if it arrives later. The gates of the model always
// respond; on a cut path the attempt's outcome stays unknown.
func (s *requestState) withdraw(index int) {
	a, sim := s.attempts[index], s.entry.fleet.sim
	s.history[index].WithdrawRequested = true
	sim.send(s.entry.index, a.target.node, func() {
		neverStarted := !a.atGate
		a.cancelled = true
		sim.send(a.target.node, s.entry.index, func() {
			s.history[index].NeverStarted = neverStarted
			s.applyRetryDecision()
		})
	})
}

// endAtDeadline fails the request, unless it has finished, and ends its attempts.
func (s *requestState) endAtDeadline() {
	s.request.finish(response{})
	s.cancelAttempts()
}

// cancelAttempts ends the attempts that are still in progress. An attempt without
// a response from its gate by the deadline is reported to the health tracker as
// GateUnresponsive.
func (s *requestState) cancelAttempts() {
	sim := s.entry.fleet.sim
	for _, a := range s.attempts {
		if a.ended {
			continue
		}
		a.ended = true
		delete(s.entry.attempts, a.id)
		s.entry.selector.Finished(a.target.id, s.request.class.Long)
		kind, healthFault := health.Cancelled, health.NoFault
		if !sim.now.Before(s.request.deadline.Add(-cancelMargin)) {
			kind, healthFault = health.Finished, health.GateUnresponsive
		}
		s.entry.handleHealthChanges(s.entry.health.Observe(sim.now, health.Evidence{Kind: kind, Target: a.target.id,
			Node: sim.nodes[a.target.node].name, Class: s.request.class.Name, Attempt: a.id, ConnectedAt: epoch,
			Fault: healthFault, Trickle: a.trickle, Duration: sim.now.Sub(a.sentAt)}))
		sim.send(s.entry.index, a.target.node, func() { s.entry.fleet.gates[a.target.node].cancel(a) })
	}
}
