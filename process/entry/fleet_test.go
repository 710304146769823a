package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Guards against a view that is passed over although it differs from the last
// one in something that requests need.
func TestEachChangeOfAViewTakesEffect(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := New(Options{Node: "n1", Domain: "d1", Token: "token", Now: time.Now, Rand: r,
		Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, LogService: logservice.New(logservice.Options{})})
	t.Cleanup(e.Close)
	view := func(change func(m *membership.Member)) membership.View {
		m := membership.Member{Node: "g1", Region: "r1", Domain: "d1", State: membership.NodeAlive, DataAddress: "10.0.0.1:1",
			Targets: []membership.Target{{ID: "t1", Service: "shop", Slots: 4}, {ID: "t2", Service: "shop", Slots: 4}}}
		change(&m)
		return membership.View{Self: "n1", Members: []membership.Member{m}}
	}
	base := func(*membership.Member) {}
	for name, change := range map[string]func(m *membership.Member){
		"name":                  func(m *membership.Member) { m.Node = "g2" },
		"region":                func(m *membership.Member) { m.Region = "r2" },
		"domain":                func(m *membership.Member) { m.Domain = "d2" },
		"incarnation":           func(m *membership.Member) { m.Incarnation.StartedMS++ },
		"state":                 func(m *membership.Member) { m.State = membership.NodeLeaving },
		"data address":          func(m *membership.Member) { m.DataAddress = "10.0.0.1:2" },
		"fewer targets":         func(m *membership.Member) { m.Targets = m.Targets[:1] },
		"no targets":            func(m *membership.Member) { m.Targets = nil },
		"target name":           func(m *membership.Member) { m.Targets[1].ID = "t3" },
		"target service":        func(m *membership.Member) { m.Targets[1].Service = "other" },
		"target slots":          func(m *membership.Member) { m.Targets[1].Slots = 5 },
		"target incarnation":    func(m *membership.Member) { m.Targets[1].Incarnation.Random++ },
		"target leaving":        func(m *membership.Member) { m.Targets[1].Leaving = true },
		"target announced anew": func(m *membership.Member) { m.Targets[1].AnnouncedAt = time.Unix(1, 0) },
	} {
		e.SetView(view(base))
		before := e.fleet.Load()
		e.SetView(view(func(m *membership.Member) { m.Version, m.ConfigVersion, m.Reports = 7, 8, []byte("x") }))
		if e.fleet.Load() != before {
			t.Error("a view that differs in versions and reports only is taken in")
		}
		e.SetView(view(change))
		if e.fleet.Load() == before {
			t.Errorf("%s: the changed view is passed over", name)
		}
	}
	e.SetView(membership.View{Self: "n1"})
	if len(e.Targets()) != 0 {
		t.Error("targets of nodes that are gone are kept")
	}
}
