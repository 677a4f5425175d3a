package poolrun

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func load(t *testing.T, edit func(string) string) (Experiment, error) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "experiments", "busy-day.toml"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(edit(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	x, found := Load(path)
	return x, found.Err()
}

func same(s string) string { return s }

// Guards against an experiment whose figures are taken for others than it
// names, and against runs that differ for one seed.
func TestRunsRepeat(t *testing.T) {
	x, err := load(t, same)
	if err != nil {
		t.Fatal(err)
	}
	x.Seconds = 5
	a, b := Run(x, x.Policies[0], 3), Run(x, x.Policies[0], 3)
	if a != b {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", a, b)
	}
	if a.Jobs < 500 || a.EarnedShare < 0.3 || a.Starts < a.Jobs {
		t.Errorf("the run is not plausible: %+v", a)
	}
}

// Guards against a model in which a load that the targets carry is not served:
// without faults, at a third of the rate, nearly every job must be in time.
func TestLightLoadIsServed(t *testing.T) {
	x, err := load(t, same)
	if err != nil {
		t.Fatal(err)
	}
	x.Seconds, x.Rate, x.Faults, x.Targets.SpeedSpread = 10, x.Rate/3, nil, 0
	if r := Run(x, x.Policies[0], 1); r.InTime < 0.95 || r.Refused > 0.02 {
		t.Errorf("light load: %+v", r)
	}
}

// Guards against a scheduler that wakes up over and over under overload.
func TestWakesAreBounded(t *testing.T) {
	x, err := load(t, same)
	if err != nil {
		t.Fatal(err)
	}
	x.Seconds = 8
	if r := Run(x, x.Policies[0], 1); r.TimerWakes > 4*r.Jobs {
		t.Errorf("%d wakes without an event for %d jobs", r.TimerWakes, r.Jobs)
	}
}

// Guards against wrong experiments that run as something else.
func TestFindings(t *testing.T) {
	for old, with := range map[string]string{
		"seconds = 40.0":              "seconds = 0.0",
		"rate = 140.0":                "rate = -1.0",
		"owners = 3":                  "owners = 300",
		`kind = "burst"`:              `kind = "flood"`,
		"hold_share = 0.6":            "hold = 0.6",
		"work_ms = 60.0":              "work_ms = 0.0",
		"cpu = [64000, 64000, 96000]": "cpu = []",
		"slack_ms = 60":               "slack = 60",
	} {
		if _, err := load(t, func(s string) string { return strings.Replace(s, old, with, 1) }); err == nil {
			t.Errorf("%q instead of %q has no finding", with, old)
		}
	}
}
