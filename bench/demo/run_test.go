package demo

import (
	"strings"
	"testing"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/fleet/fleettest"
)

// Guards against broken guarantees between real processes while an entry
// instance stops: a job gets an unexpected answer, or the answers do not match
// the starts that the targets report.
func TestDemoKeepsGuarantees(t *testing.T) {
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
