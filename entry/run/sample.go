package run

import (
	"context"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// sampleInterval is how often the gauges are renewed.
const sampleInterval = 500 * time.Millisecond

// sample renews the gauges and the Dispatcher's counters.
func (in *Instance) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	counted := map[string]uint64{}
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
		for event, n := range events(stats) {
			in.metrics.CountDispatchEvents(event, n-counted[event])
			counted[event] = n
		}
	}
}

// events are the counters from which wasted messages are told.
func events(s dispatch.Stats) map[string]uint64 {
	return map[string]uint64{
		"start": s.Starts, "retry": s.Retries, "hedge": s.Hedges,
		"refused_start": s.RefusedStarts, "unsent_start": s.UnsentStarts,
		"stop": s.StopRequests, "late_reply": s.LateReplies, "duplicate_reply": s.DuplicateReplies,
		"crossed_reply": s.WrongTargetReplies, "foreign_reply": s.UnknownAttemptReplies, "abandoned_attempt": s.AbandonedAttempts,
		"submission": s.Submissions, "joined_submission": s.RepeatedSubmissions, "moved_request": s.HandedOverRequests,
		"imported_session": s.ImportedSessions, "refused_import": s.RefusedImports, "evicted_session": s.EvictedSessions,
	}
}
