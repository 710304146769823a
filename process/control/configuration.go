package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/distribute"
)

const (
	configurationTick = 100 * time.Millisecond
	peersEvery        = time.Second
	// versionsPerDomain nodes are asked whether a change is accepted.
	versionsPerDomain = 3
)

// ConfigurationOptions configure a Configuration.
type ConfigurationOptions struct {
	// Distribute names the node and sets times. OnConfig and OnResult are
	// called in order, under the lock of the service: they must not call it.
	Distribute distribute.Options
	Log        eventlog.Log
	Client     *Client
	// Peers returns the other nodes; false until membership has heard from
	// another node or is known to be alone.
	Peers    func() ([]distribute.Peer, bool)
	Random   *rand.Rand
	Reporter invariant.Reporter
}

// Configuration runs a distribute.Core over the log and the control service. It
// is safe for concurrent use and a suture service.
type Configuration struct {
	options ConfigurationOptions
	calls   *calls

	mu   sync.Mutex
	core *distribute.Core
}

// NewConfiguration returns the service of one node.
func NewConfiguration(o ConfigurationOptions) *Configuration {
	return &Configuration{options: o, calls: newCalls(), core: distribute.New(o.Distribute, o.Random, o.Reporter)}
}

// Serve ticks until ctx ends. The fold is kept over a restart.
func (c *Configuration) Serve(ctx context.Context) error {
	defer c.calls.open(ctx)()
	ticker := time.NewTicker(configurationTick)
	defer ticker.Stop()
	var nextPeers time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if now := time.Now(); !now.Before(nextPeers) {
			nextPeers = now.Add(peersEvery)
			c.setPeers()
		}
		c.locked(func(core *distribute.Core) []distribute.Action { return core.Tick(time.Now()) })
	}
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

// locked runs a function on the core and starts the calls that it returns.
func (c *Configuration) locked(use func(*distribute.Core) []distribute.Action) {
	c.mu.Lock()
	actions := use(c.core)
	c.mu.Unlock()
	for _, a := range actions {
		if !c.calls.start(func(ctx context.Context) { c.run(ctx, a) }) {
			c.mu.Lock()
			dropped(c.core, a)
			c.mu.Unlock()
		}
	}
}

var errBusy = errors.New("too many calls under way")

// dropped tells the core that a call was not made. What the core would do next
// is left to its next tick.
func dropped(core *distribute.Core, a distribute.Action) {
	now := time.Now()
	switch a.Kind {
	case distribute.ReadLog:
		core.LogRead(now, eventlog.Page{}, errBusy)
	case distribute.ReadSnapshot:
		core.SnapshotRead(now, nil, errBusy)
	case distribute.WriteSnapshot:
		core.SnapshotWritten(now, a.After, errBusy)
	case distribute.RequestSnapshot:
		core.SnapshotReceived(now, a.Peer, nil, errBusy)
	}
}

func (c *Configuration) run(ctx context.Context, a distribute.Action) {
	log, client := c.options.Log, c.options.Client
	switch a.Kind {
	case distribute.ReadLog:
		page, err := log.Read(ctx, eventlog.StreamConfig, a.After+1, distribute.PageRecords)
		c.locked(func(core *distribute.Core) []distribute.Action { return core.LogRead(time.Now(), page, err) })
	case distribute.ReadSnapshot:
		data, err := config.ReadSnapshot(ctx, log)
		c.locked(func(core *distribute.Core) []distribute.Action { return core.SnapshotRead(time.Now(), data, err) })
	case distribute.WriteSnapshot:
		_, err := log.Append(ctx, eventlog.StreamSnapshots, a.Data)
		c.locked(func(core *distribute.Core) []distribute.Action { return core.SnapshotWritten(time.Now(), a.After, err) })
	case distribute.Push:
		request := &controlpb.ConfigurationRequest{From: c.options.Distribute.Node, Entries: toEntries(a.Records)}
		_, _ = client.Configuration(ctx, a.Peer.Address, request) // a peer that is missed fills its gap
	case distribute.RequestRecords:
		answer, err := client.Configuration(ctx, a.Peer.Address, &controlpb.ConfigurationRequest{
			From: c.options.Distribute.Node, After: a.After, Limit: distribute.PageRecords,
		})
		c.locked(func(core *distribute.Core) []distribute.Action {
			return core.RecordsReceived(time.Now(), a.Peer, fromEntries(answer.GetEntries()), answer.GetTrimmed(), err)
		})
	case distribute.RequestSnapshot:
		data, err := client.Snapshot(ctx, a.Peer.Address, a.After)
		c.locked(func(core *distribute.Core) []distribute.Action {
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

// maxEntryBytes bounds the entries of one answer, so that it fits a message.
const maxEntryBytes = 1 << 20

// Configuration is the part of Handler for entries.
func (c *Configuration) Configuration(_ context.Context, r *controlpb.ConfigurationRequest) (*controlpb.ConfigurationResponse, error) {
	if len(r.Entries) > distribute.PageRecords {
		return nil, fmt.Errorf("%w: %d entries, at most %d", ErrInvalid, len(r.Entries), distribute.PageRecords)
	}
	answer := &controlpb.ConfigurationResponse{}
	c.locked(func(core *distribute.Core) []distribute.Action {
		var actions []distribute.Action
		if len(r.Entries) > 0 {
			actions = core.RecordsReceived(time.Now(), c.peer(r.From), fromEntries(r.Entries), false, nil)
		}
		var records []eventlog.Record
		records, answer.Trimmed = core.RecordsAfter(r.After, int(r.Limit))
		answer.Entries = toEntries(bounded(records))
		answer.Version, answer.Offset = core.Version()
		return actions
	})
	return answer, nil
}

func bounded(records []eventlog.Record) []eventlog.Record {
	size := 0
	for i, r := range records {
		if size += len(r.Data); size > maxEntryBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// peer finds the caller's address. Without it a gap is filled at the next tick.
func (c *Configuration) peer(node string) distribute.Peer {
	peers, _ := c.options.Peers()
	for _, p := range peers {
		if p.Node == node {
			return p
		}
	}
	return distribute.Peer{Node: node}
}

// Snapshot is the part of Handler for folds.
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

// Version returns the version in force and the offset that was folded.
func (c *Configuration) Version() (version, offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Version()
}

// Ready reports whether the node may serve, as far as the configuration is
// concerned.
func (c *Configuration) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Ready()
}

// FetchVersions asks nodes for their configuration versions, as
// config.Publisher needs them: three per failure domain, or all nodes where all
// are in one domain.
func FetchVersions(ctx context.Context, client *Client, nodes []distribute.Peer) []config.NodeVersion {
	domains := map[string]int{}
	for _, n := range nodes {
		domains[n.Domain]++
	}
	asked := map[string]int{}
	var out []config.NodeVersion
	var wait sync.WaitGroup
	for _, i := range rand.Perm(len(nodes)) {
		n := nodes[i]
		if asked[n.Domain]++; len(domains) > 1 && asked[n.Domain] > versionsPerDomain {
			continue
		}
		out = append(out, config.NodeVersion{Node: n.Node, Domain: n.Domain})
	}
	address := map[string]string{}
	for _, n := range nodes {
		address[n.Node] = n.Address
	}
	for i := range out {
		wait.Go(func() {
			status, err := client.Status(ctx, address[out[i].Node])
			out[i].Version, out[i].Err = status.GetConfigVersion(), err
		})
	}
	wait.Wait()
	return out
}
