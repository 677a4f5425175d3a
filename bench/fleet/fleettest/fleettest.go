// Package fleettest builds the programs of a fleet for tests.
package fleettest

import (
	"os/exec"
	"testing"
)

// Build builds the programs into a new directory, so that a test does not run
// older ones, and returns the directory.
func Build(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir,
		"marigoldfront.dev/entry/cmd/marigold-entry",
		"marigoldfront.dev/standin/cmd/marigold-standin",
		"marigoldfront.dev/ctl/cmd/marigoldctl")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build programs: %v\n%s", err, out)
	}
	return dir
}
