package soak

import (
	"testing"
	"time"

	"marigoldfront.dev/bench/fleet/fleettest"
)

// Guards against a violated guarantee in the real programs under the schedule of
// faults of one fixed seed.
func TestShortRun(t *testing.T) {
	s, err := Run(Config{Duration: 15 * time.Second, Seed: 1, BinDir: fleettest.Build(t), Out: t.Output()})
	if err != nil {
		t.Error(err)
	}
	if s.GuaranteeBroken() {
		t.Errorf("a guarantee was broken: %v", s)
	}
	if s.Jobs == 0 || s.Starts == 0 || s.Answers[stateComplete] == 0 {
		t.Errorf("the load did not reach the targets: %v", s)
	}
}
