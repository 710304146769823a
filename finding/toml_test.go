package finding_test

import (
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/finding"
)

type sample struct {
	Name    string            `toml:"name"`
	Wait    time.Duration     `toml:"wait"`
	Items   []sampleItem      `toml:"items"`
	Entries map[string]sample `toml:"entries"`
}

type sampleItem struct {
	Path string `toml:"path"`
}

// Guards against reporting only the first fault of a file, or a fault without
// its line.
func TestDecodeReportsAllFaultsWithLines(t *testing.T) {
	text := `name = 3
wait = "soon"
extra = true
[[items]]
path = "a"
[[items]]
path = 4
odd = 1
[entries.one]
name = false
`
	var out sample
	doc := finding.Decode("x.toml", []byte(text), &out)
	want := map[string]int{
		"name": 1, "wait": 2, "extra": 3, "items[1].path": 7, "items[1].odd": 8, "entries.one.name": 10,
	}
	got := map[string]int{}
	for _, f := range doc.Findings() {
		got[f.Key] = f.Line
	}
	for key, line := range want {
		if got[key] != line {
			t.Errorf("finding for %q: got line %d, want %d (all: %v)", key, got[key], line, doc.Findings())
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d findings, want %d: %v", len(got), len(want), doc.Findings())
	}
}

// Guards against a syntax error that is reported without its line.
func TestDecodeReportsSyntaxErrorLine(t *testing.T) {
	var out sample
	doc := finding.Decode("x.toml", []byte("name = \"a\"\nwait = = 3\n"), &out)
	if len(doc.Findings()) != 1 || doc.Findings()[0].Line != 2 {
		t.Fatalf("got %v, want one finding at line 2", doc.Findings())
	}
}
