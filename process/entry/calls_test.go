package entry

import (
	"net/http"
	"testing"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a refusal for the calls of a class that is taken to the next gate, which
// would multiply the requests that are let through, and against entries that do not report
// what they learned, or report where ranks do not differ.
func TestCallOverloadIsFinalAndReported(t *testing.T) {
	for text, wantCounts := range map[string]bool{rankedConfig: true, testConfig: false} {
		reports := make(chan string, 10)
		server := newTestEntryWith(t, text, func(w http.ResponseWriter, r *http.Request) {
			reports <- r.Header.Get(attempt.HeaderCallCounts)
			refuseAttempt(w, r, attempt.ReasonCallOverload)
		}, false, 3)
		for range 2 {
			resp, err := http.Get(server.URL + "/kits")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if outcome := resp.Header.Get(attempt.HeaderOutcome); resp.StatusCode != http.StatusServiceUnavailable || outcome != string(attempt.NotRun) {
				t.Errorf("status %d, outcome %s", resp.StatusCode, outcome)
			}
		}
		if len(reports) != 2 {
			t.Fatalf("%d attempts of two requests", len(reports))
		}
		first, second := <-reports, admission.ParseCallCounts(<-reports)
		if first != "" || (second.Requests > 0.5) != wantCounts || second.Accepted != 0 {
			t.Errorf("reports %q and %v, want counts: %v", first, second, wantCounts)
		}
	}
}

// Guards against a call whose target failed, or a customer's request, that is taken for a
// call without room.
func TestRefusedCalls(t *testing.T) {
	for _, c := range []struct {
		called, callRefused bool
		outcome             attempt.Outcome
		reason              attempt.Reason
		want                bool
	}{
		{called: true, outcome: attempt.NotRun, reason: attempt.ReasonOverload, want: true},
		{called: true, outcome: attempt.NotRun, reason: attempt.ReasonCallOverload, want: true},
		{called: true, outcome: attempt.Answered, callRefused: true, want: true},
		{called: true, outcome: attempt.Answered},
		{called: true, outcome: attempt.Unknown, reason: attempt.ReasonTargetFailed},
		{called: true, outcome: attempt.NotRun, reason: attempt.ReasonTargetFailing},
		{outcome: attempt.NotRun, reason: attempt.ReasonOverload},
	} {
		q := &request{called: c.called, callRefused: c.callRefused}
		q.record.Outcome, q.record.Reason = c.outcome, c.reason
		if got := q.isRefusedCall(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
