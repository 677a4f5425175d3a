package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Guards against overcommitted targets that do not check their capacity, also after
// it has shrunk.
func TestSimulatedResizesKeepCapacity(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			sim.resizes, sim.faults = true, max(sim.faults, 0.01)
			sim.run()
		})
	}
}

// Guards against a task that is started again after it has crashed maxCrashes targets,
// or maxLosses targets that did not close their connections, and against runs that violate the other invariants while targets crash.
func TestSimulatedCrashesAreBounded(t *testing.T) {
	crashed, failed := 0, 0
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			sim.deadly, sim.deadline = 0.05, []time.Duration{1500 * time.Millisecond, 8 * time.Second}[seed/4%2]
			sim.run()
			for id, j := range sim.jobs {
				crashed += j.crashes
				if j.crashes > maxLosses || j.crashes > maxCrashes && !j.silent {
					t.Errorf("%d targets crashed under the first task of %s", j.crashes, id)
				}
				if _, ok := j.answered.(Failed); ok && j.deadly {
					failed++
				}
			}
		})
	}
	if crashed < simulationSeeds || failed == 0 {
		t.Errorf("%d targets crashed and %d jobs failed in %d runs", crashed, failed, simulationSeeds)
	}
}
