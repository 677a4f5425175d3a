package forecast

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Targets differ twofold in speed and estimates err by a third and more. The
// model has to tell the targets apart, and its forecasts have to err less than
// the estimates do, or large tasks are placed where they cannot end in time.
func TestForecastsBeatEstimates(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	m := New()
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	var estimated, forecast float64
	const n = 4000
	for i := range n {
		target := i % 48
		work := 0.9 * math.Exp(rng.NormFloat64()*0.4-0.08)
		estimate := time.Duration(work * math.Exp(rng.NormFloat64()*0.4) * float64(time.Second))
		took := time.Duration(work / speeds[target%4] * float64(time.Second))
		name := fmt.Sprint("t", target)
		if i > n/2 {
			d := float64(m.Base("q", estimate)) * m.Slowness(name)
			forecast += math.Abs(math.Log(d / float64(took)))
			estimated += math.Abs(math.Log(float64(estimate) / float64(took)))
		}
		m.Learn("q", name, estimate, took)
	}
	if forecast > 0.8*estimated {
		t.Errorf("forecasts err by %.3f on average, estimates by %.3f", forecast*2/n, estimated*2/n)
	}
	ratio := m.Slowness("t0") / m.Slowness("t1")
	if ratio < 1.8 || ratio > 2.6 {
		t.Errorf("the slow target is taken to be %.2f times slower, is 2.18", ratio)
	}
}
