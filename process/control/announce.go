package control

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/process/control/controlpb"
	"github.com/hyssopsill/hyssopsill/version/distribute"
	"github.com/hyssopsill/hyssopsill/version/document"
)

// announceTimeout bounds an announcement, so that other peers are told soon in place of
// those that do not respond. A node that runs responds within a few round trips.
const announceTimeout = 300 * time.Millisecond

// announceAll announces the newest version to peers until enough of them have responded.
func (d *Documents) announceAll(ctx context.Context, version int64) {
	d.mu.Lock()
	spread := d.core.NewSpread()
	newest := d.core.Newest()
	d.mu.Unlock()
	if newest != version {
		return // that one is announced instead
	}
	startedAt, sent := time.Now(), 0
	for ctx.Err() == nil {
		d.mu.Lock()
		peers := d.core.NextRound(spread)
		d.mu.Unlock()
		if len(peers) == 0 {
			break
		}
		sent += len(peers)
		var round sync.WaitGroup
		for _, p := range peers {
			round.Add(1)
			started := d.calls.start(func(ctx context.Context) {
				defer round.Done()
				d.announce(ctx, p, spread, version)
			})
			if !started {
				round.Done()
			}
		}
		round.Wait()
	}
	d.mu.Lock()
	failed := sent - spread.Responses()
	d.status.FailedAnnouncements += int64(failed)
	d.mu.Unlock()
	if failed > 0 {
		d.log.Info().Int64("version", version).Int("announcements", sent).Int("failed", failed).Dur("took_ms", time.Since(startedAt)).Msg("config: peers did not respond to announcements")
	}
}

// announce tells a peer that this node has a version. A peer that no node reaches learns
// of it by gossip.
func (d *Documents) announce(ctx context.Context, p distribute.Peer, spread *document.Spread, version int64) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request := &controlpb.ConfigurationRequest{From: d.options.Core.Node, After: version} // no entries are wanted
	if _, err := d.options.Client.Configuration(ctx, p.Address, request); err != nil {
		d.log.Debug().Err(err).Str("peer", p.Node).Msg("config: peer did not respond to the announcement")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	spread.Responded(p.Node)
}
