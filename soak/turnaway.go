package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	turnAwayShare   = 0.5 // share of plans in which the log service turns nodes away
	maxTurnAwayTime = 6 * time.Second
)

// addTurnAways adds times in which the log service responds to one node only. They have
// their own random source, as reloads do.
func (p *Plan) addTurnAways(random *rand.Rand) {
	if random.Float64() < turnAwayShare {
		p.Events = append(p.Events, Event{At: time.Duration(random.Int64N(int64(p.Faults))), Kind: StoreTurnAway, Subject: random.IntN(p.Nodes),
			Duration: minEventDuration + time.Duration(random.Int64N(int64(maxTurnAwayTime)))})
	}
}

// turnAway makes the log service respond to one node only.
func (in *injector) turnAway(ctx context.Context, served *node, d time.Duration) {
	for _, n := range in.fleet.nodes {
		if n != served {
			n.logProxy.Drop(true, true)
			defer n.logProxy.Reset() // data has been lost from the open connections
			defer n.logProxy.Drop(false, false)
		}
	}
	sleep(ctx, d)
}
