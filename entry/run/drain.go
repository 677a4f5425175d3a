package run

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
)

const (
	// closeLimit bounds the end of the last requests after an early end.
	closeLimit = time.Second
	// quietTime without a caller's request, and at least that time after its
	// begin, ends the drain: the load balancer then sends its requests
	// elsewhere. lingerLimit bounds the wait for it.
	quietTime   = time.Second
	lingerLimit = 5 * time.Second
	// stopGrace is the time for the last answers after the drain limit.
	stopGrace = time.Second
	idlePoll  = 10 * time.Millisecond
)

// drain is the planned stop: every session is sealed and handed over to one
// successor, and the jobs in flight finish here. It reports whether all of
// that was done before the drain limit and a second signal.
func (in *Instance) drain(ctx context.Context, stop <-chan os.Signal) bool {
	log := in.part("drain")
	log.Info("The planned stop begins.")
	began := time.Now()
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
	in.seal(ctx, log)
	if !in.finish(ctx, began) {
		log.Warn("The planned stop ends early. Jobs that are left are answered now.")
		in.stopNow()
		return false
	}
	log.Info("All work is finished.")
	return true
}

// seal seals the sessions and begins to move them.
func (in *Instance) seal(ctx context.Context, log *zap.Logger) {
	var found bool
	in.peers.WithRoster(func(r *membership.Roster) { _, found = r.Successor(time.Now()) })
	in.engine.Post(dispatch.Drain{HasSuccessor: found})
	if !found {
		log.Warn("There is no successor. The sessions end with this instance.")
		in.mover.SetNoSuccessor()
		return
	}
	// The engine hands all records over while it handles the event before.
	in.engine.Inspect(func() {})
	in.wg.Go(func() { in.mover.Run(ctx) })
	in.wg.Go(func() {
		if _, ok := in.mover.Successor(ctx); ok {
			in.exchanger.Broadcast(ctx)
		}
	})
}

// finish waits until no job is left, the successor knows everything and all
// requests are answered, those that other instances serve included.
func (in *Instance) finish(ctx context.Context, began time.Time) bool {
	select {
	case <-in.drained:
	case <-ctx.Done():
		return false
	}
	if _, moved := in.mover.Successor(ctx); moved && !in.waitUntil(ctx, in.mover.AllDelivered) {
		return false
	}
	in.linger(ctx, began)
	return in.gateway.Close(ctx) == nil && in.server.Close(ctx) == nil
}

// linger serves on until callers have turned to other instances.
func (in *Instance) linger(ctx context.Context, began time.Time) {
	ctx, cancel := context.WithTimeout(ctx, lingerLimit)
	defer cancel()
	in.waitUntil(ctx, func() bool {
		return in.gateway.IdleDuration() >= quietTime && time.Since(began) >= quietTime
	})
	in.exchanger.Broadcast(ctx)
}

// stopNow ends the jobs that are left and gives their answers a moment.
func (in *Instance) stopNow() {
	in.engine.Post(dispatch.StopNow{})
	in.engine.Inspect(func() {})
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	in.waitUntil(ctx, func() bool { return in.gateway.InFlight() == 0 })
}

func (in *Instance) waitUntil(ctx context.Context, done func() bool) bool {
	return in.waitUntilEvery(ctx, idlePoll, done)
}

// waitUntilEvery looks at done in intervals until it holds or ctx ends.
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
