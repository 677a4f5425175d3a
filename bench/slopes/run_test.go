package slopes

import (
	"context"
	"strings"
	"testing"

	"marigoldfront.dev/bench/fleet/fleettest"
)

// Guards against a quantity that can no longer be set up or observed.
func TestShortRun(t *testing.T) {
	r := &run{bin: fleettest.Build(t), window: shortWindow, settle: shortSettle}
	for _, b := range benches {
		p, err := b.point(context.Background(), r, b.short[0])
		if err != nil {
			t.Fatalf("%s: %v", b.unit, err)
		}
		if p.ResidentBytes < 1<<20 {
			t.Errorf("%s: %.0f bytes of resident memory", b.unit, p.ResidentBytes)
		}
		var out strings.Builder
		printSlopes(&out, b.unit, []Measurement{p, {Size: 2 * b.short[0], ResidentBytes: 2 * p.ResidentBytes}})
		if !strings.Contains(out.String(), "resident bytes per "+b.unit) {
			t.Errorf("%s: no slope in %q", b.unit, out.String())
		}
	}
}
