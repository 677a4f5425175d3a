// Package sender sends the scheduler's requests to targets.
package sender

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/port"
)

const (
	// requestTimeout bounds a start or stop. A target replies within
	// milliseconds. An instance that has used up its CPU quota is throttled for
	// up to 100 ms, which must not count as a lost reply.
	requestTimeout = 125 * time.Millisecond
	// pollSlack is added to the wait of a poll for its timeout. Wait and slack
	// together leave time for a second poll within the lease.
	pollSlack = 250 * time.Millisecond
)

// Sender sends each request in a goroutine of its own. Its methods do not block.
type Sender struct {
	log     *zap.Logger
	tracer  *tracing.Tracer
	targets port.Targets
	metrics *metrics.Metrics
	post    func(scheduler.Event)
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a Sender that passes the result of each request to post.
func New(log *zap.Logger, tracer *tracing.Tracer, targets port.Targets, m *metrics.Metrics, post func(scheduler.Event)) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{log: log, tracer: tracer, targets: targets, metrics: m, post: post, ctx: ctx, cancel: cancel}
}

// Start sends the request to start a run.
func (s *Sender) Start(a scheduler.Start) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		defer cancel()
		if s.tracer.Enabled() {
			traced, span := s.tracer.Start(tracing.WithTraceID(ctx, a.TraceID), "start on target",
				attribute.String("target", a.Target), attribute.Stringer("run", a.Run))
			defer span.End()
			ctx = traced
		}
		ev := s.targets.Start(ctx, a)
		s.metrics.Start(ev.Result)
		if ev.Result != scheduler.StartAccepted {
			s.log.Info("A start was not accepted.", zap.String("job", a.Run.Task.Job), zap.Stringer("run", a.Run), zap.String("target", a.Target), zap.Int64("fence", a.Fence),
				zap.Stringer("result", ev.Result))
		}
		s.post(ev)
	})
}

// Stop sends the request to stop a run.
func (s *Sender) Stop(a scheduler.Stop) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		defer cancel()
		ev := s.targets.Stop(ctx, a)
		s.metrics.Stop(ev.Answered)
		if !ev.Answered {
			s.log.Info("A stop failed.", zap.Stringer("run", a.Run), zap.String("target", a.Target),
				zap.Int64("fence", a.Fence), zap.Bool("fenced", ev.Fenced))
		}
		s.post(ev)
	})
}

// Poll sends a poll, which the target may hold for the poll's wait.
func (s *Sender) Poll(a scheduler.Poll) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, a.MaxWait+pollSlack)
		defer cancel()
		ev := s.targets.Poll(ctx, a)
		s.metrics.Poll(ev.Answered)
		if !ev.Answered || ev.Fenced || ev.WrongTarget {
			s.log.Info("A poll failed.", zap.String("target", a.Target), zap.Int64("fence", a.Fence),
				zap.Bool("answered", ev.Answered), zap.Bool("fenced", ev.Fenced), zap.Bool("moved", ev.WrongTarget), zap.Bool("connection_lost", ev.ConnectionLost))
		}
		s.post(ev)
	})
}

// Close cancels all requests in flight and waits for them to return.
func (s *Sender) Close() {
	s.cancel()
	s.wg.Wait()
}
