package node

import (
	"context"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// servers of a node.
type servers struct{ caller, peerData, announce, admin *httpService }

func (s *servers) all() []*httpService {
	return []*httpService{s.caller, s.peerData, s.announce, s.admin}
}

// Drain stops new work, waits for running requests and ends Serve. It returns
// at once; a further call has no effect.
func (n *Node) Drain() {
	if n.draining.Swap(true) {
		return
	}
	go n.drain()
}

// Draining reports whether the node drains.
func (n *Node) Draining() bool { return n.draining.Load() }

func (n *Node) drain() {
	defer n.stop(errDrained)
	begun := n.now()
	n.log.Info().Msgf("node: draining with %d requests at the gate and %d at the entry", n.gate.Running(), n.entry.Active())
	n.exporter.Record(record.Record{At: begun, Node: n.o.Settings.Node, Kind: record.KindDrain,
		Change: &record.Change{Subject: n.o.Settings.Node, To: "leaving", Why: "drain requested"}})
	n.entry.Drain()
	n.gate.Leave()
	n.fleet.leave()
	ctx := context.Background()
	if limit := n.o.Settings.DrainTimeout; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	select {
	case <-time.After(n.o.Settings.DrainNotice):
	case <-ctx.Done():
	}
	// Callers first: their requests may run at this node's own gate.
	n.shutdown(ctx, n.servers.caller)
	n.shutdown(ctx, n.servers.peerData)
	n.fleet.left()
	n.log.Info().Msgf("node: drained in %s", n.now().Sub(begun).Round(time.Millisecond))
}

// shutdown waits for the running requests of a server. Those that remain when
// ctx ends are cut, counted and logged.
func (n *Node) shutdown(ctx context.Context, s *httpService) {
	err := s.server.Shutdown(ctx)
	cut := int64(n.gate.Running())
	if s == n.servers.caller {
		cut = n.entry.Active()
	}
	if err == nil {
		n.metrics.Invariants.Check(invariant.NoCut, cut == 0, "listener %s ended with %d requests in progress", s.name, cut)
		return
	}
	n.metrics.Add("drain_cut_"+s.name, cut)
	n.log.Error().Msgf("node: drain timeout, %d requests on listener %s are cut", cut, s.name)
	_ = s.server.Close() // the remaining connections are closed
}
