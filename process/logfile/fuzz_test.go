package logfile

import (
	"strings"
	"testing"
	"time"
)

// Guards against saved logs that end the program which reads them.
func FuzzRead(f *testing.F) {
	f.Add(refusedLine + "\n" + failingLine + "\n" + noteLine)
	f.Add("  14.0001 n3 " + failingLine)
	f.Add(`{"node":"n1","record":{"kind":"request","request":null}}`)
	f.Fuzz(func(t *testing.T, text string) {
		var l Log
		if err := l.Read("a.log", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
		_ = l.RequestTimeline("r1")
		_ = l.TargetTimeline("t1", time.Time{}, time.Now())
	})
}
