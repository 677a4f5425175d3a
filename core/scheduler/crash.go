package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxCrashes is the number of crashes under one task at which its job fails.
	maxCrashes = 2
	// maxLosses is the number of lost targets from which on a task does not start,
	// whatever is known of them.
	maxLosses = 3
	// recordTimeout is how long a task waits at most until its loss is in the store.
	recordTimeout = 400 * time.Millisecond
	// crashRetention is how long a crash is remembered after it was last reported.
	// Callers wait for up to ten minutes, and send a job again within seconds.
	crashRetention = 12 * time.Minute
)

// Crash describes the loss of a target while tasks ran on it.
type Crash struct {
	Target string
	// Incarnation is the execution of the target's process that was lost.
	Incarnation int64
	State       CrashState
	// Tasks holds the tasks whose runs were lost, in the order of their IDs.
	Tasks []TaskID
}

// CrashState is what is known of a Crash.
type CrashState int

// The states of a Crash. A stronger state replaces a weaker one.
const (
	// CrashSilent means that the target has not answered until the lease on its runs
	// has ended. It may be cut off only. This state is not reported to other owners.
	CrashSilent CrashState = iota
	// CrashSuspected means that the target has closed its connections and that the
	// lease on its runs has ended since. It may have been disconnected only.
	CrashSuspected
	// CrashUnresolved means that the target has left the list. It may be cut off from
	// the platform as well, and no more is to be learned.
	CrashUnresolved
	// CrashPossible means that the target was lost before it had answered the start, so
	// that the task may not have run there.
	CrashPossible
	// CrashConfirmed means that the process of the target has ended.
	CrashConfirmed
	// CrashRefuted means that a target has answered again whose crash was assumed.
	CrashRefuted
)

// foundCrash is the key of a Crash that Handle has not returned yet.
type foundCrash struct {
	incarnation targetIncarnation
	state       CrashState
}

// recordCrash records what this instance has found about the loss of a target under
// a task.
func (s *Scheduler) recordCrash(in targetIncarnation, state CrashState, task TaskID) {
	old, changed := s.crashLog.record(s.now, in, task, state)
	if !changed {
		return
	}
	if state != CrashSilent && (state != CrashRefuted || old != CrashSilent) {
		key := foundCrash{in, state}
		s.foundCrashes[key] = append(s.foundCrashes[key], task)
		if k := s.task(task); k != nil && old == CrashSilent {
			k.recordTimeout = s.now.Add(recordTimeout)
		}
	}
	s.applyCrashes(task)
}

// crashRecorded lets the tasks start again whose losses are in the store.
func (s *Scheduler) crashRecorded(c Crash) {
	for _, id := range c.Tasks {
		if k := s.task(id); k != nil {
			k.recordTimeout = time.Time{}
		}
	}
}

// nextRecordTimeout returns when the next task of a job stops waiting for the record of
// a loss, or zero.
func (s *Scheduler) nextRecordTimeout(j *job) time.Time {
	var next time.Time
	for _, k := range j.suspects() {
		if s.now.Before(k.recordTimeout) {
			next = earliest(next, k.recordTimeout)
		}
	}
	return next
}

// crashReported records what another owner has found.
func (s *Scheduler) crashReported(c Crash) {
	for _, task := range c.Tasks {
		if _, changed := s.crashLog.record(s.now, targetIncarnation{c.Target, c.Incarnation}, task, c.State); changed {
			s.applyCrashes(task)
		}
	}
}

// MayHaveRun reports whether targets were lost under tasks of the job, here or at other
// owners, within crashRetention. The job may have been submitted more than once.
func (s *Scheduler) MayHaveRun(job string) bool { return s.crashLog.jobs[job] > 0 }

// applyCrashes updates a task whose crashes have changed, if its job runs here.
func (s *Scheduler) applyCrashes(id TaskID) {
	k := s.task(id)
	if k == nil {
		return
	}
	j := k.job
	k.crashes = s.crashLog.count(id)
	if !j.suspected && (k.suspect() || k.held()) {
		j.suspected = true
		s.suspectedJobs++
	}
	if k.crashedTooOften() {
		s.finish(j, crashFailure)
		return
	}
	s.enqueue(j)
}

// crashFailure is the outcome of a job under whose task maxCrashes targets have
// crashed.
var crashFailure = Failed{Reason: "targets have crashed under a task"}

// emitCrashes emits the crashes that were found during a call of Handle.
func (s *Scheduler) emitCrashes() {
	if len(s.foundCrashes) == 0 {
		return
	}
	var all []Crash
	for key, tasks := range s.foundCrashes {
		slices.SortFunc(tasks, compareTasks)
		all = append(all, Crash{Target: key.incarnation.target, Incarnation: key.incarnation.incarnation, State: key.state, Tasks: tasks})
	}
	clear(s.foundCrashes)
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(strings.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State))
	})
	for _, c := range all {
		s.emit(CrashFound{Crash: c})
	}
}

// mustSuspectCrash reports whether a crash of the target has to be suspected once the
// lease on its runs has ended. A target that leaves, or that another owner has taken
// over, does not answer either.
func (s *Scheduler) mustSuspectCrash(t *target) bool {
	if t.left() || t.fenced && t.connectionLostAt.IsZero() {
		return false
	}
	for _, r := range t.runs {
		if !r.lost {
			return true
		}
	}
	return false
}

// recordRunLoss records the loss of a target under a run. Each run counts for one
// execution of the target only.
func (s *Scheduler) recordRunLoss(r *run, state CrashState) {
	if r.lost && r.lostWith != r.target.incarnation {
		return
	}
	r.lost, r.lostWith = true, r.target.incarnation
	if state != CrashSilent && !r.accepted && !r.foreign {
		state = CrashPossible
	}
	if state > CrashSilent && r.task != nil && !r.commonLoss && s.hasCommonCause(r.target) {
		r.commonLoss = true
		r.task.commonLosses++
	}
	s.recordCrash(r.target.current(), state, r.id.Task)
}

// suspectCrash records that the lease on the runs of a target has ended.
func (s *Scheduler) suspectCrash(t *target) {
	if !s.mustSuspectCrash(t) {
		return
	}
	state := CrashSuspected
	if t.connectionLostAt.IsZero() {
		state = CrashSilent
	}
	for _, r := range t.sortedRuns() {
		s.recordRunLoss(r, state)
	}
}

// confirmEnd records that the current process of a target has ended with its runs.
func (s *Scheduler) confirmEnd(t *target) {
	if t.left() {
		return
	}
	for _, r := range t.sortedRuns() {
		s.recordRunLoss(r, CrashConfirmed)
	}
	s.confirmLosses(t.current())
}

// confirmLosses records that an execution of a target has ended whose crash was
// suspected.
func (s *Scheduler) confirmLosses(in targetIncarnation) {
	if c := s.crashLog.losses(in); c != nil {
		for _, task := range slices.Clone(c.tasks) {
			if state := s.crashLog.tasks[task][in]; state == CrashSuspected || state == CrashUnresolved {
				s.recordCrash(in, CrashConfirmed, task)
			}
		}
	}
}

// refuteSuspected records that a target has not crashed whose crash was suspected.
func (s *Scheduler) refuteSuspected(t *target) {
	c := s.crashLog.losses(t.current())
	if c == nil {
		return
	}
	for _, task := range slices.Clone(c.tasks) {
		s.recordCrash(t.current(), CrashRefuted, task)
	}
	for _, r := range t.runs {
		r.lost = false
	}
}

// confirmEarlierIncarnations records the end of the executions of a target before the one
// that answers.
func (s *Scheduler) confirmEarlierIncarnations(t *target) {
	for _, in := range s.crashLog.incarnationsOf(t.ID, t.incarnation) {
		s.confirmLosses(in)
	}
}

// confirmRestart records that the current process of a target has ended with its
// runs, except those that the next one lists.
func (s *Scheduler) confirmRestart(t *target, next PollReturned) {
	if t.left() {
		return
	}
	for _, r := range t.sortedRuns() {
		completed := func(c Completion) bool { return c.Run == r.id }
		if !slices.Contains(next.Running, r.id) && !slices.ContainsFunc(next.Completions, completed) {
			s.recordRunLoss(r, CrashConfirmed)
		}
	}
	s.confirmLosses(t.current())
}

// targetGone handles a target that its platform no longer lists. It has crashed, or it
// is cut off from the platform as well.
func (s *Scheduler) targetGone(id string) {
	for _, in := range s.crashLog.incarnationsOf(id, 0) {
		for _, task := range slices.Clone(s.crashLog.losses(in).tasks) {
			s.recordCrash(in, CrashUnresolved, task)
		}
	}
}

func (t *target) current() targetIncarnation { return targetIncarnation{t.ID, t.incarnation} }

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
