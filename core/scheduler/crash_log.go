package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// targetIncarnation identifies one execution of a target's process.
type targetIncarnation struct {
	target      string
	incarnation int64
}

// crashLog holds the crashes of the last crashRetention that this instance and
// other owners have found.
type crashLog struct {
	tasks map[TaskID]map[targetIncarnation]CrashState
	// jobs counts the tasks by their job.
	jobs map[string]int
	// incarnations holds the tasks by target and by incarnation.
	incarnations map[string]map[int64]*incarnationLosses
	// reports holds the incarnations by the time of their reports, oldest first.
	reports []lossReport
}

// incarnationLosses holds the tasks that were lost with one execution of a target.
type incarnationLosses struct {
	tasks      []TaskID
	reportedAt time.Time
}

type lossReport struct {
	incarnation targetIncarnation
	at          time.Time
}

func newCrashLog() *crashLog {
	return &crashLog{tasks: map[TaskID]map[targetIncarnation]CrashState{}, jobs: map[string]int{}, incarnations: map[string]map[int64]*incarnationLosses{}}
}

// record applies a state, and returns the one before and whether anything has changed.
// A suspicion does not replace a confirmation.
func (l *crashLog) record(now time.Time, in targetIncarnation, task TaskID, state CrashState) (old CrashState, changed bool) {
	old, known := l.tasks[task][in]
	switch {
	case state == CrashRefuted:
		if known {
			l.remove(in, task)
		}
		return old, known
	case known && old >= state:
		return old, false
	}
	if l.tasks[task] == nil {
		l.tasks[task] = map[targetIncarnation]CrashState{}
		l.jobs[task.Job]++
	}
	l.tasks[task][in] = state
	c := l.losses(in)
	if c == nil {
		c = &incarnationLosses{}
		if l.incarnations[in.target] == nil {
			l.incarnations[in.target] = map[int64]*incarnationLosses{}
		}
		l.incarnations[in.target][in.incarnation] = c
	}
	if !known {
		c.tasks = append(c.tasks, task)
	}
	if c.reportedAt != now {
		c.reportedAt = now
		l.reports = append(l.reports, lossReport{in, now})
	}
	return old, true
}

func (l *crashLog) remove(in targetIncarnation, task TaskID) {
	delete(l.tasks[task], in)
	if len(l.tasks[task]) == 0 {
		delete(l.tasks, task)
		if l.jobs[task.Job]--; l.jobs[task.Job] == 0 {
			delete(l.jobs, task.Job)
		}
	}
	c := l.losses(in)
	c.tasks = slices.DeleteFunc(c.tasks, func(t TaskID) bool { return t == task })
	if len(c.tasks) == 0 {
		delete(l.incarnations[in.target], in.incarnation)
		if len(l.incarnations[in.target]) == 0 {
			delete(l.incarnations, in.target)
		}
	}
}

// losses returns the record of one execution of a target, or nil.
func (l *crashLog) losses(in targetIncarnation) *incarnationLosses {
	return l.incarnations[in.target][in.incarnation]
}

// expire drops the crashes that were last reported before crashRetention.
func (l *crashLog) expire(now time.Time) {
	for len(l.reports) > 0 && now.Sub(l.reports[0].at) > crashRetention {
		r := l.reports[0]
		l.reports = l.reports[1:]
		if c := l.losses(r.incarnation); c != nil && c.reportedAt == r.at {
			for _, task := range slices.Clone(c.tasks) {
				l.remove(r.incarnation, task)
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

// incarnationsOf returns the executions of a target that have crashed or may have crashed,
// except the given one.
func (l *crashLog) incarnationsOf(target string, except int64) []targetIncarnation {
	var out []targetIncarnation
	for incarnation := range l.incarnations[target] {
		if incarnation != except {
			out = append(out, targetIncarnation{target, incarnation})
		}
	}
	slices.SortFunc(out, func(a, b targetIncarnation) int { return cmp.Compare(a.incarnation, b.incarnation) })
	return out
}
