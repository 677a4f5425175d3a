package scheduler

import "time"

// injectFault applies a random fault to a random target.
func (sim *simulation) injectFault() {
	t := sim.targets[sim.rng.IntN(len(sim.targets))]
	kinds := 4
	if sim.resizes {
		kinds++
	}
	switch sim.rng.IntN(kinds) {
	case 0:
		t.disconnected = true
		sim.after(time.Duration(sim.rng.IntN(3000))*time.Millisecond, func() { t.disconnected = false })
	case 1:
		t.crash(0)
	case 2:
		// Another owner takes the target over and stops its runs.
		t.fence = max(t.fence, t.Fence) + 1
		for id := range t.running {
			t.complete(id, RunStopped)
		}
	case 3:
		t.Draining = !t.Draining
		sim.sendTargets()
	case 4:
		t.resize([]int64{32_000, 64_000, 96_000}[sim.rng.IntN(3)])
	}
}

// checkInvariants checks the runs on all targets.
func (sim *simulation) checkInvariants() {
	sim.checkIndexes()
	seen := map[TaskID]string{}
	for _, t := range sim.targets {
		var cpu int64
		for id, r := range t.running {
			if other, ok := seen[id.Task]; ok {
				sim.t.Fatalf("%v: task %v runs on %s and %s", sim.now, id.Task, other, t.ID)
			}
			seen[id.Task] = t.ID
			cpu += r.cpu
			j := sim.jobs[id.Task.Job]
			if j.answered != nil && sim.now.Sub(j.answeredAt) > 3*time.Second {
				sim.t.Fatalf("%v: run %v on %s continues after its job was answered with %#v", sim.now, id, t.ID, j.answered)
			}
		}
		if cpu > t.CPU && !sim.resizes {
			sim.t.Fatalf("%v: target %s runs tasks with a CPU of %d, but has only %d", sim.now, t.ID, cpu, t.CPU)
		}
	}
}

// checkIndexes checks that the Scheduler finds each job that may be due without a
// search through all of them.
func (sim *simulation) checkIndexes() {
	suspected := 0
	for _, j := range sim.s.jobs {
		if j.suspected {
			suspected++
		}
		if j.Deadline.Before(sim.s.nextDeadline) {
			sim.t.Fatalf("%v: job %s ends at %v, before the next deadline, %v", sim.now, j.ID, j.Deadline, sim.s.nextDeadline)
		}
		if (!j.started || j.unplaced > 0) && !j.queued {
			sim.t.Fatalf("%v: job %s has tasks to place, but is not queued", sim.now, j.ID)
		}
	}
	if suspected != sim.s.suspectedJobs {
		sim.t.Fatalf("%v: %d jobs are suspected, but %d are counted", sim.now, suspected, sim.s.suspectedJobs)
	}
}
