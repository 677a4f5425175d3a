package slopes

import (
	"math"
	"testing"
)

// Guards against slopes that are not the increase per unit.
func TestFit(t *testing.T) {
	f := fit([]float64{1, 2, 4}, []float64{13, 16, 22})
	if math.Abs(f.slope-3) > 1e-9 || math.Abs(f.intercept-10) > 1e-9 || math.Abs(f.r2-1) > 1e-9 {
		t.Errorf("line %+v, want 3x+10", f)
	}
}
