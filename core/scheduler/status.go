package scheduler

import "marigoldfront.dev/core/poolstatus"

// Status describes the targets and jobs for operators, in the order of their
// IDs.
func (s *Scheduler) Status() ([]poolstatus.Target, []poolstatus.Job) {
	targets := make([]poolstatus.Target, 0, len(s.sortedTargets))
	for _, t := range s.sortedTargets {
		v := poolstatus.Target{
			ID: t.ID, Service: t.Service, AvailabilityZone: t.Zone, Fence: t.Fence, State: t.state(),
			CPU: t.CPU, FreeCPU: t.free.cpu, Running: len(t.runs), Slowness: s.model.Slowness(t.ID),
		}
		if len(t.runs) > 0 {
			v.LeaseLeftMS = max(0, t.leaseUntil.Sub(s.now).Milliseconds())
		}
		targets = append(targets, v)
	}
	jobs := make([]poolstatus.Job, 0, len(s.jobs))
	for _, j := range s.sortedJobs() {
		v := poolstatus.Job{
			ID: j.ID, Queue: j.Queue, AgeMS: s.now.Sub(j.Arrived).Milliseconds(), LeftMS: j.Deadline.Sub(s.now).Milliseconds(),
		}
		for _, ts := range j.tasks {
			v.Tasks += len(ts)
			for _, t := range ts {
				switch {
				case t.done:
					v.Done++
				case t.run != nil:
					v.Running++
				default:
					v.Waiting++
				}
			}
		}
		jobs = append(jobs, v)
	}
	return targets, jobs
}

// state returns "usable", or the reason why the target gets no new work.
func (t *target) state() string {
	switch {
	case t.removed:
		return "removed"
	case t.fenced:
		return "fenced"
	case t.unanswered > 0:
		return "silent"
	case t.Draining:
		return "draining"
	case t.evacuated():
		return "evacuated"
	case t.Releasing:
		return "releasing"
	case !t.synced:
		return "unknown"
	case !t.described():
		return "restarted"
	case !t.ejectedUntil.IsZero():
		return "ejected"
	}
	return "usable"
}
