package demo

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Options of a run.
type Options struct {
	// Seed of the demand and of the targets. Default 1.
	Seed uint64
	// Phase is the length of a phase of steady demand; the crest is half as
	// long again. Default 2s.
	Phase time.Duration
	// Out receives the live table. Default: nothing is written.
	Out io.Writer
	// Terminal redraws the table in place instead of writing lines.
	Terminal bool
	// Log receives the log lines of the nodes. Default: none.
	Log zerolog.Logger
	// DoubleOrder makes one target run one order twice, to show that the
	// checks find it.
	DoubleOrder bool
	// Limit bounds the whole run without its stop. Default 28s.
	Limit time.Duration
	// DrainWait bounds the wait for the drained node. Default 5s.
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

// wait shortens the bound of a wait in runs with short phases.
func (o Options) wait(d time.Duration) time.Duration { return min(d, 3*o.Phase) }

// Size of the fleet. Each node has one target on its host.
const (
	domains        = 3
	nodesPerDomain = 2
	slots          = 3
)

// Bounds of the waits. A phase that reaches its bound goes on with the next, so
// that the whole run ends within 30 s.
const (
	startWait  = 5 * time.Second
	detectWait = 3 * time.Second
	returnWait = 4 * time.Second
	configWait = 5 * time.Second
	finishWait = 3 * time.Second
	runLimit   = 28 * time.Second // the stop takes about another second
	stopWait   = 1500 * time.Millisecond

	leavingAfter = 3 * time.Second // a leaving target gets no new work after this
)

// Work of a request and demand.
const (
	work          = 25 * time.Millisecond
	downloadBytes = 512 << 10
	downloadRate  = 1 << 20 // bytes/s
	crestFactor   = 5
	baseRate      = 160 // short requests/s
	downloads     = 4   // downloads/s
)
