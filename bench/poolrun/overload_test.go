package poolrun

import (
	"path/filepath"
	"slices"
	"testing"
)

// pressed returns the overload experiment with one owner, a sixth of the load and
// without bursts.
func pressed(t *testing.T) Experiment {
	t.Helper()
	exp, found := Load(filepath.Join("..", "..", "examples", "experiments", "overload.toml"))
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	exp.Seconds, exp.Owners, exp.Faults = 8, 1, nil
	exp.Rate /= 3
	exp.Targets.Count /= 3
	exp.Kinds = slices.Clone(exp.Kinds)
	return exp
}

// meanRun returns the mean result over several seeds.
func meanRun(exp Experiment) Result {
	var rows []Result
	for seed := range uint64(4) {
		rows = append(rows, Run(exp, exp.Policies[0], seed+1))
	}
	return Mean("", rows)
}

// kind returns the result for a kind of job.
func kind(t *testing.T, r Result, name string) KindResult {
	t.Helper()
	i := slices.IndexFunc(r.Kinds, func(k KindResult) bool { return k.Name == name })
	if i < 0 {
		t.Fatalf("there is no kind %q", name)
	}
	return r.Kinds[i]
}

// Load: 2.6 times the usual one for as long as callers press. Guards against refusals
// of what costs callers most for each core-second before those of what costs least.
func TestCheapestWorkGivesWayUnderOverload(t *testing.T) {
	exp := pressed(t)
	exp.Faults = []Fault{{Kind: "burst", StartSeconds: 1, DurationSeconds: 6, Magnitude: 2.6}}
	r := meanRun(exp)
	check, recalculation, query := kind(t, r, "check"), kind(t, r, "recalculation"), kind(t, r, "query")
	if check.Refused > query.Refused/4 || recalculation.Refused > query.Refused/2 || query.EarnedShare < 0.2 {
		t.Errorf("check %+v, recalculation %+v, query %+v", check, recalculation, query)
	}
}

// Load: one priority comes four times as often. Guards against jobs of the others that
// pay for it.
func TestBurstOfOneQueueIsPaidByItself(t *testing.T) {
	exp := pressed(t)
	exp.Faults = []Fault{{Kind: "burst", StartSeconds: 1, DurationSeconds: 6, Magnitude: 4, JobKind: "query"}}
	r := meanRun(exp)
	check, recalculation, query := kind(t, r, "check"), kind(t, r, "recalculation"), kind(t, r, "query")
	if check.Refused > query.Refused/4 || recalculation.Refused > query.Refused/2 || query.EarnedShare < 0.3 {
		t.Errorf("check %+v, recalculation %+v, query %+v", check, recalculation, query)
	}
}

// Load: one caller floods the queue of the highest priority with ten times its jobs for
// the whole run. Guards against a flood that starves the other queues by its priority,
// and itself by accepting what cannot end in time.
func TestFloodOfTheHighestPriorityDoesNotStarveOthers(t *testing.T) {
	exp := pressed(t)
	exp.Faults = []Fault{{Kind: "burst", StartSeconds: 0, DurationSeconds: 8, Magnitude: 10, JobKind: "check"}}
	r := meanRun(exp)
	check, recalculation, query := kind(t, r, "check"), kind(t, r, "recalculation"), kind(t, r, "query")
	if check.EarnedShare < 0.15 || recalculation.EarnedShare < 0.5 || query.EarnedShare < 0.5 {
		t.Errorf("check %+v, recalculation %+v, query %+v", check, recalculation, query)
	}
}

// Load: long jobs four times as often as usual, while short urgent ones come as always.
// Guards against long jobs that fill all room.
func TestLongJobsLeaveRoomForShortOnes(t *testing.T) {
	exp := pressed(t)
	exp.Faults = []Fault{{Kind: "burst", StartSeconds: 1, DurationSeconds: 6, Magnitude: 4, JobKind: "recalculation"}}
	r := meanRun(exp)
	check, query := kind(t, r, "check"), kind(t, r, "query")
	if check.EarnedShare < 0.8 || query.EarnedShare < 0.5 {
		t.Errorf("check %+v, query %+v", check, query)
	}
}

// Load: the most urgent jobs have the lowest priority and the patient ones the highest,
// at a load that fits. Guards against an order by priority alone, which makes the urgent
// ones late for nothing.
func TestInvertedPrioritiesDoNotMakeUrgentJobsLate(t *testing.T) {
	exp := pressed(t)
	exp.Rate *= 1.2
	for i := range exp.Kinds {
		exp.Kinds[i].Priority = map[string]int{"check": 5, "query": 3, "recalculation": 0}[exp.Kinds[i].Name]
	}
	r := meanRun(exp)
	for _, k := range r.Kinds {
		if k.EarnedShare < 0.9 {
			t.Errorf("%+v", k)
		}
	}
}

// Load: a third of the targets leave at 1.3 times the usual load. Guards against a
// collapse when the room shrinks: what is refused must not exceed what lacks room by
// much.
func TestRoomShrinksByAThird(t *testing.T) {
	exp := pressed(t)
	exp.Rate *= 1.3
	exp.Faults = []Fault{{Kind: "leave", StartSeconds: 2, DurationSeconds: 8, Share: 0.34}}
	r := meanRun(exp)
	if r.EarnedShare < 0.75 || kind(t, r, "check").EarnedShare < 0.8 {
		t.Errorf("worth %.3f, %+v", r.EarnedShare, r.Kinds)
	}
}
