package demo

import (
	"testing"

	"github.com/hyssopsill/hyssopsill/request/attempt"
	"github.com/hyssopsill/hyssopsill/request/invariant"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

// Guards against checks from outside that miss a violation or report one
// without cause.
func TestExecutionsAgainstAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []result
		ran     map[string]int // by target
		broken  invariant.Name
	}{
		{"answered", []result{{outcome: attempt.Answered}}, map[string]int{"t1": 1}, ""},
		{"twice at one target", []result{{outcome: attempt.Answered}}, map[string]int{"t1": 2}, invariant.AtMostOnce},
		{"at two targets", []result{{outcome: attempt.Unknown}}, map[string]int{"t1": 1, "t2": 1}, invariant.AtMostOnce},
		{"unknown and ran", []result{{outcome: attempt.Unknown}}, map[string]int{"t1": 1}, ""},
		{"not run", []result{{outcome: attempt.NotRun}}, nil, ""},
		{"told not-run and ran", []result{{outcome: attempt.NotRun}}, map[string]int{"t1": 1}, invariant.NotRun},
		{"cut and ran", []result{{outcome: attempt.NotRun, broken: true}}, map[string]int{"t1": 1}, ""},
		{"in doubt, later not-run", []result{{outcome: attempt.Unknown}, {outcome: attempt.NotRun}}, map[string]int{"t1": 1}, ""},
		{"answered without a run", []result{{outcome: attempt.Answered}}, nil, invariant.OwnAnswer},
	} {
		l := newLedger()
		for _, r := range c.answers {
			l.answer("key", r)
		}
		counts := map[string]target.Counts{}
		for id, n := range c.ran {
			counts[id] = target.Counts{Executions: map[string]int{"key": n}}
		}
		l.checkExecutions(counts)
		for name, count := range l.checks {
			if (count.Violations > 0) != (name == c.broken) {
				t.Errorf("%s: %s has %d violations", c.name, name, count.Violations)
			}
		}
	}
}

// Guards against bodies of other requests, altered or partial ones that pass
// the customer's check.
func TestBodyCheck(t *testing.T) {
	c := call{kind: order, number: 7, key: "k"}
	right := `{"echo":"order-7","key":"k","body_digest":"` + orderDigest(c) + `"}`
	if got := c.check([]byte(right)); got != "" {
		t.Errorf("right body: %s", got)
	}
	large := call{kind: download, number: 8}
	if got := large.check(pattern); got != "" {
		t.Errorf("right download: %s", got)
	}
	altered := append([]byte{pattern[0] + 1}, pattern[1:]...)
	for _, wrong := range []struct {
		call call
		body string
	}{
		{c, right[:20]}, {c, `{"echo":"order-8","key":"k"}`}, {call{kind: order, number: 7, key: "other"}, right},
		{call{kind: browse, number: 7}, right}, {large, string(pattern[:len(pattern)-1])}, {large, string(altered)},
	} {
		if wrong.call.check([]byte(wrong.body)) == "" {
			t.Errorf("%s %d took %.60q for its answer", wrong.call.kind, wrong.call.number, wrong.body)
		}
	}
}

func orderDigest(c call) string {
	d := attempt.NewBodyDigest()
	_, _ = d.Write([]byte("order " + c.echo()))
	return d.Sum()
}

// Guards against requests that count as cut although no node knew them when the
// drain began, and against cuts of those that a node knew.
func TestOnlyWrittenRequestsCanBeCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		written  []bool
		violated int64
	}{
		{"not written yet", nil, 0},
		{"written", []bool{true}, 1},
		{"answered, to be sent again", []bool{true, false}, 0},
	} {
		l := newLedger()
		phase := l.begin(1)
		for _, written := range c.written {
			l.sent(1, written)
		}
		l.drainBegins()
		l.end(1, phase, result{broken: true})
		if got := l.checks[invariant.NoCut].Violations; got != c.violated {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.violated)
		}
	}
}
