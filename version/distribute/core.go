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
	// PageRecords is the number of records asked for at once.
	PageRecords = 500

	keptRecords    = 512
	keptBytes      = 1 << 20
	askEvery       = time.Second
	writeRetry     = 30 * time.Second
	triesPerDomain = 3
)

// Peer is another node that is not known to be dead.
type Peer struct {
	Node    string
	Domain  string // failure domain
	Address string // control address
	Version int64  // configuration version last heard of
}

// Options of a node. Values that are 0 get the default of the same name.
type Options struct {
	Node, Domain string
	// ReadInterval is the time between reads of the log by a reader.
	ReadInterval time.Duration
	// CheckInterval is the mean time between reads by any other node.
	CheckInterval time.Duration
	// Readers per failure domain.
	Readers int
	// FanOut is the number of peers to which a node passes new entries on.
	FanOut int
	// A snapshot is written when SnapshotInterval has passed or SnapshotChanges
	// records were folded since the last one.
	SnapshotInterval time.Duration
	SnapshotChanges  int64
	// ResponseTimeout passes before a call without a result counts as failed.
	ResponseTimeout time.Duration
	// OnConfig receives each configuration that comes into force.
	OnConfig func(*config.Config)
	// OnResult receives the outcome of each record folded.
	OnResult func(config.Result)

	// The switches turn a mechanism off, for the tests that show what it
	// prevents.
	noFanOut, noGapFill, noPeerStart, noNewerCheck bool
}

// Kind of an action.
type Kind int

const (
	ReadLog         Kind = iota + 1 // read the stream config from After+1 on
	ReadSnapshot                    // read the newest snapshot of the log
	Push                            // pass Records on to Peer
	RequestRecords                  // ask Peer for the entries after After
	RequestSnapshot                 // ask Peer for a fold newer than After
	WriteSnapshot                   // append Data to the stream config-snapshots
)

// Action is a call for the I/O layer. Its result goes to the method that the
// kind names: LogRead, SnapshotRead, RecordsReceived, SnapshotReceived, SnapshotWritten.
// The result of a Push is dropped.
type Action struct {
	Kind    Kind
	Peer    Peer
	After   int64
	Records []eventlog.Record
	Data    []byte
}

// Core holds the fold of one node. It is not safe for concurrent use.
type Core struct {
	options  Options
	random   *rand.Rand
	reporter invariant.Reporter

	fold   *config.State
	peers  []Peer // sorted by node
	recent []eventlog.Record
	bytes  int // of recent

	inForce int64

	nextRead    time.Time
	readSince   time.Time // a read of the log is under way since
	logDown     bool      // the last read of the log failed or is late
	haveLog     bool      // the log was read to its end
	wantSnap    bool      // the log's records after the fold are trimmed, or nothing is known yet
	nextAsk     time.Time
	start       map[string]*domainStart // by failure domain
	peersDone   bool
	knownPeers  bool
	covered     int64     // by the newest snapshot known
	snapshotAt  time.Time // when that was known
	nextWrite   time.Time
	writing     bool
	snapshot    []byte // cache for peers
	snapshotFor int64  // offset of the cache
}

// domainStart is the state of a new node's questions to one failure domain.
type domainStart struct {
	tried    []string
	asked    time.Time
	answered bool
}

// New returns the core of a node that holds no configuration yet.
func New(o Options, r *rand.Rand, rep invariant.Reporter) *Core {
	setDefault(&o.ReadInterval, DefaultReadInterval)
	setDefault(&o.CheckInterval, DefaultCheckInterval)
	setDefault(&o.Readers, DefaultReaders)
	setDefault(&o.FanOut, DefaultFanOut)
	setDefault(&o.SnapshotInterval, DefaultSnapshotInterval)
	setDefault(&o.SnapshotChanges, DefaultSnapshotChanges)
	setDefault(&o.ResponseTimeout, DefaultResponseTimeout)
	c := &Core{options: o, random: r, reporter: rep, fold: config.NewState(), wantSnap: true, start: map[string]*domainStart{}}
	if rep != nil {
		c.fold.SetReporter(rep)
	}
	return c
}

func setDefault[T ~int | ~int64](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Config returns the configuration in force.
func (c *Core) Config() *config.Config { return c.fold.Config() }

// Version returns the version in force and the offset up to which the log is
// folded.
func (c *Core) Version() (version, offset int64) { return c.fold.Version(), c.fold.Offset() }

// Ready reports whether the node holds the greatest version that it could
// reach: the log's, or without the log that of one peer per reachable failure
// domain.
func (c *Core) Ready() bool { return c.haveLog || c.peersDone }

// SetPeers replaces the peers, as membership sees them.
func (c *Core) SetPeers(peers []Peer) {
	c.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Node == c.options.Node })
	slices.SortFunc(c.peers, func(a, b Peer) int { return strings.Compare(a.Node, b.Node) })
	c.knownPeers = true
}

// rank returns the node's place by rendezvous hash among those that satisfy
// want, 0 for the first.
func (c *Core) rank(salt string, want func(Peer) bool) int {
	return Rank(salt, c.options.Node, c.peers, want)
}

// Rank returns a node's place by rendezvous hash among those of its peers that
// satisfy want, 0 for the first.
func Rank(salt, node string, peers []Peer, want func(Peer) bool) int {
	score := func(node string) uint64 { return xxhash.Sum64String(salt + "/" + node) }
	own, rank := score(node), 0
	for _, p := range peers {
		if s := score(p.Node); want(p) && (s > own || s == own && p.Node < node) {
			rank++
		}
	}
	return rank
}

// IsReader reports whether the node reads the log for others.
func (c *Core) IsReader() bool {
	return c.rank("reader", func(p Peer) bool { return p.Domain == c.options.Domain }) < c.options.Readers
}

func (c *Core) isSnapshotWriter() bool {
	return c.rank("snapshot", func(Peer) bool { return true }) == 0
}

// Tick returns the calls that are due. It is called every 100 ms.
func (c *Core) Tick(now time.Time) []Action {
	var out []Action
	if !c.readSince.IsZero() && now.Sub(c.readSince) >= c.options.ResponseTimeout {
		c.logDown, c.readSince = true, time.Time{}
	}
	if c.readSince.IsZero() && !now.Before(c.nextRead) {
		out = c.read(now, out)
	}
	out = c.startFromPeers(now, out)
	out = c.fillGap(now, out)
	return c.writeSnapshot(now, out)
}

func (c *Core) read(now time.Time, out []Action) []Action {
	c.readSince = now
	c.nextRead = now.Add(c.readInterval())
	if c.wantSnap {
		return append(out, Action{Kind: ReadSnapshot})
	}
	return append(out, Action{Kind: ReadLog, After: c.fold.Offset()})
}

func (c *Core) readInterval() time.Duration {
	if !c.Ready() || c.IsReader() {
		return c.options.ReadInterval
	}
	return c.options.CheckInterval/2 + time.Duration(c.random.Int64N(int64(c.options.CheckInterval)))
}

// LogRead takes the result of ReadLog.
func (c *Core) LogRead(now time.Time, page eventlog.Page, err error) []Action {
	c.readSince = time.Time{}
	if errors.Is(err, eventlog.ErrTrimmed) {
		c.logDown, c.wantSnap = false, true
		return c.read(now, nil)
	}
	if c.logDown = err != nil; err != nil {
		return nil
	}
	out := c.apply(page.Records, "")
	if c.fold.Offset()+1 >= page.Next {
		c.haveLog = true
		return out
	}
	if len(page.Records) > 0 {
		return c.read(now, out)
	}
	return out
}

// SnapshotRead takes the result of ReadSnapshot; data is nil when the log has
// none.
func (c *Core) SnapshotRead(now time.Time, data []byte, err error) []Action {
	c.readSince = time.Time{}
	if c.logDown = err != nil; err != nil {
		return nil
	}
	before := c.fold.Offset()
	c.wantSnap = false
	if data != nil {
		c.noteSnapshot(now, data)
		c.restore(data)
	}
	if before > 0 && c.fold.Offset() == before && len(c.peers) > 0 {
		// The snapshot does not help over trimmed records; a peer may.
		p := c.peers[c.random.IntN(len(c.peers))]
		return []Action{{Kind: RequestSnapshot, Peer: p, After: before}}
	}
	return c.read(now, nil)
}

func (c *Core) noteSnapshot(now time.Time, data []byte) {
	if covers, err := config.SnapshotCovers(data); err == nil && covers > c.covered {
		c.covered, c.snapshotAt = covers, now
	}
}

// apply folds records and passes those that were new on to peers.
func (c *Core) apply(records []eventlog.Record, from string) []Action {
	var fresh []eventlog.Record
	for _, r := range records {
		result := c.fold.Apply(r)
		if result.Outcome == config.OutcomeGap {
			break
		}
		if result.Outcome == config.OutcomeOld {
			continue
		}
		fresh = append(fresh, r)
		c.keep(r)
		if c.options.OnResult != nil {
			c.options.OnResult(result)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	c.enforce()
	return c.push(fresh, from)
}

func (c *Core) restore(data []byte) {
	before := c.fold.Offset()
	err := c.fold.Restore(data)
	if errors.Is(err, config.ErrNotNewer) && c.options.noNewerCheck {
		c.fold = config.NewState()
		err = c.fold.Restore(data)
	}
	if err == nil && c.fold.Offset() != before {
		c.recent, c.bytes = nil, 0
		c.enforce()
	}
}

// enforce puts the fold's configuration in force.
func (c *Core) enforce() {
	version := c.fold.Version()
	if c.reporter != nil {
		c.reporter.Check(invariant.ConfigForward, version >= c.inForce, "node %s: version %d after %d", c.options.Node, version, c.inForce)
	}
	if version == c.inForce {
		return
	}
	c.inForce = version
	if c.options.OnConfig != nil {
		c.options.OnConfig(c.fold.Config())
	}
}

func (c *Core) keep(r eventlog.Record) {
	c.recent = append(c.recent, r)
	c.bytes += len(r.Data)
	for len(c.recent) > keptRecords || c.bytes > keptBytes && len(c.recent) > 1 {
		c.bytes -= len(c.recent[0].Data)
		c.recent = c.recent[1:]
	}
}

// push passes entries on to random peers. Each node does so once per entry; a
// node that is missed learns of the version by membership and fills the gap.
func (c *Core) push(records []eventlog.Record, from string) []Action {
	size := 0
	for _, r := range records {
		size += len(r.Data)
	}
	if c.options.noFanOut || size > keptBytes {
		return nil
	}
	var out []Action
	for _, i := range c.random.Perm(len(c.peers)) {
		if len(out) == c.options.FanOut {
			break
		}
		if p := c.peers[i]; p.Node != from {
			out = append(out, Action{Kind: Push, Peer: p, Records: records})
		}
	}
	return out
}

// RecordsReceived takes records that a peer passed on or answered. Trimmed means that
// the peer no longer holds the entries that were asked for.
func (c *Core) RecordsReceived(_ time.Time, from Peer, records []eventlog.Record, trimmed bool, err error) []Action {
	if err != nil {
		return nil
	}
	if trimmed {
		return []Action{{Kind: RequestSnapshot, Peer: from, After: c.fold.Offset()}}
	}
	out := c.apply(records, from.Node)
	if n := len(records); n > 0 && records[n-1].Offset > c.fold.Offset() && !c.options.noGapFill && from.Address != "" {
		out = append(out, Action{Kind: RequestRecords, Peer: from, After: c.fold.Offset()})
	}
	return out
}

// fillGap asks a peer that is known to have a newer version.
func (c *Core) fillGap(now time.Time, out []Action) []Action {
	if c.options.noGapFill || now.Before(c.nextAsk) {
		return out
	}
	var ahead []Peer
	for _, p := range c.peers {
		if p.Version > c.fold.Offset() {
			ahead = append(ahead, p)
		}
	}
	if len(ahead) == 0 {
		return out
	}
	c.nextAsk = now.Add(askEvery)
	return append(out, Action{Kind: RequestRecords, Peer: ahead[c.random.IntN(len(ahead))], After: c.fold.Offset()})
}

// SnapshotReceived takes the result of RequestSnapshot; data is nil when the peer has
// nothing newer.
func (c *Core) SnapshotReceived(_ time.Time, from Peer, data []byte, err error) []Action {
	if err == nil && data != nil {
		c.restore(data)
	}
	if d := c.start[from.Domain]; d != nil {
		d.asked = time.Time{}
		d.answered = d.answered || err == nil
	}
	return nil
}

// startFromPeers asks one peer per failure domain while the node is not ready
// and the log is down.
func (c *Core) startFromPeers(now time.Time, out []Action) []Action {
	if c.Ready() || !c.logDown || !c.knownPeers || c.options.noPeerStart {
		return out
	}
	open, answered := 0, 0
	for _, domain := range c.domains() {
		d := c.start[domain]
		if d == nil {
			d = &domainStart{}
			c.start[domain] = d
		}
		if d.answered {
			answered++
			continue
		}
		if !d.asked.IsZero() && now.Sub(d.asked) < c.options.ResponseTimeout {
			open++
			continue
		}
		p, ok := c.untried(domain, d)
		if !ok {
			continue // no peer of the domain answers
		}
		d.asked, d.tried = now, append(d.tried, p.Node)
		open++
		out = append(out, Action{Kind: RequestSnapshot, Peer: p, After: c.fold.Offset()})
	}
	c.peersDone = open == 0 && answered > 0
	if open == 0 && answered == 0 {
		c.start = map[string]*domainStart{} // try all of them again
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

func (c *Core) untried(domain string, d *domainStart) (Peer, bool) {
	if len(d.tried) >= triesPerDomain {
		return Peer{}, false
	}
	var left []Peer
	for _, p := range c.peers {
		if p.Domain == domain && !slices.Contains(d.tried, p.Node) {
			left = append(left, p)
		}
	}
	if len(left) == 0 {
		return Peer{}, false
	}
	return left[c.random.IntN(len(left))], true
}

func (c *Core) writeSnapshot(now time.Time, out []Action) []Action {
	if c.snapshotAt.IsZero() {
		c.snapshotAt = now
	}
	offset := c.fold.Offset()
	due := now.Sub(c.snapshotAt) >= c.options.SnapshotInterval || offset-c.covered >= c.options.SnapshotChanges
	if !due || c.writing || offset == 0 || !c.Ready() || now.Before(c.nextWrite) || !c.isSnapshotWriter() {
		return out
	}
	data := c.Snapshot(0)
	if data == nil {
		return out
	}
	c.writing, c.nextWrite = true, now.Add(writeRetry)
	return append(out, Action{Kind: WriteSnapshot, After: offset, Data: data})
}

// SnapshotWritten takes the result of WriteSnapshot. After an error the
// snapshot is written again; a second one does no harm.
func (c *Core) SnapshotWritten(now time.Time, covers int64, err error) []Action {
	c.writing = false
	if err == nil {
		c.covered, c.snapshotAt = max(c.covered, covers), now
	}
	return nil
}

// RecordsAfter returns the records after an offset for a peer. Trimmed means that the
// node no longer holds the first of them.
func (c *Core) RecordsAfter(after int64, limit int) (records []eventlog.Record, trimmed bool) {
	if after >= c.fold.Offset() || limit <= 0 {
		return nil, false
	}
	if len(c.recent) == 0 || c.recent[0].Offset > after+1 {
		return nil, true
	}
	from := int(after + 1 - c.recent[0].Offset)
	return slices.Clone(c.recent[from:min(len(c.recent), from+min(limit, PageRecords))]), false
}

// Snapshot returns the encoded fold when it covers more than newerThan, else
// nil.
func (c *Core) Snapshot(newerThan int64) []byte {
	offset := c.fold.Offset()
	if offset <= newerThan {
		return nil
	}
	if c.snapshotFor != offset {
		data, err := c.fold.Snapshot()
		if err != nil {
			return nil
		}
		c.snapshot, c.snapshotFor = data, offset
	}
	return c.snapshot
}
