package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised runs, so that every run has the
// same verdict. MARIGOLD_RAPID_CHECKS sets the number of runs and
// MARIGOLD_RAPID_SEED the seed, for longer runs.
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.nofailfile", "true")
	seed, checks := os.Getenv("MARIGOLD_RAPID_SEED"), os.Getenv("MARIGOLD_RAPID_CHECKS")
	if seed == "" {
		seed = "20261204"
	}
	set("rapid.seed", seed)
	if checks == "" {
		checks = "1500"
	}
	set("rapid.checks", checks)
	os.Exit(m.Run())
}
