package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

func viewWithTarget(node string, target membership.Target) membership.View {
	return membership.View{Self: "n0", Members: []membership.Member{{Node: node, State: membership.NodeAlive, Targets: []membership.Target{target}}}}
}

// Guards against an entry that forgets what a target said when another gate takes the
// target over, and against one that holds it against the target's next process.
func TestWhatATargetSaidOutlivesItsGate(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := New(Options{Node: "n0", Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}})
	target := membership.Target{ID: "t1", Service: "shop", Slots: 4, Incarnation: attempt.Incarnation{StartedMS: 1}}
	targetAt := func(node string) gateTarget {
		e.SetView(viewWithTarget(node, target))
		return e.fleet.Load().targets["t1@"+node]
	}
	e.observeRate(now, targetAt("n1"), "2.5")
	e.noteLeaving(targetAt("n1"))
	if moved := targetAt("n2"); e.rateOf(moved) != "2.5" || !moved.leaving() {
		t.Errorf("at another gate: rate %q, leaving %v", e.rateOf(moved), moved.leaving())
	}
	now = now.Add(rateMemory)
	if rate := e.rateOf(targetAt("n2")); rate != "" {
		t.Errorf("rate %q after its time", rate)
	}
	e.observeRate(now, targetAt("n2"), "2.5")
	target.Incarnation.StartedMS = 2
	if next := targetAt("n2"); e.rateOf(next) != "" || next.leaving() {
		t.Errorf("the next process: rate %q, leaving %v", e.rateOf(next), next.leaving())
	}
}
