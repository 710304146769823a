package bench

import (
	"strconv"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// gateModel models the gate of one node: an admission controller in front of the
// node's target.
type gateModel struct {
	fleet      *fleet
	index      int
	controller *admission.Controller
	target     *simTarget
	work       map[admission.Ticket]*gateWork
}

// gateWork is an attempt that is queued or running at its gate.
type gateWork struct {
	attempt *attemptModel
	cancel  func() // cancels the work at the target; nil while it is queued
	ended   bool
}

func (f *fleet) newGate(index int) *gateModel {
	target := f.sim.nodes[index].target
	g := &gateModel{fleet: f, index: index, controller: admission.New(admission.Options{}, invariant.PanicReporter{}), target: target,
		work: map[admission.Ticket]*gateWork{}}
	model := f.sim.deployment.Services[target.service]
	classes := map[string]admission.Class{}
	for _, c := range model.Classes {
		classes[c.Name] = admission.Class{Priority: admission.ParsePriority(c.Priority), Long: c.Long}
	}
	g.apply(g.controller.SetTarget(f.sim.now, admission.Target{ID: target.id, Service: model.Name, Slots: target.slots, Classes: classes}))
	return g
}

func (f *fleet) tickGates() {
	for _, g := range f.gates {
		g.apply(g.controller.Tick(f.sim.now))
	}
}

// receive submits an attempt that has arrived from an entry to the admission
// controller. An attempt that the entry has ended meanwhile is dropped.
func (g *gateModel) receive(a *attemptModel) {
	if a.cancelled || a.ended {
		return
	}
	a.atGate = true
	req := a.state.request
	decision := g.controller.Submit(g.fleet.sim.now, admission.Work{Rank: -1,
		Target: g.target.id, Class: req.class.Name, Customer: strconv.Itoa(req.customer), Deadline: req.deadline.Add(-cancelMargin),
		NoWait: a.noWait})
	a.ticket = decision.Ticket
	if decision.Kind != admission.Refused {
		g.work[decision.Ticket] = &gateWork{attempt: a}
	}
	displaced := decision.Displaced
	if decision.Kind == admission.Refused {
		g.reply(a, attempt.VerdictRefused, decision.Reason, 0)
	} else if decision.Kind == admission.Started {
		g.start(decision.Ticket)
	}
	g.apply(displaced)
}

// apply starts or refuses queued work as the admission controller decided.
func (g *gateModel) apply(decisions []admission.Decision) {
	for _, decision := range decisions {
		switch decision.Kind {
		case admission.Started:
			g.start(decision.Ticket)
		case admission.Refused:
			if w := g.work[decision.Ticket]; w != nil {
				delete(g.work, decision.Ticket)
				g.reply(w.attempt, attempt.VerdictRefused, decision.Reason, 0)
			}
		}
	}
}

// start runs admitted work at the target, unless the controller no longer
// confirms it. Work still running shortly before the deadline is cancelled.
func (g *gateModel) start(ticket admission.Ticket) {
	w := g.work[ticket]
	if w == nil {
		return
	}
	confirmed, decisions := g.controller.Confirm(g.fleet.sim.now, ticket)
	if !confirmed {
		delete(g.work, ticket)
		g.reply(w.attempt, attempt.VerdictRefused, attempt.ReasonDeadline, 0)
		g.apply(decisions)
		return
	}
	w.attempt.startedAt = g.fleet.sim.now
	req := w.attempt.state.request
	w.cancel = g.target.submit(req.class, req.customer, func(result targetResult) { g.finish(ticket, w, result) })
	cancelAt := req.deadline.Add(-cancelMargin)
	g.fleet.sim.at(cancelAt, func() {
		if !w.ended {
			w.cancel()
			g.finish(ticket, w, targetResult{noResponse: true})
		}
	})
}

// finish reports the end of work at the target to the controller and to the entry.
func (g *gateModel) finish(ticket admission.Ticket, w *gateWork, result targetResult) {
	if w.ended {
		return
	}
	w.ended = true
	delete(g.work, ticket)
	w.attempt.state.request.slotTime = result.slotTime
	decisions := g.controller.Finish(g.fleet.sim.now, ticket, admission.Result{OK: result.ok && !result.corrupt})
	switch {
	case result.noResponse:
		g.reply(w.attempt, attempt.VerdictFailed, attempt.ReasonDeadline, 0)
	case result.corrupt:
		g.reply(w.attempt, attempt.VerdictFailed, attempt.ReasonResponseCorrupt, 200)
	case !result.ok:
		g.reply(w.attempt, attempt.VerdictRan, attempt.ReasonNone, 500)
	default:
		g.reply(w.attempt, attempt.VerdictRan, attempt.ReasonNone, 200)
	}
	g.apply(decisions)
}

func (g *gateModel) reply(a *attemptModel, verdict attempt.Verdict, reason attempt.Reason, status int) {
	load := g.controller.Load(g.fleet.sim.now, g.target.id)
	entry := a.state.entry
	serviceTime := time.Duration(0)
	if !a.startedAt.IsZero() {
		serviceTime = g.fleet.sim.now.Sub(a.startedAt)
	}
	g.fleet.sim.send(g.index, entry.index, func() { entry.finishAttempt(a, verdict, reason, status, load, serviceTime) })
}

// countOthersRunning counts the attempts other than a that have run at the target
// for at least minDuration.
func (g *gateModel) countOthersRunning(a *attemptModel, minDuration time.Duration) int {
	n := 0
	for _, w := range g.work {
		if w.attempt != a && !w.attempt.startedAt.IsZero() && g.fleet.sim.now.Sub(w.attempt.startedAt) >= minDuration {
			n++
		}
	}
	return n
}

// cancel ends an attempt that its entry has cancelled. Non-idempotent work that
// has started runs to its end.
func (g *gateModel) cancel(a *attemptModel) {
	a.cancelled = true
	w := g.work[a.ticket]
	if w == nil || w.attempt != a {
		return
	}
	if w.cancel == nil {
		delete(g.work, a.ticket)
		g.apply(g.controller.Cancel(g.fleet.sim.now, a.ticket))
		return
	}
	if !a.state.request.class.Idempotent {
		return
	}
	w.ended = true
	w.cancel()
	delete(g.work, a.ticket)
	g.apply(g.controller.Finish(g.fleet.sim.now, a.ticket, admission.Result{}))
}
