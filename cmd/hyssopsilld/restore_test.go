package main_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// postLog calls the control interface of the log stand-in.
func (f *fleet) postLog(path string) {
	f.t.Helper()
	resp, err := client.Post(f.logURL+path, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("%s: %s", path, resp.Status)
	}
}

// Guards against an order that runs twice because the log was restored to a copy
// without the binding of its key, and a restarted node binds the key again.
func TestOrdersRunOnceAfterRestoredLog(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false) // the gates are in other failure domains than the entry, which prefers neither
	f.publish(testConfig)
	var targets []*targetProcess
	for i, n := range f.nodes[1:] {
		targets = append(targets, f.addTarget(n, fmt.Sprintf("t%d", i+1), "shop"))
	}
	f.waitReady("t1", "t2")
	entry := f.nodes[0]
	send := func(key string) response {
		return entry.sendRequest("POST", "/orders?work_ms=5", "one kit", "Idempotency-Key", key, "X-Customer", "c")
	}
	eventually(t, 10*time.Second, "an order is answered", func() bool { return send("before").status == http.StatusOK })
	f.postLog("/v1/checkpoint")
	var keys []string
	for i := range 8 {
		key := fmt.Sprintf("lost-%d", i)
		if resp := send(key); resp.status != http.StatusOK {
			t.Fatalf("order %s: %+v", key, resp)
		}
		keys = append(keys, key)
	}
	entry.signal(syscall.SIGKILL)
	entry.waitExit(t, 5*time.Second)
	f.postLog("/v1/restore")
	f.restart(entry)
	waitHTTP(t, "http://"+entry.admin+"/readyz", 10*time.Second)
	answered := 0
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline) && answered < len(keys); {
		answered = 0
		for _, key := range keys {
			switch resp := send(key); {
			case resp.status == http.StatusOK:
				answered++
			case resp.outcome != "unknown":
				t.Errorf("order %s sent again: %+v", key, resp)
			}
		}
	}
	executions := map[string]int{}
	for _, p := range targets {
		for key, n := range p.counts(t).Executions {
			executions[key] += n
		}
	}
	for _, key := range keys {
		if executions[key] != 1 {
			t.Errorf("order %s ran %d times", key, executions[key])
		}
	}
	t.Logf("%d of %d orders sent again got their stored response", answered, len(keys))
}

// Guards against new customer keys that stay unavailable after a restore although all
// nodes still know their bindings.
func TestNewOrdersAfterRestoredLog(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.publish(testConfig)
	target := f.addTarget(f.nodes[1], "t1", "shop")
	f.waitReady("t1")
	send := func(n *nodeProcess, key string) bool {
		return n.sendRequest("POST", "/orders?work_ms=5", "one kit", "Idempotency-Key", key, "X-Customer", "c").status == http.StatusOK
	}
	eventually(t, 10*time.Second, "an order is answered", func() bool { return send(f.nodes[0], "before") })
	f.postLog("/v1/checkpoint")
	if !send(f.nodes[0], "lost") {
		t.Fatal("order is not answered")
	}
	f.postLog("/v1/restore")
	for i, n := range f.nodes {
		key := fmt.Sprintf("after-%d", i)
		eventually(t, 10*time.Second, "a new order is answered at "+n.name, func() bool { return send(n, key) })
		if !send(n, "lost") || !send(n, "before") {
			t.Errorf("an earlier order is not answered at %s", n.name)
		}
	}
	restarted := f.nodes[2]
	restarted.signal(syscall.SIGKILL)
	f.restart(restarted)
	eventually(t, 10*time.Second, "a new order is answered at a restarted node", func() bool { return send(restarted, "restarted") })
	for key, n := range target.counts(t).Executions {
		if n != 1 {
			t.Errorf("order %s ran %d times", key, n)
		}
	}
}
