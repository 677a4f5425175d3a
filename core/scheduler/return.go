package scheduler

import "slices"

// returnWaitingJobs refuses the jobs that have waited for their ReturnAfter, so that
// their senders can ask other owners. It is called after place.
func (s *Scheduler) returnWaitingJobs() {
	for _, j := range slices.Clone(s.queue) {
		if s.mayReturn(j) && !s.now.Before(j.returnAt) {
			s.finish(j, Refused{Reason: ReasonReturned, RetryAfter: minRetryAfter})
		}
	}
}

// mayReturn reports whether a job may be returned to its sender: none of its tasks can
// have run, also in an earlier submission, and no second sender awaits it, which would
// send it elsewhere too.
func (s *Scheduler) mayReturn(j *job) bool {
	return !j.returnAt.IsZero() && !j.started && !j.mayHaveRun && !j.suspected && len(j.waiters) == 1
}
