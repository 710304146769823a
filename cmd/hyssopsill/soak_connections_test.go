package main

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a case file or an option that is wrong and is played as something else.
func TestSoakConnectionsRejectsBadInput(t *testing.T) {
	f := newFleet(t)
	file := filepath.Join(t.TempDir(), "case.json")
	if err := os.WriteFile(file, []byte("{\"case\": {\"caller.kind\": \"order\",\n\"target.sort\": \"x\"}}"), 0o600); err != nil {
		t.Fatal(err)
	}
	f.expect(t, "hyssopsill soak connections --play "+file, exitBadInput, file+": case.target.sort: this dimension does not exist")
	f.expect(t, "hyssopsill soak connections --play "+file+".missing", exitBadInput, "no such file")
	f.expect(t, "hyssopsill soak connections --cases 0", exitBadInput, "want --cases and --parallel of 1 or more")
	f.expect(t, "hyssopsill soak connections --play "+file+" --times 0", exitBadInput, "want --times of 1 or more")
	f.expect(t, "hyssopsill soak connections --seed 1 --cases 4 --dir "+t.TempDir(), exitOK, "4 cases in")
}
