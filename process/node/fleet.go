package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

const (
	controlCall    = time.Second
	viewEvery      = 100 * time.Millisecond
	reportsEvery   = 500 * time.Millisecond
	seedsWhileLone = time.Second
	seedsEvery     = time.Minute
	seedsKept      = 64
	// joinWait is the time for which a node that knows of others waits for an
	// answer before it serves: one of them may know a process with its name.
	joinWait = 3 * time.Second
	// leaveWait lets the last messages of a leaving node reach its peers.
	leaveWait = 300 * time.Millisecond
)

// fleetView feeds the membership with what this node knows of itself, and the
// roles with what it knows of the others.
type fleetView struct {
	n       *Node
	gossip  *control.Gossip
	started time.Time

	mu         sync.Mutex
	seeds      map[string]bool // control addresses from the table of nodes
	sought     bool            // the table was read
	leaving    bool
	gone       bool
	shown      *membership.Member // first member of the view in use
	states     map[string]membership.NodeState
	reportedAt time.Time // of reports
	reports    []byte    // what this node tells, encoded
	urgent     bool

	remote *remoteReports // used by Serve only
	round  uint64         // of views taken in; used by Serve only
}

func newFleetView(n *Node, client *control.Client) *fleetView {
	s, a := n.o.Settings, n.Addresses()
	data, controlAddress := s.Advertise.PeerData, s.Advertise.PeerControl
	if data == "" {
		data = a.PeerData
	}
	if controlAddress == "" {
		controlAddress = a.PeerControl
	}
	m := membership.New(membership.Options{
		Node: s.Node, Region: s.Region, Domain: s.Domain, DataAddress: data, ControlAddress: controlAddress,
		Incarnation: attempt.NewIncarnation(n.now(), newRand()), Seeds: s.Seeds,
	}, newRand(), n.metrics.Invariants)
	return &fleetView{
		n: n, gossip: control.NewGossip(s.Node, m, client), started: n.now(), seeds: map[string]bool{},
		states: map[string]membership.NodeState{}, remote: newRemoteReports(),
	}
}

// Serve exchanges state between the roles and the membership until ctx ends.
func (g *fleetView) Serve(ctx context.Context) error {
	ticker := time.NewTicker(viewEvery)
	defer ticker.Stop()
	for {
		g.setLocal()
		g.changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// setLocal updates the membership with the state of this node.
func (g *fleetView) setLocal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.n.now()
	if now.Sub(g.reportedAt) >= reportsEvery {
		own := g.n.localReports()
		g.reportedAt, g.reports, g.urgent = now, encodeReports(own, membership.MaxReports), urgent(own, now)
	}
	local := membership.Local{
		Targets: g.n.gate.Targets(), Leaving: g.leaving, Left: g.gone, Serving: g.n.serving.Load(),
		// Not of g.n.config, which asks for the peers under its own lock.
		ConfigVersion: g.n.version.Load(), Reports: g.reports, UrgentReports: g.urgent,
	}
	g.gossip.WithLock(func(m *membership.Membership) { m.SetLocal(now, local) })
}

// urgent reports a quarantine or a crash of the last seconds.
func urgent(r reports, now time.Time) bool {
	return slices.ContainsFunc(r.poison, func(p poison.Report) bool {
		return !p.Until.IsZero() || slices.ContainsFunc(p.Crashes, func(c poison.CrashRecord) bool { return now.Sub(c.At) < 5*time.Second })
	})
}

// changed passes a new view on.
func (g *fleetView) changed() {
	v := g.gossip.View()
	g.mu.Lock()
	if len(v.Members) == 0 || &v.Members[0] == g.shown {
		g.mu.Unlock()
		return
	}
	g.shown = &v.Members[0]
	var records []record.Record
	for _, m := range v.Members {
		if before := g.states[m.Node]; before != m.State {
			g.states[m.Node] = m.State
			records = append(records, record.Record{At: g.n.now(), Node: v.Self, Kind: record.KindMembership,
				Change: &record.Change{Subject: m.Node, From: string(before), To: string(m.State), Why: "membership"}})
		}
	}
	if len(g.states) > len(v.Members) { // names of nodes that no longer exist
		present := make(map[string]bool, len(v.Members))
		for _, m := range v.Members {
			present[m.Node] = true
		}
		maps.DeleteFunc(g.states, func(name string, _ membership.NodeState) bool { return !present[name] })
	}
	g.mu.Unlock()
	for _, r := range records {
		g.n.record(r)
	}
	g.n.entry.SetView(v)
	g.n.gate.SetTargetCounts(sharers(v))
	g.merge(v)
}

// sharers counts the targets of each service.
func sharers(v membership.View) map[string]int {
	out := map[string]int{}
	for _, m := range v.Members {
		if m.State == membership.NodeDead || m.State == membership.NodeLeft {
			continue
		}
		for _, t := range m.Targets {
			out[t.Service]++
		}
	}
	return out
}

// merge takes in the reports of other nodes that changed.
func (g *fleetView) merge(v membership.View) {
	g.round++
	fresh, bad := g.remote.update(g.n.now(), v, g.round)
	if bad > 0 {
		g.n.metrics.Add("gossip_bad_reports", int64(bad))
	}
	for _, r := range fresh {
		g.n.entry.MergeReports(r.health)
		g.n.gate.MergePoison(r.poison)
	}
	g.n.entry.SetShares(g.remote.shares(g.n.entry.Demand()))
}

// localReports returns the reports of this node for the others.
func (n *Node) localReports() reports {
	r := reports{health: n.entry.Reports(), poison: n.gate.PoisonReports(), demand: map[uint32]float32{}}
	slices.SortFunc(r.health, func(a, b health.Report) int { return strings.Compare(a.Target, b.Target) })
	for service, rate := range n.entry.Demand() {
		// Two significant digits, so that a steady demand changes no report.
		r.demand[serviceHash(service)] = roundRate(rate)
	}
	return r
}

func roundRate(rate float64) float32 {
	step := 1.0
	for rate/step >= 100 {
		step *= 10
	}
	for rate > 0 && rate/step < 10 {
		step /= 10
	}
	return float32(float64(int(rate/step+0.5)) * step)
}

// leave announces that the node takes no new work, left that it ends.
func (g *fleetView) leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.setLocal()
}

func (g *fleetView) left() {
	g.mu.Lock()
	g.gone = true
	g.mu.Unlock()
	g.setLocal()
	time.Sleep(leaveWait)
}

// joined reports whether the node may serve: another node answered, or none is
// known, or those that are known stay silent.
func (g *fleetView) joined() bool {
	heard := g.heard()
	g.mu.Lock()
	defer g.mu.Unlock()
	alone := g.sought && len(g.seeds) == 0 && len(g.n.o.Settings.Seeds) == 0
	return heard || alone || g.n.now().Sub(g.started) > joinWait
}

// heard reports whether another node has answered.
func (g *fleetView) heard() (ok bool) {
	g.gossip.WithLock(func(m *membership.Membership) { ok = m.Joined() })
	return ok
}

func (g *fleetView) incarnation() (i attempt.Incarnation) {
	g.gossip.WithLock(func(m *membership.Membership) { i = m.Incarnation() })
	return i
}

// peers returns the other nodes for the distribution of the configuration.
func (g *fleetView) peers() ([]distribute.Peer, bool) {
	var out []distribute.Peer
	v := g.gossip.View()
	for _, m := range v.Members {
		if m.State != membership.NodeDead && m.State != membership.NodeLeft && m.Node != v.Self {
			out = append(out, distribute.Peer{Node: m.Node, Domain: m.Domain, Address: m.ControlAddress, Version: m.ConfigVersion})
		}
	}
	return out, g.joined()
}
