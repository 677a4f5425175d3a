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
	// crashRetention is how long a crash is remembered after it was last reported.
	// Callers send a job again within seconds.
	crashRetention = 2 * time.Minute
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

// targetLife identifies one execution of a target's process.
type targetLife struct {
	target      string
	incarnation int64
}

// crashLog holds the crashes of the last crashRetention that this instance and
// other owners have found.
type crashLog struct {
	tasks map[TaskID]map[targetLife]CrashState
	// jobs counts the tasks by their job.
	jobs map[string]int
	// lives holds the tasks by target and by incarnation.
	lives map[string]map[int64]*lifeCrash
	// reports holds the lives by the time of their reports, oldest first.
	reports []lifeReport
}

// lifeCrash holds the tasks that were lost with one execution of a target.
type lifeCrash struct {
	tasks      []TaskID
	reportedAt time.Time
}

type lifeReport struct {
	life targetLife
	at   time.Time
}

func newCrashLog() *crashLog {
	return &crashLog{tasks: map[TaskID]map[targetLife]CrashState{}, jobs: map[string]int{}, lives: map[string]map[int64]*lifeCrash{}}
}

// record applies a state, and returns the one before and whether anything has changed.
// A suspicion does not replace a confirmation.
func (l *crashLog) record(now time.Time, life targetLife, task TaskID, state CrashState) (old CrashState, changed bool) {
	old, known := l.tasks[task][life]
	switch {
	case state == CrashRefuted:
		if known {
			l.remove(life, task)
		}
		return old, known
	case known && old >= state:
		return old, false
	}
	if l.tasks[task] == nil {
		l.tasks[task] = map[targetLife]CrashState{}
		l.jobs[task.Job]++
	}
	l.tasks[task][life] = state
	c := l.life(life)
	if c == nil {
		c = &lifeCrash{}
		if l.lives[life.target] == nil {
			l.lives[life.target] = map[int64]*lifeCrash{}
		}
		l.lives[life.target][life.incarnation] = c
	}
	if !known {
		c.tasks = append(c.tasks, task)
	}
	if c.reportedAt != now {
		c.reportedAt = now
		l.reports = append(l.reports, lifeReport{life, now})
	}
	return old, true
}

func (l *crashLog) remove(life targetLife, task TaskID) {
	delete(l.tasks[task], life)
	if len(l.tasks[task]) == 0 {
		delete(l.tasks, task)
		if l.jobs[task.Job]--; l.jobs[task.Job] == 0 {
			delete(l.jobs, task.Job)
		}
	}
	c := l.life(life)
	c.tasks = slices.DeleteFunc(c.tasks, func(t TaskID) bool { return t == task })
	if len(c.tasks) == 0 {
		delete(l.lives[life.target], life.incarnation)
		if len(l.lives[life.target]) == 0 {
			delete(l.lives, life.target)
		}
	}
}

// life returns the record of one execution of a target, or nil.
func (l *crashLog) life(life targetLife) *lifeCrash { return l.lives[life.target][life.incarnation] }

// expire drops the crashes that were last reported before crashRetention.
func (l *crashLog) expire(now time.Time) {
	for len(l.reports) > 0 && now.Sub(l.reports[0].at) > crashRetention {
		r := l.reports[0]
		l.reports = l.reports[1:]
		if c := l.life(r.life); c != nil && c.reportedAt == r.at {
			for _, task := range slices.Clone(c.tasks) {
				l.remove(r.life, task)
			}
		}
	}
}

// crashCount counts the crashes under a task that are not refuted.
type crashCount struct{ all, silent, suspected, unresolved, confirmed int }

func (l *crashLog) count(task TaskID) crashCount {
	var c crashCount
	for _, state := range l.tasks[task] {
		c.all++
		switch state {
		case CrashSilent:
			c.silent++
		case CrashSuspected:
			c.suspected++
		case CrashUnresolved:
			c.unresolved++
		case CrashConfirmed:
			c.confirmed++
		}
	}
	return c
}

// livesOf returns the executions of a target that have crashed or may have crashed,
// except the given one.
func (l *crashLog) livesOf(target string, except int64) []targetLife {
	var out []targetLife
	for incarnation := range l.lives[target] {
		if incarnation != except {
			out = append(out, targetLife{target, incarnation})
		}
	}
	slices.SortFunc(out, func(a, b targetLife) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return out
}

// foundCrash is the key of a Crash that Handle has not returned yet.
type foundCrash struct {
	life  targetLife
	state CrashState
}

// recordCrash records what this instance has found about the loss of a target under
// a task.
func (s *Scheduler) recordCrash(life targetLife, state CrashState, task TaskID) {
	old, changed := s.crashLog.record(s.now, life, task, state)
	if !changed {
		return
	}
	if state != CrashSilent && (state != CrashRefuted || old != CrashSilent) {
		key := foundCrash{life, state}
		s.foundCrashes[key] = append(s.foundCrashes[key], task)
	}
	s.applyCrashes(task)
}

// crashReported records what another owner has found.
func (s *Scheduler) crashReported(c Crash) {
	for _, task := range c.Tasks {
		if _, changed := s.crashLog.record(s.now, targetLife{c.Target, c.Incarnation}, task, c.State); changed {
			s.applyCrashes(task)
		}
	}
}

// MayHaveRun reports whether targets were lost under tasks of the job, here or at other
// owners, within crashRetention. The job may have been submitted more than once.
func (s *Scheduler) MayHaveRun(job string) bool { return s.crashLog.jobs[job] > 0 }

// applyCrashes updates a task whose crashes have changed, if its job runs here.
func (s *Scheduler) applyCrashes(id TaskID) {
	j := s.jobs[id.Job]
	if j == nil {
		return
	}
	k := j.task(id)
	if k == nil {
		return
	}
	k.crashes = s.crashLog.count(id)
	j.suspected = j.suspected || k.suspect() || k.held()
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
		all = append(all, Crash{Target: key.life.target, Incarnation: key.life.incarnation, State: key.state, Tasks: tasks})
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
	s.recordCrash(r.target.life(), state, r.id.Task)
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
	s.confirmLife(t.life())
}

// confirmLife records that an execution of a target has ended whose crash was
// suspected.
func (s *Scheduler) confirmLife(life targetLife) {
	if c := s.crashLog.life(life); c != nil {
		for _, task := range slices.Clone(c.tasks) {
			if state := s.crashLog.tasks[task][life]; state == CrashSuspected || state == CrashUnresolved {
				s.recordCrash(life, CrashConfirmed, task)
			}
		}
	}
}

// refuteSuspected records that a target has not crashed whose crash was suspected.
func (s *Scheduler) refuteSuspected(t *target) {
	c := s.crashLog.life(t.life())
	if c == nil {
		return
	}
	for _, task := range slices.Clone(c.tasks) {
		s.recordCrash(t.life(), CrashRefuted, task)
	}
	for _, r := range t.runs {
		r.lost = false
	}
}

// confirmEarlierLives records the end of the executions of a target before the one
// that answers.
func (s *Scheduler) confirmEarlierLives(t *target) {
	for _, life := range s.crashLog.livesOf(t.ID, t.incarnation) {
		s.confirmLife(life)
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
	s.confirmLife(t.life())
}

// targetGone handles a target that its platform no longer lists. It has crashed, or it
// is cut off from the platform as well.
func (s *Scheduler) targetGone(id string) {
	for _, life := range s.crashLog.livesOf(id, 0) {
		for _, task := range slices.Clone(s.crashLog.life(life).tasks) {
			s.recordCrash(life, CrashUnresolved, task)
		}
	}
}

func (t *target) life() targetLife { return targetLife{t.ID, t.incarnation} }

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
