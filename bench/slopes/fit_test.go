package slopes

import (
	"math"
	"testing"
)

// Guards against a wrong least-squares fit: points on a line must give
// the slope and intercept of that line and r2 = 1.
func TestFit(t *testing.T) {
	f := fitLine([]float64{1, 2, 4}, []float64{13, 16, 22})
	if math.Abs(f.slope-3) > 1e-9 || math.Abs(f.intercept-10) > 1e-9 || math.Abs(f.r2-1) > 1e-9 {
		t.Errorf("line %+v, want 3x+10", f)
	}
}
