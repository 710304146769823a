package gate

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against an earlier refusal that a faulty target writes once more on a kept
// connection, and that is taken for the refusal of a request which the target runs.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		repeated string // ID that the repeated refusal names
		first    func(id string) string
		requests []string
	}{
		"without an ID":       {"", rawAnswer, []string{"a", "b"}},
		"of another request":  {"a", rawRefusal, []string{"a", "b"}},
		"of the same request": {"a", rawRefusal, []string{"a", "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			seen := map[string]bool{}
			f := newRawFixture(t, func(r *http.Request, number int) string {
				id := r.Header.Get("X-Id")
				if number == 0 && !seen[id] {
					seen[id] = true
					return test.first(id)
				}
				runs.Add(1)
				if number == 0 { // a new connection has carried no refusal
					return rawAnswer(id)
				}
				return rawRefusal(test.repeated) + rawAnswer(id)
			})
			for i, request := range test.requests {
				r := f.send(fmt.Sprintf("%s/%d/e1/1-1", request, i+1), "/", 2*time.Second)
				if i == 1 && (runs.Load() != 1 || r.verdict == string(attempt.VerdictRefused)) {
					t.Errorf("verdict %s (%s, %v) after %d runs", r.verdict, r.reason, r.err, runs.Load())
				}
			}
		})
	}
}
