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

// logServiceTimeout bounds the calls of the log service in one exchangeSeeds.
const logServiceTimeout = 2 * time.Second

// ServeSeeds publishes this node's control address in the table of nodes and
// reads those of others until ctx ends. The table keeps the newest record of each
// node permanently, so that nodes find each other again after all of them lost power.
func (f *fleetView) ServeSeeds(ctx context.Context) error {
	dependency := record.Dependency{Name: "table of nodes"}
	for {
		err := f.exchangeSeeds(ctx)
		if change, ok := dependency.Observe(err); ok {
			f.node.record(record.Record{At: f.node.now(), Node: f.node.options.Settings.Node, Kind: record.KindDependency, Change: &change})
		}
		wait := seedsInterval
		if err != nil || !f.heardFromPeer() {
			wait = isolatedSeedsInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// exchangeSeeds reads the table and writes this node's address unless the table
// has it, as after a restart. Two nodes that start at the same time find each
// other at the next read.
func (f *fleetView) exchangeSeeds(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logServiceTimeout)
	defer cancel()
	entries, _, err := f.node.options.LogService.Newest(ctx, eventlog.TableNodes)
	if err != nil {
		return err
	}
	f.setSeeds(entries)
	address := f.node.options.Settings.Advertise.PeerControl
	if address == "" {
		address = f.node.Addresses().PeerControl
	}
	published := slices.ContainsFunc(entries, func(e eventlog.TableEntry) bool {
		return e.Key == f.node.options.Settings.Node && string(e.Value) == address
	})
	if published {
		return nil
	}
	return f.node.options.LogService.Put(ctx, eventlog.TableNodes, f.node.options.Settings.Node, []byte(address))
}

// setSeeds gives the membership the seeds of the settings and up to maxSeeds
// random addresses from the table.
func (f *fleetView) setSeeds(entries []eventlog.TableEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.seeds)
	for _, i := range newRand().Perm(len(entries)) {
		e := entries[i]
		if len(e.Value) > 0 && e.Key != f.node.options.Settings.Node && len(f.seeds) < maxSeeds {
			f.seeds[string(e.Value)] = true
		}
	}
	f.seedsRead = true
	seeds := append(slices.Clone(f.node.options.Settings.Seeds), slices.Sorted(maps.Keys(f.seeds))...)
	f.gossip.WithLock(func(m *membership.Membership) { m.SetSeeds(seeds) })
}
