package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// Names of the phases.
const (
	phaseStart        = "start"
	phaseCalm         = "calm"
	phaseDownloads    = "downloads"
	phaseHang         = "hang"
	phaseRecovery     = "recovery"
	phaseWrongDigests = "wrong-digests"
	phaseOverload     = "crest"
	phaseDrain        = "drain"
)

// Indexes of the nodes whose targets have a role in the scenario.
const (
	grayNode        = 1
	drainNode       = 5
	doubleOrderNode = 3
)

// ErrNotFinished reports a run that reached its time limit.
var ErrNotFinished = errors.New("demo did not finish in time")

// scenario runs the phases of the demo and collects the summary.
type scenario struct {
	options   Options
	fleet     *fleet
	ledger    *ledger
	watch     *watch
	load      *load
	events    *events
	summary   Summary
	startedAt time.Time
}

// Run runs the demo. It returns an error when a part does not start or the run exceeds
// its time limit. A violated invariant is no error but part of the summary.
func Run(ctx context.Context, o Options) (Summary, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithTimeoutCause(ctx, o.Limit, ErrNotFinished)
	defer cancel()
	s := &scenario{options: o, ledger: newLedger(), startedAt: time.Now()}
	s.events = &events{startedAt: s.startedAt}
	var err error
	s.fleet, err = startFleet(ctx, s.options)
	if err != nil {
		cancel()
		s.fleet.stop()
		return Summary{}, err
	}
	s.watch = newWatch(s.fleet.nodes, s.ledger)
	s.load = newLoad(s.ledger, s.watch, s.options.Seed)
	var wg sync.WaitGroup
	wg.Go(func() { s.watch.run(ctx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	wg.Go(func() { s.load.run(loadCtx) })
	display := newDisplay(s)
	displayCtx, stopDisplay := context.WithCancel(ctx)
	wg.Go(func() { display.run(displayCtx) })

	err = s.runPhases(ctx)
	s.load.setDemand("", nil)
	s.waitUntil(ctx, finishWait, func() bool { return s.ledger.inProgress() == 0 })
	stopLoad()
	s.load.wg.Wait()
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	s.fillSummary()
	stopDisplay()
	cancel()
	wg.Wait()
	if !s.stopWithin(max(time.Second, o.Limit+stopWait-time.Since(s.startedAt))) && err == nil {
		err = fmt.Errorf("%w: nodes still run", ErrNotFinished)
	}
	return s.summary, err
}

// stopWithin stops the fleet and reports whether all parts ended within limit.
func (s *scenario) stopWithin(limit time.Duration) bool {
	stopped := make(chan struct{})
	go func() { s.fleet.stop(); close(stopped) }()
	select {
	case <-stopped:
		return true
	case <-time.After(limit):
		return false
	}
}

func (s *scenario) runPhases(ctx context.Context) error {
	for _, phase := range []func(context.Context) error{
		s.start, s.steady, s.hang, s.wrongDigests, s.overload, s.drain,
	} {
		if err := phase(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// waitUntil polls until condition holds, limit has passed or ctx ends. It reports
// whether the condition held.
func (s *scenario) waitUntil(ctx context.Context, limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if condition() {
			return true
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		s.sleep(ctx, watchInterval/5)
	}
}

func (s *scenario) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// start publishes the configuration and waits until all nodes serve all targets.
func (s *scenario) start(ctx context.Context) error {
	s.ledger.setPhase(phaseStart)
	s.events.add("%d nodes in %d failure domains, %d targets with %d slots each", len(s.fleet.nodes), domains, len(s.fleet.nodes), slots)
	if _, err := s.publish(ctx, "first", configText); err != nil {
		return fmt.Errorf("demo: first configuration: %w", err)
	}
	nodeCount := len(s.fleet.nodes)
	if !s.waitUntil(ctx, startWait, func() bool { return len(s.watch.ready()) == nodeCount && s.watch.minTargetsInRotation() == nodeCount }) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		return fmt.Errorf("demo: %d of %d nodes ready after %s, the node with the fewest targets has %d in rotation",
			len(s.watch.ready()), nodeCount, startWait, s.watch.minTargetsInRotation())
	}
	s.events.add("all nodes are ready and know all targets")
	if s.options.DoubleOrder {
		s.fleet.nodes[doubleOrderNode].setFaults(target.Faults{RepeatOrders: 1})
		s.events.add("target %s will run one order twice", s.fleet.nodes[doubleOrderNode].targetID)
	}
	s.load.setDemand(phaseStart, shortDemand(baseRate))
	s.sleep(ctx, s.options.Phase/2) // time for connections and slow start
	return nil
}

// steady measures short work alternately without and with downloads, so that both are
// measured under the same conditions of the machine.
func (s *scenario) steady(ctx context.Context) error {
	s.events.add("steady demand, alternately without and with downloads")
	for range 2 {
		s.load.setDemand(phaseCalm, shortDemand(baseRate))
		s.sleep(ctx, s.options.Phase/2)
		s.load.setDemand(phaseDownloads, shortDemand(baseRate).withRate(download, downloads))
		s.sleep(ctx, s.options.Phase/2)
		s.load.setDemand("", shortDemand(baseRate)) // until the downloads have ended
		s.sleep(ctx, downloadBytes*time.Second/downloadRate)
	}
	return nil
}

// hang makes one target hang until it is ejected, then clears the fault and waits for
// its reinstatement.
func (s *scenario) hang(ctx context.Context) error {
	node := s.fleet.nodes[grayNode]
	s.injectAndDetect(ctx, node, phaseHang, "hang", target.Faults{Hang: true})
	s.clearFault(node)
	s.load.setDemand(phaseRecovery, shortDemand(baseRate))
	startedAt := time.Now()
	if s.waitUntil(ctx, s.options.boundWait(reinstateWait), func() bool { ejected, _ := s.watch.countEjecting(node.targetID); return ejected == 0 }) {
		s.events.add("target %s is back in rotation everywhere after %s", node.targetID, time.Since(startedAt).Round(time.Millisecond))
	} else {
		ejected, ready := s.watch.countEjecting(node.targetID)
		s.events.add("target %s is still ejected by %d of %d entries", node.targetID, ejected, ready)
	}
	return nil
}

// wrongDigests makes the same target send wrong digests and then changes the
// configuration. The fault persists in the overload phase.
func (s *scenario) wrongDigests(ctx context.Context) error {
	s.injectAndDetect(ctx, s.fleet.nodes[grayNode], phaseWrongDigests, "wrong digests", target.Faults{WrongDigestShare: 1})
	s.load.setDemand("", shortDemand(baseRate))
	return s.changeConfiguration(ctx)
}

// minDetectedShare is the share of a target's work before the fault that must come from
// entries that have ejected it, for the fault to be detected. Entries are weighted by their
// share of the work, since they prefer their own failure domain: one that sends nothing to
// a target in another domain has no evidence about it.
const minDetectedShare = 0.9

// injectAndDetect injects a fault into a target and waits until it is ejected by entries
// that sent it at least minDetectedShare of its work.
func (s *scenario) injectAndDetect(ctx context.Context, n *fleetNode, phase, fault string, faults target.Faults) {
	s.load.setDemand(phase, shortDemand(baseRate))
	s.watch.setFaulty(n.targetID, true)
	d := Detection{Target: n.targetID, Fault: fault, phase: phase}
	servedShares := s.ledger.servedShares(n.targetID)
	startedAt := time.Now()
	n.setFaults(faults)
	s.events.add("target %s breaks: %s", n.targetID, fault)
	detected := s.waitUntil(ctx, s.options.boundWait(detectWait), func() bool {
		d.EjectedBy, d.Entries = s.watch.countEjecting(n.targetID)
		if d.EjectedBy > 0 && d.FirstMS == 0 {
			d.FirstMS = milliseconds(time.Since(startedAt))
		}
		d.Share = s.watch.ejectedShare(n.targetID, servedShares)
		return d.Share >= minDetectedShare
	})
	arrivals := n.arrivalsSince(startedAt)
	d.Arrivals = len(arrivals)
	d.ContainedMS = milliseconds(containmentTime(startedAt, arrivals, d.Entries))
	if detected {
		d.DetectedMS = milliseconds(time.Since(startedAt))
		s.events.add("target %s is ejected after %.0f ms by the entries that sent it %.0f %% of its work", n.targetID, d.DetectedMS, 100*d.Share)
	} else {
		s.events.add("target %s is ejected after %s only by the entries that sent it %.0f %% of its work", n.targetID, s.options.boundWait(detectWait), 100*d.Share)
	}
	s.summary.Detections = append(s.summary.Detections, d)
}

// containmentTime returns the time after which a target gets no more than trickle
// traffic: one request per second from each entry.
func containmentTime(startedAt time.Time, arrivals []time.Time, entries int) time.Duration {
	last := time.Duration(0)
	for i, at := range arrivals {
		if i >= entries && at.Sub(arrivals[i-entries]) < time.Second {
			last = at.Sub(startedAt)
		}
	}
	return last
}

func (s *scenario) clearFault(n *fleetNode) {
	n.setFaults(target.Faults{})
	s.watch.setFaulty(n.targetID, false)
	s.events.add("target %s is healthy again", n.targetID)
}

// overload raises the demand above capacity while one target fails grayly.
func (s *scenario) overload(ctx context.Context) error {
	s.events.add("overload: %d times the demand, target %s still sends wrong digests", overloadFactor, s.fleet.nodes[grayNode].targetID)
	s.load.setDemand(phaseOverload, shortDemand(baseRate*overloadFactor))
	startedAt := time.Now()
	s.sleep(ctx, s.options.Phase*3/2)
	s.summary.Overload.Seconds = time.Since(startedAt).Seconds()
	s.clearFault(s.fleet.nodes[grayNode])
	s.load.setDemand("", shortDemand(baseRate))
	s.sleep(ctx, s.options.Phase/3) // time for the queues to empty
	return nil
}

// minDrainRequests is the number of requests in progress for which the drain waits, so
// that the check for cut requests is meaningful.
const minDrainRequests = 4

// drain drains a node and its target under load.
func (s *scenario) drain(ctx context.Context) error {
	n := s.fleet.nodes[drainNode]
	s.load.setDemand(phaseDrain, shortDemand(baseRate).withRate(download, downloads))
	s.sleep(ctx, s.options.Phase/4)
	s.watch.setLeaving(n.targetID)
	drain := &s.summary.Drain
	drain.Node = n.name
	s.waitUntil(ctx, time.Second, func() bool { return s.ledger.inProgress() >= minDrainRequests })
	startedAt := time.Now()
	drain.InProgress = s.ledger.markDrain()
	n.node.Drain()
	s.events.add("node %s drains with %d requests in progress in the fleet", n.name, drain.InProgress)
	select {
	case <-n.ended:
		drain.EndedMS = milliseconds(time.Since(startedAt))
		s.events.add("node %s ended after %.0f ms", n.name, drain.EndedMS)
	case <-time.After(s.options.DrainWait):
		s.events.add("node %s still drains after %s", n.name, s.options.DrainWait)
	case <-ctx.Done():
	}
	s.sleep(ctx, leavingGrace+time.Second/2-time.Since(startedAt))
	lastWork := time.Duration(0)
	if arrivals := n.arrivalsSince(startedAt); len(arrivals) > 0 {
		lastWork = arrivals[len(arrivals)-1].Sub(startedAt)
	}
	s.ledger.Check(invariant.Leaving, lastWork <= leavingGrace, "target %s got a request %s after its node began to drain", n.targetID, lastWork)
	drain.LastWorkMS = milliseconds(lastWork)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
