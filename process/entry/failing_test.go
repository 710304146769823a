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

// Guards against a request that ends without a response because its connection to
// the only target became silent and the path is down when the next attempt needs a
// target.
func TestTargetWithSilentConnectionIsLastResort(t *testing.T) {
	for _, silent := range []bool{true, false} {
		server := newTestEntry(t, func(http.ResponseWriter, *http.Request) {}, false, 1)
		e := server.Config.Handler.(*Entry)
		f := e.fleet.Load()
		var target gateTarget
		for _, target = range f.targets {
		}
		q := &request{entry: e, callerRequest: httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/kits", nil), service: "shop",
			deadline: e.now().Add(time.Minute), routing: e.routing.Load()}
		q.match, _ = q.routing.table.Match(http.MethodGet, "", "/kits")
		q.class = q.routing.config.Services["shop"].Classes["browse"]
		q.history = []attemptState{{Attempt: retry.Attempt{Target: target.key, Node: target.member.Node, Reason: attempt.ReasonPathFailed}, abandoned: silent}}
		_, ok := q.attemptLastResort(context.Background(), retry.Decision{Number: 2})
		if ok != silent {
			t.Errorf("connection silent %v: another attempt %v", silent, ok)
		}
	}
}

// Guards against an attempt that this entry ended for an ejection but that counts as
// the target's own failure, after which the only target is no last resort.
func TestEjectionAbandonsAttempt(t *testing.T) {
	for cause, abandoned := range map[error]bool{errConnectionSilent: true, errEjected: true, errTrickleTimeout: false, errOtherResponded: false} {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(cause)
		active := &activeAttempt{ctx: ctx}
		if r := active.pathFailure(context.Canceled); r.abandoned != abandoned {
			t.Errorf("%v: abandoned %v, want %v", cause, r.abandoned, abandoned)
		}
	}
}

// Guards against an attempt that is replaced after its result is final, which takes
// from the retry budget for nothing and races with the reader of the result.
func TestEndedAttemptIsNotReplaced(t *testing.T) {
	server := newTestEntry(t, func(w http.ResponseWriter, r *http.Request) {
		writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}, false, 1)
	e := server.Config.Handler.(*Entry)
	q := &request{entry: e, callerRequest: httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/kits", nil), service: "shop",
		deadline: e.now().Add(time.Minute), routing: e.routing.Load()}
	q.match, _ = q.routing.table.Match(http.MethodGet, "", "/kits")
	q.class = q.routing.config.Services["shop"].Classes["browse"]
	q.skipHeader = q.headerFilter()
	for _, target := range e.fleet.Load().targets {
		active := q.newAttempt(t.Context(), 1, target, true)
		if r := active.run(); r.resp == nil || r.budgetTaken {
			t.Fatalf("result %+v", r)
		}
		e.mu.Lock()
		active.replace(errTrickleTimeout)
		replaced := active.replaced
		e.mu.Unlock()
		if replaced {
			t.Error("the ended attempt was replaced")
		}
	}
}

// Guards against a request that is refused although the first target of its
// service becomes known a moment later, as after a start of all nodes.
func TestRequestWaitsForFirstTarget(t *testing.T) {
	server := newTestEntryWith(t, strings.ReplaceAll(testConfig, `"500ms"`, `"10m"`), func(w http.ResponseWriter, r *http.Request) {
		writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
	}, false, 1)
	e := server.Config.Handler.(*Entry)
	e.options.HTTPProfile.StrictStatus = true
	known := *e.fleet.Load().members["g1"]
	e.SetView(membership.View{Self: "n1"})
	go func() {
		for e.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		e.SetView(membership.View{Self: "n1", Members: []membership.Member{known}})
	}()
	resp, err := http.Post(server.URL+"/orders", "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
