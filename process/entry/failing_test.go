package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Guards against a request that ends without an answer because its connection to
// the only target went silent, and the path counts as down when it looks for
// another one.
func TestReplacedTargetIsTheLastResort(t *testing.T) {
	for _, replaced := range []bool{true, false} {
		s := newTestEntry(t, func(http.ResponseWriter, *http.Request) {}, false, 1)
		e := s.Config.Handler.(*Entry)
		f := e.fleet.Load()
		var l located
		for _, l = range f.targets {
		}
		q := &request{e: e, r: httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/kits", nil), service: "shop",
			deadline: e.now().Add(time.Minute), routing: e.routing.Load()}
		q.match, _ = q.routing.table.Match(http.MethodGet, "", "/kits")
		q.class = q.routing.config.Services["shop"].Classes["browse"]
		q.history = []attemptState{{Attempt: retry.Attempt{Target: l.key, Node: l.member.Node, Reason: attempt.ReasonPathFailed}, replaced: replaced}}
		_, ok := q.chooseFailing(context.Background(), retry.Decision{Number: 2})
		if ok != replaced {
			t.Errorf("replaced %v: another attempt %v", replaced, ok)
		}
	}
}

// Guards against work that is sent to a failing target by a node that has just
// started and does not know the others yet.
func TestYoungNodeAwaitsOtherTargets(t *testing.T) {
	var e *Entry
	var refused, forced atomic.Int32
	view := func(targets ...string) membership.View {
		m := *e.fleet.Load().members["g1"]
		m.Targets = nil
		for _, id := range targets {
			m.Targets = append(m.Targets, membership.Target{ID: id, Service: "shop", Slots: 4})
		}
		return membership.View{Self: "n1", Members: []membership.Member{m}}
	}
	s := newTestEntryWith(t, strings.ReplaceAll(testConfig, `"500ms"`, `"10m"`), func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(attempt.HeaderForce) == "1":
			forced.Add(1)
		case r.Header.Get(attempt.HeaderTarget) == "t0":
			if refused.Add(1) == 2 {
				e.SetView(view("t0", "t1"))
			}
			refuseAttempt(w, r, attempt.ReasonTargetFailing)
			return
		}
		gateAnswer(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}, false, 1)
	e = s.Config.Handler.(*Entry)
	e.o.Surface.StrictStatus = true
	resp, err := http.Post(s.URL+"/orders", "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || forced.Load() != 0 || refused.Load() < 2 {
		t.Errorf("status %d after %d refusals, %d forced attempts", resp.StatusCode, refused.Load(), forced.Load())
	}
}

// Guards against a request that is refused although the first target of its
// service becomes known a moment later, as after a start of all nodes.
func TestRequestAwaitsTheFirstTarget(t *testing.T) {
	s := newTestEntryWith(t, strings.ReplaceAll(testConfig, `"500ms"`, `"10m"`), func(w http.ResponseWriter, r *http.Request) {
		gateAnswer(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}, false, 1)
	e := s.Config.Handler.(*Entry)
	e.o.Surface.StrictStatus = true
	known := *e.fleet.Load().members["g1"]
	e.SetView(membership.View{Self: "n1"})
	go func() {
		for e.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		e.SetView(membership.View{Self: "n1", Members: []membership.Member{known}})
	}()
	resp, err := http.Post(s.URL+"/orders", "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
