package bench

import "time"

// Parameters of the baseline, with values that are common in plain proxies.
const (
	baselineFailures          = 5 // consecutive failures that eject a target
	baselineEjectionTime      = 10 * time.Second
	baselineMaxAttempts       = 2   // the first attempt and one retry
	baselineFirstAttemptShare = 0.5 // of the time until the deadline
	baselineMaxEjectedShare   = 0.5 // of the targets that the entry has tried
)

// baseline models a plain proxy: it selects targets by round robin, ejects a
// target after consecutive failures and retries once without finding out whether
// the first attempt ran. It has no classes, queues or limits of its own.
type baseline struct {
	sim     *simulation
	entries []*baselineEntry
}

type baselineEntry struct {
	lastPicked          []int // index of a target, by service
	consecutiveFailures map[*simTarget]int
	ejectedUntil        map[*simTarget]time.Time
}

func newBaseline(sim *simulation) *baseline {
	b := &baseline{sim: sim}
	for range sim.nodes {
		b.entries = append(b.entries, &baselineEntry{
			lastPicked:          make([]int, len(sim.targetsByService)),
			consecutiveFailures: map[*simTarget]int{},
			ejectedUntil:        map[*simTarget]time.Time{},
		})
	}
	return b
}

func (b *baseline) submit(r *request) { b.startAttempt(r, 1) }

func (b *baseline) startAttempt(r *request, attemptNumber int) {
	entry := b.entries[r.entry]
	target := entry.pick(b.sim, r.service)
	attemptDeadline := r.deadline
	if attemptNumber < baselineMaxAttempts {
		attemptDeadline = b.sim.now.Add(time.Duration(float64(r.deadline.Sub(b.sim.now)) * baselineFirstAttemptShare))
	}
	ended := false
	var cancel func()
	finish := func(result targetResult) {
		if ended {
			return
		}
		ended = true
		entry.observe(b.sim.now, target, result.ok)
		if result.ok || attemptNumber == baselineMaxAttempts {
			r.finish(response{ok: result.ok, corrupt: result.corrupt})
			return
		}
		b.startAttempt(r, attemptNumber+1)
	}
	b.sim.send(r.entry, target.node, func() {
		if ended {
			return
		}
		cancel = target.submit(r.class, r.customer, func(result targetResult) {
			r.slotTime = result.slotTime
			b.sim.send(target.node, r.entry, func() { finish(result) })
		})
	})
	b.sim.at(attemptDeadline, func() {
		if ended {
			return
		}
		if cancel != nil {
			cancel()
		}
		finish(targetResult{})
	})
}

func (e *baselineEntry) pick(sim *simulation, service int) *simTarget {
	targets := sim.targetsByService[service]
	for range targets {
		e.lastPicked[service]++
		target := targets[e.lastPicked[service]%len(targets)]
		if !sim.now.Before(e.ejectedUntil[target]) {
			return target
		}
	}
	return targets[e.lastPicked[service]%len(targets)]
}

func (e *baselineEntry) observe(now time.Time, target *simTarget, ok bool) {
	if ok {
		e.consecutiveFailures[target] = 0
		return
	}
	e.consecutiveFailures[target]++
	if e.consecutiveFailures[target] >= baselineFailures && e.countEjected(now) < baselineMaxEjectedShare*float64(len(e.consecutiveFailures)) {
		e.ejectedUntil[target] = now.Add(baselineEjectionTime)
		e.consecutiveFailures[target] = 0
	}
}

func (e *baselineEntry) countEjected(now time.Time) float64 {
	n := 0.0
	for _, until := range e.ejectedUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}
