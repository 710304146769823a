package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

const (
	// A read of the table waits for a change, so a connection that has gone silent shows
	// only when that time is over. All connections may go silent at once, so the watchers
	// among the readers wait between minWatchWait and maxWatchWait. With readGrace they
	// read again 1.3 s later at most, which leaves half of the time within which a version
	// must be in force everywhere (2.5 s) for forwarding it.
	minWatchWait = 600 * time.Millisecond
	maxWatchWait = time.Second
	// The other readers wait between minFollowWait and maxFollowWait, as calls are paid
	// for and the watchers announce changes. The times vary, since a change ends the
	// reads of all readers at once.
	minFollowWait = 300 * time.Millisecond
	maxFollowWait = 20 * time.Second
	// readGrace is how long a read may be overdue, besides twice the time that the last
	// whole read took, before the node reads the newest records on another connection. A
	// healthy log service responds in 4 ms. The timeout of a call (1 s) would use up the
	// time for forwarding.
	readGrace = 300 * time.Millisecond
	// checkInterval is the mean time between reads of a node that does not follow
	// the table. Peers announce changes to it within about a second.
	checkInterval = 15 * time.Second
	// lostCheckInterval applies instead to a node that cannot read the table while
	// others can. All calls are paid for, also those that the service refuses.
	lostCheckInterval = 3 * time.Second
	// readerPollInterval is the time between checks whether this node has become
	// a reader, which follows the table.
	readerPollInterval = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed read, which
	// doubles each time. maxRetryDelay stays below the 2 s within which a version
	// must be in force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// sourceLogService names the log service where a peer's name would stand otherwise.
const sourceLogService = "log service"

// DocumentSource is the key of a table under which operators publish
// configuration documents.
type DocumentSource struct {
	Tables     eventlog.Tables
	Table, Key string
	Decode     func([]byte) (*config.Config, error)
}

// DocumentOptions configure Documents.
type DocumentOptions struct {
	Core   document.Options
	Source DocumentSource
	Client *Client
	// Peers returns the other nodes. The result is false until the membership
	// knows them.
	Peers    func() ([]distribute.Peer, bool)
	Random   *rand.Rand
	Reporter invariant.Reporter
	Log      zerolog.Logger
	// Record receives the decision records of changes of state. Default none.
	Record func(record.Record)
	// OnAccess is called when the node begins or ceases to be able to read the table.
	// Default none.
	OnAccess func(distribute.Access)
}

// Documents keeps the newest configuration document in force. It is safe for
// concurrent use and a suture service.
type Documents struct {
	options   DocumentOptions
	calls     *callGroup
	log       zerolog.Logger
	transfers *transfer.Stats

	mu     sync.Mutex
	core   *document.Core
	status LogStatus
	read   *openRead // that awaits a change; nil without one

	newestTook time.Duration // of the last successful read of the newest records; used by follow only
}

// openRead is a read of the log service that awaits a change.
type openRead struct {
	end  context.CancelCauseFunc
	long bool // it may wait longer than maxWatchWait
}

// LogStatus describes how a node gets the configuration from the log service.
type LogStatus struct {
	Reader   bool      // the node follows the log service instead of checking it from time to time
	Watcher  bool      // it must detect soon that its connection to the log service has gone silent
	LastRead time.Time // last successful call; zero without one

	Sender              string    // who sent the document in force: the log service or a peer
	InForceSince        time.Time // zero without a document
	FailedAnnouncements int64     // announcements to peers that got no response, since the start

	Transfers transfer.Counts // of documents, from the log service and from peers
}

// NewDocuments returns the service of one node.
func NewDocuments(o DocumentOptions) *Documents {
	return &Documents{options: o, calls: newCallGroup(), log: o.Log, transfers: transfer.NewStats(), core: document.New(o.Core, o.Random, o.Reporter)}
}

// Serve reads documents from the table and from peers until ctx ends. The document
// in force is kept when the supervisor restarts the service.
func (d *Documents) Serve(ctx context.Context) error {
	defer d.calls.open(ctx)()
	d.calls.start(d.follow)
	return periodic.Run(ctx, tickInterval, func() { d.tick(time.Now()) })
}

// tick fetches the document of a peer that has a newer one.
func (d *Documents) tick(now time.Time) {
	peers, _ := d.options.Peers()
	d.mu.Lock()
	d.core.SetPeers(peers)
	p, ok := d.core.NewerPeer(now)
	version := d.core.Version()
	if d.read != nil && d.read.long && d.core.Role().Watcher { // other watchers are gone
		d.read.end(errBecameWatcher)
	}
	d.mu.Unlock()
	if ok {
		d.calls.start(func(ctx context.Context) { d.fetch(ctx, p, version) })
	}
}

func (d *Documents) fetch(ctx context.Context, p distribute.Peer, version int64) {
	t := d.transfers.Start("peer " + p.Node)
	response, err := d.options.Client.Configuration(transfer.NewContext(ctx, t), p.Address, &controlpb.ConfigurationRequest{
		From: d.options.Core.Node, After: version, Limit: 1,
	})
	d.endTransfer(t, 0, err)
	if err != nil {
		d.log.Debug().Err(err).Str("peer", p.Node).Msg("config: peer did not respond")
		return
	}
	for _, e := range response.GetEntries() {
		d.offer(e.GetData(), document.FromPeer, "peer "+p.Node)
	}
}

// endTransfer counts a transfer that has ended, and logs one that was slow or given up
// after some bytes had arrived.
func (d *Documents) endTransfer(t *transfer.Transfer, used int64, err error) {
	s := d.transfers.End(t, err == nil, used)
	if !s.Slow && s.Dropped == 0 {
		return
	}
	d.log.Info().Err(err).Str("source", s.Source).Int64("version", d.version()).Int64("bytes", s.Bytes).Int64("dropped", s.Dropped).
		Dur("took_ms", s.Took).Dur("idle_ms", s.Idle).Int64("bytes_per_s", int64(s.Rate)).Msg("config: transfer was slow or given up")
}

// follow reads the table until ctx ends: with Follow on a reader, else with
// Newest from time to time. Without a position it reads the newest records.
func (d *Documents) follow(ctx context.Context) {
	source := d.options.Source
	var position eventlog.Position
	known, retryDelay := false, minRetryDelay // whether position is known
	dependency := record.Dependency{Name: "log service (configuration)"}
	for ctx.Err() == nil {
		if role := d.observeRole(); known && !role.Reader {
			d.waitForRole(ctx, checkInterval)
			known = false
		}
		var entries []eventlog.TableEntry
		var err error
		if known {
			entries, position, err = d.awaitChange(ctx, position)
		} else {
			entries, position, err = d.newest(ctx)
		}
		switch {
		case errors.Is(err, errBecameWatcher):
			continue
		case errors.Is(err, errOverdue):
			d.log.Info().Int64("version", d.version()).Msg("config: a read of the log service is overdue, reading the newest documents")
			known = false
			continue
		case errors.Is(err, eventlog.ErrTrimmed):
			known = false
			continue
		case errors.Is(err, eventlog.ErrRestored):
			d.log.Warn().Err(err).Msg("config: the log service was restored, reading the newest documents")
			known = false
			sleep(ctx, time.Duration(rand.Int64N(int64(minRetryDelay)))) // all readers notice at the same time
			continue
		case err != nil && ctx.Err() != nil:
			return
		}
		if change, ok := dependency.Observe(err); ok {
			d.record(record.KindDependency, change)
		}
		d.observeRead(time.Now(), err)
		if known = err == nil; !known { // read the newest records again: the log may have lost the history of this position
			repeated := retryDelay > minRetryDelay // one failed call may be the loss of its connection only
			sleep(ctx, retryDelay/2+time.Duration(rand.Int64N(int64(retryDelay))))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			if repeated && !d.observeRole().Needed {
				d.waitForRole(ctx, lostCheckInterval)
			}
			continue
		}
		retryDelay = minRetryDelay
		for _, e := range entries {
			if e.Key == source.Key && len(e.Value) > 0 {
				d.offer(e.Value, document.FromLog, sourceLogService)
			}
		}
	}
}

// newest reads the newest records.
func (d *Documents) newest(ctx context.Context) ([]eventlog.TableEntry, eventlog.Position, error) {
	startedAt, t := time.Now(), d.transfers.Start(sourceLogService)
	entries, position, err := d.options.Source.Tables.Newest(transfer.NewContext(ctx, t), d.options.Source.Table)
	d.endTransfer(t, 0, err)
	if err == nil {
		d.newestTook = time.Since(startedAt)
	}
	return entries, position, err
}

var (
	// errBecameWatcher ends a long read.
	errBecameWatcher = errors.New("the node has become a watcher of the log service")
	// errOverdue ends a read whose connection seems to have gone silent.
	errOverdue = errors.New("the log service does not respond to a read")
)

// awaitChange reads the records after a position and waits until there is one. It
// returns errBecameWatcher when the node's role no longer allows so long a wait, and
// errOverdue when the log service does not respond in time.
func (d *Documents) awaitChange(ctx context.Context, from eventlog.Position) ([]eventlog.TableEntry, eventlog.Position, error) {
	readCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	d.mu.Lock()
	watcher := d.core.Role().Watcher
	d.read = &openRead{end: end, long: !watcher}
	d.mu.Unlock()
	wait := followWait(watcher)
	overdue := time.AfterFunc(wait+readGrace+2*d.newestTook, func() { end(errOverdue) })
	defer overdue.Stop()
	t := d.transfers.Start(sourceLogService)
	entries, next, err := d.options.Source.Tables.Follow(transfer.NewContext(readCtx, t), d.options.Source.Table, from, wait)
	d.mu.Lock()
	d.read = nil
	d.mu.Unlock()
	d.endTransfer(t, 0, err)
	if cause := context.Cause(readCtx); err != nil && (errors.Is(cause, errBecameWatcher) || errors.Is(cause, errOverdue)) {
		err = cause
	}
	return entries, next, err
}

// followWait returns a random time for which a reader waits for a change.
func followWait(watcher bool) time.Duration {
	shortest, longest := minFollowWait, maxFollowWait
	if watcher {
		shortest, longest = minWatchWait, maxWatchWait
	}
	return shortest + time.Duration(rand.Int64N(int64(longest-shortest)))
}

// observeRole returns the role of this node, and logs it when it has changed.
func (d *Documents) observeRole() distribute.Role {
	d.mu.Lock()
	role := d.core.Role()
	changed := role.Reader != d.status.Reader || role.Watcher != d.status.Watcher
	d.status.Reader, d.status.Watcher = role.Reader, role.Watcher
	access, lastRead, version := d.core.Access(), d.status.LastRead, d.core.Version()
	d.mu.Unlock()
	if !changed {
		return role
	}
	line := d.log.Info().Bool("reader", role.Reader).Bool("watcher", role.Watcher).Stringer("access", access).Int("position", role.Position).Int("quota", role.Quota).Int64("version", version)
	logAge(line, "last_read_age_ms", time.Now(), lastRead)
	line.Msg("config: the role of this node at the log service changed")
	return role
}

// observeRead notes the result of a call and reports whether the node can read the
// table when that has changed.
func (d *Documents) observeRead(now time.Time, err error) {
	access := distribute.AccessUsable
	if err != nil {
		access = distribute.AccessLost
	}
	d.mu.Lock()
	if err == nil {
		d.status.LastRead = now
	}
	changed := access != d.core.Access()
	d.core.SetAccess(access)
	d.mu.Unlock()
	if changed && d.options.OnAccess != nil {
		d.options.OnAccess(access)
	}
}

// LogStatus returns how this node gets the configuration from the log service.
func (d *Documents) LogStatus() LogStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.status
	status.Transfers = d.transfers.Counts()
	return status
}

// waitForRole waits a random time around the given one, or until the node is a reader.
func (d *Documents) waitForRole(ctx context.Context, mean time.Duration) {
	due := time.Now().Add(mean/2 + time.Duration(rand.Int64N(int64(mean))))
	for ctx.Err() == nil && time.Now().Before(due) {
		if d.observeRole().Reader {
			return
		}
		sleep(ctx, readerPollInterval)
	}
}

func (d *Documents) record(kind record.Kind, c record.Change) {
	if d.options.Record != nil {
		d.options.Record(record.Record{At: time.Now(), Node: d.options.Core.Node, Kind: kind, Change: &c})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// offer puts a document in force if it is newer, and then announces it to peers. The
// sender is named in the record of a refused document.
func (d *Documents) offer(data []byte, source document.Source, sender string) {
	now := time.Now()
	d.mu.Lock()
	arrival, previous := d.core.Arrival(), d.core.Version()
	outcome, err := d.core.Offer(data, source)
	version := d.core.Version()
	var spread *document.Spread
	if outcome == document.InForce {
		spread = d.core.NewSpread()
		d.status.Sender, d.status.InForceSince = sender, now
		if d.read != nil && source == document.FromPeer {
			// The log service has the document, too, and would have ended the read.
			read := d.read
			time.AfterFunc(readGrace, func() { read.end(errOverdue) })
		}
	}
	lastRead := d.status.LastRead
	d.mu.Unlock()
	switch {
	case err != nil:
		d.record(record.KindVersion, record.Change{Subject: "document", From: strconv.FormatInt(version, 10), To: "unchanged",
			Why: "the document from " + sender + " is refused: " + err.Error()})
	case outcome == document.Reissued:
		d.log.Warn().Int64("version", version).Msg("config: the operator published another document under the version in force, after a restore of the log service")
	case outcome == document.InForce:
		line := d.log.Info().Int64("version", version).Int64("previous", previous).Str("sender", sender).Int("requests", arrival.Requests)
		logAge(line, "newer_known_ms", now, arrival.NewerSince)
		logAge(line, "last_read_age_ms", now, lastRead)
		line.Msg("config: version in force")
		d.calls.start(func(ctx context.Context) { d.announceAll(ctx, spread, version) })
	}
}

// logAge adds the time since an event to a log line, unless there was none.
func logAge(line *zerolog.Event, field string, now, event time.Time) {
	if !event.IsZero() {
		line.Dur(field, now.Sub(event))
	}
}

// Configuration implements Handler: it offers the documents that a peer sends and
// returns the one in force if it is newer than the peer's. A request for no entries
// announces the version that the peer has. A node fetches an announced document once,
// although several peers announce it.
func (d *Documents) Configuration(_ context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	for _, e := range r.GetEntries() {
		d.offer(e.GetData(), document.FromPeer, "peer "+r.GetFrom())
	}
	if r.GetLimit() == 0 && r.GetAfter() > 0 {
		d.handleAnnouncement(r.GetFrom(), r.GetAfter())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	version := d.core.Version()
	response := &controlpb.ConfigurationResponse{Version: version, Offset: version}
	if data, newer := d.core.NewerThan(r.GetAfter()); newer && r.GetLimit() > 0 {
		response.Entries = []*controlpb.Entry{{Offset: version, Data: data}}
	}
	return response, nil
}

// handleAnnouncement fetches a newer document after its announcement, unless it was
// requested a short time ago.
func (d *Documents) handleAnnouncement(node string, version int64) {
	d.mu.Lock()
	peer, ok := d.core.Announce(time.Now(), node, version)
	after := d.core.Version()
	d.mu.Unlock()
	if ok {
		d.calls.start(func(ctx context.Context) { d.fetch(ctx, peer, after) })
	}
}

// Snapshot implements Handler. Documents need no snapshots, so it returns nil.
func (d *Documents) Snapshot(context.Context, int64) ([]byte, error) { return nil, nil }

// Version returns the version in force, which is also the offset of the document.
func (d *Documents) Version() (version, offset int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Version(), d.core.Version()
}

func (d *Documents) version() int64 {
	version, _ := d.Version()
	return version
}

// Ready reports whether a document is in force.
func (d *Documents) Ready() bool {
	return d.version() > 0
}
