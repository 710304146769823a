package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/poison"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

const (
	controlCallTimeout = time.Second
	viewInterval       = 100 * time.Millisecond
	reportsInterval    = 500 * time.Millisecond
	// isolatedSeedsInterval applies instead of seedsInterval until another node
	// has responded, and after a failed call of the log service.
	isolatedSeedsInterval = time.Second
	seedsInterval         = time.Minute
	maxSeeds              = 64
	// joinTimeout is how long a node that knows of others waits for a response
	// before it serves: one of them may know another process with its name.
	joinTimeout = 3 * time.Second
	// accessUrgency is how long a change of the access to the log service makes reports
	// urgent. An urgent report goes out once a second.
	accessUrgency = 2 * time.Second
	// leaveDelay gives the last messages of a leaving node time to reach its peers.
	leaveDelay = 300 * time.Millisecond
)

// fleetView publishes the state of this node to the membership, and passes what
// the membership knows of the other nodes to the entry and the gate.
type fleetView struct {
	node      *Node
	gossip    *control.Gossip
	startedAt time.Time

	mu              sync.Mutex
	seeds           map[string]bool // control addresses from the table of nodes
	seedsRead       bool            // the table has been read
	leaving         bool
	hasLeft         bool
	appliedView     *membership.Member // first member of the last applied view, which identifies it
	states          map[string]membership.NodeState
	reportsAt       time.Time                    // when encodedReports was made
	encodedReports  []byte                       // reports of this node
	urgent          bool                         // encodedReports are sent within a second
	access          map[string]distribute.Access // reported by the other nodes
	reportedAccess  distribute.Access            // of this node, in encodedReports
	accessChangedAt time.Time                    // when reportedAccess changed last

	ownAccess atomic.Uint32 // distribute.Access of this node to the log service

	remote *remoteReports // used by Serve only
	round  uint64         // number of applied views; used by Serve only
}

func newFleetView(n *Node, client *control.Client) *fleetView {
	s, a := n.options.Settings, n.Addresses()
	dataAddress, controlAddress := s.Advertise.PeerData, s.Advertise.PeerControl
	if dataAddress == "" {
		dataAddress = a.PeerData
	}
	if controlAddress == "" {
		controlAddress = a.PeerControl
	}
	m := membership.New(membership.Options{
		Node: s.Node, Region: s.Region, Domain: s.Domain, DataAddress: dataAddress, ControlAddress: controlAddress,
		Incarnation: attempt.NewIncarnation(n.now(), newRand()), Seeds: s.Seeds,
	}, newRand(), n.metrics.Invariants)
	return &fleetView{
		node: n, gossip: control.NewGossip(s.Node, m, client), startedAt: n.now(), seeds: map[string]bool{},
		states: map[string]membership.NodeState{}, access: map[string]distribute.Access{}, remote: newRemoteReports(),
	}
}

// Serve passes state between the roles and the membership until ctx ends.
func (f *fleetView) Serve(ctx context.Context) error {
	update := func() {
		f.setLocal()
		f.applyView()
	}
	update()
	return periodic.Run(ctx, viewInterval, update)
}

// setLocal updates the membership with the state of this node.
func (f *fleetView) setLocal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.node.now()
	access := distribute.Access(f.ownAccess.Load())
	if access != f.reportedAccess {
		f.reportedAccess, f.accessChangedAt, f.reportsAt = access, now, time.Time{}
	}
	if now.Sub(f.reportsAt) >= reportsInterval {
		own := f.node.localReports()
		own.access = access
		f.reportsAt, f.encodedReports = now, encodeReports(own, membership.MaxReports)
		f.urgent = isUrgent(own, now) || now.Sub(f.accessChangedAt) < accessUrgency
	}
	local := membership.Local{
		Targets: f.node.gate.Targets(), Leaving: f.leaving, Left: f.hasLeft, Serving: f.node.serving.Load(),
		// Not node.config.Version: config calls peers with its lock held.
		ConfigVersion: f.node.version.Load(), Reports: f.encodedReports, UrgentReports: f.urgent,
	}
	f.gossip.WithLock(func(m *membership.Membership) { m.SetLocal(now, local) })
}

// setAccess records whether this node can read the log service, for its reports. It
// takes no lock, since its callers hold that of the configuration.
func (f *fleetView) setAccess(a distribute.Access) { f.ownAccess.Store(uint32(a)) }

// isUrgent reports whether r has a quarantine, or a crash of the last 5 s.
func isUrgent(r reports, now time.Time) bool {
	return slices.ContainsFunc(slices.Concat(r.poison.Requests, r.poison.Shared), func(p poison.Report) bool {
		return !p.Until.IsZero() || slices.ContainsFunc(p.Crashes, func(c poison.CrashRecord) bool { return now.Sub(c.At) < 5*time.Second })
	})
}

// applyView records the changed states of nodes and passes a new view to the
// entry and the gate.
func (f *fleetView) applyView() {
	view := f.gossip.View()
	f.mu.Lock()
	if len(view.Members) == 0 || &view.Members[0] == f.appliedView {
		f.mu.Unlock()
		return
	}
	f.appliedView = &view.Members[0]
	var records []record.Record
	for _, m := range view.Members {
		if previous := f.states[m.Node]; previous != m.State {
			f.states[m.Node] = m.State
			records = append(records, record.Record{At: f.node.now(), Node: view.Self, Kind: record.KindMembership,
				Change: &record.Change{Subject: m.Node, From: string(previous), To: string(m.State), Why: "membership"}})
		}
	}
	if len(f.states) > len(view.Members) { // names of nodes that no longer exist
		present := make(map[string]bool, len(view.Members))
		for _, m := range view.Members {
			present[m.Node] = true
		}
		maps.DeleteFunc(f.states, func(name string, _ membership.NodeState) bool { return !present[name] })
	}
	f.mu.Unlock()
	for _, r := range records {
		f.node.record(r)
	}
	f.node.entry.SetView(view)
	f.node.gate.SetTargetCounts(countTargets(view))
	f.mergeReports(view)
}

// countTargets counts the targets of each service on the nodes of a view that
// are neither dead nor left.
func countTargets(v membership.View) map[string]int {
	counts := map[string]int{}
	for _, m := range v.Members {
		if m.State == membership.NodeDead || m.State == membership.NodeLeft {
			continue
		}
		for _, t := range m.Targets {
			counts[t.Service]++
		}
	}
	return counts
}

// mergeReports passes the changed reports of other nodes to the entry and the
// gate.
func (f *fleetView) mergeReports(v membership.View) {
	f.round++
	changed, malformed := f.remote.update(f.node.now(), v, f.round)
	if malformed > 0 {
		f.node.metrics.Add("gossip_bad_reports", int64(malformed))
	}
	f.mu.Lock()
	f.access = f.remote.access()
	f.mu.Unlock()
	for _, r := range changed {
		f.node.entry.MergeReports(r.health)
		f.node.gate.MergePoison(r.poison)
	}
	f.node.entry.SetShares(f.remote.shares(f.node.entry.Demand()))
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

// announceLeaving informs the other nodes that this one takes no new work.
func (f *fleetView) announceLeaving() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.setLocal()
}

// announceLeft informs the other nodes that this one ends, and gives the messages
// time to arrive.
func (f *fleetView) announceLeft() {
	f.mu.Lock()
	f.hasLeft = true
	f.mu.Unlock()
	f.setLocal()
	time.Sleep(leaveDelay)
}

// joined reports whether the node may serve: another node has responded, or no
// other node is known, or joinTimeout has passed since the start.
func (f *fleetView) joined() bool {
	heardFromPeer := f.heardFromPeer()
	f.mu.Lock()
	defer f.mu.Unlock()
	alone := f.seedsRead && len(f.seeds) == 0 && len(f.node.options.Settings.Seeds) == 0
	return heardFromPeer || alone || f.node.now().Sub(f.startedAt) > joinTimeout
}

// heardFromPeer reports whether another node has responded.
func (f *fleetView) heardFromPeer() (ok bool) {
	f.gossip.WithLock(func(m *membership.Membership) { ok = m.Joined() })
	return ok
}

func (f *fleetView) incarnation() (i attempt.Incarnation) {
	f.gossip.WithLock(func(m *membership.Membership) { i = m.Incarnation() })
	return i
}

// peers returns the other nodes for the distribution of the configuration, and
// whether they are known yet.
func (f *fleetView) peers() ([]distribute.Peer, bool) {
	var out []distribute.Peer
	v := f.gossip.View()
	f.mu.Lock()
	access := f.access
	f.mu.Unlock()
	for _, m := range v.Members {
		if m.State != membership.NodeDead && m.State != membership.NodeLeft && m.Node != v.Self {
			out = append(out, distribute.Peer{Node: m.Node, Domain: m.Domain, Address: m.ControlAddress, Version: m.ConfigVersion,
				Silent: m.State != membership.NodeAlive && m.State != membership.NodePaused, Access: access[m.Node]})
		}
	}
	return out, f.joined()
}
