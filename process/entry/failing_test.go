package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against a request that is refused although the first target of its
// service becomes known a moment later, as after a start of all nodes.
func TestRequestAwaitsTheFirstTarget(t *testing.T) {
	s := newTestEntryWith(t, strings.ReplaceAll(testConfig, `"500ms"`, `"10m"`), func(w http.ResponseWriter, r *http.Request) {
		gateAnswer(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}, false, 1)
	e := s.Config.Handler.(*Entry)
	e.o.HTTPProfile.StrictStatus = true
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
