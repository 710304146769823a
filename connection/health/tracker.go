package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// Tracker holds the evidence and judgements of one entry. It is not safe for
// concurrent use.
type Tracker struct {
	o        Options
	self     string
	reporter invariant.Reporter
	entries  int

	targets  map[string]*target
	order    []*target // by id
	nodes    map[string]*node
	services map[string]*service
	domains  map[string]*domain

	serviceOrder []*service
	nodeOrder    []*node
	domainOrder  []*domain

	callers  callers
	lastTick time.Time
	ticks    int
	changes  []Change // of the current call
}

// New returns a Tracker without targets.
func New(o Options, r invariant.Reporter) *Tracker {
	return &Tracker{
		o: o.withDefaults(), reporter: r, entries: 1,
		targets: map[string]*target{}, nodes: map[string]*node{},
		services: map[string]*service{}, domains: map[string]*domain{},
	}
}

// SetEntries tells the name of this entry and how many entries share the
// targets, for the distance of trickle requests.
func (t *Tracker) SetEntries(self string, n int) { t.self, t.entries = self, max(n, 1) }

// SetTargets replaces the set of known targets. Evidence on a target stays
// while its incarnation does.
func (t *Tracker) SetTargets(now time.Time, infos []TargetInfo) []Change {
	t.begin(now)
	oldTargets, oldNodes, oldServices, oldDomains := t.targets, t.nodes, t.services, t.domains
	t.targets = make(map[string]*target, len(infos))
	t.nodes, t.services, t.domains = map[string]*node{}, map[string]*service{}, map[string]*domain{}
	t.order = t.order[:0]
	for _, info := range infos {
		if t.targets[info.ID] != nil {
			continue
		}
		g := oldTargets[info.ID]
		if g == nil {
			g = &target{coldUntil: now.Add(t.o.ColdGrace), errorRatio: errorRatio(0)}
		} else if g.incarnationChanged(info.Incarnation) {
			t.renew(now, g)
		}
		g.info = info
		g.svc = keep(t.services, oldServices, info.Service, func() *service {
			return &service{id: info.Service, classes: map[string]*latency{}}
		}, func(s *service) { s.targets = s.targets[:0] })
		dom := keep(t.domains, oldDomains, info.Domain, func() *domain {
			return &domain{id: info.Domain}
		}, func(d *domain) { d.nodes = d.nodes[:0] })
		known := t.nodes[info.Node] != nil
		g.node = keep(t.nodes, oldNodes, info.Node, func() *node {
			return &node{id: info.Node, heardAt: now}
		}, func(n *node) { n.targets = n.targets[:0] })
		if !known {
			g.node.dom = dom
			dom.nodes = append(dom.nodes, g.node)
		}
		g.node.targets = append(g.node.targets, g)
		g.svc.targets = append(g.svc.targets, g)
		t.targets[info.ID] = g
		t.order = append(t.order, g)
	}
	slices.SortFunc(t.order, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	t.serviceOrder = sorted(t.services, func(s *service) string { return s.id })
	t.nodeOrder = sorted(t.nodes, func(n *node) string { return n.id })
	t.domainOrder = sorted(t.domains, func(d *domain) string { return d.id })
	for _, s := range t.serviceOrder {
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
		t.evaluate(now, s)
	}
	return t.changes
}

// keep takes an object over from the old set on its first use in the new one.
func keep[T any](set, old map[string]*T, id string, create func() *T, clear func(*T)) *T {
	if v := set[id]; v != nil {
		return v
	}
	v := old[id]
	if v == nil {
		v = create()
	}
	clear(v)
	set[id] = v
	return v
}

func sorted[T any](set map[string]*T, id func(*T) string) []*T {
	list := make([]*T, 0, len(set))
	for _, v := range set {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *T) int { return cmp.Compare(id(a), id(b)) })
	return list
}

// renew starts a new incarnation of a target without old evidence. A target
// that was ejected repeatedly stays out for its hold time, so that a target
// that crashes on each start does not return at full share each time.
func (t *Tracker) renew(now time.Time, g *target) {
	wasFlapping := g.out && g.level > 1
	g.reset()
	g.progress = g.progress[:0]
	g.coldUntil = now.Add(t.o.ColdGrace)
	g.trickleBusy = false
	if wasFlapping && !t.o.off.doubling {
		g.successes = 0
		return
	}
	if g.out {
		t.back(now, g, "new incarnation")
	}
}

// begin starts a call: it clears the list of changes and detects a pause of
// this host.
func (t *Tracker) begin(now time.Time) {
	t.changes = nil
	if t.lastTick.IsZero() {
		t.lastTick = now
	}
	if late := now.Sub(t.lastTick) - t.o.TickInterval; late > t.o.PauseThreshold && !t.o.off.pause {
		t.void(now, late)
	}
}

// void drops what was measured across a pause of this host: ages of requests in
// progress include the pause.
func (t *Tracker) void(now time.Time, late time.Duration) {
	t.lastTick = now
	for _, g := range t.order {
		for i := range g.progress {
			g.progress[i].started, g.progress[i].void = now, true
		}
		g.overdue = 0
	}
	for _, n := range t.nodeOrder {
		n.overdue, n.verifying = 0, false
		n.heardAt = now
	}
	t.emit(Change{Kind: LocalPause, Why: "own tick was late by " + late.Round(time.Millisecond).String()})
}

func (t *Tracker) emit(c Change) { t.changes = append(t.changes, c) }

// State returns the judgement on a target. An unknown target has weight 0.
func (t *Tracker) State(id string) State {
	if g := t.targets[id]; g != nil {
		return g.state
	}
	return State{Why: "unknown target"}
}

// ProbesWanted returns the targets whose judgement a probe would help, sorted.
func (t *Tracker) ProbesWanted() []string {
	var out []string
	for _, g := range t.order {
		if g.state.ProbeWanted {
			out = append(out, g.info.ID)
		}
	}
	return out
}

// DurationPercentiles returns the median and the 95th percentile of the durations of a class
// over the targets that are not suspect, if enough are known.
func (t *Tracker) DurationPercentiles(serviceID, class string) (p50, p95 time.Duration, ok bool) {
	s := t.services[serviceID]
	if s == nil || s.classes[class] == nil || s.classes[class].p95 == 0 {
		return 0, 0, false
	}
	l := s.classes[class]
	return l.p50, l.p95, true
}
