package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var binaries string

// TestMain builds the programs once; the tests start them as processes.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hyssopsill-soak-test")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/hyssopsilld", "../cmd/hyssopsill-standin", "../cmd/hyssopsill")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// regressionSeeds lists seeds that have failed, with the cause of the failure.
var regressionSeeds = []struct {
	seed   uint64
	faults time.Duration
	cause  string
}{
	{41, 8 * time.Second, "no-cut: a node paused during its drain notice closed its listener with connections in the backlog"},
	{103, 8 * time.Second, "poison: a dial reset by a dying target was taken for one of a live target, and a quarantined copy was retried"},
	{771903, 8 * time.Second, "recovery: the soak left a target failing, as its call that enabled the fault had no response, not a fault of the fleet"},
	{5101, 3 * time.Second, "requested-end, no-cut: SIGHUP ended a node 0.08 s after SIGTERM, with its requests in progress"},
	{8006, 10 * time.Second, "target-rate: the gate started work whenever a slot was free, above the rate that the target named"},
	{32, 8 * time.Second, "recovery: the soak left a target leaving after a drain that failed, not a fault of the fleet"},
}

func runSoak(t *testing.T, o Options) Report {
	t.Helper()
	o.Binaries, o.Dir = binaries, filepath.Join(t.TempDir(), "run")
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if !report.OK {
		t.Errorf("seed %d: %+v", o.Seed, report.Violations)
	}
	if report.Outcomes["answered"] == 0 || report.Executions == 0 || report.Views == 0 {
		t.Errorf("seed %d: no call was answered, executed or observed: %+v", o.Seed, report)
	}
	for _, name := range []string{"report.json", "report.html", "history.json"} {
		if _, err := os.Stat(filepath.Join(o.Dir, name)); err != nil {
			t.Error(err)
		}
	}
	return report
}

// Guards against violations under faults, and against a soak that observes nothing. The
// plan of the seed has accounts and hostile clients.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	report := runSoak(t, Options{Seed: 3, Faults: 4 * time.Second})
	if report.Limits.LimitedRuns == 0 || report.Limits.Unauthenticated == 0 || report.PeakKiB == 0 {
		t.Errorf("no request of a limited account ran, no key was refused or no memory was read: %+v", report)
	}
	if report.Uploads == 0 {
		t.Errorf("no long upload was answered: %+v", report)
	}
	crowds := 0
	for _, kind := range hostileKinds {
		crowds += report.Events[kind]
	}
	if crowds == 0 || report.Events[AccountSurge] == 0 {
		t.Errorf("the plan lacks a surge or hostile clients: %v", report.Events)
	}
}

// Guards against the return of failures that earlier seeds found.
func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	for _, c := range regressionSeeds {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			t.Log(c.cause)
			runSoak(t, Options{Seed: c.seed, Faults: c.faults})
		})
	}
}

// Guards against a fault that stays enabled until the end of the run, because the call
// that enabled it got no response and took effect later. The run then checks a fleet
// with a failing target.
func TestLateFaultIsCleared(t *testing.T) {
	var mu sync.Mutex
	calls, faults := 0, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		calls++
		late := calls == 1
		mu.Unlock()
		if late {
			time.Sleep(300 * time.Millisecond)
		}
		mu.Lock()
		faults = string(body)
		mu.Unlock()
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	in := &injector{fleet: &fleet{logURL: server.URL, client: &http.Client{Timeout: 100 * time.Millisecond}}}
	if err := in.enableFaultsFor(t.Context(), server.URL, `{"hang":true}`, time.Hour); err == nil {
		t.Fatal("the call that enables the fault got a response")
	}
	time.Sleep(500 * time.Millisecond)
	if err := in.clearFaults(t.Context()); err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if faults != noFaults {
		t.Errorf("faults %s are still enabled", faults)
	}
}

// Guards against a soak that reads files of an earlier run as its own or starts more
// processes than the limit.
func TestRunRefusesBadOptions(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "executions.jsonl"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), Options{Dir: dir, Binaries: binaries}); err == nil {
		t.Error("a directory with files was accepted")
	}
	if _, err := Run(context.Background(), Options{Dir: filepath.Join(dir, "new"), Binaries: binaries, Nodes: MaxProcesses}); err == nil {
		t.Error("too many processes were accepted")
	}
	if _, err := Run(context.Background(), Options{Dir: filepath.Join(dir, "none"), Binaries: dir}); err == nil {
		t.Error("a directory without programs was accepted")
	}
}
