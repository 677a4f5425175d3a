package measure

import (
	"context"
	"testing"

	"marigoldfront.dev/bench/fleet/fleettest"
)

// Guards against a measurement that fails, whose row does not account for every
// job, or in which an attempt is started twice.
func TestShortRun(t *testing.T) {
	dir := fleettest.Build(t)
	c := Command{Short: true, FirstSeed: 1, Scenario: []string{"idle", "steady 50%", "target killed"}, Out: dir}
	rows, err := c.run(context.Background(), dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != 3*len(policies) {
		t.Fatalf("%d rows, want %d", len(rows), 3*len(policies))
	}
	for _, r := range rows {
		if r.Scenario == "idle" {
			if r.ControlBytesPerSecond <= 0 {
				t.Errorf("no control bytes were counted: %+v", r)
			}
			continue
		}
		complete := int(r.Goodput*float64(r.Jobs) + 0.5)
		if r.Jobs == 0 || complete == 0 || complete+r.Failed+r.NotRun+r.Unknown != r.Jobs || r.CPU <= 0 {
			t.Errorf("row has no complete job, no CPU time, or outcomes that do not sum to its jobs: %+v", r)
		}
	}
	if err := c.report(dir, rows); err != nil {
		t.Error(err)
	}
}
