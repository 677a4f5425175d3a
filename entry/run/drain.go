package run

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/core/membership"
)

const (
	// closeTimeout bounds the wait for the last requests during the shutdown
	// of the components.
	closeTimeout = time.Second
	// minIdleTime is how long the gateway must have received no request before
	// the drain ends, which is also the minimum duration of the drain. After
	// that time the load balancer sends requests to other instances.
	// maxIdleWait bounds the wait for it.
	minIdleTime = time.Second
	maxIdleWait = 5 * time.Second
	// answerGrace bounds the wait for the last answers after an early end of
	// the drain.
	answerGrace  = time.Second
	pollInterval = 10 * time.Millisecond
)

// drain performs the graceful shutdown: it seals all sessions, hands them over
// to one successor and waits for the jobs in flight. It returns false if the
// drain limit or a second signal ends the drain early.
func (in *Instance) drain(ctx context.Context, stop <-chan os.Signal) bool {
	log := in.logger("drain")
	log.Info("The graceful shutdown has started.")
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, in.settings.drainLimit())
	defer cancel()
	in.wg.Go(func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	})
	in.draining.Store(true)
	in.peers.WithRoster(func(r *membership.Roster) { r.SetDraining() })
	in.wg.Go(func() { in.exchanger.Broadcast(ctx) })
	in.sealSessions(ctx, log)
	if !in.finishWork(ctx, start) {
		log.Warn("The graceful shutdown ends early. The remaining jobs are answered without a result.")
		in.answerRemainingJobs()
		return false
	}
	log.Info("All work is finished.")
	return true
}

// sealSessions seals the sessions, so that they admit no more jobs, and starts
// to hand them over.
func (in *Instance) sealSessions(ctx context.Context, log *zap.Logger) {
	var found bool
	in.peers.WithRoster(func(r *membership.Roster) { _, found = r.Successor(time.Now()) })
	in.engine.Post(dispatch.Drain{HasSuccessor: found})
	if !found {
		log.Warn("No successor is available. The sessions are lost when this instance exits.")
		in.handover.SetNoSuccessor()
		return
	}
	// Inspect returns after the Drain event is handled. The engine has then
	// passed all session records to the handover.
	in.engine.Inspect(func() {})
	in.wg.Go(func() { in.handover.Run(ctx) })
	in.wg.Go(func() {
		if _, ok := in.handover.Successor(ctx); ok {
			in.exchanger.Broadcast(ctx)
		}
	})
}

// finishWork waits until no job is left, the successor has all records and
// answers, and all requests are answered, including those forwarded to other
// instances. It returns false if ctx ends first.
func (in *Instance) finishWork(ctx context.Context, start time.Time) bool {
	select {
	case <-in.drained:
	case <-ctx.Done():
		return false
	}
	if _, handedOver := in.handover.Successor(ctx); handedOver && !in.waitUntil(ctx, in.handover.AllDelivered) {
		return false
	}
	in.waitForIdleGateway(ctx, start)
	// No new connections are expected. What does not arrive would delay the end.
	closed := make(chan struct{})
	defer close(closed)
	in.wg.Go(func() { in.guard.EvictStalled(closed, intake.Stop) })
	return in.gateway.Close(ctx) == nil && in.peerServer.Close(ctx) == nil
}

// waitForIdleGateway keeps serving until callers send their requests to other
// instances, at most for maxIdleWait. It then broadcasts the state of this
// instance once more.
func (in *Instance) waitForIdleGateway(ctx context.Context, start time.Time) {
	ctx, cancel := context.WithTimeout(ctx, maxIdleWait)
	defer cancel()
	in.waitUntil(ctx, func() bool {
		return in.gateway.IdleDuration() >= minIdleTime && time.Since(start) >= minIdleTime
	})
	in.exchanger.Broadcast(ctx)
}

// answerRemainingJobs ends the remaining jobs and waits up to answerGrace until
// their answers are sent.
func (in *Instance) answerRemainingJobs() {
	in.engine.Post(dispatch.StopNow{})
	in.engine.Inspect(func() {})
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	in.waitUntil(ctx, func() bool { return in.gateway.InFlight() == 0 })
}

// waitUntil polls done every pollInterval until it returns true. It returns
// false if ctx ends first.
func (in *Instance) waitUntil(ctx context.Context, done func() bool) bool {
	return in.waitUntilEvery(ctx, pollInterval, done)
}

// waitUntilEvery is waitUntil with another interval.
func (in *Instance) waitUntilEvery(ctx context.Context, interval time.Duration, done func() bool) bool {
	for !done() {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
