package gate

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	standin "github.com/hyssopsill/hyssopsill/standin/target"
	"github.com/hyssopsill/hyssopsill/version/config"
)

// Guards against requests that begin although the calls of their class find no room, and
// against refusals where ranks do not differ, for errors of the target itself, or of work
// that is a call.
func TestCallThrottleAtGate(t *testing.T) {
	for name, c := range map[string]struct{ ranked, refusedCall, called, want bool }{
		"calls find no room":   {ranked: true, refusedCall: true, want: true},
		"ranks do not differ":  {refusedCall: true},
		"the target fails":     {ranked: true},
		"the work is a call":   {ranked: true, refusedCall: true, called: true},
		"no ranks, no refusal": {},
	} {
		clock := &fakeClock{now: time.Unix(1000, 0)}
		g := newBudgetGate(t, clock)
		rank := 0
		if c.ranked {
			rank = 2
		}
		g.SetConfig(&config.Config{Services: map[string]config.Service{"shop": {Classes: map[string]config.Class{"order": {Rank: rank}, "browse": {}}}}})
		if c.called {
			for range 16 {
				g.callers.Observe("order", "shop")
			}
		}
		refused := 0
		for range 200 {
			e := newExchange(g, false)
			e.class, e.rank, e.deadline = "order", 34, clock.now.Add(6*time.Second)
			if !e.checkCallThrottle() {
				refused++
				h := e.w.(*httptest.ResponseRecorder).Header()
				if h.Get(attempt.HeaderVerdict) != string(attempt.VerdictRefused) || h.Get(attempt.HeaderReason) != string(attempt.ReasonCallOverload) {
					t.Fatalf("%s: %v", name, h)
				}
				continue
			}
			e.target, e.started, e.sentAt = g.targets["t1"], true, clock.now
			clock.now = clock.now.Add(20 * time.Millisecond)
			if c.refusedCall {
				g.NoteRefusedCall()
			}
			e.reportStatus(http.StatusInternalServerError)
			h := http.Header{}
			e.setLoadHeaders(h)
			if reported := h.Get(attempt.HeaderCallRefused) == "1"; reported != (c.ranked && c.refusedCall) || (h.Get(attempt.HeaderCalled) == "1") != (reported && c.called) {
				t.Fatalf("%s: the entry is told %v", name, h)
			}
		}
		if (refused > 0) != c.want || refused == 200 {
			t.Errorf("%s: %d of 200 requests refused", name, refused)
		}
	}
}

// Guards against a throttle that an attempt does not pass on its way to the target, and
// against a refusal as not run of a request that the target has got.
func TestThrottledAttemptsDoNotRun(t *testing.T) {
	f := newFixture(t, 4, false)
	f.target.SetFaults(standin.Faults{FailShare: 1, SlowMS: 10})
	f.gate.mu.Lock()
	f.gate.ranked = true
	f.gate.mu.Unlock()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { // calls of the target find no room
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				f.gate.NoteFailedCall()
				f.gate.NoteRefusedCall()
			}
		}
	})
	ran, refused := 0, 0
	for i := range 60 {
		r := f.send(attemptID(fmt.Sprint("r", i)), "/a", time.Second, attempt.HeaderClass, "order", attempt.HeaderRank, "34", attempt.HeaderForce, "1")
		switch {
		case r.reason == string(attempt.ReasonCallOverload) && r.status == http.StatusServiceUnavailable:
			refused++
		case r.status == http.StatusInternalServerError:
			ran++
		}
	}
	close(done)
	wg.Wait()
	if refused < 10 || ran < 3 || ran+refused != 60 {
		t.Errorf("%d of 60 attempts ran, %d were refused", ran, refused)
	}
	if n := f.target.Counts().Requests; n != int64(ran) {
		t.Errorf("the target got %d requests, %d attempts ran", n, ran)
	}
}
