package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Nodes    int           // default 4
	Targets  int           // default 6
	Faults   time.Duration // time in which faults begin, default 10s
	Binaries string        // directory of hyssopsill, hyssopsilld and hyssopsill-standin
	Dir      string        // for settings, logs and the history
}

// Defaults and bounds of Options. A node takes about 20 MB, a target 12 MB.
const (
	DefaultNodes   = 4
	DefaultTargets = 6
	DefaultFaults  = 10 * time.Second
	MaxProcesses   = 200
)

var errTooLarge = fmt.Errorf("soak: nodes and targets may be %d together", MaxProcesses)

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

// Run runs the fleet under the plan of the seed. Errors are those of the soak
// itself, such as a program that does not start; broken promises are part of the
// report.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	if o.Nodes+o.Targets > MaxProcesses {
		return Report{}, errTooLarge
	}
	if entries, err := os.ReadDir(o.Dir); err == nil && len(entries) > 0 {
		return Report{}, fmt.Errorf("soak: %s holds files, of an earlier run perhaps", o.Dir)
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	h := &History{Plan: NewPlan(o.Seed, o.Nodes, o.Targets, o.Faults), Begun: time.Now()}
	f, err := startFleet(ctx, o)
	defer f.kill() // also when the soak itself fails
	if err != nil {
		return Report{}, err
	}
	in := &injector{f: f, h: h}
	err = in.soak(ctx)
	h.Stuck = append(h.Stuck, f.stop(context.WithoutCancel(ctx))...)
	if err = errors.Join(err, h.readExecutions(f.executionsFile())); err != nil {
		return Report{}, err
	}
	return newReport(o, h)
}

// soak runs callers and faults, then waits for the recovery.
func (in *injector) soak(ctx context.Context) error {
	running, end := context.WithCancel(ctx)
	defer end()
	var wg sync.WaitGroup
	c := &callers{f: in.f, note: func(call Call) { in.h.edit(func() { in.h.Calls = append(in.h.Calls, call) }) }}
	for i := range workers {
		wg.Go(func() { c.run(running, i) })
	}
	for _, n := range in.f.nodes {
		wg.Go(func() { in.watch(running, n) })
	}
	in.run(ctx)
	if err := in.f.awaitReady(ctx); err != nil {
		in.h.edit(func() { in.h.Unready = err.Error() })
	}
	end()
	wg.Wait()
	if in.h.Unready != "" {
		return ctx.Err()
	}
	if err := in.poison(ctx); err != nil {
		in.h.notef("poison: %v", err)
	}
	return ctx.Err()
}
