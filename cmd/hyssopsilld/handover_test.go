package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a reload that ends the handover of a draining node or changes its times,
// and against a node that was paused until after its handover and accepts work.
func TestReloadAndPauseInHandover(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, false)
	n1 := f.addNode("n1", "d1", false, `drain_notice = "4s"`, `drain_handover = "3s"`, `drain_timeout = "30s"`)
	n2 := f.addNode("n2", "d2", false)
	f.publish(testConfig)
	t1 := f.addTarget(n1, "t1", "shop")
	f.waitReady("t1")
	eventually(t, 10*time.Second, "n2 reaches t1", func() bool { return n2.sendRequest("GET", "/kits", "").status == 200 })
	signalledAt := time.Now()
	n1.signal(syscall.SIGTERM)
	n1.awaitOutput(t, `("kind":"drain")`)
	text, err := os.ReadFile(n1.file)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, n1.file, strings.Replace(string(text), `drain_handover = "3s"`, `drain_handover = "0s"`, 1))
	n1.signal(syscall.SIGHUP)
	n1.awaitOutput(t, `(changed settings take effect at the next start)`)
	resp := n2.sendRequest("GET", "/kits", "")
	if elapsed := time.Since(signalledAt); elapsed < 2500*time.Millisecond && resp.status != 200 {
		t.Errorf("%s after the signal: %d %s", elapsed, resp.status, resp.reason)
	}
	n1.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(signalledAt.Add(3100 * time.Millisecond)))
	before := t1.counts(t).Requests
	n1.signal(syscall.SIGCONT)
	for range 5 {
		if resp := n2.sendRequest("GET", "/kits", ""); resp.status != 503 || resp.outcome != "not-run" {
			t.Errorf("after the handover: %d %s %s", resp.status, resp.outcome, resp.reason)
		}
	}
	if after := t1.counts(t).Requests; after != before {
		t.Errorf("t1 got %d requests after the handover", after-before)
	}
	n1.waitExit(t, 20*time.Second)
}
