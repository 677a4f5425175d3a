package scheduler

import (
	"slices"
	"time"
)

// returnWaitFactor multiplies the forecast wait of a job that is compared with the time
// left until its latest start. The forecast is for tasks of average size on all targets,
// and a job that is returned when it has become too late is of no use elsewhere.
const returnWaitFactor = 2

// returnWaitingJobs refuses the jobs that have waited for their ReturnAfter and whose
// objective is at risk here, so that their senders can ask other owners. It is called
// after place.
func (s *Scheduler) returnWaitingJobs() {
	for _, j := range slices.Clone(s.queue) {
		if j.returnAt.IsZero() || s.now.Before(j.returnAt) {
			continue
		}
		// A job that stays is not considered again: the forecast costs a pass over all
		// runs, and most of its wait is over.
		j.returnAt = time.Time{}
		if s.mayReturn(j) && s.now.Add(returnWaitFactor*s.forecastWait(j)).After(j.latestStart()) {
			s.finish(j, Refused{Reason: ReasonReturned, RetryAfter: minRetryAfter})
		}
	}
}

// mayReturn reports whether a job may be returned to its sender: none of its tasks can
// have run, also in an earlier submission, and no second sender awaits it, which would
// send it elsewhere too.
func (s *Scheduler) mayReturn(j *job) bool {
	return !j.started && !j.mayHaveRun && len(j.waiters) == 1 && !s.MayHaveRun(j.ID) &&
		!j.anyTask(func(k *task) bool { return s.givenUpRuns[k.id] > 0 })
}
