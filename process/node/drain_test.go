package node

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
)

// Guards against a drain that cuts a running request, and against one whose
// result no check looks at.
func TestDrainChecksThatNothingIsCut(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publish(t, log, testConfig)
	e := startEmbedded(t, "n1", "d1", log)
	x := startTarget(t, e, "t1")
	eventually(t, "the target answers", func() bool { status, _, _ := get(e, "/kits"); return status == 200 })
	answered := make(chan string, 1)
	go func() {
		_, outcome, body := get(e, "/kits?work_ms=1500&echo=long")
		answered <- outcome + " " + body
	}()
	eventually(t, "the long request runs", func() bool { return x.Counts().Running == 1 })
	e.Drain()
	if got := <-answered; !strings.HasPrefix(got, "answered ") || !strings.Contains(got, `"echo":"long"`) {
		t.Errorf("the running request got %q", got)
	}
	if err := <-e.done; err != nil {
		t.Error(err)
	}
	e.done <- nil // for the cleanup
	if c := e.Invariants().Counts[invariant.NoCut]; c.Checks != 2 || c.Violations != 0 {
		t.Errorf("%d checks of no-cut and %d violations, want 2 checks, one for each listener of requests", c.Checks, c.Violations)
	}
}

// Guards against a node that cuts a request at the end of its drain instead of
// answering it, when its target never answers.
func TestDrainAnswersWhatStillWaits(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publish(t, log, strings.Replace(testConfig, "hedge = true", `deadline = "5m"`, 1))
	e := startEmbedded(t, "n1", "d1", log)
	x := startTarget(t, e, "t1")
	eventually(t, "the target answers", func() bool { status, _, _ := get(e, "/kits"); return status == 200 })
	answered := make(chan string, 1)
	go func() {
		_, outcome, body := get(e, "/kits?work_ms=250000")
		answered <- outcome + " " + body
	}()
	eventually(t, "the request runs", func() bool { return x.Counts().Running == 1 })
	e.Drain()
	e.endRequests()
	if got := <-answered; !strings.HasPrefix(got, "unknown ") || !strings.Contains(got, "node-stopping") {
		t.Errorf("the request got %q", got)
	}
	if err := <-e.done; err != nil {
		t.Error(err)
	}
	e.done <- nil // for the cleanup
}

// Guards against a time limit that ends too early after a repeated signal, and
// against one that never ends.
func TestRepeatedSignalExtendsTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var answered, cut time.Duration
		var l drainLimit
		l.begin(10*time.Second, func() { answered = time.Since(begun) }, func() { cut = time.Since(begun) })
		time.Sleep(4 * time.Second)
		l.again(10 * time.Second)
		time.Sleep(time.Minute)
		synctest.Wait()
		if answered != 13*time.Second || cut != 14*time.Second {
			t.Errorf("answered after %s, cut after %s, want 13s and 14s", answered, cut)
		}
	})
}
