package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command line names
// one, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
