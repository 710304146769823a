package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/connection/selection"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// Guards against evidence without the gate's load or the caller. The health tracker
// would then attribute time in a queue to a slow target, and errors from one
// customer's bad requests to the target.
func TestEvidenceCarriesLoadAndCaller(t *testing.T) {
	e := &Entry{now: time.Now, selector: selection.New(selection.Options{}, nil)}
	newAttempt := func(customer string) *activeAttempt {
		return &activeAttempt{request: &request{entry: e, customer: customer}, target: gateTarget{member: &membership.Member{}}}
	}
	a, b := newAttempt("school-1"), newAttempt("school-2")
	load := attempt.Load{Slots: 4, Limit: 3, Running: 3, Queued: 9}
	a.observeLoad(http.Header{attempt.HeaderLoad: {load.String()}})
	got, other := a.endEvidence(health.NoFault, time.Second), b.endEvidence(health.NoFault, time.Second)
	if got.Load != load || other.Load != (attempt.Load{}) {
		t.Errorf("load %+v and %+v, want %+v and none", got.Load, other.Load, load)
	}
	if got.Caller == 0 || got.Caller == other.Caller {
		t.Errorf("callers %d and %d, want two hashes", got.Caller, other.Caller)
	}
}
