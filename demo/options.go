package demo

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Options holds the settings of a run.
type Options struct {
	// Seed of the demand and of the targets. Default 1.
	Seed uint64
	// Phase is the length of a phase of steady demand. The overload phase takes 1.5
	// times as long. Default 2s.
	Phase time.Duration
	// Out receives the live table. Default: nothing is written.
	Out io.Writer
	// Terminal redraws the table in place instead of writing lines.
	Terminal bool
	// Log receives the log lines of the nodes. Default: none.
	Log zerolog.Logger
	// DoubleOrder makes one target run one order twice, to show that the checks find it.
	DoubleOrder bool
	// Limit bounds the whole run, without the shutdown. Default 28s.
	Limit time.Duration
	// DrainWait bounds the wait for the end of the drained node. Default 5s.
	DrainWait time.Duration
}

func (o Options) withDefaults() Options {
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Phase <= 0 {
		o.Phase = 2 * time.Second
	}
	if o.DrainWait <= 0 {
		o.DrainWait = 5 * time.Second
	}
	if o.Limit <= 0 {
		o.Limit = runLimit
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	return o
}

// boundWait limits a wait to three phases, so that runs with short phases wait less.
func (o Options) boundWait(d time.Duration) time.Duration { return min(d, 3*o.Phase) }

// Size of the fleet. The host of each node runs one target.
const (
	domains        = 3
	nodesPerDomain = 2
	slots          = 3
)

// Bounds of the waits. When a wait reaches its bound the run continues with the next
// phase, so that it ends within 30 s.
const (
	startWait     = 5 * time.Second
	detectWait    = 3 * time.Second
	reinstateWait = 4 * time.Second
	configWait    = 5 * time.Second
	finishWait    = 3 * time.Second
	runLimit      = 28 * time.Second // the shutdown takes about another second
	stopWait      = 1500 * time.Millisecond

	leavingGrace = 3 * time.Second // after this a leaving target gets no new requests
)

// Work of one request, and demand.
const (
	workDuration   = 25 * time.Millisecond
	downloadBytes  = 512 << 10
	downloadRate   = 1 << 20 // bytes/s
	overloadFactor = 5
	baseRate       = 160 // short requests/s
	downloads      = 4   // downloads/s
)
