package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Link faults affect the connections from other nodes to the gate of a
// node, store faults the log service.
const (
	LinkDelay    Kind = "link-delay"     // each chunk of data is delayed
	LinkReset    Kind = "link-reset"     // open connections are reset
	LinkDropTo   Kind = "link-drop-to"   // bytes towards the gate are lost
	LinkDropBack Kind = "link-drop-back" // bytes from the gate are lost
	LinkSilence  Kind = "link-silence"   // open connections carry no more data
	NodePause    Kind = "node-pause"     // SIGSTOP, SIGCONT
	NodeStop     Kind = "node-stop"      // SIGTERM and a restart
	NodeKill     Kind = "node-kill"      // SIGKILL and a restart
	NodeReload   Kind = "node-reload"    // SIGHUP, once or in series
	TargetPause  Kind = "target-pause"
	TargetKill   Kind = "target-kill"
	TargetDrain  Kind = "target-drain" // it leaves, ends and is restarted
	TargetFail   Kind = "target-fail"  // status 500, truncated or corrupt responses
	TargetHang   Kind = "target-hang"
	StoreDelay   Kind = "store-delay"
	StoreDown    Kind = "store-down"
	StoreRefuse  Kind = "store-refuse" // some appends have no effect
	StoreLose    Kind = "store-lose"   // responses to appends are lost
	StorePause   Kind = "store-pause"
	StoreRestore Kind = "store-restore" // it comes back from a copy of an age
	// StoreTurnAway leaves all nodes but the subject without responses of the log service.
	StoreTurnAway Kind = "store-turn-away"
	TargetRate    Kind = "target-rate"   // it names the rate of requests that it takes
	Publish       Kind = "publish"       // an operator publishes a configuration
	KeyChange     Kind = "key-change"    // a publish removes an API key and adds one
	AccountSurge  Kind = "account-surge" // a limited account, the subject, sends much more
	// Crowds of hostile clients of a node.
	HostileLines  Kind = "hostile-lines"  // many short header lines
	HostileHeads  Kind = "hostile-heads"  // heads without an end
	HostileSlow   Kind = "hostile-slow"   // one byte a second
	HostileSilent Kind = "hostile-silent" // connections without requests
	HostileUnread Kind = "hostile-unread" // responses are never read
	Poison        Kind = "poison"         // a request that crashes targets
)

// kindWeights gives the relative frequency of each kind of fault.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{LinkDelay, 2}, {LinkReset, 3}, {LinkDropTo, 2}, {LinkDropBack, 2}, {LinkSilence, 2},
	{NodePause, 2}, {NodeStop, 4}, {NodeKill, 2},
	{TargetPause, 2}, {TargetKill, 2}, {TargetDrain, 2}, {TargetFail, 3}, {TargetHang, 2},
	{StoreDelay, 1}, {StoreDown, 1}, {StoreRefuse, 1}, {StoreLose, 1}, {StorePause, 1}, {Publish, 4},
}

// Event is one fault of a plan.
type Event struct {
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Kind     Kind          `json:"kind"`
	Subject  int           `json:"subject"` // index of a node, target or limited account

	// Times of SIGHUP, relative to the start of NodeReload or the SIGTERM of NodeStop,
	// and to the restart of the node.
	Reloads      []time.Duration `json:"reloads,omitempty"`
	StartReloads []time.Duration `json:"startReloads,omitempty"`
}

func (e Event) String() string {
	s := fmt.Sprintf("%6.2fs %-14s %d for %s", e.At.Seconds(), e.Kind, e.Subject, e.Duration.Round(time.Millisecond))
	if len(e.Reloads) > 0 {
		s += fmt.Sprintf(", SIGHUP at %v", e.Reloads)
	}
	if len(e.StartReloads) > 0 {
		s += fmt.Sprintf(", SIGHUP %v after the restart", e.StartReloads)
	}
	return s
}

// Plan lists the faults of a run and the size of its fleet.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Nodes   int           `json:"nodes"`
	Targets int           `json:"targets"`
	Faults  time.Duration `json:"faults"` // period in which faults start
	Events  []Event       `json:"events"`
}

const (
	meanEventInterval = 350 * time.Millisecond // mean time between the starts of faults or series
	minEventDuration  = 100 * time.Millisecond
	maxEventDuration  = 2500 * time.Millisecond
	seriesShare       = 0.25 // share of faults that are repeated on one subject
	maxSeriesExtra    = 3    // further faults of a series after its first
)

// NewPlan draws a plan from the seed. Faults may overlap; a quarter of them come as a
// series on one subject.
func NewPlan(seed uint64, nodes, targets int, faults time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0x50a6))
	p := Plan{Seed: seed, Nodes: nodes, Targets: targets, Faults: faults}
	for at := time.Duration(0); at < faults; at += time.Duration(random.ExpFloat64() * float64(meanEventInterval)) {
		e := Event{At: at, Kind: drawKind(random), Duration: minEventDuration + time.Duration(random.Float64()*float64(maxEventDuration-minEventDuration))}
		e.Subject = random.IntN(nodes)
		if e.concernsTarget() {
			e.Subject = random.IntN(targets)
		}
		count := 1
		if random.Float64() < seriesShare {
			count += 1 + random.IntN(maxSeriesExtra)
		}
		for range count {
			p.Events = append(p.Events, e)
			e.At += e.Duration + time.Duration(random.IntN(300))*time.Millisecond
		}
	}
	// Poison comes last, since nodes report crashes to each other and link faults would
	// prevent that.
	p.Events = append(p.Events, Event{At: faults, Kind: Poison, Subject: random.IntN(nodes)})
	p.addReloads(rand.New(rand.NewPCG(seed, 0x5164)))
	p.addRestores(rand.New(rand.NewPCG(seed, 0x4e57)))
	p.addTurnAways(rand.New(rand.NewPCG(seed, 0x7a4a)))
	p.addTargetRates(rand.New(rand.NewPCG(seed, 0x4a7e)))
	p.addAccounts(rand.New(rand.NewPCG(seed, 0xacc4)))
	p.addHostileClients(rand.New(rand.NewPCG(seed, 0xc209)))
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// poisonEvent returns the event of the kind Poison.
func (p *Plan) poisonEvent() Event {
	return p.Events[slices.IndexFunc(p.Events, func(e Event) bool { return e.Kind == Poison })]
}

// concernsTarget reports whether Subject is the index of a target.
func (e Event) concernsTarget() bool {
	return slices.Contains([]Kind{TargetPause, TargetKill, TargetDrain, TargetFail, TargetHang, TargetRate}, e.Kind)
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, k := range kindWeights {
		total += k.weight
	}
	remaining := random.IntN(total)
	for _, k := range kindWeights {
		if remaining -= k.weight; remaining < 0 {
			return k.kind
		}
	}
	return Publish
}
