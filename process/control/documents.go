package control

import (
	"context"
	"fmt"
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
	"github.com/hyssopsill/hyssopsill/version/chunk"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
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
	read   *logRead // in progress; nil without one
	// fetches ends the transfers in progress, by peer.
	fetches map[string]context.CancelCauseFunc

	dependency record.Dependency // used by follow and what it calls only

	// offering is held while a document is decoded and put in force, and taken before mu.
	offering sync.Mutex

	responseTime time.Duration // after which the log service began to respond to the last read without a wait
}

// LogStatus describes how a node gets the configuration from the log service.
type LogStatus struct {
	Reader   bool      // the node follows the log service instead of checking it from time to time
	Watcher  bool      // it must detect soon that its connection to the log service has gone silent
	LastRead time.Time // last successful call; zero without one

	Sender              string    // who sent the document in force: the log service or a peer
	InForceSince        time.Time // zero without a document
	Refused             string    // why the last document was refused that arrived since then; empty without one
	FailedAnnouncements int64     // announcements to peers that got no response, since the start

	Transfers transfer.Counts // of documents, from the log service and from peers
}

// NewDocuments returns the service of one node.
func NewDocuments(o DocumentOptions) *Documents {
	return &Documents{options: o, calls: newCallGroup(), log: o.Log, transfers: transfer.NewStats(), core: document.New(o.Core, o.Random, o.Reporter),
		fetches: map[string]context.CancelCauseFunc{}, dependency: record.Dependency{Name: "log service (configuration)"}}
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
	if d.read != nil && d.read.long && d.core.Role().Watcher { // other watchers are gone
		d.read.end(errBecameWatcher)
	}
	d.mu.Unlock()
	if ok {
		d.calls.start(func(ctx context.Context) { d.fetch(ctx, p) })
	}
}

// Outdated reports whether a newer version than the one in force is known.
func (d *Documents) Outdated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Outdated()
}

// LogStatus returns how this node gets the configuration from the log service.
func (d *Documents) LogStatus() LogStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.status
	status.Transfers = d.transfers.Counts()
	return status
}

func (d *Documents) record(kind record.Kind, c record.Change) {
	if d.options.Record != nil {
		d.options.Record(record.Record{At: time.Now(), Node: d.options.Core.Node, Kind: kind, Change: &c})
	}
}

// arrival is a document that has reached this node.
type arrival struct {
	data     []byte
	position eventlog.Position // from which to follow the log service after the document; zero if unknown
	shared   int64             // version as which peers can get it already; 0 if they can't
	source   document.Source
	sender   string // named in the record of a refused document
}

// offer puts a document in force if it is newer, and then announces it to peers.
func (d *Documents) offer(a arrival) {
	d.offering.Lock()
	defer d.offering.Unlock()
	if d.isInForce(a) {
		return
	}
	arrivedAt := time.Now()
	decoded, err := d.decode(a)
	if err != nil {
		d.refuse(a, err)
		return
	}
	d.put(a, decoded, arrivedAt)
}

func (d *Documents) decode(a arrival) (document.Decoded, error) {
	decoded, err := d.core.Decode(a.data, a.position)
	if err == nil && a.shared > 0 && decoded.Version() != a.shared {
		err = fmt.Errorf("it has version %d, its manifest names %d", decoded.Version(), a.shared)
	}
	return decoded, err
}

// refuse records why a document is not put in force, and withdraws it from peers.
func (d *Documents) refuse(a arrival, why error) {
	text := "the document from " + a.sender + " is refused: " + why.Error()
	d.mu.Lock()
	if a.shared > 0 {
		d.core.RefuseChunks(a.shared)
	}
	d.status.Refused = text
	d.mu.Unlock()
	d.record(record.KindVersion, record.Change{Subject: "document", From: strconv.FormatInt(d.version(), 10), To: "unchanged", Why: text})
}

// put puts a valid document in force if it is newer, and shares it.
func (d *Documents) put(a arrival, decoded document.Decoded, arrivedAt time.Time) {
	now := time.Now()
	d.mu.Lock()
	known, previous := d.core.Arrival(), d.core.Version()
	outcome := d.core.Put(decoded, a.source)
	applied := time.Since(now)
	version, lastRead := d.core.Version(), d.status.LastRead
	if outcome == document.InForce {
		d.status.Sender, d.status.InForceSince, d.status.Refused = a.sender, now, ""
		d.endFetches()
		if d.read != nil && a.source == document.FromPeer {
			d.read.noteOutdated()
		}
	}
	d.mu.Unlock()
	switch outcome {
	case document.Reissued:
		d.log.Warn().Int64("version", version).Msg("config: the operator published another document under the version in force, after a restore of the log service")
	case document.InForce:
		line := d.log.Info().Int64("version", version).Int64("previous", previous).Int("bytes", len(a.data)).Str("sender", a.sender).Int("requests", known.Requests).
			Dur("decode_ms", now.Sub(arrivedAt)).Dur("apply_ms", applied)
		logAge(line, "newer_known_ms", now, known.NewerSince)
		logAge(line, "last_read_age_ms", now, lastRead)
		line.Msg("config: version in force")
	default:
		return
	}
	if a.shared == 0 {
		d.calls.start(func(ctx context.Context) { d.share(ctx, version, a, outcome == document.InForce) })
	}
}

// isInForce reports whether a document is the one in force, byte for byte.
func (d *Documents) isInForce(a arrival) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	inForce := d.core.IsInForce(a.data)
	if inForce && a.source == document.FromLog {
		d.core.SetPosition(a.position)
	}
	return inForce
}

// share makes the chunks of a version available to peers, and announces it.
func (d *Documents) share(ctx context.Context, version int64, a arrival, announce bool) {
	d.mu.Lock()
	last := d.core.LastChunks()
	d.mu.Unlock()
	chunks, err := chunk.Split(a.data, last)
	if err != nil {
		d.log.Error().Err(err).Int64("version", version).Msg("config: peers cannot get the document from this node")
		return
	}
	d.mu.Lock()
	d.core.SetChunks(version, a.position, chunks)
	d.mu.Unlock()
	if announce {
		d.announceAll(ctx, version)
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
		d.offer(arrival{data: e.GetData(), source: document.FromPeer, sender: "peer " + r.GetFrom()})
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
	d.mu.Unlock()
	if ok {
		d.calls.start(func(ctx context.Context) { d.fetch(ctx, peer) })
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
