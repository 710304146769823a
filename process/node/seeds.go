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

const (
	// logServiceTimeout bounds the calls of the log service in one exchangeSeeds.
	logServiceTimeout = 2 * time.Second
	// eraCheckInterval is the time between checks whether the log service was
	// restored. A check makes no call.
	eraCheckInterval = time.Second
)

// ServeSeeds publishes this node's control address in the table of nodes and
// reads those of others until ctx ends. The table keeps the newest record of each
// node permanently, so that nodes find each other again after all of them lost power.
func (f *fleetView) ServeSeeds(ctx context.Context) error {
	dependency := record.Dependency{Name: "table of nodes"}
	for {
		era, err := f.exchangeSeeds(ctx)
		if change, ok := dependency.Observe(err); ok {
			f.node.record(record.Record{At: f.node.now(), Node: f.node.options.Settings.Node, Kind: record.KindDependency, Change: &change})
		}
		wait := seedsInterval
		if err != nil || !f.heardFromPeer() {
			wait = isolatedSeedsInterval
		}
		if !f.waitForSeeds(ctx, wait, era) {
			return ctx.Err()
		}
	}
}

// waitForSeeds waits until the table is to be read again: after d, or when the log
// service was restored since the given era and may have lost this node's address. It
// reports whether ctx is still active.
func (f *fleetView) waitForSeeds(ctx context.Context, d time.Duration, era int64) bool {
	due := time.NewTimer(d)
	defer due.Stop()
	check := time.NewTicker(eraCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due.C:
			return true
		case <-check.C:
		}
		if now := f.node.options.LogService.Era(); now > era {
			f.node.log.Warn().Int64("era", now).Msg("node: the log service was restored, reading the table of nodes again")
			return true
		}
	}
}

// exchangeSeeds reads the table and writes this node's address unless the table
// has it, as after a restart. Two nodes that start at the same time find each
// other at the next read. It returns the era of the table that it read.
func (f *fleetView) exchangeSeeds(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, logServiceTimeout)
	defer cancel()
	entries, position, err := f.node.options.LogService.Newest(ctx, eventlog.TableNodes)
	if err != nil {
		return f.node.options.LogService.Era(), err
	}
	f.setSeeds(entries)
	address := f.node.options.Settings.Advertise.PeerControl
	if address == "" {
		address = f.node.Addresses().PeerControl
	}
	published := slices.ContainsFunc(entries, func(e eventlog.TableEntry) bool {
		return e.Key == f.node.options.Settings.Node && string(e.Value) == address
	})
	if published || f.node.Draining() { // a process that takes over this node's name writes its own
		return position.Era, nil
	}
	return position.Era, f.node.options.LogService.Put(ctx, eventlog.TableNodes, f.node.options.Settings.Node, []byte(address))
}

// setSeeds gives the membership the seeds of the settings and up to maxSeeds
// random addresses from the table. Other writers may have left entries that are no
// addresses.
func (f *fleetView) setSeeds(entries []eventlog.TableEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.seeds)
	invalid := 0
	for _, i := range newRand().Perm(len(entries)) {
		e := entries[i]
		switch {
		case len(e.Value) == 0 || e.Key == f.node.options.Settings.Node || len(f.seeds) >= maxSeeds:
		case membership.ValidAddress(string(e.Value)):
			f.seeds[string(e.Value)] = true
		default:
			invalid++
		}
	}
	if invalid > 0 {
		f.node.log.Warn().Int("entries", invalid).Msg("node: entries of the table of nodes are no addresses and are ignored")
	}
	f.seedsRead = true
	seeds := append(slices.Clone(f.node.options.Settings.Seeds), slices.Sorted(maps.Keys(f.seeds))...)
	f.gossip.WithLock(func(m *membership.Membership) { m.SetSeeds(seeds) })
}
