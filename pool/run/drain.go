package run

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/core/scheduler"
)

const (
	// exitMargin is the part of the grace period that is kept for the exit of the
	// process.
	exitMargin = 500 * time.Millisecond
	// readinessDelay is how long new connections of callers may still arrive after
	// the instance has become unready. The load balancer needs two checks, a
	// second apart, to notice it.
	readinessDelay = 2200 * time.Millisecond
	// releaseTimeout bounds the release of the instance's shards at shutdown, unless
	// there is room enough to hold shards with tasks that are likely to end in time.
	releaseTimeout = 2200 * time.Millisecond
	// minFreeShare is the free share of the instance's processors from which on it holds
	// shards until recallBefore. With less, jobs would be refused elsewhere meanwhile.
	minFreeShare = 0.3
	// recallBefore is how long before the end of the shutdown the jobs that wait at
	// other owners are refused. Heartbeats, which carry this, are sent four times a
	// second.
	recallBefore = 750 * time.Millisecond
	// abortBefore is how long before the end of the shutdown the callers of all other
	// jobs are answered.
	abortBefore = 150 * time.Millisecond
)

// drain shuts the instance down within the grace period: it releases the targets
// for other instances, those with tasks that are about to end last, and waits for
// requests in flight. Jobs that wait at other owners may still start there for most of
// that time. Shortly before its end they are refused, and then the callers of the jobs
// that run are told that their outcome is unknown.
func (in *Instance) drain() {
	in.log.Info("The shutdown begins.")
	end := time.Now().Add(in.cfg.Grace() - exitMargin)
	noNewConnections := time.Now().Add(readinessDelay)
	in.draining.Store(true)
	in.claims.Drain()
	in.loop.Post(scheduler.Drain{})
	limit := time.Now().Add(releaseTimeout)
	if hold := end.Add(-recallBefore); hold.After(limit) && in.freeShare() >= minFreeShare {
		limit = hold
	}
	released := make(chan struct{})
	go func() {
		defer close(released)
		in.claims.ReleaseAll(limit)
		in.claims.Deregister()
		in.log.Info("The targets are released.")
	}()
	time.Sleep(time.Until(noNewConnections))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	defer time.AfterFunc(time.Until(end.Add(-recallBefore)), in.frontend.Recall).Stop()
	defer time.AfterFunc(time.Until(end.Add(-abortBefore)), in.frontend.Abort).Stop()
	stopped := make(chan struct{})
	defer close(stopped)
	in.wg.Go(func() { in.guard.EvictStalled(stopped, intake.Stop) })
	if err := in.callerServer.Shutdown(ctx); err != nil {
		in.log.Warn("Requests of callers were in flight at the end of the grace period.", zap.Error(err))
	}
	// Until then, the senders of jobs that run here have to get replies to heartbeats.
	<-released
	if err := in.relayServer.Close(ctx); err != nil {
		in.log.Warn("Requests of other instances were in flight at the end of the grace period.", zap.Error(err))
	}
}

// freeShare returns the free share of the processors of the instance's targets. What is
// free at other instances is similar.
func (in *Instance) freeShare() float64 {
	var st scheduler.Stats
	in.loop.Inspect(func(s *scheduler.Scheduler) { st = s.Stats() })
	return float64(st.FreeCPU) / float64(max(st.CPU, 1))
}
