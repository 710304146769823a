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

// Guards against truncated, mixed or unordered logs that are not read, or of which
// lines are skipped without being reported.
func TestMixedAndCorruptLogs(t *testing.T) {
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
		{"a.log", SkipBadRecord, 1, 6}: true, {"b.log", SkipTooLong, 1, 2}: true,
	}
	for _, s := range l.Skipped {
		if !want[s] {
			t.Errorf("skipped %+v", s)
		}
		delete(want, s)
	}
	if len(want) > 0 || len(l.Records) != 2 || len(l.Notes) != 1 {
		t.Errorf("not reported as skipped: %v; %d records, %d notes", want, len(l.Records), len(l.Notes))
	}
}

// Guards against a read error that discards the lines read before it.
func TestReadErrorKeepsEarlierLines(t *testing.T) {
	var l Log
	diskError := errors.New("disk error")
	err := l.Read("a.log", io.MultiReader(strings.NewReader(refusedLine+"\n"), iotest.ErrReader(diskError)))
	if !errors.Is(err, diskError) || !strings.Contains(err.Error(), "a.log:2") || len(l.Records) != 1 {
		t.Errorf("%v, %d records", err, len(l.Records))
	}
}

// Guards against a timeline without the state changes that explain the request's
// outcome, and against missing lines that are not reported.
func TestRequestTimeline(t *testing.T) {
	var l Log
	if err := l.Read("all.log", strings.NewReader(refusedLine+"\n"+noteLine+"\n"+failingLine+"\nnoise\n")); err != nil {
		t.Fatal(err)
	}
	timeline := l.RequestTimeline("r1")
	if len(timeline.Records) != 1 || len(timeline.NearbyChanges) != 1 || timeline.NearbyChanges[0].Change.Subject != "t1" || len(timeline.Notes) != 1 {
		t.Errorf("%d records, %d nearby changes, %d notes", len(timeline.Records), len(timeline.NearbyChanges), len(timeline.Notes))
	}
	missing := strings.Join(timeline.Missing, "\n")
	for _, want := range []string{"there is no log line of node n2", "node n3 dropped or lost 3 log lines", "all.log: 1 lines skipped, the first is line 4"} {
		if !strings.Contains(missing, want) {
			t.Errorf("missing lacks %q:\n%s", want, missing)
		}
	}
	if other := l.RequestTimeline("other"); len(other.Records)+len(other.NearbyChanges)+len(other.Notes) != 0 {
		t.Errorf("a request without lines: %+v", other)
	}
}

// Guards against missing subrequests, in which the cause of a failed request may lie,
// and against other requests that are listed as subrequests.
func TestSubrequestsBelongToTheRequest(t *testing.T) {
	var l Log
	for _, id := range []string{"r1", "r1.c7", "r12", "r2.c7"} {
		text := strings.ReplaceAll(refusedLine, `"id":"r1"`, `"id":"`+id+`"`)
		if err := l.Read("all.log", strings.NewReader(text+"\n")); err != nil {
			t.Fatal(err)
		}
	}
	timeline := l.RequestTimeline("r1")
	if len(timeline.Records) != 1 || len(timeline.Subrequests) != 1 || timeline.Subrequests[0].Request.ID != "r1.c7" {
		t.Errorf("%d records, subrequests %+v", len(timeline.Records), timeline.Subrequests)
	}
}

// Guards against records outside the time range, or of other targets, in a target's
// timeline.
func TestTargetTimeline(t *testing.T) {
	var l Log
	if err := l.Read("all.log", strings.NewReader(refusedLine+"\n"+noteLine+"\n"+failingLine+"\n")); err != nil {
		t.Fatal(err)
	}
	parseTime := func(text string) time.Time { parsed, _ := time.Parse(time.RFC3339, text); return parsed }
	if timeline := l.TargetTimeline("t1", time.Time{}, time.Time{}); len(timeline.Records) != 2 || timeline.Records[0].Change == nil || len(timeline.Notes) != 1 {
		t.Errorf("open range: %+v", timeline)
	}
	if timeline := l.TargetTimeline("t1", parseTime("2026-06-15T06:06:15Z"), parseTime("2026-06-15T06:07:00Z")); len(timeline.Records) != 1 || len(timeline.Notes) != 0 {
		t.Errorf("late range: %+v", timeline)
	}
	if timeline := l.TargetTimeline("t2", time.Time{}, time.Time{}); len(timeline.Records) != 0 {
		t.Errorf("another target: %+v", timeline)
	}
}
