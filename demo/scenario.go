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

// Phases of the demand.
const (
	phaseStart     = "start"
	phaseCalm      = "calm"
	phaseDownloads = "downloads"
	phaseHang      = "hang"
	phaseRecovery  = "recovery"
	phaseWrong     = "wrong-digests"
	phaseCrest     = "crest"
	phaseDrain     = "drain"
)

// Targets of the scenario, by index of their node.
const (
	grayIndex   = 1
	drainIndex  = 5
	doubleIndex = 3
)

// ErrNotFinished reports a run that reached its time limit.
var ErrNotFinished = errors.New("demo did not finish in time")

type scenario struct {
	o       Options
	fleet   *fleet
	ledger  *ledger
	watch   *watch
	load    *load
	events  *events
	summary Summary
	begun   time.Time
}

// Run runs the demo. It returns the summary also when an invariant is broken;
// errors are those of parts that did not start or of the time limit.
func Run(ctx context.Context, o Options) (Summary, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithTimeoutCause(ctx, o.Limit, ErrNotFinished)
	defer cancel()
	s := &scenario{o: o, ledger: newLedger(), begun: time.Now()}
	s.events = &events{begun: s.begun}
	var err error
	s.fleet, err = startFleet(ctx, s.o)
	if err != nil {
		cancel()
		s.fleet.stop()
		return Summary{}, err
	}
	s.watch = newWatch(s.fleet.nodes, s.ledger)
	s.load = newLoad(s.ledger, s.watch, s.o.Seed)
	var wg sync.WaitGroup
	wg.Go(func() { s.watch.run(ctx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	wg.Go(func() { s.load.run(loadCtx) })
	display := newDisplay(s)
	displayed, stopDisplay := context.WithCancel(ctx)
	wg.Go(func() { display.run(displayed) })

	err = s.phases(ctx)
	s.load.set("", nil)
	s.await(ctx, finishWait, func() bool { return s.ledger.inProgress() == 0 })
	stopLoad()
	s.load.wg.Wait()
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	s.conclude()
	stopDisplay()
	cancel()
	wg.Wait()
	if !s.stopWithin(max(time.Second, o.Limit+stopWait-time.Since(s.begun))) && err == nil {
		err = fmt.Errorf("%w: nodes still run", ErrNotFinished)
	}
	return s.summary, err
}

// stopWithin reports whether all parts ended in time.
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

func (s *scenario) phases(ctx context.Context) error {
	for _, phase := range []func(context.Context) error{
		s.start, s.steady, s.hang, s.wrongDigests, s.crest, s.drain,
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

// await polls until ok, the limit or the end of ctx.
func (s *scenario) await(ctx context.Context, limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if ok() {
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
	all := len(s.fleet.nodes)
	if !s.await(ctx, startWait, func() bool { return len(s.watch.ready()) == all && s.watch.knows() == all }) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		return fmt.Errorf("demo: %d of %d nodes ready after %s, the least informed knows %d targets",
			len(s.watch.ready()), all, startWait, s.watch.knows())
	}
	s.events.add("all nodes are ready and know all targets")
	if s.o.DoubleOrder {
		s.fleet.nodes[doubleIndex].setFaults(target.Faults{RepeatOrders: 1})
		s.events.add("target %s will run one order twice", s.fleet.nodes[doubleIndex].id)
	}
	s.load.set(phaseStart, shortDemand(baseRate))
	s.sleep(ctx, s.o.Phase/2) // connections and slow start
	return nil
}

// steady measures short work without and with downloads, in turns, so that
// both meet the same state of the machine.
func (s *scenario) steady(ctx context.Context) error {
	s.events.add("steady demand, in turns without and with downloads")
	for range 2 {
		s.load.set(phaseCalm, shortDemand(baseRate))
		s.sleep(ctx, s.o.Phase/2)
		s.load.set(phaseDownloads, shortDemand(baseRate).with(download, downloads))
		s.sleep(ctx, s.o.Phase/2)
		s.load.set("", shortDemand(baseRate)) // the downloads end
		s.sleep(ctx, downloadBytes*time.Second/downloadRate)
	}
	return nil
}

// hang lets one target hang until it is ejected, then heals it
// and waits for its return.
func (s *scenario) hang(ctx context.Context) error {
	n := s.fleet.nodes[grayIndex]
	s.detect(ctx, n, phaseHang, "hang", target.Faults{Hang: true})
	s.heal(n)
	s.load.set(phaseRecovery, shortDemand(baseRate))
	begun := time.Now()
	if s.await(ctx, s.o.wait(returnWait), func() bool { ejected, _ := s.watch.ejecting(n.id); return ejected == 0 }) {
		s.events.add("target %s is back in rotation everywhere after %s", n.id, time.Since(begun).Round(time.Millisecond))
	} else {
		ejected, ready := s.watch.ejecting(n.id)
		s.events.add("target %s is still ejected by %d of %d entries", n.id, ejected, ready)
	}
	return nil
}

// wrongDigests breaks the same target in another way and changes the
// configuration meanwhile. The fault stays for the crest.
func (s *scenario) wrongDigests(ctx context.Context) error {
	s.detect(ctx, s.fleet.nodes[grayIndex], phaseWrong, "wrong digests", target.Faults{WrongDigestShare: 1})
	s.load.set("", shortDemand(baseRate))
	return s.changeConfiguration(ctx)
}

// detectedShare of a target's work before a fault came from the entries that
// must have ejected it. Entries prefer their own failure domain and may send
// nothing to a target of another, so that they cannot judge it.
const detectedShare = 0.9

// detect breaks a target and waits until the entries that sent it work have
// ejected it.
func (s *scenario) detect(ctx context.Context, n *fleetNode, phase, fault string, f target.Faults) {
	s.load.set(phase, shortDemand(baseRate))
	s.watch.setFaulty(n.id, true)
	d := Detection{Target: n.id, Fault: fault, phase: phase}
	share := s.ledger.servedShares(n.id)
	begun := time.Now()
	n.setFaults(f)
	s.events.add("target %s breaks: %s", n.id, fault)
	ok := s.await(ctx, s.o.wait(detectWait), func() bool {
		d.EjectedBy, d.Entries = s.watch.ejecting(n.id)
		if d.EjectedBy > 0 && d.FirstMS == 0 {
			d.FirstMS = milliseconds(time.Since(begun))
		}
		d.Share = s.watch.ejectedShare(n.id, share)
		return d.Share >= detectedShare
	})
	arrivals := n.arrivalsSince(begun)
	d.Arrivals = len(arrivals)
	d.ContainedMS = milliseconds(contained(begun, arrivals, d.Entries))
	if ok {
		d.DetectedMS = milliseconds(time.Since(begun))
		s.events.add("target %s is ejected after %.0f ms by the entries that sent it %.0f %% of its work", n.id, d.DetectedMS, 100*d.Share)
	} else {
		s.events.add("target %s is ejected after %s only by the entries that sent it %.0f %% of its work", n.id, s.o.wait(detectWait), 100*d.Share)
	}
	s.summary.Detections = append(s.summary.Detections, d)
}

// contained returns the time from which a target gets no more than trickle
// traffic: one request a second from each entry.
func contained(begun time.Time, arrivals []time.Time, entries int) time.Duration {
	last := time.Duration(0)
	for i, at := range arrivals {
		if i >= entries && at.Sub(arrivals[i-entries]) < time.Second {
			last = at.Sub(begun)
		}
	}
	return last
}

func (s *scenario) heal(n *fleetNode) {
	n.setFaults(target.Faults{})
	s.watch.setFaulty(n.id, false)
	s.events.add("target %s is healthy again", n.id)
}

// crest raises demand above capacity while one target is gray.
func (s *scenario) crest(ctx context.Context) error {
	s.events.add("crest: %d times the demand, target %s still gives wrong digests", crestFactor, s.fleet.nodes[grayIndex].id)
	s.load.set(phaseCrest, shortDemand(baseRate*crestFactor))
	begun := time.Now()
	s.sleep(ctx, s.o.Phase*3/2)
	s.summary.Overload.Seconds = time.Since(begun).Seconds()
	s.heal(s.fleet.nodes[grayIndex])
	s.load.set("", shortDemand(baseRate))
	s.sleep(ctx, s.o.Phase/3) // queues empty
	return nil
}

// drainRequests in progress make the check for cut requests meaningful.
const drainRequests = 4

// drain drains a node and its target under load.
func (s *scenario) drain(ctx context.Context) error {
	n := s.fleet.nodes[drainIndex]
	s.load.set(phaseDrain, shortDemand(baseRate).with(download, downloads))
	s.sleep(ctx, s.o.Phase/4)
	s.watch.setLeaving(n.id)
	d := &s.summary.Drain
	d.Node = n.name
	s.await(ctx, time.Second, func() bool { return s.ledger.inProgress() >= drainRequests })
	begun := time.Now()
	d.InProgress = s.ledger.drainBegins()
	n.node.Drain()
	s.events.add("node %s drains with %d requests in progress in the fleet", n.name, d.InProgress)
	select {
	case <-n.ended:
		d.EndedMS = milliseconds(time.Since(begun))
		s.events.add("node %s ended after %.0f ms", n.name, d.EndedMS)
	case <-time.After(s.o.DrainWait):
		s.events.add("node %s still drains after %s", n.name, s.o.DrainWait)
	case <-ctx.Done():
	}
	s.sleep(ctx, leavingAfter+time.Second/2-time.Since(begun))
	last := time.Duration(0)
	if arrivals := n.arrivalsSince(begun); len(arrivals) > 0 {
		last = arrivals[len(arrivals)-1].Sub(begun)
	}
	s.ledger.Check(invariant.Leaving, last <= leavingAfter, "target %s got work %s after its node began to drain", n.id, last)
	d.LastWorkMS = milliseconds(last)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
