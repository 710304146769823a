package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/demo"
	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// demoRun is a run of the demo command without a fleet: the test supplies the
// summary, since the timing of a real run depends on the load of the host.
// Package demo tests real runs.
type demoRun struct {
	code           int
	stdout, stderr string
	options        demo.Options
}

func runDemoCommand(t *testing.T, result demo.Summary, err error, args ...string) demoRun {
	t.Helper()
	var stdout, stderr bytes.Buffer
	var run demoRun
	a := &app{stdin: strings.NewReader(""), stdout: &stdout, stderr: &stderr, now: time.Now,
		runDemo: func(_ context.Context, o demo.Options) (demo.Summary, error) {
			run.options = o
			if o.Out != nil {
				_, _ = io.WriteString(o.Out, "a line of the live table\n")
			}
			result.Seed = o.Seed
			return result, err
		}}
	run.code = a.run(context.Background(), append([]string{"hyssopsill", "demo", "--phase", "300ms"}, args...))
	run.stdout, run.stderr = stdout.String(), stderr.String()
	return run
}

// Guards against exit code 0 after a violation of an invariant.
func TestDemoExitsWithOneOnAViolation(t *testing.T) {
	violation := "outside: at-most-once: order demo-1-7 ran 2 times"
	run := runDemoCommand(t, demo.Summary{Violations: []string{violation}, Invariants: []demo.InvariantSums{{Name: invariant.AtMostOnce}}}, nil, "--double-order")
	if run.code != exitFailed || !strings.Contains(run.stdout, violation) || !strings.Contains(run.stderr, "invariant is broken") {
		t.Errorf("exit code %d, want %d\n%s%s", run.code, exitFailed, run.stdout, run.stderr)
	}
	if !run.options.DoubleOrder || run.options.Phase != 300*time.Millisecond {
		t.Errorf("the flags became %+v", run.options)
	}
}

// Guards against exit code 0 of a run that did not finish.
func TestDemoExitsWithOneOnATimeLimit(t *testing.T) {
	run := runDemoCommand(t, demo.Summary{OK: true}, fmt.Errorf("%w: nodes still run", demo.ErrNotFinished))
	if run.code != exitFailed || !strings.Contains(run.stderr, "nodes still run") {
		t.Errorf("exit code %d, want %d\n%s%s", run.code, exitFailed, run.stdout, run.stderr)
	}
}

// Guards against JSON output that contains more than the summary.
func TestDemoPrintsTheSummaryAsJSON(t *testing.T) {
	run := runDemoCommand(t, demo.Summary{OK: true}, nil, "--output", "json", "--seed", "9")
	var summary demo.Summary
	if err := json.Unmarshal([]byte(run.stdout), &summary); err != nil {
		t.Fatalf("%v\n%s", err, run.stdout)
	}
	if run.code != exitOK || !summary.OK || summary.Seed != 9 || run.options.Seed != 9 {
		t.Errorf("exit code %d, ok %v, seed %d: %v\n%s", run.code, summary.OK, summary.Seed, summary.Violations, run.stderr)
	}
}

// Guards against phases so long that the run exceeds 30 s.
func TestDemoRefusesLongPhases(t *testing.T) {
	if run := runDemoCommand(t, demo.Summary{OK: true}, nil, "--phase", "20s"); run.code != exitBadInput {
		t.Errorf("exit code %d, want %d", run.code, exitBadInput)
	}
}
