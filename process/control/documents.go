package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

const (
	// followWait is how long a read of the table waits for news. A read on a
	// connection that went silent is noticed after it; peers pass news on
	// meanwhile.
	followWait = 10 * time.Second
	// checkEvery is the mean time between looks of a node that does not follow
	// the table. Peers pass news on within about a second.
	checkEvery = 15 * time.Second
	// checkPoll is the time between looks at whether the node is to follow.
	checkPoll = 200 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed read, which
	// doubles each time. The upper bound stays below the 2 s within which a
	// version must be in force.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// DocumentSource is where operators publish configuration documents: one key of
// a table.
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
	// Peers returns the other nodes; false until membership knows of them.
	Peers    func() ([]distribute.Peer, bool)
	Random   *rand.Rand
	Reporter invariant.Reporter
	Log      zerolog.Logger
	// Record takes changes of state.
	Record func(record.Record)
}

// Documents keeps the newest configuration document in force. It is safe for
// concurrent use and a suture service.
type Documents struct {
	options DocumentOptions
	calls   *calls
	log     zerolog.Logger

	mu   sync.Mutex
	core *document.Core
}

// NewDocuments returns the service of one node.
func NewDocuments(o DocumentOptions) *Documents {
	return &Documents{options: o, calls: newCalls(), log: o.Log, core: document.New(o.Core, o.Random, o.Reporter)}
}

// Serve follows the table and the peers until ctx ends. The document in force is
// kept over a restart.
func (d *Documents) Serve(ctx context.Context) error {
	defer d.calls.open(ctx)()
	d.calls.start(d.follow)
	ticker := time.NewTicker(configurationTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		d.tick(time.Now())
	}
}

// tick asks a peer that holds a newer document.
func (d *Documents) tick(now time.Time) {
	peers, _ := d.options.Peers()
	d.mu.Lock()
	d.core.SetPeers(peers)
	p, ok := d.core.NewerPeer(now)
	version := d.core.Version()
	d.mu.Unlock()
	if ok {
		d.calls.start(func(ctx context.Context) { d.ask(ctx, p, version) })
	}
}

func (d *Documents) ask(ctx context.Context, p distribute.Peer, version int64) {
	answer, err := d.options.Client.Configuration(ctx, p.Address, &controlpb.ConfigurationRequest{
		From: d.options.Core.Node, After: version, Limit: 1,
	})
	if err != nil {
		d.log.Debug().Err(err).Str("peer", p.Node).Msg("config: peer did not answer")
		return
	}
	for _, e := range answer.GetEntries() {
		d.offer(e.GetData(), "peer "+p.Node)
	}
}

// follow reads the table until ctx ends.
func (d *Documents) follow(ctx context.Context) {
	source := d.options.Source
	next, pause := int64(-1), retryFirst
	dependency := record.Dependency{Name: "log service (configuration)"}
	for ctx.Err() == nil {
		if next >= 0 && !d.reader() {
			d.awaitCheck(ctx)
			next = -1
		}
		var entries []eventlog.TableEntry
		var err error
		if next < 0 {
			entries, next, err = source.Tables.Newest(ctx, source.Table)
		} else {
			entries, next, err = source.Tables.Follow(ctx, source.Table, next, followWait)
		}
		switch {
		case errors.Is(err, eventlog.ErrTrimmed):
			next = -1
			continue
		case err != nil && ctx.Err() != nil:
			return
		}
		if change, ok := dependency.Observe(err); ok {
			d.record(record.KindDependency, change)
		}
		if err != nil {
			next = -1 // the newest records are read again: the position may be of a lost history
			sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, retryMost)
			continue
		}
		pause = retryFirst
		for _, e := range entries {
			if e.Key == source.Key && len(e.Value) > 0 {
				d.offer(e.Value, "log service")
			}
		}
	}
}

func (d *Documents) reader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.IsReader()
}

// awaitCheck waits until the table is due for a look: after a random time, or
// when this node is to follow it.
func (d *Documents) awaitCheck(ctx context.Context) {
	due := time.Now().Add(checkEvery/2 + time.Duration(rand.Int64N(int64(checkEvery))))
	for ctx.Err() == nil && time.Now().Before(due) && !d.reader() {
		sleep(ctx, checkPoll)
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

// offer puts a document in force if it is newer, and passes it on.
func (d *Documents) offer(data []byte, from string) {
	d.mu.Lock()
	outcome, err := d.core.Offer(data)
	version := d.core.Version()
	var to []distribute.Peer
	if outcome == document.InForce {
		to = d.core.PushPeers()
	}
	d.mu.Unlock()
	if err != nil {
		d.record(record.KindVersion, record.Change{Subject: "document", From: strconv.FormatInt(version, 10), To: "unchanged",
			Why: "the document from " + from + " is refused: " + err.Error()})
	}
	for _, p := range to {
		d.calls.start(func(ctx context.Context) {
			request := &controlpb.ConfigurationRequest{From: d.options.Core.Node, Entries: []*controlpb.Entry{{Offset: version, Data: data}}}
			_, _ = d.options.Client.Configuration(ctx, p.Address, request) // a peer that is missed asks for it
		})
	}
}

// Configuration is the part of Handler for documents: it takes those that a peer
// passes on and returns the one in force if it is newer than the peer's.
func (d *Documents) Configuration(_ context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	for _, e := range r.GetEntries() {
		d.offer(e.GetData(), "peer "+r.GetFrom())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	version := d.core.Version()
	answer := &controlpb.ConfigurationResponse{Version: version, Offset: version}
	if data, newer := d.core.NewerThan(r.GetAfter()); newer && r.GetLimit() > 0 {
		answer.Entries = []*controlpb.Entry{{Offset: version, Data: data}}
	}
	return answer, nil
}

// Snapshot is the part of Handler for folds, which documents do not need.
func (d *Documents) Snapshot(context.Context, int64) ([]byte, error) { return nil, nil }

// Version returns the version in force, which is also the position of the
// document.
func (d *Documents) Version() (version, offset int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Version(), d.core.Version()
}

// Ready reports whether a document is in force.
func (d *Documents) Ready() bool {
	version, _ := d.Version()
	return version > 0
}
