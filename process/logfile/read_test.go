package logfile

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

const refusedLine = `{"level":"info","request":"r1","record":{"at":"2026-06-15T06:06:15.5Z","node":"n1","kind":"request","request":{"id":"r1","config_version":4,"service":"shop","class":"browse","outcome":"unknown","reason":"path-failed","status":502,"duration_ms":900,"attempts":[{"number":1,"target":"t1","node":"n2","reason":"path-failed","duration_ms":899,"next":"no time is left"}]}},"lines_dropped":0,"node":"n1","time":"2026-06-15T06:06:16.400Z","message":"record: request"}`

const failingLine = `{"level":"info","record":{"at":"2026-06-15T06:06:14Z","node":"n3","kind":"failing","change":{"subject":"t1","to":"failing","why":"an attempt ended 1ms after it was sent"}},"lines_dropped":3,"node":"n3","time":"2026-06-15T06:06:14.000Z","message":"record: failing"}`

const noteLine = `{"level":"warn","target":"t1","error":"connection refused","node":"n1","time":"2026-06-15T06:06:14.100Z","message":"gate: target refuses connections"}`

// Guards against logs that are cut, mixed or in another order than that of time
// and then read in part without a word, or not at all.
func TestMixedAndDamagedLogs(t *testing.T) {
	var l Log
	files := map[string]string{
		"a.log": refusedLine + "\n\nplain text\n{\"other\":\"program\"}\n" + refusedLine[:200] + "\n{\"node\":\"n1\",\"time\":\"2026-06-15T06:06:14Z\",\"message\":\"m\",\"record\":{\"at\":7}}\n",
		"b.log": "  14.0001 n3 " + failingLine + "\n" + strings.Repeat("x", maxLineBytes+1) + "\n" + noteLine,
	}
	for _, name := range []string{"b.log", "a.log"} {
		if err := l.Read(name, strings.NewReader(files[name])); err != nil {
			t.Fatal(err)
		}
	}
	want := map[Skipped]bool{
		{"a.log", SkipNotJSON, 1, 3}: true, {"a.log", SkipOtherProgram, 1, 4}: true, {"a.log", SkipTruncated, 1, 5}: true,
		{"a.log", SkipRecord, 1, 6}: true, {"b.log", SkipLong, 1, 2}: true,
	}
	for _, s := range l.Skipped {
		if !want[s] {
			t.Errorf("skipped %+v", s)
		}
		delete(want, s)
	}
	if len(want) > 0 || len(l.Records) != 2 || len(l.Notes) != 1 {
		t.Errorf("not told as skipped: %v; %d records, %d notes", want, len(l.Records), len(l.Notes))
	}
}

// Guards against a reader's error that hides what was read before it.
func TestBrokenReader(t *testing.T) {
	var l Log
	broken := errors.New("disk error")
	err := l.Read("a.log", io.MultiReader(strings.NewReader(refusedLine+"\n"), iotest.ErrReader(broken)))
	if !errors.Is(err, broken) || !strings.Contains(err.Error(), "a.log:2") || len(l.Records) != 1 {
		t.Errorf("%v, %d records", err, len(l.Records))
	}
}

// Guards against a story without the belief that led to the request's end, and
// against gaps that are not named.
func TestStoryOfARequest(t *testing.T) {
	var l Log
	if err := l.Read("all.log", strings.NewReader(refusedLine+"\n"+noteLine+"\n"+failingLine+"\nnoise\n")); err != nil {
		t.Fatal(err)
	}
	a := l.RequestTimeline("r1")
	if len(a.Records) != 1 || len(a.NearbyChanges) != 1 || a.NearbyChanges[0].Change.Subject != "t1" || len(a.Notes) != 1 {
		t.Errorf("%d records, %d around, %d notes", len(a.Records), len(a.NearbyChanges), len(a.Notes))
	}
	missing := strings.Join(a.Missing, "\n")
	for _, want := range []string{"no line is of node n2", "node n3 left out 3 lines", "all.log: 1 lines skipped, the first is line 4"} {
		if !strings.Contains(missing, want) {
			t.Errorf("missing lacks %q:\n%s", want, missing)
		}
	}
	if b := l.RequestTimeline("other"); len(b.Records)+len(b.NearbyChanges)+len(b.Notes) != 0 {
		t.Errorf("a request of no line: %+v", b)
	}
}

// Guards against a failed request whose cause lies in a call that its target
// made, and against requests that are taken for such calls.
func TestCallsBelongToTheRequest(t *testing.T) {
	var l Log
	for _, id := range []string{"r1", "r1.c7", "r12", "r2.c7"} {
		text := strings.ReplaceAll(refusedLine, `"id":"r1"`, `"id":"`+id+`"`)
		if err := l.Read("all.log", strings.NewReader(text+"\n")); err != nil {
			t.Fatal(err)
		}
	}
	a := l.RequestTimeline("r1")
	if len(a.Records) != 1 || len(a.Subrequests) != 1 || a.Subrequests[0].Request.ID != "r1.c7" {
		t.Errorf("%d records, calls %+v", len(a.Records), a.Subrequests)
	}
}

// Guards against a target's story with what lies outside the range.
func TestStoryOfATarget(t *testing.T) {
	var l Log
	if err := l.Read("all.log", strings.NewReader(refusedLine+"\n"+noteLine+"\n"+failingLine+"\n")); err != nil {
		t.Fatal(err)
	}
	at := func(s string) time.Time { x, _ := time.Parse(time.RFC3339, s); return x }
	if a := l.TargetTimeline("t1", time.Time{}, time.Time{}); len(a.Records) != 2 || a.Records[0].Change == nil || len(a.Notes) != 1 {
		t.Errorf("open range: %+v", a)
	}
	if a := l.TargetTimeline("t1", at("2026-06-15T06:06:15Z"), at("2026-06-15T06:07:00Z")); len(a.Records) != 1 || len(a.Notes) != 0 {
		t.Errorf("late range: %+v", a)
	}
	if a := l.TargetTimeline("t2", time.Time{}, time.Time{}); len(a.Records) != 0 {
		t.Errorf("another target: %+v", a)
	}
}
