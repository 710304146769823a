package main_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/logfile"
	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/record"
)

// saveLogs writes the output of each node to a file, as a log collector does, and
// returns the names of the files.
func (f *fleet) saveLogs() []string {
	f.t.Helper()
	dir := f.t.TempDir()
	var files []string
	for _, n := range f.nodes {
		file := filepath.Join(dir, n.name+".log")
		if err := os.WriteFile(file, []byte(n.out.String()), 0o600); err != nil {
			f.t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// explainLogs runs explain on saved logs, as docs/OPERATIONS.md shows, and returns
// the timeline.
func explainLogs(t *testing.T, files []string, id string) (timeline logfile.Timeline) {
	t.Helper()
	args := []string{"explain", "--output", "json"}
	for _, file := range files {
		args = append(args, "--logs", file)
	}
	out, err := exec.Command(filepath.Join(binaries, "hyssopsill"), append(args, id)...).Output()
	if err != nil {
		t.Errorf("explain %s: %v", id, err)
		return timeline
	}
	if err := json.Unmarshal(out, &timeline); err != nil {
		t.Errorf("explain %s: %v\n%s", id, err, out)
	}
	return timeline
}

// compareCountersWithLog compares the counters of refusals, retries and state
// changes with the log lines and returns how they differ, or "".
func (n *nodeProcess) compareCountersWithLog(t *testing.T) string {
	t.Helper()
	var vars struct {
		Outcomes map[string]map[string]int
		Attempts map[string]int
		Changes  map[string]int
		Dropped  int `json:"log_lines_dropped"`
	}
	getJSON(t, "http://"+n.admin+"/debug/vars", &vars)
	counted, logged := map[string]int{}, map[string]int{}
	for _, counts := range vars.Outcomes {
		for name, count := range counts {
			if name != string(attempt.Answered) {
				counted["outcome "+name] += count
			}
		}
	}
	for name, count := range vars.Attempts {
		if strings.HasPrefix(name, "repeat.") {
			counted["attempt "+name] += count
		}
	}
	for name, count := range vars.Changes {
		counted["change "+name] += count
	}
	var log logfile.Log
	if err := log.Read(n.name, strings.NewReader(n.out.String())); err != nil {
		return err.Error()
	}
	recount := telemetry.New(telemetry.Options{})
	for i := range log.Records {
		r := &log.Records[i]
		recount.ObserveRecord(*r)
		if request := r.Request; request != nil && (request.Outcome != attempt.Answered || request.Reason != attempt.ReasonNone) {
			name := "outcome " + string(request.Outcome)
			if request.Reason != attempt.ReasonNone {
				name += "." + string(request.Reason)
			}
			logged[name]++
		}
	}
	for kind, counts := range map[string]map[string]int64{"change ": recount.Changes(), "attempt ": recount.Attempts()} {
		for name, count := range counts {
			if kind == "change " || strings.HasPrefix(name, "repeat.") {
				logged[kind+name] += int(count)
			}
		}
	}
	if vars.Dropped > 0 {
		return fmt.Sprintf("%d log lines were dropped, the test sends too many requests", vars.Dropped)
	}
	if !maps.Equal(counted, logged) {
		return fmt.Sprintf("counters show %v, log lines show %v", counted, logged)
	}
	return ""
}

// hasCause reports whether the record of a request contains the cause of its
// outcome.
func hasCause(request *record.Request) bool {
	for i := range request.Attempts {
		if a := &request.Attempts[i]; a.Reason != attempt.ReasonNone || a.Status >= 500 || a.Next != "" {
			return true
		}
	}
	return request.Reason != attempt.ReasonNone
}

// Guards against a refused, failed or late request whose cause cannot be found by
// its id in the saved logs of the processes alone, and against counters that
// disagree with the log lines.
func TestEveryFailureHasALoggedCause(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, false)
	f.publish(testConfig)
	var targets []*targetProcess
	var ids []string
	for i := range 4 {
		id := fmt.Sprintf("t%d", i+1)
		targets = append(targets, f.addTarget(f.nodes[i%3], id, "shop"))
		ids = append(ids, id)
	}
	f.waitReady(ids...)
	var mu sync.Mutex
	failures := map[string]response{}
	for _, faults := range []string{`{"fail_share":0.7}`, `{"truncate_share":0.7}`, `{"mute":true}`, `{"slow_ms":400}`, `{}`} {
		for _, p := range targets[:3] {
			p.setFaults(t, faults)
		}
		if faults == `{}` { // kills a node while requests run at its gate
			go func() { time.Sleep(50 * time.Millisecond); f.nodes[2].signal(syscall.SIGKILL) }()
		}
		var wg sync.WaitGroup
		for i := range 18 {
			wg.Go(func() {
				n := f.nodes[i%2]
				resp := n.sendRequest([]string{"GET", "POST"}[i%2], []string{"/kits", "/orders"}[i/2%2]+"?work_ms=60", "")
				if resp.requestID != "" && (resp.outcome != "answered" || resp.status >= 500) {
					mu.Lock()
					failures[resp.requestID] = resp
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	refused := f.nodes[0].sendRequest("GET", "/nowhere", "")
	failures[refused.requestID] = refused
	for _, n := range f.nodes[:2] {
		var difference string
		eventually(t, 10*time.Second, "counters that agree with the log lines", func() bool {
			difference = n.compareCountersWithLog(t)
			return difference == ""
		})
		if difference != "" {
			t.Errorf("%s: %s", n.name, difference)
		}
		n.signal(syscall.SIGTERM)
		n.waitExit(t, 20*time.Second)
	}
	if len(failures) < 5 {
		t.Fatalf("only %d requests failed or were refused", len(failures))
	}
	files := f.saveLogs()
	sampled := 0
	for id, resp := range failures {
		if sampled++; sampled > 25 { // each check starts a process
			break
		}
		timeline := explainLogs(t, files, id)
		i := slices.IndexFunc(timeline.Records, func(r record.Record) bool { return r.Request != nil })
		switch {
		case i < 0:
			t.Errorf("request %s (%s %s) has no log line", id, resp.outcome, resp.reason)
		case string(timeline.Records[i].Request.Outcome) != resp.outcome || timeline.Records[i].Request.Status != resp.status || !hasCause(timeline.Records[i].Request):
			t.Errorf("request %s ended %s with %d; its log line says %+v", id, resp.outcome, resp.status, timeline.Records[i].Request)
		}
	}
	t.Logf("%d failed or refused requests, %d of them checked", len(failures), min(sampled, 25))
}
