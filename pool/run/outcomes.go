package run

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/logging"
)

// maxStopTime is the time in which a target stops a run, if no message is lost. Runs that
// are over in this time are not logged.
const maxStopTime = 100 * time.Millisecond

// logReply counts and logs the outcome of a job and the figures behind it. Completed jobs
// are logged at the level debug, because there are hundreds per second.
func (in *Instance) logReply(a scheduler.Reply) {
	in.metrics.Served(a)
	m := a.Summary
	level := zap.InfoLevel
	switch o := a.Outcome.(type) {
	case scheduler.Completed:
		level = zap.DebugLevel
	case scheduler.Refused:
		if o.Reason == scheduler.ReasonBusy {
			// The job is sent to another owner next.
			level = zap.DebugLevel
		}
	}
	if !in.jobLog.Core().Enabled(level) {
		return
	}
	line := logging.ForComponent(in.jobLog, "scheduler").Check(level, fmt.Sprintf("The outcome of a job is: %v.", a.Outcome))
	if line == nil {
		return
	}
	line.Write(zap.String("job", a.Job), zap.String("queue", m.Queue), zap.Duration("age", m.Age),
		zap.Duration("waited", m.Waited), zap.Duration("backlog", m.Backlog), zap.Duration("forecast", m.Forecast),
		zap.Duration("objective", m.Objective), zap.Int("tasks", m.Tasks), zap.Int("starts", m.Starts),
		zap.Int("failed", m.Failed), zap.Int("hung", m.Hung), zap.Int("lost", m.Lost),
		zap.Int("crashes", m.Crashes), zap.Int("declined", m.RefusedStarts), zap.Stringers("open", m.Unfinished),
		zap.String("preferred", m.Preferred), zap.String("preferred_queue", m.PreferredQueue))
}

// recordCrash counts and logs the crash of a target, and reports it to the other
// instances.
func (in *Instance) recordCrash(a scheduler.CrashFound) {
	c := a.Crash
	in.metrics.Crash(c)
	in.notices.ReportCrash(c)
	logging.ForComponent(in.jobLog, "scheduler").Info("A target was lost with its runs.", zap.String("target", c.Target),
		zap.Int64("born", c.Incarnation), zap.Stringer("crash", c.State), zap.Stringers("tasks", c.Tasks))
}

// recordGivenUpRun counts a run that was over only after its job, and logs it unless
// the target has stopped it at once.
func (in *Instance) recordGivenUpRun(a scheduler.GivenUpRunOver) {
	in.metrics.GivenUpRun(a)
	if a.After < maxStopTime {
		return
	}
	logging.ForComponent(in.jobLog, "scheduler").Info("A run has outlasted its job.", zap.Stringer("run", a.Run), zap.String("target", a.Target),
		zap.Duration("after", a.After), zap.Stringer("evidence", a.Evidence), zap.Int("stops", a.Stops), zap.Int("leases", a.Leases))
}
