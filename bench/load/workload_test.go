package load

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an ideal makespan that no schedule can reach or that a better
// schedule beats. Either would falsify every slowdown, which is relative to it.
func TestIdealMakespan(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		runs   []time.Duration
		speeds []float64
		want   time.Duration
	}{
		{[]time.Duration{100 * ms}, []float64{1, 2}, 50 * ms},
		{[]time.Duration{100 * ms, 100 * ms}, []float64{1, 2}, 100 * ms},
		{[]time.Duration{40 * ms, 30 * ms, 30 * ms}, []float64{1, 1}, 60 * ms},
	} {
		if got := IdealMakespan(c.runs, c.speeds); got != c.want {
			t.Errorf("ideal makespan of %v on %v is %v, want %v", c.runs, c.speeds, got, c.want)
		}
	}
}

// Guards against an offered load that differs from the requested one in the
// rate of tasks or in their mean run time.
func TestPoissonOffersTheRate(t *testing.T) {
	w := Workload{MeanRun: 80 * time.Millisecond, MaxTasks: 9, Timeout: time.Second, RepeatableShare: 0.5}
	jobs := w.Poisson(rand.New(rand.NewPCG(1, 2)), 0, 0, 100*time.Second, 500)
	tasks, busy := 0, time.Duration(0)
	for _, j := range jobs {
		tasks += len(j.RunTimes)
		for _, r := range j.RunTimes {
			busy += r
		}
	}
	if rate := float64(tasks) / 100; rate < 475 || rate > 525 {
		t.Errorf("%v tasks/s, want 500", rate)
	}
	if mean := busy / time.Duration(tasks); mean < 77*time.Millisecond || mean > 83*time.Millisecond {
		t.Errorf("mean run time %v, want 80ms", mean)
	}
}
