package membership

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// Defaults of Options.
const (
	DefaultPingInterval        = time.Second
	DefaultPingTimeout         = 500 * time.Millisecond
	DefaultIndirectTimeout     = time.Second
	DefaultSuspicionTimeout    = 5 * time.Second
	DefaultAntiEntropyInterval = 10 * time.Second
	DefaultSeedInterval        = 30 * time.Second
	DefaultTombstoneTTL        = 10 * time.Minute
	DefaultPauseThreshold      = 500 * time.Millisecond
	DefaultReportBudget        = 3500 // bytes/s

	// TickInterval is the time between calls of Tick.
	TickInterval = 100 * time.Millisecond
)

const (
	indirectPings = 3
	urgentEvery   = 200 * time.Millisecond
	urgentPeers   = 4
	urgentRounds  = 3
	publishEvery  = time.Second     // of changes of targets that are not urgent
	pausedFor     = 2 * time.Second // a node says for this long that it was paused
	reportSends   = 4

	urgentReportEvery = time.Second

	reportOverhead = 40   // bytes of a report's delta besides the report
	piggybackBytes = 1200 // deltas of one message
	chunkBytes     = 64 << 10
	verifyPerTick  = 20
)

// Options of a node. Times that are 0 get the default of the same name.
type Options struct {
	Node, Region, Domain        string
	DataAddress, ControlAddress string
	Incarnation                 attempt.Incarnation
	// Seeds are control addresses of nodes to join.
	Seeds []string
	// PingInterval is the time between two pings.
	PingInterval time.Duration
	// PingTimeout passes before indirect pings are sent, IndirectTimeout
	// after them before the node is suspect.
	PingTimeout, IndirectTimeout time.Duration
	// SuspicionTimeout passes before a suspect node is dead. It is multiplied
	// by the decimal logarithm of the number of members.
	SuspicionTimeout    time.Duration
	AntiEntropyInterval time.Duration
	// SeedInterval is the time between two attempts to reach a seed or a dead
	// node; 1s while no other node is known.
	SeedInterval time.Duration
	// TombstoneTTL is the time for which a dead node is kept.
	TombstoneTTL time.Duration
	// PauseThreshold is the lateness of a tick from which the node counts as paused.
	PauseThreshold time.Duration
	// ReportBudget bounds the bytes/s that each node receives for reports, and
	// as many that it sends.
	ReportBudget int

	// The switches turn a mechanism off, for the tests that show what it
	// prevents.
	noRefute, noIndirect, noAntiEntropy, noDeadCheck, noPauseCheck, noUrgent, noPairCheck, noRejoin bool
}

// Local is what the node says about itself.
type Local struct {
	Targets []Target
	// Leaving: the node takes no new work. Left: it is about to end.
	Leaving, Left bool
	// Serving: the node may have issued work under its incarnation, so it can
	// no longer take a higher one.
	Serving       bool
	ConfigVersion int64
	// Reports of the entry, at most MaxReports bytes; a longer one is not
	// published.
	Reports []byte
	// UrgentReports tells that Reports, with a quarantine for example, are sent
	// within a second instead of within the report interval.
	UrgentReports bool
}

// Membership is the view and the protocol state of one node. It is not safe
// for concurrent use.
type Membership struct {
	options  Options
	random   *rand.Rand
	reporter invariant.Reporter

	self    *entry
	entries map[string]*entry
	names   []string // sorted, including self
	suspect map[string]*entry
	buckets [bucketCount]uint64

	local             Local
	serving           bool
	superseded        bool
	joined            bool
	suspectedBySender bool // by the message that is being handled
	publishedAt       time.Time
	nextReport        time.Time

	urgentReport time.Time

	queue      *queue
	lastTick   time.Time
	nextPing   time.Time
	nextSync   time.Time
	nextSeed   time.Time
	nextUrgent time.Time
	nextPrune  time.Time
	pausedTill time.Time
	pingOrder  []string
	probes     []probe
	relays     []relay
	seq        uint64
	view       *View
}

// New returns the membership of a node that knows only itself.
func New(o Options, r *rand.Rand, rep invariant.Reporter) *Membership {
	setDefault(&o.PingInterval, DefaultPingInterval)
	setDefault(&o.PingTimeout, DefaultPingTimeout)
	setDefault(&o.IndirectTimeout, DefaultIndirectTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.AntiEntropyInterval, DefaultAntiEntropyInterval)
	setDefault(&o.SeedInterval, DefaultSeedInterval)
	setDefault(&o.TombstoneTTL, DefaultTombstoneTTL)
	setDefault(&o.PauseThreshold, DefaultPauseThreshold)
	if o.ReportBudget <= 0 {
		o.ReportBudget = DefaultReportBudget
	}
	m := &Membership{options: o, random: r, reporter: rep, entries: map[string]*entry{}, suspect: map[string]*entry{}, queue: newQueue()}
	m.self = &entry{
		node: o.Node, incarnation: o.Incarnation, version: 1, targetsVersion: 1, declared: NodeAlive,
		meta: Meta{Region: o.Region, Domain: o.Domain, DataAddress: o.DataAddress, ControlAddress: o.ControlAddress},
	}
	m.insert(m.self)
	m.enqueueFull(m.self)
	return m
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Incarnation returns the node's own incarnation. It is higher than that of the
// options when another process had the same name before.
func (m *Membership) Incarnation() attempt.Incarnation { return m.self.incarnation }

// Superseded reports that another process runs under the same name with a
// higher incarnation while this one serves. This one must end; it sends
// nothing more.
func (m *Membership) Superseded() bool { return m.superseded }

// Joined reports whether another node has answered. Before that the node cannot
// know of a process that had its name; it should not serve yet unless it is
// alone.
func (m *Membership) Joined() bool { return m.joined }

// SetSeeds replaces the control addresses of nodes to join.
func (m *Membership) SetSeeds(seeds []string) { m.options.Seeds = slices.Clone(seeds) }

// SetLocal states what the node says about itself. Targets that leave are
// published at once, other changes with the next Tick that is due.
func (m *Membership) SetLocal(now time.Time, l Local) {
	l.Targets = sortTargets(slices.Clone(l.Targets))
	if len(l.Targets) > MaxTargets {
		l.Targets = l.Targets[:MaxTargets]
	}
	if m.reporter != nil {
		m.reporter.Check(invariant.ConfigForward, l.ConfigVersion >= m.self.configVersion,
			"own configuration version %d after %d", l.ConfigVersion, m.self.configVersion)
	}
	m.local = l
	m.serving = m.serving || l.Serving
	if m.self.configVersion != l.ConfigVersion {
		m.self.configVersion = l.ConfigVersion
		m.view = nil
	}
	m.publishTargets(now)
	m.publishState(now)
	m.publishReports(now)
}

func (m *Membership) publishTargets(now time.Time) {
	p := diffTargets(m.self.targets, m.local.Targets)
	if p == nil {
		return
	}
	urgent := len(p.Removed) > 0 || slices.ContainsFunc(p.Changed, func(t Target) bool { return t.Leaving })
	if !urgent && now.Sub(m.publishedAt) < publishEvery {
		return
	}
	m.publishedAt = now
	p.Base = m.self.targetsVersion
	m.touch(m.self, func(e *entry) {
		e.version++
		e.targetsVersion = e.version
		e.targets, e.patch = m.local.Targets, p
	})
	m.enqueueState(m.self, partPatch, urgent)
}

func (m *Membership) publishState(now time.Time) {
	declared := NodeAlive
	switch {
	case m.local.Left:
		declared = NodeLeft
	case m.local.Leaving:
		declared = NodeLeaving
	case now.Before(m.pausedTill):
		declared = NodePaused
	}
	if declared == m.self.declared {
		return
	}
	m.touch(m.self, func(e *entry) {
		e.version++
		e.declared = declared
	})
	m.enqueueState(m.self, partState, declared == NodeLeaving || declared == NodeLeft)
}

// ReportInterval is the mean time between two reports that are not urgent. It
// grows with the number of members, so that the reports of all of them stay
// within the budget of each.
func (m *Membership) ReportInterval() time.Duration {
	bytesPerRound := float64(len(m.names) * (len(m.local.Reports) + reportOverhead) * reportSends)
	return max(time.Second, time.Duration(bytesPerRound/float64(m.options.ReportBudget)*float64(time.Second)))
}

func (m *Membership) publishReports(now time.Time) {
	if bytes.Equal(m.local.Reports, m.self.reports) || len(m.local.Reports) > MaxReports {
		return
	}
	if m.nextReport.IsZero() { // nodes that start together do not report together
		m.nextReport = now.Add(time.Duration(m.random.Float64() * float64(m.ReportInterval())))
	}
	wait := m.nextReport.Sub(now)
	if m.local.UrgentReports {
		wait = m.urgentReport.Sub(now)
	}
	if wait > 0 {
		return
	}
	m.urgentReport = now.Add(urgentReportEvery)
	m.nextReport = now.Add(time.Duration((0.75 + 0.5*m.random.Float64()) * float64(m.ReportInterval())))
	m.self.reports = bytes.Clone(m.local.Reports)
	m.self.reportsVersion++
	m.view = nil
	m.enqueueReports(m.self, m.local.UrgentReports)
}

// touch changes an entry and keeps the bucket hashes and the view current.
func (m *Membership) touch(e *entry, change func(*entry)) {
	b := bucketOf(e.node)
	m.buckets[b] ^= e.hash()
	change(e)
	m.buckets[b] ^= e.hash()
	if e.claim == ClaimSuspect {
		m.suspect[e.node] = e
	} else {
		delete(m.suspect, e.node)
	}
	m.view = nil
}

func (m *Membership) insert(e *entry) {
	m.entries[e.node] = e
	at, _ := slices.BinarySearch(m.names, e.node)
	m.names = slices.Insert(m.names, at, e.node)
	m.buckets[bucketOf(e.node)] ^= e.hash()
	m.view = nil
}

func (m *Membership) remove(e *entry) {
	m.buckets[bucketOf(e.node)] ^= e.hash()
	delete(m.entries, e.node)
	delete(m.suspect, e.node)
	if at, ok := slices.BinarySearch(m.names, e.node); ok {
		m.names = slices.Delete(m.names, at, at+1)
	}
	m.dequeue(e.node)
	m.view = nil
}

// View returns the members with their targets, sorted by node. The view and
// its slices are never changed afterwards.
func (m *Membership) View() View {
	if m.view == nil {
		v := &View{Self: m.self.node, Members: make([]Member, 0, len(m.names))}
		for _, name := range m.names {
			v.Members = append(v.Members, m.entries[name].member())
		}
		m.view = v
	}
	return *m.view
}

// pick returns up to n random members that satisfy want, never the node itself.
func (m *Membership) pick(n int, want func(*entry) bool) []*entry {
	var out []*entry
	start := m.random.IntN(len(m.names))
	step := 1
	if len(m.names) > 2 {
		step = 1 + m.random.IntN(len(m.names)-1)
		for gcd(step, len(m.names)) != 1 {
			step = 1 + step%(len(m.names)-1)
		}
	}
	for i := 0; i < len(m.names) && len(out) < n; i++ {
		e := m.entries[m.names[(start+i*step)%len(m.names)]]
		if e != m.self && want(e) {
			out = append(out, e)
		}
	}
	return out
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func isPresent(e *entry) bool { return !e.gone() }

// sendLimit is the number of times a node passes a change on.
func (m *Membership) sendLimit() int {
	return 4 * int(math.Ceil(math.Log10(float64(len(m.names)+1))))
}

func (m *Membership) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(len(m.names))))
	return time.Duration(float64(m.options.SuspicionTimeout) * factor)
}
