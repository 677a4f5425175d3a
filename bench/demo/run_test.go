package demo

import (
	"strings"
	"testing"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/fleet/fleettest"
)

// Guards against any of the guarantees being broken between real processes
// while an entry instance stops: the counts of callers and targets differ, or
// a job has another answer than planned.
func TestDemoAddsUp(t *testing.T) {
	f, err := fleet.New(fleettest.Build(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out strings.Builder
	if err := new(Command).run(f, &out); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
}
