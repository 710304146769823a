package conntest

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/hyssopsill/hyssopsill/conformance"
)

// Guards against callers, targets and nodes that break one of the rules on a connection in
// the cases of some seeds, and against cases that no longer meet.
func TestGeneratedConnections(t *testing.T) {
	const seed, cases, share = 60_001, 300, 0.9
	report, err := Run(context.Background(), Options{Seed: seed, Cases: cases, Parallel: DefaultParallel, Dir: t.TempDir()})
	if err != nil || report.Cases != cases {
		t.Fatalf("%d of %d cases played, not played: %v, error %v", report.Cases, cases, report.NotPlayed, err)
	}
	for _, f := range report.Findings {
		t.Errorf("seed %d, %s: %s\n%s\nreduced to: %s", f.Seed, f.Rule, f.Detail, f.Case, f.Reduced)
	}
	for _, k := range report.Known {
		if k.Cases > 0 {
			t.Logf("known, issue %d: %s, %d cases: %s", k.Issue, k.Rule, k.Cases, k.Case)
		}
	}
	if got := float64(report.PairsPlayed) / float64(report.Pairs); got < share {
		t.Errorf("%.2f of the pairs of values were played, want %.2f", got, share)
	}
	t.Logf("%d of %d pairs of values", report.PairsPlayed, report.Pairs)
}

// Guards against a check that holds since the fleet serves nothing.
func TestPlainCasesAreAnswered(t *testing.T) {
	for _, c := range []Case{{}, {nodeTopology: "apart", callerKind: "order", callerUpload: "chunks", bodySizes: "long"}, {nodeProfile: requestIDs, targetFraming: "connection"}} {
		result, err := Play(context.Background(), c)
		if err != nil {
			t.Fatal(err)
		}
		responses, runs := result.Observation.Connection.Responses, result.Observation.Runs
		if len(responses) != 1 || responses[0].Outcome != conformance.Answered || len(runs) != 1 || !runs[0].Answer.Delivered || len(result.Violations) > 0 {
			t.Errorf("%s: %+v", c, result)
		}
	}
}

// Guards against a seed that gives other cases in another run, and against pairs of values
// that a run of 1,000 cases does not play.
func TestCasesOfSeed(t *testing.T) {
	const cases = 1000
	first, played := drawCases(1, cases), pairs{}
	if !reflect.DeepEqual(first, drawCases(1, cases)) {
		t.Error("the same seed gave other cases")
	}
	for _, c := range first {
		if findings := c.check("case"); len(findings) > 0 {
			t.Fatal(findings)
		}
		played.add(c.Case)
	}
	if missing := played.missing(); len(missing) > 0 {
		t.Errorf("%d pairs are missing: %v", len(missing), missing)
	}
}

// Guards against a case file with an error that is played as another case, or an error
// message without its place.
func TestLoad(t *testing.T) {
	for content, want := range map[string]string{
		`{"case": {"caller.kind": "order"}}`:   "",
		`{"case": {"caller.kind": "other"}}`:   `: case.caller.kind: want one of read, order, got "other"`,
		`{"case": {"caller.sort": "order"}}`:   `: case.caller.sort: this dimension does not exist`,
		"{\n\"case\": {\"caller.kind\": }}":    ":2: invalid character",
		"{\"case\":\n{\"caller.kind\": 3}}":    ":2: case: json: cannot unmarshal number",
		`{"cases": {"caller.kind": "order"}}`:  `: case: is missing`,
		`{"case": {"caller.kind": "order"}}}}`: ":1: invalid character",
	} {
		file := filepath.Join(t.TempDir(), "case.json")
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(file)
		if (want == "") != (err == nil) || (err != nil && !strings.Contains(err.Error(), file+want)) {
			t.Errorf("%s: %v, %v, want %s", content, c, err, want)
		}
	}
}

// Guards against a picture that no browser opens.
func TestPictureIsXML(t *testing.T) {
	played := pairs{}
	played.add(Draw(1))
	decoder := xml.NewDecoder(strings.NewReader(string(drawPairs(played, pairs{}))))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
