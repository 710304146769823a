package rapidtest

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

func TestMain(m *testing.M) { Main(m) }

// Guards against property tests that draw other values in each run, or write files.
func TestFlags(t *testing.T) {
	for name, want := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if got := flag.Lookup(name).Value.String(); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}
