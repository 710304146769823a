package node

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssopsill/hyssopsill/process/control"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// startServingNode starts a node with a target and waits until it serves requests.
func startServingNode(t *testing.T, configText string) (*testNode, *target.Target) {
	t.Helper()
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, configText)
	node := startTestNode(t, "n1", "d1", log)
	standinTarget := startTarget(t, node, "t1")
	eventually(t, "the target responds", func() bool { status, _, _ := get(node, "/kits"); return status == 200 })
	return node, standinTarget
}

// Guards against a drain that cuts a running request, and against a drain that
// does not check the no-cut invariant.
func TestDrainCompletesRunningRequests(t *testing.T) {
	node, standinTarget := startServingNode(t, testConfig)
	received := make(chan string, 1)
	go func() {
		_, outcome, body := get(node, "/kits?work_ms=1500&echo=long")
		received <- outcome + " " + body
	}()
	eventually(t, "the long request runs", func() bool { return standinTarget.Counts().Running == 1 })
	node.Drain()
	if got := <-received; !strings.HasPrefix(got, "answered ") || !strings.Contains(got, `"echo":"long"`) {
		t.Errorf("the running request got %q", got)
	}
	if err := <-node.done; err != nil {
		t.Error(err)
	}
	node.done <- nil // for the cleanup
	if c := node.Invariants().Counts[invariant.NoCut]; c.Checks != 2 || c.Violations != 0 {
		t.Errorf("%d checks of no-cut and %d violations, want 2 checks, one for each listener of requests", c.Checks, c.Violations)
	}
}

// Guards against a drain that cuts a request whose target does not respond in
// time, instead of responding to it with outcome unknown.
func TestDrainEndsWaitingRequests(t *testing.T) {
	node, standinTarget := startServingNode(t, strings.Replace(testConfig, "hedge = true", `deadline = "5m"`, 1))
	received := make(chan string, 1)
	go func() {
		_, outcome, body := get(node, "/kits?work_ms=250000")
		received <- outcome + " " + body
	}()
	eventually(t, "the request runs", func() bool { return standinTarget.Counts().Running == 1 })
	node.Drain()
	node.endWaitingRequests()
	if got := <-received; !strings.HasPrefix(got, "unknown ") || !strings.Contains(got, "node-stopping") {
		t.Errorf("the request got %q", got)
	}
	if err := <-node.done; err != nil {
		t.Error(err)
	}
	node.done <- nil // for the cleanup
}

// Guards against requests that arrive late in a drain, are passed on and are cut at its
// end, and against a refusal of those that end before it.
func TestLateRequestsOfDrainAreTakenOnlyIfTheyEndInTime(t *testing.T) {
	node, standinTarget := startServingNode(t, strings.Replace(testConfig, "hedge = true", `deadline = "1m"`, 1))
	requests := standinTarget.Counts().Requests
	now := time.Now()
	node.entry.SetDrainTimes(now, now.Add(30*time.Second))
	if status, outcome, body := get(node, "/kits"); status != 503 || outcome != "not-run" || !strings.Contains(body, `"reason":"leaving"`) || !strings.Contains(body, "retry_after_ms") {
		t.Errorf("a request that may outlast the drain got %d, %s, %s", status, outcome, body)
	}
	if n := standinTarget.Counts().Requests - requests; n != 0 {
		t.Errorf("%d refused requests reached the target", n)
	}
	node.entry.SetDrainTimes(now, now.Add(2*time.Minute))
	if status, _, body := get(node, "/kits"); status != 200 {
		t.Errorf("a request that ends before the drain got %d, %s", status, body)
	}
	node.entry.SetDrainTimes(now.Add(time.Minute), now.Add(2*time.Second))
	if status, _, body := get(node, "/kits"); status != 200 {
		t.Errorf("a request that arrived early in the drain got %d, %s", status, body)
	}
}

// Guards against a request that comes after the notice of the signal, is taken because the
// drain began a little later, and is cut.
func TestDrainNoticeBeginsWithSignal(t *testing.T) {
	node, _ := startServingNode(t, strings.Replace(testConfig, "hedge = true", `deadline = "1m"`, 1))
	s := &node.options.Settings
	before := *s
	defer func() { *s = before }()
	s.DrainNotice, s.DrainTimeout = 20*time.Second, 40*time.Second
	node.setDrainTimes(time.Now().Add(-s.DrainNotice + 90*time.Millisecond))
	if status, _, body := get(node, "/kits"); status != 503 {
		t.Errorf("a request at the end of the notice got %d, %s", status, body)
	}
	node.setDrainTimes(time.Now().Add(-s.DrainNotice + 10*time.Second))
	if status, _, body := get(node, "/kits"); status != 200 {
		t.Errorf("a request within the notice got %d, %s", status, body)
	}
}

// Guards against a repeated signal that leaves requests refused which end in the time
// that it gives.
func TestRepeatedSignalExtendsTimeForLateRequests(t *testing.T) {
	node, _ := startServingNode(t, strings.Replace(testConfig, "hedge = true", `deadline = "1m"`, 1))
	node.options.Settings.DrainTimeout = 2 * time.Minute
	node.drainTimer.start(2*time.Minute, func() {}, func() {})
	defer node.drainTimer.stop()
	node.setDrainTimes(time.Now().Add(-100 * time.Second))
	if status, _, body := get(node, "/kits"); status != 503 {
		t.Errorf("before the second signal: %d, %s", status, body)
	}
	node.ExtendDrain()
	if status, _, body := get(node, "/kits"); status != 200 {
		t.Errorf("after the second signal: %d, %s", status, body)
	}
}

// Guards against a drain timeout that ends too early after a repeated signal, and
// against one that never ends.
func TestRepeatedSignalExtendsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var endedWaitingAfter, cutAfter time.Duration
		var timer drainTimer
		timer.start(10*time.Second, func() { endedWaitingAfter = time.Since(startedAt) }, func() { cutAfter = time.Since(startedAt) })
		time.Sleep(4 * time.Second)
		timer.extend(10 * time.Second)
		time.Sleep(time.Minute)
		synctest.Wait()
		if endedWaitingAfter != 13*time.Second || cutAfter != 14*time.Second {
			t.Errorf("ended waiting requests after %s, cut after %s, want 13s and 14s", endedWaitingAfter, cutAfter)
		}
	})
}

// Guards against a repeated signal in the last tenth of the drain timeout that does not
// give responses in delivery the further time.
func TestSignalNearDrainTimeoutExtendsDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var endedWaitingAfter, cutAfter time.Duration
		var timer drainTimer
		timer.start(10*time.Second, func() { endedWaitingAfter = time.Since(startedAt) }, func() { cutAfter = time.Since(startedAt) })
		time.Sleep(9500 * time.Millisecond)
		timer.extend(10 * time.Second)
		time.Sleep(time.Minute)
		synctest.Wait()
		if endedWaitingAfter != 9*time.Second || cutAfter != 19500*time.Millisecond {
			t.Errorf("ended waiting requests after %s, cut after %s, want 9s and 19.5s", endedWaitingAfter, cutAfter)
		}
	})
}

// Guards against a node that cuts its running requests because another process has
// taken over its name.
func TestSupersededNodeCompletesRunningRequests(t *testing.T) {
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, strings.Replace(testConfig, "hedge = true", `deadline = "1m"`, 1))
	node := startTestNode(t, "n1", "d1", log)
	standinTarget := startTarget(t, node, "t1")
	startTestNode(t, "n2", "d2", log)
	eventually(t, "the nodes know each other", func() bool { return len(node.fleet.gossip.View().Members) == 2 })
	eventually(t, "the target responds", func() bool { status, _, _ := get(node, "/kits"); return status == 200 })
	received := make(chan string, 1)
	go func() {
		_, outcome, body := get(node, "/kits?work_ms=2500&echo=long")
		received <- outcome + " " + body
	}()
	eventually(t, "the long request runs", func() bool { return standinTarget.Counts().Running == 1 })
	startTestNode(t, "n1", "d1", log)
	if got := <-received; !strings.HasPrefix(got, "answered ") {
		t.Errorf("the running request got %q", got)
	}
	if err := <-node.done; !errors.Is(err, control.ErrSuperseded) {
		t.Errorf("the node ended with %v, want %v", err, control.ErrSuperseded)
	}
	node.done <- nil // for the cleanup
}
