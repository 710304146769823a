package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a refusal of a target that counts as a violation of not-run, or that
// does not count on a new connection because it names no request.
func TestRefusalOfTargetIsProof(t *testing.T) {
	for name, id := range map[string]string{"with the ID": "a", "without an ID": ""} {
		f := newRawFixture(t, func(*http.Request, int) string { return rawRefusal(id) })
		if r := f.send(attemptID("a"), "/", 2*time.Second); r.verdict != string(attempt.VerdictRefused) || r.reason != string(attempt.ReasonTargetRefused) {
			t.Errorf("%s: verdict %s (%s, %v)", name, r.verdict, r.reason, r.err)
		}
	}
}
