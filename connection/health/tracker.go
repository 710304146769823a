package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// Tracker holds the evidence of one entry on all targets and paths, and the
// decisions that follow from it. It is not safe for concurrent use.
type Tracker struct {
	opts     Options
	self     string
	reporter invariant.Reporter
	entries  int

	targets     map[string]*target
	targetOrder []*target // by id
	nodes       map[string]*node
	services    map[string]*service
	domains     map[string]*domain

	serviceOrder []*service
	nodeOrder    []*node
	domainOrder  []*domain

	callers  callers
	lastTick time.Time
	ticks    int
	changes  []Change // made by the current call
}

// New returns a Tracker without targets.
func New(o Options, r invariant.Reporter) *Tracker {
	return &Tracker{
		opts: o.withDefaults(), reporter: r, entries: 1,
		targets: map[string]*target{}, nodes: map[string]*node{},
		services: map[string]*service{}, domains: map[string]*domain{},
	}
}

// SetEntries sets the name of this entry and the number of entries that share
// the targets. Both determine when trickle requests are due.
func (t *Tracker) SetEntries(self string, n int) { t.self, t.entries = self, max(n, 1) }

// SetTargets replaces the set of known targets. Evidence on a target is kept as
// long as its incarnation stays the same.
func (t *Tracker) SetTargets(now time.Time, infos []TargetInfo) []Change {
	t.startCall(now)
	oldTargets, oldNodes, oldServices, oldDomains := t.targets, t.nodes, t.services, t.domains
	t.targets = make(map[string]*target, len(infos))
	t.nodes, t.services, t.domains = map[string]*node{}, map[string]*service{}, map[string]*domain{}
	t.targetOrder = t.targetOrder[:0]
	for _, info := range infos {
		if t.targets[info.ID] != nil {
			continue
		}
		tgt := oldTargets[info.ID]
		if tgt == nil {
			tgt = &target{coldUntil: now.Add(t.opts.ColdGrace), errorRatio: errorRatio(0)}
		} else if tgt.incarnationChanged(info.Incarnation) {
			t.startIncarnation(now, tgt)
		}
		tgt.info = info
		tgt.svc = carryOver(t.services, oldServices, info.Service, func() *service {
			return &service{id: info.Service, classes: map[string]*latency{}}
		}, func(s *service) { s.targets = s.targets[:0] })
		dom := carryOver(t.domains, oldDomains, info.Domain, func() *domain {
			return &domain{id: info.Domain}
		}, func(d *domain) { d.nodes = d.nodes[:0] })
		known := t.nodes[info.Node] != nil
		tgt.node = carryOver(t.nodes, oldNodes, info.Node, func() *node {
			return &node{id: info.Node, lastResponseAt: now}
		}, func(n *node) { n.targets = n.targets[:0] })
		if !known {
			tgt.node.dom = dom
			dom.nodes = append(dom.nodes, tgt.node)
		}
		tgt.node.targets = append(tgt.node.targets, tgt)
		tgt.svc.targets = append(tgt.svc.targets, tgt)
		t.targets[info.ID] = tgt
		t.targetOrder = append(t.targetOrder, tgt)
	}
	slices.SortFunc(t.targetOrder, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	t.serviceOrder = sorted(t.services, func(s *service) string { return s.id })
	t.nodeOrder = sorted(t.nodes, func(n *node) string { return n.id })
	t.domainOrder = sorted(t.domains, func(d *domain) string { return d.id })
	for _, s := range t.serviceOrder {
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
		t.evaluate(now, s)
	}
	return t.changes
}

// carryOver returns the object with the given id from the new set. On the first
// use it moves the object over from the old set, or creates it.
func carryOver[T any](set, old map[string]*T, id string, create func() *T, clear func(*T)) *T {
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

// startIncarnation clears the evidence on a target that was restarted. A target
// that was ejected repeatedly stays ejected for its ejection time, so that a
// target that crashes on each start does not return at full share each time.
func (t *Tracker) startIncarnation(now time.Time, tgt *target) {
	wasFlapping := tgt.ejected && tgt.ejectionCount > 1
	tgt.reset()
	tgt.pending = tgt.pending[:0]
	tgt.coldUntil = now.Add(t.opts.ColdGrace)
	tgt.trickleInProgress = false
	if wasFlapping && !t.opts.disabled.doubling {
		tgt.consecutiveSuccesses = 0
		return
	}
	if tgt.ejected {
		t.reinstate(now, tgt, "new incarnation")
	}
}

// startCall begins a call of an exported method: it clears the list of changes
// and detects a pause of this host.
func (t *Tracker) startCall(now time.Time) {
	t.changes = nil
	if t.lastTick.IsZero() {
		t.lastTick = now
	}
	if late := now.Sub(t.lastTick) - t.opts.TickInterval; late > t.opts.PauseThreshold && !t.opts.disabled.pause {
		t.discardPausedEvidence(now, late)
	}
}

// discardPausedEvidence drops what was measured across a pause of this host,
// since the ages of requests in progress include the pause.
func (t *Tracker) discardPausedEvidence(now time.Time, late time.Duration) {
	t.lastTick = now
	for _, tgt := range t.targetOrder {
		for i := range tgt.pending {
			tgt.pending[i].started, tgt.pending[i].excluded = now, true
		}
		tgt.overdueSum = 0
	}
	for _, n := range t.nodeOrder {
		n.overdueSum, n.statusPending = 0, false
		n.lastResponseAt = now
	}
	t.emit(Change{Kind: LocalPause, Why: "tick was late by " + late.Round(time.Millisecond).String()})
}

func (t *Tracker) emit(c Change) { t.changes = append(t.changes, c) }

// State returns the state of a target. An unknown target has weight 0.
func (t *Tracker) State(id string) State {
	if tgt := t.targets[id]; tgt != nil {
		return tgt.state
	}
	return State{Why: "unknown target"}
}

// ProbesWanted returns the sorted IDs of the suspect targets, for which a probe
// would help to decide.
func (t *Tracker) ProbesWanted() []string {
	var out []string
	for _, tgt := range t.targetOrder {
		if tgt.state.ProbeWanted {
			out = append(out, tgt.info.ID)
		}
	}
	return out
}

// DurationPercentiles returns the median and the 95th percentile of the durations
// of a class over the targets that are not suspect, if enough samples are known.
func (t *Tracker) DurationPercentiles(serviceID, class string) (p50, p95 time.Duration, ok bool) {
	s := t.services[serviceID]
	if s == nil || s.classes[class] == nil || s.classes[class].p95 == 0 {
		return 0, 0, false
	}
	l := s.classes[class]
	return l.p50, l.p95, true
}
