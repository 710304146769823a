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

// savedLogs writes what the processes of a fleet wrote to files, as a collector
// of logs does, and returns their names.
func (f *fleet) savedLogs() []string {
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

// explainLogs runs the command of docs/OPERATIONS.md on saved logs.
func explainLogs(t *testing.T, files []string, id string) (a logfile.Timeline) {
	t.Helper()
	args := []string{"explain", "--output", "json"}
	for _, file := range files {
		args = append(args, "--logs", file)
	}
	out, err := exec.Command(filepath.Join(binaries, "hyssopsill"), append(args, id)...).Output()
	if err != nil {
		t.Errorf("explain %s: %v", id, err)
		return a
	}
	if err := json.Unmarshal(out, &a); err != nil {
		t.Errorf("explain %s: %v\n%s", id, err, out)
	}
	return a
}

// countersAgainstLines compares the counters of refusals, repeats and changes of
// belief with the lines, and returns how they differ.
func (n *nodeProcess) countersAgainstLines(t *testing.T) string {
	t.Helper()
	var vars struct {
		Outcomes map[string]map[string]int
		Attempts map[string]int
		Changes  map[string]int
		Dropped  int `json:"log_lines_dropped"`
	}
	getJSON(t, "http://"+n.admin+"/debug/vars", &vars)
	counted, told := map[string]int{}, map[string]int{}
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
	var l logfile.Log
	if err := l.Read(n.name, strings.NewReader(n.out.String())); err != nil {
		return err.Error()
	}
	again := telemetry.New(telemetry.Options{})
	for i := range l.Records {
		r := &l.Records[i]
		again.ObserveRecord(*r)
		if q := r.Request; q != nil && (q.Outcome != attempt.Answered || q.Reason != attempt.ReasonNone) {
			name := "outcome " + string(q.Outcome)
			if q.Reason != attempt.ReasonNone {
				name += "." + string(q.Reason)
			}
			told[name]++
		}
	}
	for kind, counts := range map[string]map[string]int64{"change ": again.Changes(), "attempt ": again.Attempts()} {
		for name, count := range counts {
			if kind == "change " || strings.HasPrefix(name, "repeat.") {
				told[kind+name] += int(count)
			}
		}
	}
	if vars.Dropped > 0 {
		return fmt.Sprintf("%d lines were dropped, the test sends too much", vars.Dropped)
	}
	if !maps.Equal(counted, told) {
		return fmt.Sprintf("the counters say %v, the lines say %v", counted, told)
	}
	return ""
}

// cause reports whether a record tells why a request ended as it did.
func cause(r *record.Request) bool {
	for i := range r.Attempts {
		if a := &r.Attempts[i]; a.Reason != attempt.ReasonNone || a.Status >= 500 || a.Next != "" {
			return true
		}
	}
	return r.Reason != attempt.ReasonNone
}

// Guards against a refused, failed or late request whose cause cannot be found
// from its id in the saved logs of the processes alone.
func TestEveryFailureHasACauseLine(t *testing.T) {
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
	f.ready(ids...)
	var mu sync.Mutex
	wanted := map[string]answer{}
	for _, faults := range []string{`{"fail_share":0.7}`, `{"truncate_share":0.7}`, `{"mute":true}`, `{"slow_ms":400}`, `{}`} {
		for _, x := range targets[:3] {
			x.faults(t, faults)
		}
		if faults == `{}` { // a node dies while requests run at its gate
			go func() { time.Sleep(50 * time.Millisecond); f.nodes[2].signal(syscall.SIGKILL) }()
		}
		var wg sync.WaitGroup
		for i := range 18 {
			wg.Go(func() {
				n := f.nodes[i%2]
				a := n.do([]string{"GET", "POST"}[i%2], []string{"/kits", "/orders"}[i/2%2]+"?work_ms=60", "")
				if a.id != "" && (a.outcome != "answered" || a.status >= 500) {
					mu.Lock()
					wanted[a.id] = a
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	refused := f.nodes[0].do("GET", "/nowhere", "")
	wanted[refused.id] = refused
	for _, n := range f.nodes[:2] {
		var difference string
		eventually(t, 10*time.Second, "counters that agree with the lines", func() bool {
			difference = n.countersAgainstLines(t)
			return difference == ""
		})
		if difference != "" {
			t.Errorf("%s: %s", n.name, difference)
		}
		n.signal(syscall.SIGTERM)
		n.wait(t, 20*time.Second)
	}
	if len(wanted) < 5 {
		t.Fatalf("only %d requests failed or were refused", len(wanted))
	}
	files := f.savedLogs()
	sample := 0
	for id, a := range wanted {
		if sample++; sample > 25 { // each runs the command
			break
		}
		x := explainLogs(t, files, id)
		i := slices.IndexFunc(x.Records, func(r record.Record) bool { return r.Request != nil })
		switch {
		case i < 0:
			t.Errorf("request %s (%s %s) has no line", id, a.outcome, a.reason)
		case string(x.Records[i].Request.Outcome) != a.outcome || x.Records[i].Request.Status != a.status || !cause(x.Records[i].Request):
			t.Errorf("request %s ended %s with %d; its line says %+v", id, a.outcome, a.status, x.Records[i].Request)
		}
	}
	t.Logf("%d failed or refused requests, %d of them sampled", len(wanted), min(sample, 25))
}
