package poolrun

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func loadBusyDay(t *testing.T, edit func(string) string) (Experiment, error) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "experiments", "busy-day.toml"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(edit(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	exp, found := Load(path)
	return exp, found.Err()
}

func unchanged(s string) string { return s }

// Guards against runs that differ for the same seed, and against misread settings
// of an experiment, which lead to implausible results.
func TestRunIsDeterministic(t *testing.T) {
	exp, err := loadBusyDay(t, unchanged)
	if err != nil {
		t.Fatal(err)
	}
	exp.Seconds = 5
	a, b := Run(exp, exp.Policies[0], 3), Run(exp, exp.Policies[0], 3)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ:\n%+v\n%+v", a, b)
	}
	if a.Jobs < 500 || a.EarnedShare < 0.3 || a.Starts < a.Jobs {
		t.Errorf("implausible result: %+v", a)
	}
}

// Guards against a simulation that fails to serve a load that the targets can
// handle: without faults and at a third of the rate, nearly every job must be
// answered in time.
func TestLightLoadIsServed(t *testing.T) {
	exp, err := loadBusyDay(t, unchanged)
	if err != nil {
		t.Fatal(err)
	}
	exp.Seconds, exp.Rate, exp.Faults, exp.Targets.SpeedSpread = 10, exp.Rate/3, nil, 0
	if r := Run(exp, exp.Policies[0], 1); r.InTime < 0.95 || r.Refused > 0.02 {
		t.Errorf("light load: %+v", r)
	}
}

// Guards against slowness factors that are not assigned in equal shares, which
// makes a comparison of policies depend on the seed.
func TestSlownessIsAssignedInEqualShares(t *testing.T) {
	cfg := TargetConfig{Count: 48, Slowness: []float64{0.5, 1, 2}}
	counts := map[float64]int{}
	for _, f := range cfg.assignSlowness(rand.New(rand.NewPCG(1, 1))) {
		counts[f]++
	}
	for _, f := range cfg.Slowness {
		if counts[f] != 16 {
			t.Errorf("%d targets of slowness %v, want 16", counts[f], f)
		}
	}
}

// Guards against a share of the largest jobs that is taken over other jobs.
func TestLargestTenth(t *testing.T) {
	var all []jobScore
	for i := range 20 {
		all = append(all, jobScore{valueShare{earned: float64(i % 2), possible: 1}, time.Duration(i+1) * time.Second})
	}
	if got := largestTenth(all); got != (valueShare{earned: 1, possible: 2}) {
		t.Errorf("largest tenth of 20 jobs: %+v, want 1 of 2", got)
	}
}

// Guards against long jobs that start on slow targets while fast ones are free, run
// past their deadline and end with an unknown outcome. Overconfident forecasts rate
// all targets alike.
func TestLongJobsGetFastTargets(t *testing.T) {
	exp, found := Load(filepath.Join("..", "..", "examples", "experiments", "mixed-speeds.toml"))
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	exp.Rate, exp.Faults = 90, nil
	overconfident := Policy{Overrides: map[string]float64{"forecast_error": 0.3, "unknown_cost": 0}}
	var unknown, unknownBefore float64
	for seed := range uint64(4) {
		r := Run(exp, exp.Policies[0], seed)
		if r.EarnedShare < 0.96 {
			t.Errorf("seed %d: %.3f of the worth is earned on a lightly loaded system, want 0.96", seed, r.EarnedShare)
		}
		if r.LargestShare < 0.5*r.WorstKindShare {
			t.Errorf("seed %d: the largest jobs earn %.3f, less than half of %.3f of their kind", seed, r.LargestShare, r.WorstKindShare)
		}
		unknown += r.Unknown
		unknownBefore += Run(exp, overconfident, seed).Unknown
	}
	if unknown >= unknownBefore {
		t.Errorf("%.4f of the jobs have an unknown outcome, not fewer than %.4f with overconfident forecasts", unknown, unknownBefore)
	}
}

// Guards against callers whose patience is not relative to the objective of their job,
// and against runs that end before the last of them: their jobs would count as unknown.
func TestPatienceIsRelativeToTheObjective(t *testing.T) {
	exp, err := loadBusyDay(t, func(s string) string {
		return strings.ReplaceAll(s, "deadline_ms = 1500", "patience = 60.0\npatience_spread = 0.0")
	})
	if err != nil {
		t.Fatal(err)
	}
	exp.Seconds, exp.Rate, exp.Faults = 5, exp.Rate/3, nil
	sim := newSimulation(exp, exp.Policies[0], 1)
	for _, j := range sim.jobs {
		if want := 60 * j.objective; (j.deadline - want).Abs() > time.Microsecond {
			t.Fatalf("the caller of a job with the objective %v waits for %v, want %v", j.objective, j.deadline, want)
		}
	}
	exp.Faults = []Fault{{Kind: "hang", DurationSeconds: 5, Share: 1}}
	exp.Policies[0].Overrides = map[string]float64{"overdue_factor": 999}
	for _, j := range runToEnd(exp) {
		if j.outcome == nil {
			t.Fatalf("job %s has no outcome, although its caller has left", j.id)
		}
	}
}

// runToEnd runs an experiment and returns its jobs.
func runToEnd(exp Experiment) []*job {
	sim := newSimulation(exp, exp.Policies[0], 1)
	sim.run()
	return sim.jobs
}

// Guards against a scheduler whose timer wakes it repeatedly without need under
// overload.
func TestTimerWakesAreBounded(t *testing.T) {
	exp, err := loadBusyDay(t, unchanged)
	if err != nil {
		t.Fatal(err)
	}
	exp.Seconds = 8
	if r := Run(exp, exp.Policies[0], 1); r.TimerWakes > 4*r.Jobs {
		t.Errorf("%d timer wake-ups for %d jobs", r.TimerWakes, r.Jobs)
	}
}

// Guards against invalid experiments that are accepted and run with other
// settings than those in the file.
func TestLoadRejectsInvalidExperiments(t *testing.T) {
	for old, with := range map[string]string{
		"seconds = 40.0":              "seconds = 0.0",
		"rate = 140.0":                "rate = -1.0",
		"owners = 3":                  "owners = 300",
		`kind = "burst"`:              `kind = "flood"`,
		"overdue_factor = 1.6":        "overdue = 1.6",
		"work_ms = 60.0":              "work_ms = 0.0",
		"cpu = [64000, 64000, 96000]": "cpu = []",
		"slack_ms = 60":               "slack = 60",
		"deadline_ms = 1500":          "deadline_ms = 0",
		"stretch = 1.6":               "patience = 2.0",
		"late = 0.032":                "patience_spread = -1.0",
	} {
		if _, err := loadBusyDay(t, func(s string) string { return strings.Replace(s, old, with, 1) }); err == nil {
			t.Errorf("%q instead of %q is accepted", with, old)
		}
	}
}
