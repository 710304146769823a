package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/settings"
	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/standin/target"
	"github.com/hyssopsill/hyssopsill/version/membership"
)

// handoverFixture is node n1 with the only target, and node n2, whose entry sends to it.
type handoverFixture struct {
	n1, n2 *testNode
	target *target.Target
}

// newHandoverFixture starts the nodes. Requests to /kits have a deadline of 10 s and are
// idempotent; /short and /orders may run at most once, with deadlines of 1 s and 10 s.
func newHandoverFixture(t *testing.T, handover, timeout time.Duration) *handoverFixture {
	t.Helper()
	log := logservice.New(logservice.Options{})
	publishConfig(t, log, strings.Replace(strings.Replace(testConfig, "hedge = true", `deadline = "10s"`, 1),
		`priority = "order"`, "priority = \"order\"\ndeadline = \"10s\"\n[services.shop.classes.short]\ndeadline = \"1s\"", 1)+`
[[routes]]
id = "short"
path_prefix = "/short"
service = "shop"
class = "short"
`)
	f := &handoverFixture{}
	f.n1 = startTestNode(t, "n1", "d1", log, func(s *settings.Settings) {
		s.DrainNotice, s.DrainHandover, s.DrainTimeout = max(2*time.Second, handover), handover, timeout
	})
	f.target = startTarget(t, f.n1, "t1")
	f.n2 = startTestNode(t, "n2", "d2", log)
	for range 5 { // the gate knows the usual service time
		eventually(t, "the target responds", func() bool { status, _, _ := get(f.n2, "/kits"); return status == 200 })
	}
	return f
}

// state returns the state of n1 that n2 knows.
func (f *handoverFixture) state() membership.NodeState {
	for _, m := range f.n2.fleet.gossip.View().Members {
		if m.Node == "n1" {
			return m.State
		}
	}
	return ""
}

// expect sends a request through n2 and checks its status and that a refusal proves that
// it did not run.
func (f *handoverFixture) expect(t *testing.T, method, path string, status int) {
	t.Helper()
	req, _ := http.NewRequest(method, "http://"+f.n2.Addresses().Caller+path, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if outcome := resp.Header.Get("Hyssopsill-Outcome"); resp.StatusCode != status || status != 200 && outcome != "not-run" {
		t.Errorf("%s %s: got %d, %s, want %d", method, path, resp.StatusCode, outcome, status)
	}
}

// Guards against a drain that leaves a healthy target without work from the signal on,
// against one that other nodes learn of too early, and against work that the drain may cut.
func TestNodeInHandoverKeepsTargetBusy(t *testing.T) {
	for _, handover := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint("drain_handover=", handover), func(t *testing.T) {
			f := newHandoverFixture(t, handover, 5*time.Second)
			signalledAt := time.Now()
			f.n1.Drain()
			if ok, _ := f.n1.ready(); ok {
				t.Error("a draining node is ready")
			}
			before := f.target.Counts().Requests
			if handover > 0 {
				f.expect(t, http.MethodGet, "/kits", 200)
				f.expect(t, http.MethodPost, "/short", 200)
				f.expect(t, http.MethodPost, "/orders", 503)
				if state := f.state(); state != membership.NodeAlive {
					t.Errorf("n1 is %s to n2 in the handover", state)
				}
			} else {
				f.expect(t, http.MethodGet, "/kits", 503)
			}
			resp, err := http.Get("http://" + f.n1.Addresses().Caller + "/kits")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if !resp.Close {
				t.Error("a response of the draining node keeps its connection")
			}
			eventually(t, "n2 learns that n1 leaves", func() bool { return f.state() == membership.NodeLeaving })
			if after := time.Since(signalledAt); after < handover || after > handover+time.Second {
				t.Errorf("n2 learned that n1 leaves after %s", after)
			}
			if served := f.target.Counts().Requests - before; (served > 0) != (handover > 0) {
				t.Errorf("the target got %d requests after the signal", served)
			}
			before = f.target.Counts().Requests
			f.expect(t, http.MethodGet, "/kits", 503)
			if served := f.target.Counts().Requests - before; served != 0 {
				t.Errorf("the target got %d requests after the handover", served)
			}
		})
	}
}

// Guards against work for a target that leaves together with its node.
func TestWithdrawnTargetGetsNoWorkInHandover(t *testing.T) {
	f := newHandoverFixture(t, 1500*time.Millisecond, 5*time.Second)
	f.n1.Drain()
	f.expect(t, http.MethodGet, "/kits", 200)
	f.n1.gate.DrainTarget(time.Now(), "t1")
	f.expect(t, http.MethodGet, "/kits", 503)
}

// Guards against a handover that goes on although the drain ends, or that keeps idempotent
// work which the drain cuts.
func TestDrainTimeoutShorterThanHandover(t *testing.T) {
	f := newHandoverFixture(t, 2*time.Second, time.Second)
	signalledAt := time.Now()
	f.n1.Drain()
	f.expect(t, http.MethodGet, "/kits", 200)
	f.expect(t, http.MethodPost, "/short", 503)
	time.Sleep(time.Until(signalledAt.Add(950 * time.Millisecond)))
	f.expect(t, http.MethodGet, "/kits", 503)
	if err := <-f.n1.done; err != nil {
		t.Error(err)
	}
	f.n1.done <- nil // for the cleanup
	if after := time.Since(signalledAt); after > 3*time.Second {
		t.Errorf("the drain took %s", after)
	}
}

// Guards against a repeated signal that gives accepted work no more time, and against one
// that starts a new handover. A repeated request to drain changes nothing.
func TestRepeatedSignalInHandover(t *testing.T) {
	f := newHandoverFixture(t, 1500*time.Millisecond, 2*time.Second)
	signalledAt := time.Now()
	resp, err := http.Post("http://"+f.n1.Addresses().Admin+"/v1/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	f.expect(t, http.MethodGet, "/kits", 200)
	time.Sleep(time.Until(signalledAt.Add(1200 * time.Millisecond)))
	f.expect(t, http.MethodPost, "/short", 503)
	f.n1.Drain()
	f.expect(t, http.MethodPost, "/short", 503)
	f.n1.ExtendDrain()
	f.expect(t, http.MethodPost, "/short", 200)
	time.Sleep(time.Until(signalledAt.Add(1550 * time.Millisecond)))
	f.expect(t, http.MethodGet, "/kits", 503)
}

// Guards against a node that goes on accepting work, or is still announced, although
// another process has taken over its name.
func TestFailedNodeHasNoHandover(t *testing.T) {
	for _, draining := range []bool{false, true} {
		t.Run(fmt.Sprint("draining=", draining), func(t *testing.T) {
			f := newHandoverFixture(t, 10*time.Second, 30*time.Second)
			if draining {
				f.n1.Drain()
				f.expect(t, http.MethodGet, "/kits", 200)
			}
			failedAt := time.Now()
			f.n1.fail(errDrained)
			eventually(t, "n2 learns that n1 leaves", func() bool { return f.state() == membership.NodeLeaving })
			f.expect(t, http.MethodGet, "/kits", 503)
			if after := time.Since(failedAt); after > 2*time.Second {
				t.Errorf("n1 left after %s", after)
			}
			f.n1.stop(errDrained)
		})
	}
}
