package bench

import (
	"strconv"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// gateModel is the gate of one node with its target.
type gateModel struct {
	f      *fleet
	index  int
	gate   *admission.Controller
	target *simTarget
	work   map[admission.Ticket]*gateWork
}

// gateWork is an attempt that the gate has taken.
type gateWork struct {
	a      *attemptModel
	cancel func()
	ended  bool
}

func (f *fleet) newGate(i int) *gateModel {
	target := f.sim.nodes[i].target
	g := &gateModel{f: f, index: i, gate: admission.New(admission.Options{}, invariant.PanicReporter{}), target: target,
		work: map[admission.Ticket]*gateWork{}}
	model := f.sim.deployment.Services[target.service]
	classes := map[string]admission.Class{}
	for _, c := range model.Classes {
		classes[c.Name] = admission.Class{Priority: admission.ParsePriority(c.Priority), Long: c.Long}
	}
	g.apply(g.gate.SetTarget(f.sim.now, admission.Target{ID: target.id, Service: model.Name, Slots: target.slots, Classes: classes}))
	return g
}

func (f *fleet) tickGates() {
	for _, g := range f.gates {
		g.apply(g.gate.Tick(f.sim.now))
	}
}

// receive takes an attempt that has arrived from an entry.
func (g *gateModel) receive(a *attemptModel) {
	if a.gone || a.over {
		return
	}
	a.atGate = true
	r := a.flow.r
	d := g.gate.Submit(g.f.sim.now, admission.Work{
		Target: g.target.id, Class: r.class.Name, Customer: strconv.Itoa(r.customer), Deadline: r.deadline.Add(-cancelMargin),
		NoWait: a.noWait})
	a.ticket = d.Ticket
	if d.Kind != admission.Refused {
		g.work[d.Ticket] = &gateWork{a: a}
	}
	others := d.Displaced
	if d.Kind == admission.Refused {
		g.reply(a, attempt.VerdictRefused, d.Reason, 0)
	} else if d.Kind == admission.Started {
		g.start(d.Ticket)
	}
	g.apply(others)
}

// apply carries out decisions on work that waited.
func (g *gateModel) apply(decisions []admission.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case admission.Started:
			g.start(d.Ticket)
		case admission.Refused:
			if w := g.work[d.Ticket]; w != nil {
				delete(g.work, d.Ticket)
				g.reply(w.a, attempt.VerdictRefused, d.Reason, 0)
			}
		}
	}
}

func (g *gateModel) start(ticket admission.Ticket) {
	w := g.work[ticket]
	if w == nil {
		return
	}
	ok, others := g.gate.Confirm(g.f.sim.now, ticket)
	if !ok {
		delete(g.work, ticket)
		g.reply(w.a, attempt.VerdictRefused, attempt.ReasonDeadline, 0)
		g.apply(others)
		return
	}
	w.a.startedAt = g.f.sim.now
	r := w.a.flow.r
	w.cancel = g.target.submit(r.class, r.customer, func(res targetResult) { g.end(ticket, w, res) })
	limit := r.deadline.Add(-cancelMargin)
	g.f.sim.at(limit, func() {
		if !w.ended {
			w.cancel()
			g.end(ticket, w, targetResult{silent: true})
		}
	})
}

func (g *gateModel) end(ticket admission.Ticket, w *gateWork, res targetResult) {
	if w.ended {
		return
	}
	w.ended = true
	delete(g.work, ticket)
	w.a.flow.r.busy = res.busy
	decisions := g.gate.Finish(g.f.sim.now, ticket, admission.Result{OK: res.ok && !res.corrupt})
	switch {
	case res.silent:
		g.reply(w.a, attempt.VerdictFailed, attempt.ReasonDeadline, 0)
	case res.corrupt:
		g.reply(w.a, attempt.VerdictFailed, attempt.ReasonResponseCorrupt, 200)
	case !res.ok:
		g.reply(w.a, attempt.VerdictRan, attempt.ReasonNone, 500)
	default:
		g.reply(w.a, attempt.VerdictRan, attempt.ReasonNone, 200)
	}
	g.apply(decisions)
}

func (g *gateModel) reply(a *attemptModel, v attempt.Verdict, reason attempt.Reason, status int) {
	load := g.gate.Load(g.target.id)
	e := a.flow.e
	service := time.Duration(0)
	if !a.startedAt.IsZero() {
		service = g.f.sim.now.Sub(a.startedAt)
	}
	g.f.sim.send(g.index, e.index, func() { e.conclude(a, v, reason, status, load, service) })
}

// runningSince counts the other attempts that the target has run for at least d.
func (g *gateModel) runningSince(a *attemptModel, d time.Duration) int {
	n := 0
	for _, w := range g.work {
		if w.a != a && !w.a.startedAt.IsZero() && g.f.sim.now.Sub(w.a.startedAt) >= d {
			n++
		}
	}
	return n
}

// cancel ends an attempt whose entry no longer wants it. Non-idempotent work
// that has started runs to its end.
func (g *gateModel) cancel(a *attemptModel) {
	a.gone = true
	w := g.work[a.ticket]
	if w == nil || w.a != a {
		return
	}
	if w.cancel == nil {
		delete(g.work, a.ticket)
		g.apply(g.gate.Cancel(g.f.sim.now, a.ticket))
		return
	}
	if !a.flow.r.class.Idempotent {
		return
	}
	w.ended = true
	w.cancel()
	delete(g.work, a.ticket)
	g.apply(g.gate.Finish(g.f.sim.now, a.ticket, admission.Result{}))
}
