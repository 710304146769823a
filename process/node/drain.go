package node

import (
	"context"
	"fmt"
	"sync"
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
	n.record(record.Record{At: begun, Node: n.o.Settings.Node, Kind: record.KindDrain,
		Change: &record.Change{Subject: n.o.Settings.Node, To: "leaving", Why: fmt.Sprintf("drain requested with %d requests at the gate and %d at the entry", n.gate.Running(), n.entry.Active())}})
	n.entry.Drain()
	n.gate.DrainAll()
	n.fleet.leave()
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	n.drainLimit.begin(n.o.Settings.DrainTimeout, n.endRequests, cut)
	defer n.drainLimit.stop()
	awaitNotice(ctx, n.o.Settings.DrainNotice)
	// Callers first: their requests may run at this node's own gate.
	n.shutdown(ctx, n.servers.caller)
	n.shutdown(ctx, n.servers.peerData)
	n.fleet.left()
	n.log.Info().Msgf("node: drained in %s", n.now().Sub(begun).Round(time.Millisecond))
}

// noticeSteps is the number of parts of the notice. A process that is paused
// meanwhile loses one of them: what arrives in the pause waits in the backlog of
// the listener, which resets it when it closes.
const noticeSteps = 10

// awaitNotice waits until the process has run for the time of the notice.
func awaitNotice(ctx context.Context, notice time.Duration) {
	for range noticeSteps {
		select {
		case <-time.After(notice / noticeSteps):
		case <-ctx.Done():
			return
		}
	}
}

// endRequests answers what still waits for a target, shortly before the process
// is killed or ends by itself.
func (n *Node) endRequests() {
	n.log.Warn().Msgf("node: the drain is nearly over, %d requests at the entry are answered without their targets", n.entry.Active())
	n.entry.EndWaitingRequests()
}

// ExtendDrain lets the time limit of a running drain begin again.
func (n *Node) ExtendDrain() { n.drainLimit.again(n.o.Settings.DrainTimeout) }

// answerShare is the part of the drain's time limit after which requests that
// still wait are answered. The platform excuses requests whose target works in
// the last sixth of the time, and no earlier.
const answerShare = 0.9

// drainLimit is the time limit of a drain. The zero value has none.
type drainLimit struct {
	mu          sync.Mutex
	answer, cut *time.Timer
}

// begin starts the time limit. A limit of 0 never ends.
func (l *drainLimit) begin(limit time.Duration, answer, cut func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 {
		l.answer, l.cut = time.AfterFunc(answerAfter(limit), answer), time.AfterFunc(limit, cut)
	}
}

// again lets a running time limit begin again, unless requests are being answered
// already.
func (l *drainLimit) again(limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answer != nil && l.answer.Stop() && l.cut.Stop() {
		l.answer.Reset(answerAfter(limit))
		l.cut.Reset(limit)
	}
}

func answerAfter(limit time.Duration) time.Duration {
	return time.Duration(answerShare * float64(limit))
}

func (l *drainLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answer != nil {
		l.answer.Stop()
		l.cut.Stop()
	}
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
