package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/connection/health"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/fallback"
	"github.com/hyssopsill/hyssopsill/request/retry"
)

// writeRefusal sends a gate's refusal.
func writeRefusal(w http.ResponseWriter, r *http.Request, reason attempt.Reason, retryAfter time.Duration) {
	h := w.Header()
	h.Set(attempt.HeaderAttempt, r.Header.Get(attempt.HeaderAttempt))
	h.Set(attempt.HeaderVerdict, string(attempt.VerdictRefused))
	h.Set(attempt.HeaderReason, string(reason))
	attempt.NewProblem("", attempt.NotRun, reason, "", retryAfter).Write(w)
}

// newStrictEntry returns the URL of an entry in the platform's profile, whose gates
// enforce the retry budget.
func newStrictEntry(t *testing.T, configText string, gateHandler http.HandlerFunc, targets int) string {
	t.Helper()
	server := newTestEntryWith(t, configText, gateHandler, false, targets)
	e := server.Config.Handler.(*Entry)
	e.options.HTTPProfile.StrictStatus, e.options.GateControlsRetries = true, true
	e.budgets = map[string]*retry.Budget{}
	return server.URL
}

func get(t *testing.T, url string) (status int, retryAfter string, duration time.Duration) {
	t.Helper()
	start := time.Now()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(start)
}

// strictConfig gives the class browse a limit on targets, so that refusals of gates do
// not count as attempts.
var strictConfig = strings.ReplaceAll(testConfig, "idempotent = true\ndeadline = \"500ms\"",
	"idempotent = true\nhedge = true\nmax_attempts = 2\nobjective = \"1s\"\ndeadline = \"4s\"")

// Guards against a request that is sent to a failing target, or rejected, while a healthy
// one could serve it after its objective.
func TestRequestQueuesLate(t *testing.T) {
	var late, forced atomic.Int32
	url := newStrictEntry(t, strictConfig, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(attempt.HeaderForce) == "1":
			forced.Add(1)
			writeRefusal(w, r, attempt.ReasonTargetFailing, time.Second)
		case r.Header.Get(attempt.HeaderTarget) == "t0":
			writeRefusal(w, r, attempt.ReasonTargetFailing, time.Second)
		case r.Header.Get(attempt.HeaderAllowLate) != "1":
			writeRefusal(w, r, attempt.ReasonOverload, 700*time.Millisecond)
		default:
			late.Add(1)
			writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
		}
	}, 3)
	if status, _, _ := get(t, url+"/kits"); status != http.StatusOK || late.Load() != 1 || forced.Load() != 0 {
		t.Errorf("status %d, %d late attempts, %d forced, want 200, 1 and 0", status, late.Load(), forced.Load())
	}
}

// Guards against a request that is held although no target can serve it in time, and
// against a rejection without a time to return.
func TestRequestWithoutRoomIsRejectedEarly(t *testing.T) {
	url := newStrictEntry(t, strictConfig, func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, r, attempt.ReasonOverload, time.Minute)
	}, 6)
	status, retryAfter, duration := get(t, url+"/kits")
	if status != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("status %d, Retry-After %q", status, retryAfter)
	}
	if duration > time.Second { // a quarter of its deadline
		t.Errorf("rejected after %s", duration)
	}
}

// Guards against a read that hangs at one target until its deadline, because the entry has
// seen too few requests of its class to know when to hedge it.
func TestHangingReadIsHedgedWithoutKnownDurations(t *testing.T) {
	for _, hedge := range []bool{true, false} {
		var attempts atomic.Int32
		text := strictConfig
		if !hedge {
			text = strings.ReplaceAll(text, "hedge = true", "hedge = false")
		}
		url := newStrictEntry(t, text, func(w http.ResponseWriter, r *http.Request) {
			switch attempts.Add(1) {
			case 1:
				<-r.Context().Done()
			case 2: // has no free slot
				writeRefusal(w, r, attempt.ReasonBusy, 0)
			default:
				writeGateResponse(w, r.Header.Get(attempt.HeaderAttempt), "ok", "ok")
			}
		}, 4)
		status, _, duration := get(t, url+"/kits")
		if hedge != (status == http.StatusOK) {
			t.Errorf("hedge %v: status %d after %s and %d attempts", hedge, status, duration, attempts.Load())
		}
	}
}

// Guards against requests that each spend a dial timeout on the same unreachable gate.
func TestUnreachableGateIsLeftOut(t *testing.T) {
	server := newTestEntry(t, func(http.ResponseWriter, *http.Request) {}, false, 2)
	e := server.Config.Handler.(*Entry)
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, target := range e.fleet.Load().targets {
		r := &result{attempt: &activeAttempt{target: target}, nothingSent: true, fault: health.GateUnresponsive}
		e.updateFailing(now, r)
		if state := e.rotationState(now, true)(key); state.Weight > 0 {
			t.Errorf("%s is in rotation after a dial without response", key)
		}
		if state := e.rotationState(now.Add(unreachableTime), true)(key); state.Weight <= 0 {
			t.Errorf("%s is still left out after %s", key, unreachableTime)
		}
		r.nothingSent = false // it may be the target that is slow
		e.updateFailing(now, r)
		if state := e.rotationState(now, true)(key); state.Weight <= 0 {
			t.Errorf("%s is left out after a request without response", key)
		}
	}
}

// Guards against a late refusal that counts as the target's failure, so that the request
// asks the same target again and again.
func TestRefusalsOfLateAttempts(t *testing.T) {
	q := &request{entry: &Entry{options: Options{HTTPProfile: attempt.HTTPProfile{StrictStatus: true}}}}
	refused := func(target string, reason attempt.Reason, late bool) attemptState {
		return attemptState{Attempt: retry.Attempt{Target: target, Verdict: attempt.VerdictRefused, Reason: reason}, allowLate: late}
	}
	q.history = []attemptState{refused("old", attempt.ReasonOverload, false), refused("a", attempt.ReasonOverload, false), refused("b", attempt.ReasonTargetFailing, false),
		refused("a", attempt.ReasonLeaving, true), refused("c", attempt.ReasonBusy, false)}
	q.round = 1
	got := q.refusals()
	want := []fallback.Refusal{{Target: "a"}, {Target: "b", Failing: true}, {Target: "a", Late: true}}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("refusals %+v, want %+v", got, want)
	}
}
