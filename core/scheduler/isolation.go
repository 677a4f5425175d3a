package scheduler

import (
	"slices"
	"time"
)

// isolationShare is the part of the usable targets, at least one target, on which
// suspect tasks may run at the same time.
const isolationShare = 1.0 / 8

// suspect reports whether a target has crashed, or may have crashed, under the
// task, and not together with many others. Such a task runs alone on its target: a
// second crash then shows that the task is the cause, and takes no other work along.
func (t *task) suspect() bool { return t.crashes.all-t.crashes.silent > t.commonLosses }

// crashedTooOften reports whether the task's job has failed.
func (t *task) crashedTooOften() bool { return t.crashes.confirmed >= maxCrashes }

// held reports whether the task must not start, unless crashes under it are refuted.
func (t *task) held() bool {
	c := t.crashes
	return c.all-c.silent-c.unresolved >= maxCrashes || c.all >= maxLosses
}

// undecided reports whether more is to be learned of the crashes under the task.
func (t *task) undecided() bool { return t.crashes.silent+t.crashes.suspected > 0 }

// mayIsolate reports whether a suspect task may start. Until one suspect task of a
// job has succeeded, only one runs at a time, because each may crash its target.
func (s *Scheduler) mayIsolate(k *task) bool {
	usable, isolated := 0, 0
	for _, t := range s.sortedTargets {
		if t.usable() {
			usable++
		}
		isolated += t.isolatedRuns
		if t.isolatedRuns > 0 && t.isolates(k.job) && !k.job.isolatedSuccess {
			return false
		}
	}
	return float64(isolated) < max(1, float64(usable)*isolationShare)
}

// isolates reports whether a suspect task of the job runs on the target.
func (t *target) isolates(j *job) bool {
	for _, r := range t.runs {
		if r.isolated && r.task != nil && r.task.job == j {
			return true
		}
	}
	return false
}

// reserve keeps new work from the target that will be empty first, for a suspect
// task that waits for an empty target.
func (s *Scheduler) reserve(k *task) {
	if s.reserved != nil || k.held() || !s.mayIsolate(k) {
		return
	}
	var best time.Time
	for _, t := range s.sortedTargets {
		if !s.isCandidate(t, k) || t.isolatedRuns > 0 {
			continue
		}
		end := s.now
		for _, r := range t.runs {
			if e := r.end(); e.After(end) {
				end = e
			}
		}
		if s.reserved == nil || end.Before(best) {
			s.reserved, best = t, end
		}
	}
}

// giveUpSuspects ends the jobs with a suspect task whose next start could neither
// bring an answer of value nor show before the deadline whether it crashes its
// target, or that has lost maxLosses targets of which no more is to be learned.
func (s *Scheduler) giveUpSuspects() {
	if s.suspectedJobs == 0 {
		return
	}
	for _, j := range s.jobsWhere(func(j *job) bool {
		return j.suspected && slices.ContainsFunc(j.suspects(), s.startIsFutile)
	}) {
		s.giveUp(j, ReasonTargetLost)
	}
}

// startIsFutile reports whether the suspect task will not start again, or whether a
// start can no longer be of use. A single loss is no reason to give up a job while its
// queue does not stand out: the target may have been lost for any other cause.
func (s *Scheduler) startIsFutile(k *task) bool {
	switch {
	case !k.waiting():
		return false
	case k.held():
		return !k.undecided()
	case k.job.Queue != s.contained.queue:
		return false
	}
	end := s.now.Add(s.baseRunTime(k))
	return end.After(s.latestUsefulEnd(k.job)) && end.Add(s.lossDelay()).After(k.job.Deadline)
}

// suspects returns the suspect and held tasks of the job that are not done.
func (j *job) suspects() []*task {
	var out []*task
	for _, ts := range j.tasks {
		for _, k := range ts {
			if (k.suspect() || k.held()) && !k.done {
				out = append(out, k)
			}
		}
	}
	return out
}
