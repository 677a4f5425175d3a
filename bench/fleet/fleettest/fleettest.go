// Package fleettest builds the programs of a fleet for tests.
package fleettest

import (
	"os/exec"
	"testing"
)

// Build builds the programs from the current source into a temporary directory
// and returns it, so that a test never runs outdated programs.
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
