package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const savedLogLines = `{"level":"info","record":{"at":"2026-06-15T06:06:14Z","node":"n2","kind":"failing","change":{"subject":"t1","to":"failing","why":"an attempt ended 1ms after it was sent","request":"r1"}},"lines_dropped":0,"node":"n2","time":"2026-06-15T06:06:14.000Z","message":"record: failing"}
{"level":"info","request":"r1","record":{"at":"2026-06-15T06:06:13.9Z","node":"n1","kind":"request","request":{"id":"r1","config_version":4,"outcome":"unknown","reason":"target-failed","status":502,"duration_ms":120,"attempts":[{"number":1,"target":"t1","node":"n2","verdict":"failed","reason":"target-failed","duration_ms":110,"next":"non-idempotent work may have run"}]}},"lines_dropped":0,"node":"n1","time":"2026-06-15T06:06:14.020Z","message":"record: request"}
panic: not a log line
`

// Guards against an explanation from saved logs that needs a running fleet, does not
// report malformed lines, or ignores a missing file or request.
func TestExplainFromSavedLogs(t *testing.T) {
	f := newFleet(t) // its nodes are not queried
	file := filepath.Join(t.TempDir(), "all.log")
	if err := os.WriteFile(file, []byte(savedLogLines), 0o600); err != nil {
		t.Fatal(err)
	}
	logs := " --logs " + file
	out := f.expect(t, "hyssopsill explain r1"+logs, exitOK, "ended after 120ms without a known outcome", "non-idempotent work may have run",
		"(now failing)", "1 lines skipped, the first is line 3: not JSON")
	if strings.Index(out, "Request r1") > strings.Index(out, "(now failing)") {
		t.Errorf("out of order:\n%s", out)
	}
	f.expect(t, "hyssopsill explain --target t1"+logs, exitOK, "Request r1", "(now failing)")
	f.expect(t, "hyssopsill explain --target t1 --from 2026-06-16T00:00:00Z --to 2026-06-17T00:00:00Z"+logs, exitFailed, "no line about t1")
	f.expect(t, "hyssopsill explain r2"+logs, exitFailed, "no line about r2 in the 2 lines of 2 nodes")
	f.expect(t, "hyssopsill explain r1 --output json"+logs, exitOK, `"missing":`, `"reason": "target-failed"`)
	f.expect(t, "hyssopsill explain r1 --logs "+file+".gone", exitBadInput, "no such file")
	f.expect(t, "hyssopsill explain --target t1 --from yesterday"+logs, exitBadInput, "from")
}
