package demo

import (
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// Guards against checks from outside that miss a violation or report one where there
// is none.
func TestExecutionsMatchResponses(t *testing.T) {
	for _, c := range []struct {
		name       string
		responses  []result
		executions map[string]int // by target
		violated   invariant.Name
	}{
		{"answered", []result{{outcome: attempt.Answered}}, map[string]int{"t1": 1}, ""},
		{"ran twice at one target", []result{{outcome: attempt.Answered}}, map[string]int{"t1": 2}, invariant.AtMostOnce},
		{"ran at two targets", []result{{outcome: attempt.Unknown}}, map[string]int{"t1": 1, "t2": 1}, invariant.AtMostOnce},
		{"unknown and ran", []result{{outcome: attempt.Unknown}}, map[string]int{"t1": 1}, ""},
		{"not run", []result{{outcome: attempt.NotRun}}, nil, ""},
		{"not-run and ran", []result{{outcome: attempt.NotRun}}, map[string]int{"t1": 1}, invariant.NotRun},
		{"cut and ran", []result{{outcome: attempt.NotRun, incomplete: true}}, map[string]int{"t1": 1}, ""},
		{"unknown, later not-run", []result{{outcome: attempt.Unknown}, {outcome: attempt.NotRun}}, map[string]int{"t1": 1}, ""},
		{"answered without a run", []result{{outcome: attempt.Answered}}, nil, invariant.OwnAnswer},
	} {
		l := newLedger()
		for _, r := range c.responses {
			l.recordResponse("key", r)
		}
		counts := map[string]target.Counts{}
		for id, n := range c.executions {
			counts[id] = target.Counts{Executions: map[string]int{"key": n}}
		}
		l.checkExecutions(counts)
		for name, count := range l.checks {
			if (count.Violations > 0) != (name == c.violated) {
				t.Errorf("%s: %s has %d violations", c.name, name, count.Violations)
			}
		}
	}
}

// Guards against a customer's check that accepts the body of another request, an
// altered body or a partial one.
func TestBodyCheck(t *testing.T) {
	placed := call{kind: order, number: 7, key: "k"}
	valid := `{"echo":"order-7","key":"k","body_digest":"` + orderDigest(placed) + `"}`
	if got := placed.checkBody([]byte(valid)); got != "" {
		t.Errorf("correct body rejected: %s", got)
	}
	downloaded := call{kind: download, number: 8}
	if got := downloaded.checkBody(downloadBody); got != "" {
		t.Errorf("correct download rejected: %s", got)
	}
	altered := append([]byte{downloadBody[0] + 1}, downloadBody[1:]...)
	for _, wrong := range []struct {
		call call
		body string
	}{
		{placed, valid[:20]}, {placed, `{"echo":"order-8","key":"k"}`}, {call{kind: order, number: 7, key: "other"}, valid},
		{call{kind: browse, number: 7}, valid}, {downloaded, string(downloadBody[:len(downloadBody)-1])}, {downloaded, string(altered)},
	} {
		if wrong.call.checkBody([]byte(wrong.body)) == "" {
			t.Errorf("%s %d accepted %.60q as its response", wrong.call.kind, wrong.call.number, wrong.body)
		}
	}
}

func orderDigest(c call) string {
	digest := attempt.NewBodyDigest()
	_, _ = digest.Write([]byte("order " + c.echo()))
	return digest.Sum()
}

// Guards against counting a request as cut that no node knew when the drain began, and
// against missing the cut of one that a node knew.
func TestOnlyWrittenRequestsCanBeCut(t *testing.T) {
	for _, c := range []struct {
		name       string
		written    []bool
		violations int64
	}{
		{"not written yet", nil, 0},
		{"written", []bool{true}, 1},
		{"response received, to be sent again", []bool{true, false}, 0},
	} {
		l := newLedger()
		phase := l.beginRequest(1)
		for _, written := range c.written {
			l.setWritten(1, written)
		}
		l.markDrain()
		l.endRequest(1, phase, result{incomplete: true})
		if got := l.checks[invariant.NoCut].Violations; got != c.violations {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.violations)
		}
	}
}
