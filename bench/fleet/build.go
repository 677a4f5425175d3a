package fleet

import (
	"fmt"
	"os/exec"
)

// Build builds the programs into the directory dir, for tests that must not
// run older ones.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir,
		"marigoldfront.dev/entry/cmd/marigold-entry",
		"marigoldfront.dev/standin/cmd/marigold-standin",
		"marigoldfront.dev/ctl/cmd/marigoldctl")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build programs: %w\n%s", err, out)
	}
	return nil
}
