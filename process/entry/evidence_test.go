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

// Guards against a gate that is not told how much is left of the retry budgets of the
// services that its targets call.
func TestRoomOfCalledServicesIsPassedOn(t *testing.T) {
	var got []float64
	e := New(Options{Node: "n1", Now: time.Now, OnCalledRoom: func(service string, room float64) {
		if service != "library" {
			t.Errorf("room of service %q, want library", service)
		}
		got = append(got, room)
	}})
	a := &activeAttempt{request: &request{entry: e}, target: gateTarget{info: membership.Target{Service: "library"}, member: &membership.Member{}}}
	for _, text := range []string{"0.25", "", "NaN", "-1", "2", "x"} {
		a.observeLoad(http.Header{attempt.HeaderBudgetRoom: {text}})
	}
	if len(got) != 1 || got[0] != 0.25 {
		t.Errorf("room %v, want 0.25 only", got)
	}
}
