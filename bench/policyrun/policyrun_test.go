package policyrun

import (
	"testing"

	"marigoldfront.dev/core/dispatch"
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, sc := range Scenarios() {
		if sc.Name == name {
			return sc
		}
	}
	t.Fatalf("scenario %q does not exist", name)
	return Scenario{}
}

// Guards against runs that depend on anything but the scenario, the policy and
// the seed, for example on map order. Their results could not be compared.
func TestDeterministic(t *testing.T) {
	for _, policy := range []dispatch.PolicyName{dispatch.PolicyLoad, dispatch.PolicyBaseline} {
		sc := scenario(t, "60-percent-fail")
		if a, b := Run(sc, policy, 7), Run(sc, policy, 7); a != b {
			t.Errorf("%s: two runs of one seed differ:\n%v\n%v", policy, a, b)
		}
	}
}

// Guards against policy changes that miss the goals for slowdown, goodput,
// wasted messages and degraded jobs under load, or with a single failing target.
func TestGoals(t *testing.T) {
	for _, name := range []string{"steady-50", "steady-70", "steady-90"} {
		if r := Run(scenario(t, name), dispatch.PolicyLoad, 1); r.P99 > 3 || r.Wasted.Sum() > 0.02 {
			t.Errorf("want a p99 slowdown of at most 3 and at most 0.02 wasted messages per answer:\n%v", r)
		}
	}
	if r := Run(scenario(t, "burst-3x"), dispatch.PolicyLoad, 1); r.Goodput < 0.9 {
		t.Errorf("want a goodput of at least 0.9:\n%v", r)
	}
	for _, name := range []string{"one-fails-fast", "target-dies"} {
		if r := Run(scenario(t, name), dispatch.PolicyLoad, 1); r.Degraded > 0.01 || r.Wasted.Sum() > 0.1 {
			t.Errorf("want at most 1%% degraded jobs and at most 0.1 wasted messages per answer:\n%v", r)
		}
	}
}
