package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopsill/hyssopsill/request/invariant"
)

// maxWait bounds the waits of a run on a busy machine, where a phase takes many times as
// long as usual.
const maxWait = 5 * time.Minute

func runShort(t *testing.T, o Options) (Summary, string) {
	t.Helper()
	var out bytes.Buffer
	o.Phase, o.Out, o.Log = 400*time.Millisecond, &out, zerolog.Nop()
	o.Limit, o.DrainWait = maxWait, maxWait
	s, err := Run(context.Background(), o)
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	return s, out.String()
}

// Guards against a demo that stops early, checks nothing, or violates an invariant of the
// fleet.
func TestShortRun(t *testing.T) {
	s, lines := runShort(t, Options{Seed: 3})
	if !s.OK {
		t.Errorf("violated invariants:\n%s", strings.Join(s.Violations, "\n"))
	}
	if s.Nodes < 6 || s.Domains != 3 || len(s.Detections) != 2 || s.Seed != 3 {
		t.Errorf("%d nodes, %d domains, %d detections, seed %d", s.Nodes, s.Domains, len(s.Detections), s.Seed)
	}
	for _, d := range s.Detections {
		if d.Requests == 0 || d.InTime == 0 || d.Arrivals == 0 || d.Entries != s.Nodes {
			t.Errorf("%+v", d)
		}
	}
	for _, k := range kinds {
		if r := s.Requests[k]; r.InTime == 0 || r.Offered != r.InTime+r.Late+r.NotRun+r.Unknown+r.Errors+r.NoResponse {
			t.Errorf("%s: no request in time, or results that do not add up: %+v", k, r)
		}
	}
	for _, i := range s.Invariants {
		if i.Outside.Checks == 0 && i.Name != invariant.NotRun { // orders are refused only when something fails
			t.Errorf("%s was never checked from outside", i.Name)
		}
		if i.Nodes.Checks == 0 {
			t.Errorf("%s was never checked by the nodes", i.Name)
		}
	}
	if s.Config.InForceMS <= 0 || s.Drain.EndedMS <= 0 || s.Drain.InProgress == 0 || s.Overload.Share <= 0 ||
		s.Blocking.SamplesWithout == 0 || s.Blocking.SamplesWith == 0 {
		t.Errorf("config %+v, drain %+v, overload %+v, blocking %+v", s.Config, s.Drain, s.Overload, s.Blocking)
	}
	for _, want := range []string{"breaks: hang", "breaks: wrong digests", "is in force on all nodes", "overload: 5 times", "drains with"} {
		if !strings.Contains(lines, want) {
			t.Errorf("the table lacks %q:\n%s", want, lines)
		}
	}
	checkOutputs(t, s)
}

func checkOutputs(t *testing.T, s Summary) {
	t.Helper()
	var text bytes.Buffer
	s.WriteText(&text)
	for _, want := range []string{"time to detect, hang", "ejected by mistake", "overload:", "p99 of short work", "at-most-once", "no invariant is broken"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the summary lacks %q:\n%s", want, text.String())
		}
	}
	data, err := json.Marshal(s)
	if err != nil || !strings.Contains(string(data), `"ok":true`) {
		t.Errorf("JSON: %v %.200s", err, data)
	}
}

// Guards against checks that miss an order that ran twice.
func TestDoubleOrderIsFound(t *testing.T) {
	s, _ := runShort(t, Options{Seed: 4, DoubleOrder: true})
	if s.OK {
		t.Error("an order ran twice and the summary says that no invariant is broken")
	}
	for _, i := range s.Invariants {
		if want := i.Name == invariant.AtMostOnce; (i.Outside.Violations > 0) != want {
			t.Errorf("%s: %d violations from outside: %v", i.Name, i.Outside.Violations, s.Violations)
		}
	}
}

// Guards against a run that goes on to its last phase after its limit, or that does not
// report the limit.
func TestRunEndsAtItsLimit(t *testing.T) {
	s, err := Run(context.Background(), Options{Limit: time.Second, Log: zerolog.Nop()})
	if !errors.Is(err, ErrNotFinished) {
		t.Errorf("got %v, want %v", err, ErrNotFinished)
	}
	if s.Drain.Node != "" {
		t.Errorf("the last phase ran: %+v", s.Drain)
	}
}
