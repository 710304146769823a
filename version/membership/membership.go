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
	indirectPings        = 3
	urgentGossipInterval = 200 * time.Millisecond
	urgentGossipPeers    = 4
	urgentGossipRounds   = 3
	publishInterval      = time.Second     // between target changes that are not urgent
	pausedStateDuration  = 2 * time.Second // for which a node declares itself paused after a pause
	maxReportSends       = 4

	urgentReportInterval = time.Second

	reportOverheadBytes   = 40       // bytes of a report's delta besides the report
	maxPiggybackBytes     = 1200     // of the queued deltas in one message
	maxAntiEntropyBytes   = 64 << 10 // of the deltas in one message of anti-entropy
	maxVerifyPingsPerTick = 20
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
	// PingTimeout is the time without an ack after which indirect pings are sent,
	// IndirectTimeout the further time after which the node becomes suspect.
	PingTimeout, IndirectTimeout time.Duration
	// SuspicionTimeout is the time after which a suspect node is declared dead. It is
	// multiplied by the decimal logarithm of the number of members, if that is above 1.
	SuspicionTimeout    time.Duration
	AntiEntropyInterval time.Duration
	// SeedInterval is the time between two attempts to reach a seed or a dead
	// node. While no other node is known, it is 1 s.
	SeedInterval time.Duration
	// TombstoneTTL is the time for which a dead node is kept.
	TombstoneTTL time.Duration
	// PauseThreshold is the delay of a tick above which this node declares itself paused.
	PauseThreshold time.Duration
	// ReportBudget bounds the bytes/s of reports that each node receives, and also
	// those that it sends.
	ReportBudget int

	// Each switch turns one mechanism off, for the tests that show which failure
	// it prevents.
	noRefute, noIndirect, noAntiEntropy, noDeadCheck, noPauseCheck, noUrgent, noUrgentNew, noPairCheck, noRejoin bool
	noLocality, noDomainProbes, noSourceCheck                                                                    bool
}

// Local is the state that the node publishes about itself.
type Local struct {
	Targets []Target
	// Leaving means that the node takes no new work, Left that it is about to exit.
	Leaving, Left bool
	// Serving means that the node may have issued work under its incarnation, so
	// that it can no longer take a higher one.
	Serving       bool
	ConfigVersion int64
	// Reports of the node's entry role, at most MaxReports bytes; longer ones are
	// not published.
	Reports []byte
	// UrgentReports publishes Reports, for example with a quarantine, within a
	// second instead of within the report interval.
	UrgentReports bool
}

// Membership holds one node's view of the fleet and its protocol state. It is not
// safe for concurrent use.
type Membership struct {
	options  Options
	random   *rand.Rand
	reporter invariant.Reporter

	self     *memberState
	members  map[string]*memberState
	names    []string // sorted, including self
	suspects map[string]*memberState
	buckets  [bucketCount]uint64

	local              Local
	serving            bool
	superseded         bool
	joined             bool
	suspectedBySender  bool   // in the message that is being handled
	receivingFrom      string // sender of the deltas that are being applied
	targetsPublishedAt time.Time
	nextReport         time.Time

	nextUrgentReport time.Time

	queue            *queue
	lastTick         time.Time
	nextPing         time.Time
	nextAntiEntropy  time.Time
	nextSeed         time.Time
	nextUrgentGossip time.Time
	nextPrune        time.Time
	pausedUntil      time.Time
	pingOrder        []string
	// otherDomainsPingOrder is the round of the members of other failure domains.
	// One of them is pinged when otherDomainsDue, the sum of the shares since then,
	// reaches 1.
	otherDomainsPingOrder []string
	otherDomainsDue       float64
	hasOwnChange          bool // not sent by a ping yet
	pingBroughtForward    bool // the next ping was sent before it was due
	probes                []probe
	relays                []relay
	seq                   uint64
	view                  *View
}

// New returns the membership of a node that knows only itself.
func New(o Options, random *rand.Rand, reporter invariant.Reporter) *Membership {
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
	m := &Membership{options: o, random: random, reporter: reporter, members: map[string]*memberState{}, suspects: map[string]*memberState{}, queue: newQueue()}
	m.self = &memberState{
		node: o.Node, incarnation: o.Incarnation, version: 1, targetsVersion: 1, declared: NodeAlive,
		meta: Meta{Region: o.Region, Domain: o.Domain, DataAddress: o.DataAddress, ControlAddress: o.ControlAddress},
	}
	m.otherDomainsDue = random.Float64()
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

// Superseded reports whether another process runs under the same name with a higher
// incarnation while this process serves. This process then sends nothing more and
// must end.
func (m *Membership) Superseded() bool { return m.superseded }

// Joined reports whether this node has received a message of another node. Before
// that it cannot know of a previous process with its name, and should not serve
// unless it is alone.
func (m *Membership) Joined() bool { return m.joined }

// SetSeeds replaces the control addresses of nodes to join.
func (m *Membership) SetSeeds(seeds []string) { m.options.Seeds = slices.Clone(seeds) }

// SetLocal sets the state that the node publishes about itself. Changes of the node's
// state and leaving, removed and new targets are published at once, other changes of the
// targets once per publishInterval, reports once per ReportInterval.
func (m *Membership) SetLocal(now time.Time, local Local) {
	local.Targets = sortTargets(slices.Clone(local.Targets))
	if len(local.Targets) > MaxTargets {
		local.Targets = local.Targets[:MaxTargets]
	}
	if m.reporter != nil {
		m.reporter.Check(invariant.ConfigForward, local.ConfigVersion >= m.self.configVersion,
			"own configuration version %d after %d", local.ConfigVersion, m.self.configVersion)
	}
	m.local = local
	m.serving = m.serving || local.Serving
	if m.self.configVersion != local.ConfigVersion {
		m.self.configVersion = local.ConfigVersion
		m.view = nil
	}
	m.publishTargets(now)
	m.publishState(now)
	m.publishReports(now)
}

func (m *Membership) publishTargets(now time.Time) {
	patch := diffTargets(m.self.targets, m.local.Targets)
	if patch == nil {
		return
	}
	urgent := m.isUrgent(patch, m.self.targets)
	if !urgent && now.Sub(m.targetsPublishedAt) < publishInterval {
		return
	}
	m.targetsPublishedAt = now
	patch.Base = m.self.targetsVersion
	m.update(m.self, func(member *memberState) {
		member.version++
		member.targetsVersion = member.version
		member.targets, member.patch = m.local.Targets, patch
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
	case now.Before(m.pausedUntil):
		declared = NodePaused
	}
	if declared == m.self.declared {
		return
	}
	m.update(m.self, func(member *memberState) {
		member.version++
		member.declared = declared
	})
	m.enqueueState(m.self, partState, declared == NodeLeaving || declared == NodeLeft)
}

// ReportInterval returns the mean time between two reports that are not urgent. It
// grows with the number of members, so that the reports of all of them stay within
// the budget of each node.
func (m *Membership) ReportInterval() time.Duration {
	bytesPerRound := float64(len(m.names) * (len(m.local.Reports) + reportOverheadBytes) * maxReportSends)
	return max(time.Second, time.Duration(bytesPerRound/float64(m.options.ReportBudget)*float64(time.Second)))
}

func (m *Membership) publishReports(now time.Time) {
	if bytes.Equal(m.local.Reports, m.self.reports) || len(m.local.Reports) > MaxReports {
		return
	}
	if m.nextReport.IsZero() { // so that nodes that start together do not report together
		m.nextReport = now.Add(time.Duration(m.random.Float64() * float64(m.ReportInterval())))
	}
	wait := m.nextReport.Sub(now)
	if m.local.UrgentReports {
		wait = m.nextUrgentReport.Sub(now)
	}
	if wait > 0 {
		return
	}
	m.nextUrgentReport = now.Add(urgentReportInterval)
	m.nextReport = now.Add(time.Duration((0.75 + 0.5*m.random.Float64()) * float64(m.ReportInterval())))
	m.self.reports = bytes.Clone(m.local.Reports)
	m.self.reportsVersion++
	m.view = nil
	m.enqueueReports(m.self, m.local.UrgentReports)
}

// update changes a member and keeps the bucket hashes, the suspects and the view
// current.
func (m *Membership) update(member *memberState, change func(*memberState)) {
	b := bucketOf(member.node)
	m.buckets[b] ^= member.hash()
	change(member)
	m.buckets[b] ^= member.hash()
	if member.claim == ClaimSuspect {
		m.suspects[member.node] = member
	} else {
		delete(m.suspects, member.node)
	}
	m.view = nil
}

func (m *Membership) insert(member *memberState) {
	m.members[member.node] = member
	at, _ := slices.BinarySearch(m.names, member.node)
	m.names = slices.Insert(m.names, at, member.node)
	m.buckets[bucketOf(member.node)] ^= member.hash()
	m.view = nil
}

func (m *Membership) remove(member *memberState) {
	m.buckets[bucketOf(member.node)] ^= member.hash()
	delete(m.members, member.node)
	delete(m.suspects, member.node)
	if at, ok := slices.BinarySearch(m.names, member.node); ok {
		m.names = slices.Delete(m.names, at, at+1)
	}
	m.dequeue(member.node)
	m.view = nil
}

// View returns the members with their targets, sorted by node. The view and its
// slices are not modified later.
func (m *Membership) View() View {
	if m.view == nil {
		v := &View{Self: m.self.node, Members: make([]Member, 0, len(m.names))}
		for _, name := range m.names {
			v.Members = append(v.Members, m.members[name].toMember())
		}
		m.view = v
	}
	return *m.view
}

// randomMembers returns up to n random eligible members, never the node itself.
func (m *Membership) randomMembers(n int, eligible func(*memberState) bool) []*memberState {
	var out []*memberState
	start := m.random.IntN(len(m.names))
	step := 1
	if len(m.names) > 2 {
		step = 1 + m.random.IntN(len(m.names)-1)
		for gcd(step, len(m.names)) != 1 {
			step = 1 + step%(len(m.names)-1)
		}
	}
	for i := 0; i < len(m.names) && len(out) < n; i++ {
		member := m.members[m.names[(start+i*step)%len(m.names)]]
		if member != m.self && eligible(member) {
			out = append(out, member)
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

func isPresent(member *memberState) bool { return !member.isTombstone() }

// maxSends returns the number of times that a node sends a change.
func (m *Membership) maxSends() int {
	return 4 * int(math.Ceil(math.Log10(float64(len(m.names)+1))))
}

func (m *Membership) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(len(m.names))))
	return time.Duration(float64(m.options.SuspicionTimeout) * factor)
}
