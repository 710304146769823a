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

// demoRun is a run of the demo command with a given result instead of a fleet,
// whose pace hangs on the load of the machine. Package demo tests real runs.
type demoRun struct {
	code           int
	stdout, stderr string
	options        demo.Options
}

func runDemo(t *testing.T, result demo.Summary, err error, args ...string) demoRun {
	t.Helper()
	var stdout, stderr bytes.Buffer
	var d demoRun
	a := &app{stdin: strings.NewReader(""), stdout: &stdout, stderr: &stderr, now: time.Now,
		runDemo: func(_ context.Context, o demo.Options) (demo.Summary, error) {
			d.options = o
			if o.Out != nil {
				_, _ = io.WriteString(o.Out, "a line of the live table\n")
			}
			result.Seed = o.Seed
			return result, err
		}}
	d.code = a.run(context.Background(), append([]string{"hyssopsill", "demo", "--phase", "300ms"}, args...))
	d.stdout, d.stderr = stdout.String(), stderr.String()
	return d
}

// Guards against a broken invariant that does not show in the exit code.
func TestDemoExitsWithOneOnAViolation(t *testing.T) {
	violation := "outside: at-most-once: order demo-1-7 ran 2 times"
	d := runDemo(t, demo.Summary{Violations: []string{violation}, Invariants: []demo.InvariantSums{{Name: invariant.AtMostOnce}}}, nil, "--double-order")
	if d.code != exitFailed || !strings.Contains(d.stdout, violation) || !strings.Contains(d.stderr, "invariant is broken") {
		t.Errorf("exit code %d, want %d\n%s%s", d.code, exitFailed, d.stdout, d.stderr)
	}
	if !d.options.DoubleOrder || d.options.Phase != 300*time.Millisecond {
		t.Errorf("the flags became %+v", d.options)
	}
}

// Guards against a run that did not finish and exits as if it had.
func TestDemoExitsWithOneOnATimeLimit(t *testing.T) {
	d := runDemo(t, demo.Summary{OK: true}, fmt.Errorf("%w: nodes still run", demo.ErrNotFinished))
	if d.code != exitFailed || !strings.Contains(d.stderr, "nodes still run") {
		t.Errorf("exit code %d, want %d\n%s%s", d.code, exitFailed, d.stdout, d.stderr)
	}
}

// Guards against JSON output that holds more than the summary.
func TestDemoPrintsTheSummaryAsJSON(t *testing.T) {
	d := runDemo(t, demo.Summary{OK: true}, nil, "--output", "json", "--seed", "9")
	var s demo.Summary
	if err := json.Unmarshal([]byte(d.stdout), &s); err != nil {
		t.Fatalf("%v\n%s", err, d.stdout)
	}
	if d.code != exitOK || !s.OK || s.Seed != 9 || d.options.Seed != 9 {
		t.Errorf("exit code %d, ok %v, seed %d: %v\n%s", d.code, s.OK, s.Seed, s.Violations, d.stderr)
	}
}

// Guards against runs that cannot end within 30 s.
func TestDemoRefusesLongPhases(t *testing.T) {
	if d := runDemo(t, demo.Summary{OK: true}, nil, "--phase", "20s"); d.code != exitBadInput {
		t.Errorf("exit code %d, want %d", d.code, exitBadInput)
	}
}
