package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/connection/admission"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// Guards against a refusal for the calls of a class that is taken to the next gate, which
// would multiply the requests that are let through, and against entries that do not report
// what they learned, or report where ranks do not differ.
func TestCallOverloadIsFinalAndReported(t *testing.T) {
	ranked := strings.Replace(testConfig, "[services.shop.classes.browse]", "[services.shop.classes.browse]\nrank = 2", 1)
	for text, wantCounts := range map[string]bool{ranked: true, testConfig: false} {
		reports := make(chan string, 10)
		server := newTestEntryWith(t, text, func(w http.ResponseWriter, r *http.Request) {
			reports <- r.Header.Get(attempt.HeaderCallCounts)
			w.Header().Set(attempt.HeaderAttempt, r.Header.Get(attempt.HeaderAttempt))
			w.Header().Set(attempt.HeaderVerdict, string(attempt.VerdictRefused))
			w.Header().Set(attempt.HeaderReason, string(attempt.ReasonCallOverload))
			attempt.NewProblem("r", attempt.NotRun, attempt.ReasonCallOverload, "", 0).Write(w)
		}, false, 3)
		for range 2 {
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/kits", nil)
			resp, err := http.DefaultClient.Do(req)
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
