// Package sender carries out the scheduler's orders to targets.
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
	// orderTimeout bounds a start or stop. A target answers within
	// milliseconds; an instance whose share of the processor is used up stands
	// still for up to 100 ms, which must not count as a lost answer.
	orderTimeout = 125 * time.Millisecond
	// lookSlack is how much longer than its wait a look may take. Wait and
	// slack together leave time for a second look within the lease.
	lookSlack = 250 * time.Millisecond
)

// Sender sends orders, each in its own goroutine.
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

// New returns a Sender that reports what became of the orders to post.
func New(log *zap.Logger, tracer *tracing.Tracer, targets port.Targets, m *metrics.Metrics, post func(scheduler.Event)) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{log: log, tracer: tracer, targets: targets, metrics: m, post: post, ctx: ctx, cancel: cancel}
}

// Start sends a start.
func (s *Sender) Start(o scheduler.Start) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		if s.tracer.On() {
			traced, span := s.tracer.Start(tracing.FromID(ctx, o.TraceID), "start on target",
				attribute.String("target", o.Target), attribute.Stringer("run", o.Run))
			defer span.End()
			ctx = traced
		}
		ev := s.targets.Start(ctx, o)
		s.metrics.Start(ev.Result)
		if ev.Result != scheduler.StartAccepted {
			s.log.Info("A start was not accepted.", zap.String("job", o.Run.Task.Job), zap.Stringer("run", o.Run), zap.String("target", o.Target), zap.Int64("fence", o.Fence),
				zap.Stringer("result", ev.Result))
		}
		s.post(ev)
	})
}

// Stop sends a stop.
func (s *Sender) Stop(o scheduler.Stop) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		ev := s.targets.Stop(ctx, o)
		s.metrics.Stop(ev.Answered)
		if !ev.Answered {
			s.log.Info("A stop failed.", zap.Stringer("run", o.Run), zap.String("target", o.Target),
				zap.Int64("fence", o.Fence), zap.Bool("fenced", ev.Fenced))
		}
		s.post(ev)
	})
}

// Poll sends a look.
func (s *Sender) Poll(o scheduler.Poll) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, o.MaxWait+lookSlack)
		defer cancel()
		ev := s.targets.Poll(ctx, o)
		s.metrics.Poll(ev.Answered)
		if !ev.Answered || ev.Fenced || ev.WrongTarget {
			s.log.Info("A look failed.", zap.String("target", o.Target), zap.Int64("fence", o.Fence),
				zap.Bool("answered", ev.Answered), zap.Bool("fenced", ev.Fenced), zap.Bool("moved", ev.WrongTarget))
		}
		s.post(ev)
	})
}

// Close ends all orders in flight and waits for them.
func (s *Sender) Close() {
	s.cancel()
	s.wg.Wait()
}
