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

// Guards against a view that is ignored although it differs from the last one in a
// field that requests need.
func TestRelevantViewChangesTakeEffect(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := New(Options{Node: "n1", Domain: "d1", Token: "token", Now: time.Now, Rand: r,
		Log: zerolog.Nop(), Reporter: invariant.PanicReporter{}, LogService: logservice.New(logservice.Options{})})
	t.Cleanup(e.Close)
	view := func(change func(member *membership.Member)) membership.View {
		m := membership.Member{Node: "g1", Region: "r1", Domain: "d1", State: membership.NodeAlive, DataAddress: "10.0.0.1:1",
			Targets: []membership.Target{{ID: "t1", Service: "shop", Slots: 4}, {ID: "t2", Service: "shop", Slots: 4}}}
		change(&m)
		return membership.View{Self: "n1", Members: []membership.Member{m}}
	}
	unchanged := func(*membership.Member) {}
	for name, change := range map[string]func(member *membership.Member){
		"name":                  func(member *membership.Member) { member.Node = "g2" },
		"region":                func(member *membership.Member) { member.Region = "r2" },
		"domain":                func(member *membership.Member) { member.Domain = "d2" },
		"incarnation":           func(member *membership.Member) { member.Incarnation.StartedMS++ },
		"state":                 func(member *membership.Member) { member.State = membership.NodeLeaving },
		"data address":          func(member *membership.Member) { member.DataAddress = "10.0.0.1:2" },
		"fewer targets":         func(member *membership.Member) { member.Targets = member.Targets[:1] },
		"no targets":            func(member *membership.Member) { member.Targets = nil },
		"target name":           func(member *membership.Member) { member.Targets[1].ID = "t3" },
		"target service":        func(member *membership.Member) { member.Targets[1].Service = "other" },
		"target slots":          func(member *membership.Member) { member.Targets[1].Slots = 5 },
		"target incarnation":    func(member *membership.Member) { member.Targets[1].Incarnation.Random++ },
		"target leaving":        func(member *membership.Member) { member.Targets[1].Leaving = true },
		"target announced anew": func(member *membership.Member) { member.Targets[1].AnnouncedAt = time.Unix(1, 0) },
	} {
		e.SetView(view(unchanged))
		before := e.fleet.Load()
		e.SetView(view(func(member *membership.Member) {
			member.Version, member.ConfigVersion, member.Reports = 7, 8, []byte("x")
		}))
		if e.fleet.Load() != before {
			t.Error("a view that differs in versions and reports only is not ignored")
		}
		e.SetView(view(change))
		if e.fleet.Load() == before {
			t.Errorf("%s: the changed view is ignored", name)
		}
	}
	e.SetView(membership.View{Self: "n1"})
	if len(e.Targets()) != 0 {
		t.Error("targets of removed nodes are still listed")
	}
}
