package soak

import (
	"os/exec"
	"testing"
	"time"
)

// Guards against a broken guarantee in the programs as they are built, under
// one fixed schedule of failures.
func TestShortRun(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "marigoldfront.dev/entry/cmd/marigold-entry",
		"marigoldfront.dev/standin/cmd/marigold-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s, err := Run(Config{Duration: 15 * time.Second, Seed: 1, Bin: bin, Out: t.Output()})
	if err != nil {
		t.Error(err)
	}
	if s.Faulty() {
		t.Errorf("a guarantee was broken: %v", s)
	}
	if s.Jobs == 0 || s.Starts == 0 || s.Answers[stateComplete] == 0 {
		t.Errorf("the load did not reach the targets: %v", s)
	}
}
