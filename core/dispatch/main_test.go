package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomised tests, so that their result is
// reproducible. The environment variables MARIGOLD_RAPID_CHECKS and
// MARIGOLD_RAPID_SEED override the number of runs and the seed, for longer runs.
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
