package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/transfer"
	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/process/periodic"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

const (
	tickInterval  = 100 * time.Millisecond
	peersInterval = time.Second
	// versionsPerDomain is the number of nodes per failure domain from which
	// FetchVersions requests the version.
	versionsPerDomain = 3
)

// ConfigurationOptions configure a Configuration.
type ConfigurationOptions struct {
	// Distribute names the node and sets times. OnConfig and OnResult are called
	// in order and with the lock of the service held: they must not call it.
	Distribute distribute.Options
	Log        eventlog.Log
	Client     *Client
	// Peers returns the other nodes. The result is false until another node has
	// responded to the membership, or the node is known to be alone.
	Peers    func() ([]distribute.Peer, bool)
	Random   *rand.Rand
	Reporter invariant.Reporter
	// OnAccess is called when the node begins or ceases to be able to read the log, with
	// the lock of the service held: it must not call it. Default none.
	OnAccess func(distribute.Access)
}

// Configuration runs a distribute.Core over the log and the control service. It
// is safe for concurrent use and a suture service.
type Configuration struct {
	options ConfigurationOptions
	calls   *callGroup

	mu     sync.Mutex
	core   *distribute.Core
	access distribute.Access // last one reported
}

// NewConfiguration returns the service of one node.
func NewConfiguration(o ConfigurationOptions) *Configuration {
	return &Configuration{options: o, calls: newCallGroup(), core: distribute.New(o.Distribute, o.Random, o.Reporter)}
}

// Serve runs the core until ctx ends. The state is kept when the supervisor
// restarts the service.
func (c *Configuration) Serve(ctx context.Context) error {
	defer c.calls.open(ctx)()
	var nextPeers time.Time
	return periodic.Run(ctx, tickInterval, func() {
		if now := time.Now(); !now.Before(nextPeers) {
			nextPeers = now.Add(peersInterval)
			c.setPeers()
		}
		c.withCore(func(core *distribute.Core) []distribute.Action { return core.Tick(time.Now()) })
	})
}

func (c *Configuration) setPeers() {
	peers, known := c.options.Peers()
	if !known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetPeers(peers)
}

// withCore runs a function on the core with the lock held, and starts the calls
// that it returns.
func (c *Configuration) withCore(fn func(*distribute.Core) []distribute.Action) {
	c.mu.Lock()
	actions := fn(c.core)
	if access := c.core.Access(); access != c.access && c.options.OnAccess != nil {
		c.access = access
		c.options.OnAccess(access)
	}
	c.mu.Unlock()
	for _, a := range actions {
		if !c.calls.start(func(ctx context.Context) { c.runAction(ctx, a) }) {
			c.mu.Lock()
			reportDropped(c.core, a)
			c.mu.Unlock()
		}
	}
}

var errTooManyCalls = errors.New("too many calls in progress")

// reportDropped reports to the core that a call was not made. It ignores the actions
// that the core returns, since its next tick continues the work.
func reportDropped(core *distribute.Core, a distribute.Action) {
	now := time.Now()
	switch a.Kind {
	case distribute.ReadLog:
		core.LogRead(now, eventlog.Page{}, errTooManyCalls)
	case distribute.ReadSnapshot:
		core.SnapshotRead(now, nil, errTooManyCalls)
	case distribute.WriteSnapshot:
		core.SnapshotWritten(now, a.After, errTooManyCalls)
	case distribute.AppendChange:
		core.ChangeAppended(now, errTooManyCalls)
	case distribute.RequestSnapshot:
		core.SnapshotReceived(now, a.Peer, nil, errTooManyCalls)
	}
}

func (c *Configuration) runAction(ctx context.Context, a distribute.Action) {
	log, client := c.options.Log, c.options.Client
	switch a.Kind {
	case distribute.ReadLog:
		page, err := log.Read(ctx, eventlog.StreamConfig, a.After+1, distribute.PageRecords)
		c.withCore(func(core *distribute.Core) []distribute.Action { return core.LogRead(time.Now(), page, err) })
	case distribute.ReadSnapshot:
		data, err := config.ReadSnapshot(ctx, log)
		c.withCore(func(core *distribute.Core) []distribute.Action { return core.SnapshotRead(time.Now(), data, err) })
	case distribute.WriteSnapshot:
		_, err := log.Append(ctx, eventlog.StreamSnapshots, a.Data)
		c.withCore(func(core *distribute.Core) []distribute.Action { return core.SnapshotWritten(time.Now(), a.After, err) })
	case distribute.AppendChange:
		_, err := log.Append(ctx, eventlog.StreamConfig, a.Data)
		c.withCore(func(core *distribute.Core) []distribute.Action { return core.ChangeAppended(time.Now(), err) })
	case distribute.Push:
		request := &controlpb.ConfigurationRequest{From: c.options.Distribute.Node, Entries: toEntries(a.Records)}
		t := transfer.New("")
		ctx, cancel := t.EndWhenIdle(transfer.NewContext(ctx, t), distribute.PushTimeout, distribute.PushTimeout)
		defer cancel()
		if _, err := client.Configuration(ctx, a.Peer.Address, request); err != nil {
			c.withCore(func(core *distribute.Core) []distribute.Action { return core.PushFailed(a) })
		}
	case distribute.RequestRecords:
		response, err := client.Configuration(ctx, a.Peer.Address, &controlpb.ConfigurationRequest{
			From: c.options.Distribute.Node, After: a.After, Limit: distribute.PageRecords,
		})
		c.withCore(func(core *distribute.Core) []distribute.Action {
			return core.RecordsReceived(time.Now(), a.Peer, fromEntries(response.GetEntries()), response.GetTrimmed(), err)
		})
	case distribute.RequestSnapshot:
		data, err := client.Snapshot(ctx, a.Peer.Address, a.After)
		c.withCore(func(core *distribute.Core) []distribute.Action {
			return core.SnapshotReceived(time.Now(), a.Peer, data, err)
		})
	}
}

func toEntries(records []eventlog.Record) []*controlpb.Entry {
	out := make([]*controlpb.Entry, len(records))
	for i, r := range records {
		out[i] = &controlpb.Entry{Offset: r.Offset, Data: r.Data}
	}
	return out
}

func fromEntries(entries []*controlpb.Entry) []eventlog.Record {
	out := make([]eventlog.Record, len(entries))
	for i, e := range entries {
		out[i] = eventlog.Record{Offset: e.GetOffset(), Data: e.GetData()}
	}
	return out
}

// maxRecordsBytes bounds the records of one response, so that it fits a message.
const maxRecordsBytes = 1 << 20

// Configuration implements Handler: it applies the records that a peer sends and
// returns those after the peer's offset.
func (c *Configuration) Configuration(_ context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	if len(r.Entries) > distribute.PageRecords {
		return nil, fmt.Errorf("%w: %d records, at most %d", ErrInvalid, len(r.Entries), distribute.PageRecords)
	}
	response := &controlpb.ConfigurationResponse{}
	c.withCore(func(core *distribute.Core) []distribute.Action {
		var actions []distribute.Action
		if len(r.Entries) > 0 {
			actions = core.RecordsReceived(time.Now(), c.findPeer(r.From), fromEntries(r.Entries), false, nil)
		}
		var records []eventlog.Record
		records, response.Trimmed = core.RecordsAfter(r.After, int(r.Limit))
		response.Entries = toEntries(limitRecordBytes(records))
		response.Version, response.Offset = core.Version()
		return actions
	})
	return response, nil
}

// limitRecordBytes returns the first records up to maxRecordsBytes, at least one.
func limitRecordBytes(records []eventlog.Record) []eventlog.Record {
	size := 0
	for i, r := range records {
		if size += len(r.Data); size > maxRecordsBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// findPeer returns a calling node with its address. Without the address a gap is
// filled at the next tick.
func (c *Configuration) findPeer(node string) distribute.Peer {
	peers, _ := c.options.Peers()
	for _, p := range peers {
		if p.Node == node {
			return p
		}
	}
	return distribute.Peer{Node: node}
}

// Document implements Handler. This fleet publishes changes instead of documents.
func (c *Configuration) Document(_ context.Context, _ *controlpb.DocumentRequest, send func(*controlpb.DocumentPart) error) error {
	return send(&controlpb.DocumentPart{})
}

// Snapshot implements Handler: it returns an encoded snapshot that covers offsets
// above newerThan, or nil.
func (c *Configuration) Snapshot(_ context.Context, newerThan int64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Snapshot(newerThan), nil
}

// Config returns the configuration in force.
func (c *Configuration) Config() *config.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Config()
}

// Version returns the version in force and the offset of the last applied record.
func (c *Configuration) Version() (version, offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Version()
}

// Outdated reports whether a newer version than the one in force is known.
func (c *Configuration) Outdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Outdated()
}

// LogStatus returns how this node gets the configuration from the log.
func (c *Configuration) LogStatus() LogStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return LogStatus{Reader: c.core.IsReader(), LastRead: c.core.LastRead()}
}

// Ready reports whether the configuration allows the node to serve.
func (c *Configuration) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Ready()
}

// FetchVersions requests the configuration versions of nodes, as config.Publisher
// needs them: of three random nodes per failure domain, or of all nodes when all
// are in one domain.
func FetchVersions(ctx context.Context, client *Client, nodes []distribute.Peer) []config.NodeVersion {
	domains := map[string]int{}
	for _, n := range nodes {
		domains[n.Domain]++
	}
	requested := map[string]int{}
	var out []config.NodeVersion
	var wait sync.WaitGroup
	for _, i := range rand.Perm(len(nodes)) {
		n := nodes[i]
		if requested[n.Domain]++; len(domains) > 1 && requested[n.Domain] > versionsPerDomain {
			continue
		}
		out = append(out, config.NodeVersion{Node: n.Node, Domain: n.Domain})
	}
	addresses := map[string]string{}
	for _, n := range nodes {
		addresses[n.Node] = n.Address
	}
	for i := range out {
		wait.Go(func() {
			status, err := client.Status(ctx, addresses[out[i].Node])
			out[i].Version, out[i].Err = status.GetConfigVersion(), err
		})
	}
	wait.Wait()
	return out
}
