package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Options holds the settings of a run.
type Options struct {
	Seed     uint64
	Nodes    int           // default 4
	Targets  int           // default 6
	Faults   time.Duration // period in which faults start, default 10s
	Binaries string        // directory of hyssopsill, hyssopsilld and hyssopsill-standin
	Dir      string        // empty or new directory for settings, logs, history and report
}

// Defaults and bounds of Options. A node takes about 20 MB of memory, a target 12 MB.
const (
	DefaultNodes   = 4
	DefaultTargets = 6
	DefaultFaults  = 10 * time.Second
	MaxProcesses   = 200
)

var errTooManyProcesses = fmt.Errorf("soak: at most %d nodes and targets together are allowed", MaxProcesses)

func (o Options) withDefaults() Options {
	if o.Nodes <= 0 {
		o.Nodes = DefaultNodes
	}
	if o.Targets <= 0 {
		o.Targets = DefaultTargets
	}
	if o.Faults <= 0 {
		o.Faults = DefaultFaults
	}
	return o
}

// Run runs the fleet under the plan of the seed. It returns an error when the soak
// itself fails, for example because a program does not start. Violations are part of
// the report.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	if o.Nodes+o.Targets > MaxProcesses {
		return Report{}, errTooManyProcesses
	}
	if entries, err := os.ReadDir(o.Dir); err == nil && len(entries) > 0 {
		return Report{}, fmt.Errorf("soak: directory %s is not empty", o.Dir)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	h := &History{Plan: NewPlan(o.Seed, o.Nodes, o.Targets, o.Faults), StartedAt: time.Now()}
	f, err := startFleet(ctx, o, &h.Plan)
	defer f.killAll() // also when the soak itself fails
	if err != nil {
		return Report{}, err
	}
	in := &injector{fleet: f, history: h, load: &callers{fleet: f, record: func(call Call) { h.withLock(func() { h.Calls = append(h.Calls, call) }) }}}
	err = in.runPlan(ctx)
	h.Stuck = append(h.Stuck, f.stop(context.WithoutCancel(ctx))...)
	h.Ends = f.ends()
	if err = errors.Join(err, h.readExecutions(f.executionsFile())); err != nil {
		return Report{}, err
	}
	return newReport(o, h)
}

// runPlan runs the callers and injects the faults, waits until the fleet has recovered
// and then sends the poison requests.
func (in *injector) runPlan(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { in.load.run(loadCtx, i) })
	}
	for _, n := range in.fleet.nodes {
		wg.Go(func() { in.recordViews(loadCtx, n) })
	}
	wg.Go(func() { in.recordMemory(loadCtx) })
	in.injectFaults(ctx)
	if err := in.clearFaults(ctx); err != nil {
		stopLoad()
		wg.Wait()
		return err
	}
	if err := in.fleet.waitReady(ctx); err != nil {
		in.history.withLock(func() { in.history.Unready = err.Error() })
	}
	stopLoad()
	wg.Wait()
	if in.history.Unready != "" {
		return ctx.Err()
	}
	in.useAddedKey()
	if err := in.sendPoison(ctx); err != nil {
		in.history.notef("poison: %v", err)
	}
	return ctx.Err()
}
