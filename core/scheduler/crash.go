package scheduler

import (
	"cmp"
	"slices"
	"strings"
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

// The states of a Crash.
const (
	// CrashSuspected means that the target has closed its connections and that the
	// lease on its runs has ended since. It may have been disconnected only.
	CrashSuspected CrashState = iota
	// CrashConfirmed means that the process of the target has ended.
	CrashConfirmed
	// CrashRefuted means that a target whose crash was suspected has answered again.
	CrashRefuted
)

// targetLife identifies one execution of a target's process.
type targetLife struct {
	target      string
	incarnation int64
}

// foundCrash is the key of a Crash that Handle has not returned yet.
type foundCrash struct {
	life  targetLife
	state CrashState
}

// recordCrash records what is known of the loss of a target under a task.
func (s *Scheduler) recordCrash(life targetLife, state CrashState, task TaskID) {
	key := foundCrash{life, state}
	if !slices.Contains(s.crashes[key], task) {
		s.crashes[key] = append(s.crashes[key], task)
	}
}

// emitCrashes emits the crashes that were recorded during a call of Handle.
func (s *Scheduler) emitCrashes() {
	if len(s.crashes) == 0 {
		return
	}
	var all []Crash
	for key, tasks := range s.crashes {
		slices.SortFunc(tasks, compareTasks)
		all = append(all, Crash{Target: key.life.target, Incarnation: key.life.incarnation, State: key.state, Tasks: tasks})
	}
	clear(s.crashes)
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(strings.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State))
	})
	for _, c := range all {
		s.emit(CrashFound{Crash: c})
	}
}

// suspectCrash records that the lease on the runs of a target has ended after the
// target closed its connections. A target that leaves closes them as well.
func (s *Scheduler) suspectCrash(t *target) {
	if !t.connectionLost || t.fenced || t.leaving {
		return
	}
	for _, r := range t.sortedRuns() {
		if _, known := t.lostTasks[r.id.Task]; !known {
			t.lostTasks[r.id.Task] = CrashSuspected
			s.recordCrash(t.life(), CrashSuspected, r.id.Task)
		}
	}
}

// confirmSuspected records that a target has crashed whose crash was suspected.
func (s *Scheduler) confirmSuspected(t *target) {
	for task, state := range t.lostTasks {
		if state == CrashSuspected {
			t.lostTasks[task] = CrashConfirmed
			s.recordCrash(t.life(), CrashConfirmed, task)
		}
	}
}

// refuteSuspected records that a target has not crashed whose crash was suspected.
func (s *Scheduler) refuteSuspected(t *target) {
	for task := range t.lostTasks {
		s.recordCrash(t.life(), CrashRefuted, task)
	}
	clear(t.lostTasks)
}

// confirmEnd records that the process of the target has ended with its runs.
func (s *Scheduler) confirmEnd(t *target) {
	if t.leaving {
		return
	}
	for _, r := range t.sortedRuns() {
		if _, known := t.lostTasks[r.id.Task]; !known {
			t.lostTasks[r.id.Task] = CrashSuspected
		}
	}
	s.confirmSuspected(t)
}

// confirmRestartLoss records the loss of a run that was started on an earlier
// incarnation of its target.
func (s *Scheduler) confirmRestartLoss(r *run) {
	t := r.target
	if t.bornAt.IsZero() || !r.started.Before(t.bornAt) || t.previousLeft {
		return
	}
	s.recordCrash(targetLife{t.ID, t.previous}, CrashConfirmed, r.id.Task)
}

// targetGone handles the end of a target that its platform no longer lists.
func (s *Scheduler) targetGone(id string) {
	if t := s.targets[id]; t != nil && t.unanswered > 0 && t.connectionLost {
		s.confirmEnd(t)
	}
}

func (t *target) life() targetLife { return targetLife{t.ID, t.incarnation} }

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
