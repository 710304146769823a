package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package that imports rapid, and exits. It fixes the seed of
// rapid, so that each run gives the same result, unless the command line names one.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
