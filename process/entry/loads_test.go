package entry

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/connection/loadview"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/version/config"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Guards against loads that an entry does not pass on or take over, and against an entry that
// does either while loads are not shared, or sends them to another failure domain.
func TestLoadsArePassedOn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	view := membership.View{}
	for _, node := range []string{"n1", "n2", "n3"} {
		view.Members = append(view.Members, membership.Member{Node: node, Domain: "d1", State: membership.NodeAlive,
			Targets: []membership.Target{{ID: "t1", Service: "shop", Slots: 4}}})
	}
	view.Members = append(view.Members, membership.Member{Node: "n4", Domain: "d2", State: membership.NodeAlive})
	newEntry := func(node string, share bool) *Entry {
		e := New(Options{Node: node, Domain: "d1", Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
			Reporter: invariant.PanicReporter{}, ShareLoads: share})
		t.Cleanup(e.Close)
		e.SetView(view)
		return e
	}
	observe := func(e *Entry, node, load, loads string) {
		a := &activeAttempt{request: &request{entry: e}, target: e.fleet.Load().targets["t1@"+node]}
		h := http.Header{attempt.HeaderLoad: {load}}
		if loads != "" {
			h[attempt.HeaderLoads] = []string{loads}
		}
		a.observeLoad(h)
	}
	gateLoad := attempt.Load{Slots: 4, Limit: 4, Running: 2}
	if off := newEntry("n1", false); off.LoadsFor("n2", "shop", "t1", gateLoad) != "" {
		t.Error("loads are passed on although they are not shared")
	}
	first, second := newEntry("n1", true), newEntry("n2", true)
	if header := first.LoadsFor("n2", "shop", "t1", gateLoad); header != "" {
		t.Errorf("header %q without other loads", header)
	}
	observe(first, "n3", "4 4 3 0 0 0", "")
	header := first.LoadsFor("n2", "shop", "t1", gateLoad)
	for _, node := range []string{"n1", "n4", "unknown"} { // the own node, one of another domain
		if loads := first.LoadsFor(node, "shop", "t1", gateLoad); loads != "" {
			t.Errorf("loads are passed on to %s: %q", node, loads)
		}
	}
	observe(second, "n1", gateLoad.String(), header)
	observe(second, "n1", gateLoad.String(), "not a load")
	if counts := second.LoadCounts(); counts != (loadview.Counts{Fresher: 1, Bad: 1}) {
		t.Errorf("header %q: %+v", header, counts)
	}
	off := newEntry("n2", false)
	observe(off, "n1", gateLoad.String(), header)
	if counts := off.LoadCounts(); counts != (loadview.Counts{}) {
		t.Errorf("not shared: %+v", counts)
	}
}

// Guards against an explanation that counts as a request or names another target than the one
// that a request would get.
func TestWhereSendsNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := New(Options{Node: "n1", Domain: "d1", Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		Reporter: invariant.PanicReporter{}, ShareLoads: true})
	t.Cleanup(e.Close)
	if d := e.Where("GET", "", "/kits/a", ""); d.Choice != "" || d.Why == "" {
		t.Errorf("without a configuration: %+v", d)
	}
	rank := 3
	e.SetConfig(&config.Config{Version: 7, Accounts: map[string]config.Account{"school": {Rank: &rank}},
		Services: map[string]config.Service{"shop": {Classes: map[string]config.Class{"browse": {}}}},
		Routes:   []config.Route{{ID: "kits", PathPrefix: "/kits", Service: "shop", Class: "browse"}}})
	e.SetView(membership.View{Self: "n1", Members: []membership.Member{{Node: "n1", Domain: "d1", State: membership.NodeAlive,
		Targets: []membership.Target{{ID: "t1", Service: "shop", Slots: 4}}}}})
	e.LoadsFor("n1", "shop", "t1", attempt.Load{Slots: 4, Limit: 4, Running: 2})
	now = now.Add(40 * time.Millisecond)
	for range 3 {
		d := e.Where("GET", "", "/kits/a?b=c", "school")
		if d.Route != "kits" || d.ConfigVersion != 7 || d.Class != "browse" || d.Choice != "t1" || d.ChoiceNode != "n1" || !d.AccountKnown || *d.AccountRank != 3 {
			t.Errorf("%+v", d)
		}
		if len(d.Candidates) != 1 || d.Candidates[0].AgeMS != 40 || d.Candidates[0].Own != 0 || d.Candidates[0].Load != 0.5 {
			t.Errorf("%+v", d.Candidates)
		}
	}
	if d := e.Where("GET", "", "/other", ""); d.Choice != "" || d.Why != "no route for GET /other" {
		t.Errorf("%+v", d)
	}
}
