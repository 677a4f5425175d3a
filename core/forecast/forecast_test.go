package forecast

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against forecasts that are not better than the estimates, which would
// place large tasks on targets where they cannot end in time, and against a model
// that does not separate slow targets from fast ones. The speeds of the targets
// differ by a factor of two, and the estimates err by a third or more.
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
			d := float64(m.BaseRunTime("q", estimate)) * m.Slowness(name)
			forecast += math.Abs(math.Log(d / float64(took)))
			estimated += math.Abs(math.Log(float64(estimate) / float64(took)))
		}
		m.Learn("q", estimate, []Sample{{name, took}})
	}
	if forecast > 0.8*estimated {
		t.Errorf("forecasts err by %.3f on average, estimates by %.3f", forecast*2/n, estimated*2/n)
	}
	ratio := m.Slowness("t0") / m.Slowness("t1")
	if ratio < 1.8 || ratio > 2.6 {
		t.Errorf("the forecast slowness of the slow target is %.2f, its real slowness is 2.18", ratio)
	}
}

// Guards against a model that needs many samples to find the slow targets. A new
// owner has no samples, and long tasks on slow targets miss their deadlines. The
// tasks of a step have similar run times, so that a few steps must be enough, even
// with wrong estimates.
func TestTasksOfOneStepSeparateTargetSpeeds(t *testing.T) {
	const targets, width, slow = 40, 4, 0.55
	speed := func(i int) float64 {
		if i%4 == 0 {
			return slow
		}
		return 1.2
	}
	wrong, pairs := 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := New()
		order := rng.Perm(targets)
		for range 3 {
			for i := 0; i < targets; i += width {
				work := 0.3 * math.Exp(rng.NormFloat64()*0.4)
				estimate := time.Duration(work * math.Exp(rng.NormFloat64()*0.4) * float64(time.Second))
				var samples []Sample
				for _, target := range order[i : i+width] {
					took := work * math.Exp(rng.NormFloat64()*0.15) / speed(target) * float64(time.Second)
					samples = append(samples, Sample{fmt.Sprint("t", target), time.Duration(took)})
				}
				m.Learn("q", estimate, samples)
			}
			rng.Shuffle(targets, func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		for i := range targets {
			pairs++
			if (m.Slowness(fmt.Sprint("t", i)) > 1.25) != (speed(i) == slow) {
				wrong++
			}
		}
	}
	if wrong > pairs/100 {
		t.Errorf("after three tasks each, %d of %d targets have the wrong speed", wrong, pairs)
	}
}

func ExampleModel_Slowness() {
	m := New()
	for range 20 {
		m.Learn("valuations", time.Second, []Sample{{"old", 2 * time.Second}, {"new", time.Second}})
	}
	fmt.Printf("%.0f times as slow\n", m.Slowness("old")/m.Slowness("new"))
	// Output: 2 times as slow
}

// Guards against slowness values that drift while an instance owns only some of
// the targets of its model. Targets that it owns again later would appear much
// faster than the others, and the forecasts would be wrong by the same factor.
func TestSpeedsDoNotDrift(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	m := New()
	step := func(first int) {
		work := 0.2 * math.Exp(rng.NormFloat64()*0.4)
		var samples []Sample
		for i := range 8 {
			took := work * math.Exp(rng.NormFloat64()*0.15) * float64(time.Second)
			samples = append(samples, Sample{fmt.Sprint("t", first+i), time.Duration(took)})
		}
		slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.RunTime, b.RunTime) })
		m.Learn("q", 200*time.Millisecond, samples)
	}
	for range 100 {
		step(0)
		step(8)
	}
	for range 1000 {
		step(0)
	}
	for i := range 16 {
		if s := m.Slowness(fmt.Sprint("t", i)); s < 0.7 || s > 1.4 {
			t.Errorf("all targets are equally fast, but the slowness of target %d is %.2f", i, s)
		}
	}
}
