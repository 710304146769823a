package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	reloadInterval    = time.Second // mean time between reloads or series outside of stops
	stopReloadShare   = 0.75        // share of graceful stops with reloads around them
	startReloadShare  = 0.5         // share of restarts with reloads at the start of the process
	maxReloads        = 4           // in a series
	maxReloadGap      = 300 * time.Millisecond
	maxReloadLead     = 200 * time.Millisecond  // before SIGTERM
	maxReloadDelay    = 1500 * time.Millisecond // after SIGTERM, beyond a drain without load
	maxStartReloadGap = 40 * time.Millisecond   // after the start; the first output follows within some 10 ms
)

// addReloads adds reloads of nodes to a plan: on their own, around graceful stops and
// at restarts. They have their own random source, so that they leave the other events
// of a seed as they are.
func (p *Plan) addReloads(random *rand.Rand) {
	for i := range p.Events {
		e := &p.Events[i]
		if e.Kind == NodeStop && random.Float64() < stopReloadShare {
			e.Reloads = drawStopReloads(random)
		}
		if (e.Kind == NodeStop || e.Kind == NodeKill) && random.Float64() < startReloadShare {
			e.StartReloads = drawReloads(random, maxStartReloadGap)
		}
	}
	for at := time.Duration(0); at < p.Faults; at += time.Duration(random.ExpFloat64() * float64(reloadInterval)) {
		e := Event{At: at, Kind: NodeReload, Subject: random.IntN(p.Nodes), Reloads: drawReloads(random, maxReloadGap)}
		e.Duration = e.Reloads[len(e.Reloads)-1]
		p.Events = append(p.Events, e)
	}
}

// drawReloads draws one reload or a series, with gaps of at most maxGap.
func drawReloads(random *rand.Rand, maxGap time.Duration) (out []time.Duration) {
	at := time.Duration(0)
	for range 1 + random.IntN(maxReloads) {
		at += 1 + time.Duration(random.Int64N(int64(maxGap)))
		out = append(out, at)
	}
	return out
}

// drawStopReloads draws reloads before, together with and after SIGTERM.
func drawStopReloads(random *rand.Rand) (out []time.Duration) {
	for range 1 + random.IntN(maxReloads) {
		switch random.IntN(4) {
		case 0:
			out = append(out, -time.Duration(random.Int64N(int64(maxReloadLead))))
		case 1:
			out = append(out, 0)
		default:
			out = append(out, time.Duration(random.Int64N(int64(maxReloadDelay))))
		}
	}
	slices.Sort(out)
	return out
}

// sendReloads sends SIGHUP to a process at the given times after start.
func sendReloads(ctx context.Context, p *process, start time.Time, times []time.Duration) {
	for _, t := range times {
		if !sleep(ctx, time.Until(start.Add(t))) {
			return
		}
		p.signal(syscall.SIGHUP)
	}
}

// reload sends the reloads of an event to the current process of a node.
func (in *injector) reload(ctx context.Context, n *node, e Event) error {
	p := in.fleet.current(&n.process)
	if !p.running() {
		return errProcessEnded
	}
	sendReloads(ctx, p, time.Now(), e.Reloads)
	return nil
}
