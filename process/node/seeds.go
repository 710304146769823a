package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hyssopsill/hyssopsill/eventlog"
	"github.com/hyssopsill/hyssopsill/request/record"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// storeCall bounds the calls of one look at the table of nodes.
const storeCall = 2 * time.Second

// ServeSeeds keeps this node's control address in the table of nodes and reads
// those of others. The table keeps the newest record of a node for ever, so that
// nodes find each other again after all of them lost power.
func (g *fleetView) ServeSeeds(ctx context.Context) error {
	table := record.Dependency{Name: "table of nodes"}
	for {
		err := g.exchangeSeeds(ctx)
		if change, ok := table.Observe(err); ok {
			g.n.record(record.Record{At: g.n.now(), Node: g.n.o.Settings.Node, Kind: record.KindDependency, Change: &change})
		}
		wait := seedsEvery
		if err != nil || !g.heard() {
			wait = seedsWhileLone
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// exchangeSeeds reads the table and writes this node's address unless it is
// there, as after a restart. Two nodes that start at once find each other at the
// next look.
func (g *fleetView) exchangeSeeds(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	entries, _, err := g.n.o.LogService.Newest(ctx, eventlog.TableNodes)
	if err != nil {
		return err
	}
	g.addSeeds(entries)
	address := g.n.o.Settings.Advertise.PeerControl
	if address == "" {
		address = g.n.Addresses().PeerControl
	}
	written := slices.ContainsFunc(entries, func(e eventlog.TableEntry) bool {
		return e.Key == g.n.o.Settings.Node && string(e.Value) == address
	})
	if written {
		return nil
	}
	return g.n.o.LogService.Put(ctx, eventlog.TableNodes, g.n.o.Settings.Node, []byte(address))
}

func (g *fleetView) addSeeds(entries []eventlog.TableEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.seeds)
	for _, i := range newRand().Perm(len(entries)) {
		e := entries[i]
		if len(e.Value) > 0 && e.Key != g.n.o.Settings.Node && len(g.seeds) < seedsKept {
			g.seeds[string(e.Value)] = true
		}
	}
	g.sought = true
	seeds := append(slices.Clone(g.n.o.Settings.Seeds), slices.Sorted(maps.Keys(g.seeds))...)
	g.gossip.WithLock(func(m *membership.Membership) { m.SetSeeds(seeds) })
}
