package distribute

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Defaults of Options.
const (
	DefaultReadInterval     = 500 * time.Millisecond
	DefaultCheckInterval    = 30 * time.Second
	DefaultReaders          = 3
	DefaultFanOut           = 4
	DefaultSnapshotInterval = time.Hour
	DefaultSnapshotChanges  = 200
	DefaultResponseTimeout  = 3 * time.Second
)

const (
	// overdueAfter is the time after which another node reads the log in place of one
	// that waits for a response, so that a change is in force within 5 s.
	overdueAfter = time.Second

	// PageRecords is the number of records requested at once.
	PageRecords = 500

	maxRecentRecords = 512
	maxRecentBytes   = 1 << 20
	gapFillInterval  = time.Second

	// A push that fails, or of which no bytes move for PushTimeout, is replaced by
	// pushReplacements, so that a few rounds find the nodes that run when most are lost.
	// maxPushes bounds the pushes of the same records by one node, as peers that are
	// overloaded respond late.
	PushTimeout      = 500 * time.Millisecond
	pushReplacements = 2
	maxPushes        = 12 * DefaultFanOut

	snapshotRetryInterval = 30 * time.Second
	maxPeersPerDomain     = 3
)

// Peer is another node that is not known to be dead.
type Peer struct {
	Node    string
	Domain  string // failure domain
	Address string // control address
	Version int64  // configuration version last heard of
	// Silent means that the node does not respond to this one, or is about to end.
	Silent bool
	Access Access // to the log service
}

// Options of a node. Values that are 0 get the default of the same name.
type Options struct {
	Node, Domain string
	// ReadInterval is the time between reads of the log by a reader.
	ReadInterval time.Duration
	// CheckInterval is the mean time between reads by any other node.
	CheckInterval time.Duration
	// Readers is the number of nodes per failure domain that read the log every
	// ReadInterval, see the type Readers.
	Readers int
	// FanOut is the number of peers to which a node forwards new records.
	FanOut int
	// A snapshot is written when SnapshotInterval has passed or SnapshotChanges
	// records were applied since the last one.
	SnapshotInterval time.Duration
	SnapshotChanges  int64
	// ResponseTimeout is the time after which a call without a result has failed.
	ResponseTimeout time.Duration
	// OnConfig receives each configuration that comes into force.
	OnConfig func(*config.Config)
	// OnResult receives the outcome of each record applied.
	OnResult func(config.Result)

	// OnEvent receives a sentence when the log came back from an older copy and when
	// the node follows it again.
	OnEvent func(string)

	// Each switch turns one mechanism off, for the tests that show which failure
	// it prevents.
	noFanOut, noReplacement, noGapFill, noPeerStart, noNewerCheck, noRewrite, noHandover bool
}

// Kind is the kind of an Action.
type Kind int

const (
	ReadLog         Kind = iota + 1 // read the stream config, starting at offset After+1
	ReadSnapshot                    // read the newest snapshot of the log
	Push                            // forward Records to Peer
	RequestRecords                  // request the records after After from Peer
	RequestSnapshot                 // request a state newer than After from Peer
	WriteSnapshot                   // append Data to the stream config-snapshots
	AppendChange                    // append Data to the stream config
)

// Action is a call that the I/O layer makes. It passes the result to the method
// for the kind: LogRead, SnapshotRead, RecordsReceived, SnapshotReceived,
// SnapshotWritten, ChangeAppended, or PushFailed if no bytes of a Push moved for
// PushTimeout before its response. Offsets of Records, and After except that of ReadLog, are versions, which
// name the era.
type Action struct {
	Kind    Kind
	Peer    Peer
	After   int64
	Records []eventlog.Record
	Data    []byte

	push *push // of a Push
}

// push is what a node forwards to several peers.
type push struct {
	candidates []Peer // not chosen yet, in random order
	sent       int
}

// Core holds the configuration state of one node and decides how the node keeps
// it up to date. It is not safe for concurrent use.
type Core struct {
	options  Options
	random   *rand.Rand
	reporter invariant.Reporter

	state       *config.State     // in force
	restored    *restoredLog      // nil while the log has all changes in force
	peers       []Peer            // sorted by node
	recent      []eventlog.Record // last records applied, for peers
	recentBytes int               // of recent

	versionInForce int64

	startedAt         time.Time // first tick
	nextRead          time.Time
	readStartedAt     time.Time // zero when no read of the log is in progress
	logDown           bool      // the last read of the log failed or timed out
	readOverdue       bool      // the read in progress takes longer than overdueAfter
	lastRead          time.Time // last read of the log that got a response
	logReadToEnd      bool      // the log was read to its end
	ready             bool
	snapshotNeeded    bool      // the log has trimmed the next record, or the node has just started
	snapshotReadAt    time.Time // last read of the snapshots of the log
	nextGapFill       time.Time
	domainFetches     map[string]*domainFetch // by failure domain
	peersFetched      bool
	peersKnown        bool
	snapshotOffset    int64     // up to which the newest known snapshot covers the log
	snapshotKnownAt   time.Time // when the node learned of that snapshot; the first tick when there is none
	nextSnapshotWrite time.Time
	standInSince      time.Time // when this node became the first that can write snapshots, while another is by rank
	writingSnapshot   bool
	cachedSnapshot    []byte // encoded state, kept for peers
	cachedOffset      int64  // offset of cachedSnapshot
}

// domainFetch is the state of a new node's snapshot requests to the peers of one
// failure domain.
type domainFetch struct {
	triedPeers  []string
	requestedAt time.Time
	responded   bool
}

// New returns the core of a node that has no configuration yet.
func New(o Options, random *rand.Rand, reporter invariant.Reporter) *Core {
	setDefault(&o.ReadInterval, DefaultReadInterval)
	setDefault(&o.CheckInterval, DefaultCheckInterval)
	setDefault(&o.Readers, DefaultReaders)
	setDefault(&o.FanOut, DefaultFanOut)
	setDefault(&o.SnapshotInterval, DefaultSnapshotInterval)
	setDefault(&o.SnapshotChanges, DefaultSnapshotChanges)
	setDefault(&o.ResponseTimeout, DefaultResponseTimeout)
	c := &Core{options: o, random: random, reporter: reporter, state: config.NewState(), snapshotNeeded: true, domainFetches: map[string]*domainFetch{}}
	if reporter != nil {
		c.state.SetReporter(reporter)
	}
	return c
}

func setDefault[T ~int | ~int64](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Config returns the configuration in force.
func (c *Core) Config() *config.Config { return c.state.Config() }

// Outdated reports whether a peer has a newer version than the one in force.
func (c *Core) Outdated() bool {
	return slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Version > c.state.Version() })
}

// Version returns the version in force and the offset of the last record applied.
func (c *Core) Version() (version, offset int64) { return c.state.Version(), c.state.Offset() }

// LastRead returns the time of the last read of the log that got a response, zero without
// one.
func (c *Core) LastRead() time.Time { return c.lastRead }

// Ready reports whether the node has the newest version it could reach: that
// of the log, or while the log is down that of one peer in each failure domain
// that responded. A node that starts after the log came back from an older copy waits
// for a few seconds for changes that only peers have.
func (c *Core) Ready() bool { return c.ready }

// SetPeers replaces the peers with those in the membership view.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Node == c.options.Node })
	slices.SortFunc(c.peers, func(a, b Peer) int { return strings.Compare(a.Node, b.Node) })
	c.peersKnown = true
}

// rank returns this node's rank by rendezvous hash among its eligible peers, 0
// for the first.
func (c *Core) rank(salt string, eligible func(Peer) bool) int {
	ownScore, rank := score(salt, c.options.Node), 0
	for _, p := range c.peers {
		if eligible(p) && outranks(salt, p.Node, c.options.Node, ownScore) {
			rank++
		}
	}
	return rank
}

// score returns the rendezvous hash of a node for one duty.
func score(salt, node string) uint64 { return xxhash.Sum64String(salt + "/" + node) }

// outranks reports whether a peer precedes a node, whose score is given, in one duty.
func outranks(salt, peer, node string, nodeScore uint64) bool {
	s := score(salt, peer)
	return s > nodeScore || s == nodeScore && peer < node
}

// IsReader reports whether the node is one of its failure domain's readers, which
// read the log every ReadInterval.
func (c *Core) IsReader() bool {
	readers := Readers{Salt: "reader", PerDomain: c.options.Readers, noHandover: c.options.noHandover}
	return readers.Role(Peer{Node: c.options.Node, Domain: c.options.Domain, Access: c.Access()}, c.peers).Reader
}

// Access returns whether this node can read the log.
func (c *Core) Access() Access {
	switch {
	case c.logDown || c.readOverdue:
		return AccessLost
	case c.lastRead.IsZero():
		return AccessUnknown
	}
	return AccessUsable
}

// isSnapshotWriter reports whether this node writes the snapshots that are due: the
// first by rank, or the first of those that can use the log once that has been so for
// snapshotRetryInterval, as other nodes' reports may be late.
func (c *Core) isSnapshotWriter(now time.Time) bool {
	first := c.rank("snapshot", func(Peer) bool { return true }) == 0
	if first || c.options.noHandover {
		return first
	}
	canWrite := func(p Peer) bool { return !p.Silent && p.Access != AccessLost }
	if c.Access() == AccessLost || c.rank("snapshot", canWrite) > 0 {
		c.standInSince = time.Time{}
		return false
	}
	if c.standInSince.IsZero() {
		c.standInSince = now
	}
	return now.Sub(c.standInSince) >= snapshotRetryInterval
}

// Tick returns the calls that are due. The I/O layer calls it every 100 ms.
func (c *Core) Tick(now time.Time) []Action {
	var out []Action
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	if !c.readStartedAt.IsZero() && now.Sub(c.readStartedAt) >= c.options.ResponseTimeout {
		c.logDown, c.readStartedAt = true, time.Time{}
	}
	c.readOverdue = !c.readStartedAt.IsZero() && now.Sub(c.readStartedAt) >= overdueAfter
	if c.nextRead.Sub(now) > c.options.ReadInterval && c.IsReader() {
		c.nextRead = now // became a reader since the last read
	}
	if c.readStartedAt.IsZero() && !now.Before(c.nextRead) {
		out = c.startRead(now, out)
	}
	out = c.fetchFromPeers(now, out)
	out = c.fillGap(now, out)
	out = c.rewrite(now, out)
	out = c.writeSnapshot(now, out)
	c.ready = c.ready || (c.logReadToEnd || c.peersFetched) && !c.peersBehind(now)
	return out
}

func (c *Core) startRead(now time.Time, out []Action) []Action {
	c.readStartedAt = now
	c.nextRead = now.Add(c.readInterval())
	if c.snapshotNeeded {
		return append(out, Action{Kind: ReadSnapshot})
	}
	return append(out, Action{Kind: ReadLog, After: config.PositionOf(c.reading().Offset()).Offset})
}

func (c *Core) readInterval() time.Duration {
	if !c.Ready() || c.IsReader() {
		return c.options.ReadInterval
	}
	if c.restored != nil {
		return restoredReadInterval
	}
	return c.options.CheckInterval/2 + time.Duration(c.random.Int64N(int64(c.options.CheckInterval)))
}

// LogRead processes the result of ReadLog.
func (c *Core) LogRead(now time.Time, page eventlog.Page, err error) []Action {
	c.readStartedAt = time.Time{}
	responded := err == nil || errors.Is(err, eventlog.ErrTrimmed) || errors.Is(err, eventlog.ErrRestored)
	if responded {
		c.lastRead = now
	}
	if responded && c.outdated(page.Era) {
		return nil
	}
	if responded && c.observeEra(now, page.Era) {
		c.logDown = false
		return c.startRead(now, nil)
	}
	if errors.Is(err, eventlog.ErrTrimmed) {
		c.logDown, c.snapshotNeeded = false, true
		if now.Sub(c.snapshotReadAt) < c.options.ReadInterval {
			return nil // the snapshots read just before do not cover the record either
		}
		return c.startRead(now, nil)
	}
	if c.logDown = err != nil; err != nil {
		if c.restored != nil {
			c.restored.readToEnd = false
		}
		return nil
	}
	out := c.apply(config.RecordsOf(page), "")
	if config.PositionOf(c.reading().Offset()).Offset+1 >= page.Next {
		if c.restored != nil {
			c.restored.readToEnd = true
			return c.rewrite(now, out)
		}
		c.logReadToEnd = true
		return out
	}
	if len(page.Records) > 0 {
		return c.startRead(now, out)
	}
	return out
}

// SnapshotRead processes the result of ReadSnapshot; data is nil when the log has
// no snapshot.
func (c *Core) SnapshotRead(now time.Time, data []byte, err error) []Action {
	c.readStartedAt = time.Time{}
	if c.logDown = err != nil; err != nil {
		return nil
	}
	c.lastRead = now
	offsetBefore := c.reading().Offset()
	c.snapshotNeeded, c.snapshotReadAt = false, now
	var out []Action
	if data != nil {
		c.observeSnapshot(now, data)
		out = c.restore(now, data)
	}
	if offsetBefore > 0 && c.reading().Offset() == offsetBefore && len(c.peers) > 0 {
		// The snapshot covers none of the trimmed records; a peer's state may.
		p := c.peers[c.random.IntN(len(c.peers))]
		return append(out, Action{Kind: RequestSnapshot, Peer: p, After: offsetBefore})
	}
	return c.startRead(now, out)
}

func (c *Core) observeSnapshot(now time.Time, data []byte) {
	if covers, err := config.SnapshotCovers(data); err == nil && covers > c.snapshotOffset {
		c.snapshotOffset, c.snapshotKnownAt = covers, now
	}
}

// apply applies records and pushes those that were new to peers.
func (c *Core) apply(records []eventlog.Record, from string) []Action {
	var applied []eventlog.Record
	if c.restored != nil && len(records) > 0 && config.PositionOf(records[0].Offset).Era == c.restored.era {
		return c.applyRestored(records)
	}
	for _, r := range records {
		result := c.state.Apply(r)
		if result.Outcome == config.OutcomeGap {
			break
		}
		if result.Outcome == config.OutcomeOld {
			continue
		}
		applied = append(applied, r)
		c.addRecent(r)
		if c.options.OnResult != nil {
			c.options.OnResult(result)
		}
	}
	if len(applied) == 0 {
		return nil
	}
	c.activate()
	return c.push(applied, from)
}

// applyRestored applies records of a restored log.
func (c *Core) applyRestored(records []eventlog.Record) []Action {
	for _, record := range records {
		switch result := c.restored.state.Apply(record); result.Outcome {
		case config.OutcomeOld, config.OutcomeGap:
		default:
			c.restored.recent = append(c.restored.recent, record)
		}
	}
	if excess := len(c.restored.recent) - maxRecentRecords; excess > 0 {
		c.restored.recent = c.restored.recent[excess:]
	}
	return c.switchState()
}

// restore replaces the state by a newer snapshot. A snapshot of a later era becomes
// the state of the restored log first.
func (c *Core) restore(now time.Time, data []byte) []Action {
	covers, err := config.SnapshotCovers(data)
	if err != nil {
		return nil
	}
	era := config.PositionOf(covers).Era
	c.observeEra(now, era)
	if c.restored == nil || era != c.restored.era {
		c.restoreInForce(data)
		return nil
	}
	if c.restored.state.Restore(data) == nil {
		c.restored.recent = nil
	}
	return c.switchState()
}

func (c *Core) restoreInForce(data []byte) {
	offsetBefore := c.state.Offset()
	err := c.state.Restore(data)
	if errors.Is(err, config.ErrNotNewer) && c.options.noNewerCheck {
		c.state = config.NewState()
		err = c.state.Restore(data)
	}
	if err == nil && c.state.Offset() != offsetBefore {
		c.recent, c.recentBytes = nil, 0
		c.activate()
	}
}

func (c *Core) addRecent(r eventlog.Record) {
	c.recent = append(c.recent, r)
	c.recentBytes += len(r.Data)
	for len(c.recent) > maxRecentRecords || c.recentBytes > maxRecentBytes && len(c.recent) > 1 {
		c.recentBytes -= len(c.recent[0].Data)
		c.recent = c.recent[1:]
	}
}

// push forwards records to random peers. Each node forwards a record once; a node
// that no push reaches learns of the version through membership and fills the gap.
func (c *Core) push(records []eventlog.Record, from string) []Action {
	size := 0
	for _, r := range records {
		size += len(r.Data)
	}
	if c.options.noFanOut || size > maxRecentBytes {
		return nil
	}
	p := &push{}
	for _, i := range c.random.Perm(len(c.peers)) {
		if c.peers[i].Node != from {
			p.candidates = append(p.candidates, c.peers[i])
		}
	}
	return p.next(records, c.options.FanOut)
}

// next returns the pushes to up to n further peers.
func (p *push) next(records []eventlog.Record, n int) []Action {
	var out []Action
	for ; n > 0 && len(p.candidates) > 0 && p.sent < maxPushes; n-- {
		out = append(out, Action{Kind: Push, Peer: p.candidates[0], Records: records, push: p})
		p.candidates = p.candidates[1:]
		p.sent++
	}
	return out
}

// PushFailed processes a Push that got no response. Other peers take the place of its
// peer, which may be lost like many others that membership still reports.
func (c *Core) PushFailed(a Action) []Action {
	if c.options.noReplacement {
		return nil
	}
	return a.push.next(a.Records, pushReplacements)
}

// RecordsReceived processes records that a peer pushed or returned for
// RequestRecords. Trimmed means that the peer no longer has the records that
// were requested.
func (c *Core) RecordsReceived(_ time.Time, from Peer, records []eventlog.Record, trimmed bool, err error) []Action {
	if err != nil {
		return nil
	}
	if trimmed {
		return []Action{{Kind: RequestSnapshot, Peer: from, After: c.state.Offset()}}
	}
	out := c.apply(records, from.Node)
	if n := len(records); n > 0 && records[n-1].Offset > c.state.Offset() && !c.options.noGapFill && from.Address != "" {
		out = append(out, Action{Kind: RequestRecords, Peer: from, After: c.state.Offset()})
	}
	return out
}

// fillGap requests records from a peer that is known to have a newer version.
func (c *Core) fillGap(now time.Time, out []Action) []Action {
	if c.options.noGapFill || now.Before(c.nextGapFill) {
		return out
	}
	var newerPeers []Peer
	for _, p := range c.peers {
		if p.Version > c.state.Offset() {
			newerPeers = append(newerPeers, p)
		}
	}
	if len(newerPeers) == 0 {
		return out
	}
	c.nextGapFill = now.Add(gapFillInterval)
	return append(out, Action{Kind: RequestRecords, Peer: newerPeers[c.random.IntN(len(newerPeers))], After: c.state.Offset()})
}

// SnapshotReceived processes the result of RequestSnapshot; data is nil when the
// peer has nothing newer.
func (c *Core) SnapshotReceived(now time.Time, from Peer, data []byte, err error) []Action {
	var out []Action
	if err == nil && data != nil {
		out = c.restore(now, data)
	}
	if fetch := c.domainFetches[from.Domain]; fetch != nil {
		fetch.requestedAt = time.Time{}
		fetch.responded = fetch.responded || err == nil
	}
	return out
}

// fetchFromPeers requests a snapshot from one peer per failure domain while the
// node is not ready and the log is down.
func (c *Core) fetchFromPeers(now time.Time, out []Action) []Action {
	if c.Ready() || !c.logDown || !c.peersKnown || c.options.noPeerStart {
		return out
	}
	pending, responded := 0, 0
	for _, domain := range c.domains() {
		fetch := c.domainFetches[domain]
		if fetch == nil {
			fetch = &domainFetch{}
			c.domainFetches[domain] = fetch
		}
		if fetch.responded {
			responded++
			continue
		}
		if !fetch.requestedAt.IsZero() && now.Sub(fetch.requestedAt) < c.options.ResponseTimeout {
			pending++
			continue
		}
		p, ok := c.untriedPeer(domain, fetch)
		if !ok {
			continue // no peer of the domain responds
		}
		fetch.requestedAt, fetch.triedPeers = now, append(fetch.triedPeers, p.Node)
		pending++
		out = append(out, Action{Kind: RequestSnapshot, Peer: p, After: c.state.Offset()})
	}
	c.peersFetched = pending == 0 && responded > 0
	if pending == 0 && responded == 0 {
		c.domainFetches = map[string]*domainFetch{} // retry all domains
	}
	return out
}

func (c *Core) domains() []string {
	var out []string
	for _, p := range c.peers {
		if !slices.Contains(out, p.Domain) {
			out = append(out, p.Domain)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Core) untriedPeer(domain string, fetch *domainFetch) (Peer, bool) {
	if len(fetch.triedPeers) >= maxPeersPerDomain {
		return Peer{}, false
	}
	var untried []Peer
	for _, p := range c.peers {
		if p.Domain == domain && !slices.Contains(fetch.triedPeers, p.Node) {
			untried = append(untried, p)
		}
	}
	if len(untried) == 0 {
		return Peer{}, false
	}
	return untried[c.random.IntN(len(untried))], true
}

func (c *Core) writeSnapshot(now time.Time, out []Action) []Action {
	if c.snapshotKnownAt.IsZero() {
		c.snapshotKnownAt = now
	}
	offset := c.state.Offset()
	due := now.Sub(c.snapshotKnownAt) >= c.options.SnapshotInterval || offset-c.snapshotOffset >= c.options.SnapshotChanges
	if !due || c.restored != nil || c.writingSnapshot || offset == 0 || !c.Ready() || now.Before(c.nextSnapshotWrite) || !c.isSnapshotWriter(now) {
		return out
	}
	data := c.Snapshot(0)
	if data == nil {
		return out
	}
	c.writingSnapshot, c.nextSnapshotWrite = true, now.Add(snapshotRetryInterval)
	return append(out, Action{Kind: WriteSnapshot, After: offset, Data: data})
}

// SnapshotWritten processes the result of WriteSnapshot. After an error the
// snapshot is written again, even if the first one was appended: a duplicate is
// harmless.
func (c *Core) SnapshotWritten(now time.Time, covers int64, err error) []Action {
	c.writingSnapshot = false
	if err == nil {
		c.snapshotOffset, c.snapshotKnownAt = max(c.snapshotOffset, covers), now
	}
	return nil
}

// RecordsAfter returns the records after an offset for a peer. Trimmed means that the
// node no longer has the first of them.
func (c *Core) RecordsAfter(after int64, limit int) (records []eventlog.Record, trimmed bool) {
	if after >= c.state.Offset() || limit <= 0 {
		return nil, false
	}
	if len(c.recent) == 0 || c.recent[0].Offset > after+1 {
		return nil, true
	}
	from := int(after + 1 - c.recent[0].Offset)
	return slices.Clone(c.recent[from:min(len(c.recent), from+min(limit, PageRecords))]), false
}

// Snapshot returns the encoded state when its offset is above newerThan, else
// nil.
func (c *Core) Snapshot(newerThan int64) []byte {
	offset := c.state.Offset()
	if offset <= newerThan {
		return nil
	}
	if c.cachedOffset != offset {
		data, err := c.state.Snapshot()
		if err != nil {
			return nil
		}
		c.cachedSnapshot, c.cachedOffset = data, offset
	}
	return c.cachedSnapshot
}
