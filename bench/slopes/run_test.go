package slopes

import (
	"context"
	"strings"
	"testing"

	"marigoldfront.dev/bench/fleet/fleettest"
)

// Guards against a unit whose setup or measurement no longer works, or whose
// slope is not printed.
func TestShortRun(t *testing.T) {
	env := &environment{bin: fleettest.Build(t), window: shortWindow, settle: shortSettle}
	for _, b := range benchmarks {
		m, err := b.measure(context.Background(), env, b.shortSizes[0])
		if err != nil {
			t.Fatalf("%s: %v", b.unit, err)
		}
		if m.ResidentBytes < 1<<20 {
			t.Errorf("%s: %.0f bytes of resident memory", b.unit, m.ResidentBytes)
		}
		var out strings.Builder
		printSlopes(&out, b.unit, []Measurement{m, {Size: 2 * b.shortSizes[0], ResidentBytes: 2 * m.ResidentBytes}})
		if !strings.Contains(out.String(), "resident bytes per "+b.unit) {
			t.Errorf("%s: no slope in %q", b.unit, out.String())
		}
	}
}
