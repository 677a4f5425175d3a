package run

import (
	"context"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// sampleInterval is the interval between two updates of the metrics.
const sampleInterval = 500 * time.Millisecond

// sampleMetrics updates the gauges and the Dispatcher's event counters until
// ctx ends or the engine has stopped.
func (in *Instance) sampleMetrics(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	reported := map[string]uint64{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var stats dispatch.Stats
		if !in.engine.Inspect(func() { stats = in.dispatcher.Stats() }) {
			return
		}
		in.metrics.QueuedTasks.Update(float64(stats.QueuedTasks))
		in.metrics.RunningTasks.Update(float64(in.sender.InFlight()))
		in.metrics.OpenSessions.Update(float64(stats.Sessions))
		in.metrics.SetRequests(in.guard.Stats())
		for event, n := range eventCounts(stats) {
			in.metrics.CountDispatchEvents(event, n-reported[event])
			reported[event] = n
		}
	}
}

// eventCounts returns the Dispatcher's counters by event. They show how many
// messages are wasted, for example on refused starts or late replies.
func eventCounts(s dispatch.Stats) map[string]uint64 {
	return map[string]uint64{
		"start": s.Starts, "retry": s.Retries, "hedge": s.Hedges,
		"refused_start": s.RefusedStarts, "unsent_start": s.UnsentStarts,
		"stop": s.StopRequests, "late_reply": s.LateReplies, "duplicate_reply": s.DuplicateReplies,
		"crossed_reply": s.WrongTargetReplies, "foreign_reply": s.UnknownAttemptReplies, "abandoned_attempt": s.AbandonedAttempts,
		"submission": s.Submissions, "joined_submission": s.RepeatedSubmissions, "moved_request": s.HandedOverRequests,
		"imported_session": s.ImportedSessions, "refused_import": s.RefusedImports, "evicted_session": s.EvictedSessions,
	}
}
