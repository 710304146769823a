package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Faults of links concern the link from other nodes to the gate of a node.
const (
	LinkDelay    Kind = "link-delay"     // each part is delayed
	LinkReset    Kind = "link-reset"     // open connections are reset
	LinkDropTo   Kind = "link-drop-to"   // bytes towards the gate are lost
	LinkDropBack Kind = "link-drop-back" // bytes from the gate are lost
	LinkSilence  Kind = "link-silence"   // open connections go silent for ever
	NodePause    Kind = "node-pause"     // SIGSTOP, SIGCONT
	NodeStop     Kind = "node-stop"      // SIGTERM and a new start
	NodeKill     Kind = "node-kill"      // SIGKILL and a new start
	TargetPause  Kind = "target-pause"
	TargetKill   Kind = "target-kill"
	TargetDrain  Kind = "target-drain" // it leaves, ends and starts again
	TargetFail   Kind = "target-fail"  // 500, broken or damaged answers
	TargetHang   Kind = "target-hang"
	StoreDelay   Kind = "store-delay"
	StoreDown    Kind = "store-down"
	StoreRefuse  Kind = "store-refuse" // some appends have no effect
	StoreLose    Kind = "store-lose"   // answers to appends are lost
	StorePause   Kind = "store-pause"
	Publish      Kind = "publish" // an operator publishes a configuration
	Poison       Kind = "poison"  // a request that crashes targets
)

// kinds are drawn by weight.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{LinkDelay, 2}, {LinkReset, 3}, {LinkDropTo, 2}, {LinkDropBack, 2}, {LinkSilence, 2},
	{NodePause, 2}, {NodeStop, 4}, {NodeKill, 2},
	{TargetPause, 2}, {TargetKill, 2}, {TargetDrain, 2}, {TargetFail, 3}, {TargetHang, 2},
	{StoreDelay, 1}, {StoreDown, 1}, {StoreRefuse, 1}, {StoreLose, 1}, {StorePause, 1}, {Publish, 4},
}

// Event is one fault: what, where, when and for how long.
type Event struct {
	At      time.Duration `json:"at"`
	For     time.Duration `json:"for"`
	Kind    Kind          `json:"kind"`
	Subject int           `json:"subject"` // index of a node or target
}

func (e Event) String() string {
	return fmt.Sprintf("%6.2fs %-14s %d for %s", e.At.Seconds(), e.Kind, e.Subject, e.For.Round(time.Millisecond))
}

// Plan is what a run does to the fleet.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Nodes   int           `json:"nodes"`
	Targets int           `json:"targets"`
	Faults  time.Duration `json:"faults"` // time in which faults begin
	Events  []Event       `json:"events"`
}

const (
	eventEvery  = 350 * time.Millisecond // mean time from one fault to the next
	eventLeast  = 100 * time.Millisecond
	eventMost   = 2500 * time.Millisecond
	seriesShare = 0.25 // of the faults come as a series at one subject
	seriesMost  = 3
)

// NewPlan draws a plan. Faults overlap; a quarter of them come in series.
func NewPlan(seed uint64, nodes, targets int, faults time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x50a6))
	p := Plan{Seed: seed, Nodes: nodes, Targets: targets, Faults: faults}
	for at := time.Duration(0); at < faults; at += time.Duration(r.ExpFloat64() * float64(eventEvery)) {
		e := Event{At: at, Kind: drawKind(r), For: eventLeast + time.Duration(r.Float64()*float64(eventMost-eventLeast))}
		e.Subject = r.IntN(nodes)
		if e.ofTarget() {
			e.Subject = r.IntN(targets)
		}
		n := 1
		if r.Float64() < seriesShare {
			n += 1 + r.IntN(seriesMost)
		}
		for range n {
			p.Events = append(p.Events, e)
			e.At += e.For + time.Duration(r.IntN(300))*time.Millisecond
		}
	}
	// After the others: crashes are told between nodes, which cut links prevent.
	p.Events = append(p.Events, Event{At: faults, Kind: Poison, Subject: r.IntN(nodes)})
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// poison is the event of the poisonous request.
func (p *Plan) poison() Event {
	return p.Events[slices.IndexFunc(p.Events, func(e Event) bool { return e.Kind == Poison })]
}

func (e Event) ofTarget() bool {
	return slices.Contains([]Kind{TargetPause, TargetKill, TargetDrain, TargetFail, TargetHang}, e.Kind)
}

func drawKind(r *rand.Rand) Kind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	at := r.IntN(total)
	for _, k := range kinds {
		if at -= k.weight; at < 0 {
			return k.kind
		}
	}
	return Publish
}
