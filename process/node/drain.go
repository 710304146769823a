package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// servers are the HTTP servers of a node that run on its required listeners.
type servers struct{ caller, peerData, announce, admin *httpService }

func (s *servers) all() []*httpService {
	return []*httpService{s.caller, s.peerData, s.announce, s.admin}
}

// Drain starts a drain, which stops new work, waits for the running requests and
// ends Serve. When it returns, entry and gate know of the drain; a further call has no
// effect.
func (n *Node) Drain() {
	if n.draining.Swap(true) {
		return
	}
	n.drainStartedAt = n.now()
	n.record(record.Record{At: n.drainStartedAt, Node: n.options.Settings.Node, Kind: record.KindDrain,
		Change: &record.Change{Subject: n.options.Settings.Node, To: "leaving", Why: fmt.Sprintf("drain requested with %d requests at the gate and %d at the entry", n.gate.Running(), n.entry.Active())}})
	n.entry.Drain()
	n.setDrainTimes(n.drainStartedAt)
	leave := sync.OnceFunc(n.leave)
	// A node that fails has no handover: another process may announce its targets, or
	// their state is not known.
	if n.options.Settings.DrainHandover <= 0 || n.failed.Err() != nil {
		leave()
	}
	go n.drain(leave)
}

// Draining reports whether the node drains.
func (n *Node) Draining() bool { return n.draining.Load() }

// drain calls leave when the handover ends. A pause of the process uses up the handover,
// unlike the notice: the end of the drain does not move with it.
func (n *Node) drain(leave func()) {
	defer func() { n.stop(n.endCause()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer time.AfterFunc(n.options.Settings.DrainHandover, leave).Stop()
	defer context.AfterFunc(n.failed, leave)()
	n.drainTimer.start(n.options.Settings.DrainTimeout, n.endWaitingRequests, cancel)
	defer n.drainTimer.stop()
	waitDrainNotice(ctx, n.options.Settings.DrainNotice)
	leave() // the drain timeout may end before the handover
	// Callers first: their requests may run at this node's own gate.
	n.shutdown(ctx, n.servers.caller)
	n.shutdown(ctx, n.servers.peerData)
	n.fleet.announceLeft()
	n.log.Info().Msgf("node: drained in %s", n.now().Sub(n.drainStartedAt).Round(time.Millisecond))
}

// leave informs the other nodes and makes the gate refuse all work.
func (n *Node) leave() {
	n.fleet.announceLeaving()
	n.gate.DrainAll()
	if n.options.Settings.DrainHandover > 0 {
		n.log.Info().Msgf("node: handover ended after %s, leaving", n.now().Sub(n.drainStartedAt).Round(time.Millisecond))
	}
}

// maxSignalDelay is the time between a signal and the drain that it starts, on a host
// whose processor share is used up until the end of a scheduling period of 100 ms.
const maxSignalDelay = 100 * time.Millisecond

// setDrainTimes tells the entry and the gate which requests they may still take in a drain
// whose timeout began at from. Callers have the drain notice to learn that the node leaves;
// it begins with the signal.
func (n *Node) setDrainTimes(from time.Time) {
	s := n.options.Settings
	var end time.Time
	if s.DrainTimeout > 0 {
		end = from.Add(endWaitingAfter(s.DrainTimeout))
		n.entry.SetDrainTimes(from.Add(s.DrainNotice-maxSignalDelay), end)
	}
	if s.DrainHandover > 0 {
		n.gate.BeginDrain(admission.Handover{Until: n.drainStartedAt.Add(s.DrainHandover), End: end})
	}
}

// noticeSteps is the number of timers that make up the drain notice. A pause of
// the process uses up at most one of them. With a single timer the notice could
// end during the pause, and closing the listener resets the connections that
// arrived meanwhile and wait in its backlog.
const noticeSteps = 10

// waitDrainNotice waits until the process has run for the duration of the notice.
func waitDrainNotice(ctx context.Context, notice time.Duration) {
	for range noticeSteps {
		select {
		case <-time.After(notice / noticeSteps):
		case <-ctx.Done():
			return
		}
	}
}

// endWaitingRequests responds to the requests that still wait for a target,
// shortly before the drain timeout cuts them or the platform kills the process.
func (n *Node) endWaitingRequests() {
	n.log.Warn().Msgf("node: the drain timeout is near, responding to %d requests at the entry without waiting for their targets", n.entry.Active())
	n.entry.EndWaitingRequests()
}

// ExtendDrain restarts the timeout of a running drain.
func (n *Node) ExtendDrain() {
	if n.drainTimer.extend(n.options.Settings.DrainTimeout) {
		n.setDrainTimes(n.now())
	}
}

// endWaitingShare is the share of the drain timeout after which requests that
// still wait for a target get a response. The platform accepts such responses,
// for requests whose target still works, only in the last sixth of the timeout.
const endWaitingShare = 0.9

// drainTimer applies the drain timeout. The zero value has no timeout.
type drainTimer struct {
	mu              sync.Mutex
	endWaiting, cut *time.Timer
}

// start starts the timeout, which calls endWaiting shortly before its end and
// cut at its end. A timeout of 0 never ends.
func (t *drainTimer) start(timeout time.Duration, endWaiting, cut func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timeout > 0 {
		t.endWaiting, t.cut = time.AfterFunc(endWaitingAfter(timeout), endWaiting), time.AfterFunc(timeout, cut)
	}
}

// extend restarts a running timeout. Once endWaiting has been called, only the time
// until cut begins again, for the responses that are still being delivered. It reports
// whether endWaiting will be called later than before.
func (t *drainTimer) extend(timeout time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut == nil || !t.cut.Stop() {
		return false
	}
	t.cut.Reset(timeout)
	if !t.endWaiting.Stop() {
		return false
	}
	t.endWaiting.Reset(endWaitingAfter(timeout))
	return true
}

func endWaitingAfter(timeout time.Duration) time.Duration {
	return time.Duration(endWaitingShare * float64(timeout))
}

func (t *drainTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endWaiting != nil {
		t.endWaiting.Stop()
		t.cut.Stop()
	}
}

// shutdown closes the listener of a server and waits for its running requests.
// Those that remain when ctx ends are cut, counted and logged.
func (n *Node) shutdown(ctx context.Context, s *httpService) {
	err := s.shutdown(ctx)
	remaining := int64(n.gate.Running())
	if s == n.servers.caller {
		remaining = n.entry.Active()
	}
	if err == nil {
		n.metrics.Invariants.Check(invariant.NoCut, remaining == 0, "listener %s ended with %d requests in progress", s.name, remaining)
		return
	}
	n.metrics.Add("drain_cut_"+s.name, remaining)
	n.log.Error().Msgf("node: drain timeout, %d requests on listener %s are cut", remaining, s.name)
	s.cut()
}
