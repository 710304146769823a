package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/retry"
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
