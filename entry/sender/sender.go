// Package sender starts tasks on targets and tells exactly what became of each
// start. A start is written to the wire at most once.
package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/infra/tracing"
)

const (
	// maxInFlight bounds the attempts that are in flight or wait for a
	// connection.
	maxInFlight = 8192
	// workerIdle is how long a worker without work is kept.
	workerIdle = 10 * time.Second
	// leaseGrace is how long after the end of its lease a reply is awaited.
	leaseGrace = time.Second
	// stopTimeout bounds a stop message.
	stopTimeout = 500 * time.Millisecond
)

// Config holds the dependencies of a Sender.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Tracer  *tracing.Tracer
	// OnAttemptEnd receives the end of every attempt. It may block.
	OnAttemptEnd func(dispatch.AttemptEnded)
}

// Sender carries out the start and stop actions of the engine.
type Sender struct {
	cfg  Config
	work chan dispatch.StartAttempt
	// slots holds one token for each worker.
	slots chan struct{}
	done  chan struct{}
	wg    sync.WaitGroup

	// ctx bounds the stop messages.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	closed  bool
	limits  ConnectionLimits
	targets map[string]*target
	flights map[dispatch.AttemptID]context.CancelFunc
}

// New returns a Sender without connections.
func New(cfg Config) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		cfg:     cfg,
		work:    make(chan dispatch.StartAttempt),
		slots:   make(chan struct{}, maxInFlight),
		done:    make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
		limits:  ConnectionLimits{},
		targets: map[string]*target{},
		flights: map[dispatch.AttemptID]context.CancelFunc{},
	}
}

// Start begins an attempt. It never blocks; it returns false, and nothing was
// sent, where too many attempts are in flight.
func (s *Sender) Start(a dispatch.StartAttempt) bool {
	select {
	case s.work <- a:
		return true
	default:
	}
	select {
	case s.slots <- struct{}{}:
	default:
		return false
	}
	return s.spawn(func() { s.worker(a) }, func() { <-s.slots })
}

// spawn runs fn in a goroutine that Close waits for, unless the sender is
// closed; after runs at its end.
func (s *Sender) spawn(fn, after func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		after()
		return false
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer after()
		fn()
	}()
	return true
}

// worker sends one attempt after the other. Workers are reused because a new
// goroutine has to grow its stack for the HTTP client each time.
func (s *Sender) worker(a dispatch.StartAttempt) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		s.cfg.OnAttemptEnd(s.attempt(a))
		idle.Reset(workerIdle)
		select {
		case a = <-s.work:
		case <-idle.C:
			return
		case <-s.done:
			return
		}
	}
}

func (s *Sender) attempt(a dispatch.StartAttempt) dispatch.AttemptEnded {
	// The context has no parent, because a shared one is a lock that all
	// attempts meet at. Close cancels the attempts one by one.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.track(a.Attempt, cancel)
	defer s.untrack(a.Attempt)
	if s.cfg.Tracer.Enabled() {
		c, span := s.cfg.Tracer.Start(tracing.WithTraceID(ctx, a.TraceID), "start on target",
			attribute.String("target", a.Target), attribute.Int("task", a.Attempt.Task),
			attribute.Int("attempt", a.Attempt.Number))
		defer span.End()
		ctx = c
	}
	outcome, load := s.send(ctx, cancel, &a)
	s.count(outcome)
	return dispatch.AttemptEnded{Attempt: a.Attempt, Target: a.Target, Outcome: outcome, Load: load}
}

// send writes the start and reads its reply.
func (s *Sender) send(ctx context.Context, cancel context.CancelFunc, a *dispatch.StartAttempt) (dispatch.Outcome, dispatch.Load) {
	if time.Now().After(a.StartBy) {
		return dispatch.NotSent{Message: errLate.Error(), DeadlinePassed: true}, dispatch.Load{}
	}
	job := JobName(a.Attempt.Job)
	t := s.target(a.Address)
	var used *conn
	// The attempt gives up its place in the wait for a connection when its
	// latest start time passes; once it has one, the lease bounds it.
	limit := time.AfterFunc(time.Until(a.StartBy), cancel)
	defer limit.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		limit.Reset(time.Until(a.LeaseUntil) + leaseGrace)
		used = info.Conn.(*conn)
		used.arm(a.StartBy)
	}})
	sent := time.Now()
	resp, err := t.transport.RoundTrip(s.request(ctx, t, job, a))
	if err != nil {
		return failed(used, a.StartBy, err), dispatch.Load{}
	}
	defer resp.Body.Close()
	outcome, load, err := readReply(resp, job, a.Attempt, time.Since(sent))
	if err != nil {
		if errors.Is(err, errMismatch) {
			s.cfg.Metrics.MismatchedReplies.Inc(1)
			s.cfg.Log.Warn("A reply names another attempt.", zap.String("target", a.Target), zap.String("job", job))
		}
		// The connection is out of step with its requests.
		used.Close()
		return dispatch.Ambiguous{Message: err.Error()}, load
	}
	return outcome, load
}

// request builds the start. It has no GetBody and no idempotency header, so
// that the transport cannot send it a second time.
func (s *Sender) request(ctx context.Context, t *target, job string, a *dispatch.StartAttempt) *http.Request {
	body := appendStart(make([]byte, 0, 256+len(a.Payload)/3*4), job, a)
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           t.starts,
		Host:          t.starts.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": contentType},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if s.cfg.Tracer.Enabled() {
		req.Header.Set(tracing.Header, tracing.Inject(ctx))
	}
	return req.WithContext(ctx)
}

var contentType = []string{"application/json"}

// failed classifies a start without a reply. It was not sent only if no byte
// of it was written and none can be written any more.
func failed(used *conn, startBy time.Time, err error) dispatch.Outcome {
	if used == nil {
		return dispatch.NotSent{Message: err.Error(), DeadlinePassed: time.Now().After(startBy)}
	}
	written, late := used.seal()
	used.Close()
	if written {
		return dispatch.Ambiguous{Message: err.Error()}
	}
	return dispatch.NotSent{Message: err.Error(), DeadlinePassed: late}
}

func (s *Sender) count(o dispatch.Outcome) {
	m := s.cfg.Metrics
	switch o.(type) {
	case dispatch.TaskSucceeded:
		m.AttemptsSucceeded.Inc(1)
	case dispatch.TaskFailed:
		m.AttemptsFailed.Inc(1)
	case dispatch.Refused:
		m.AttemptsRefused.Inc(1)
	case dispatch.NotSent:
		m.AttemptsNotSent.Inc(1)
	case dispatch.Ambiguous:
		m.AttemptsAmbiguous.Inc(1)
	default:
		panic("sender: unknown outcome")
	}
}

func (s *Sender) track(id dispatch.AttemptID, cancel context.CancelFunc) {
	s.mu.Lock()
	s.flights[id] = cancel
	closed := s.closed
	s.mu.Unlock()
	if closed {
		cancel()
	}
}

func (s *Sender) untrack(id dispatch.AttemptID) {
	s.mu.Lock()
	delete(s.flights, id)
	s.mu.Unlock()
}

// InFlight returns the number of attempts that are in flight or wait for a
// connection.
func (s *Sender) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flights)
}

// Stop asks the target to stop an attempt and then drops its connection.
// It never blocks; a stop message is a saving and may be left out.
func (s *Sender) Stop(a dispatch.StopAttempt) {
	s.mu.Lock()
	cancel := s.flights[a.Attempt]
	s.mu.Unlock()
	if cancel == nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		cancel()
		return
	}
	s.spawn(func() { s.stop(a, cancel) }, func() { <-s.slots })
}

func (s *Sender) stop(a dispatch.StopAttempt, cancel context.CancelFunc) {
	defer cancel()
	ctx, done := context.WithTimeout(s.ctx, stopTimeout)
	defer done()
	url := "http://" + a.Address + "/v1/tasks/" + JobName(a.Attempt.Job) + "/" +
		strconv.Itoa(a.Attempt.Task) + "/" + strconv.Itoa(a.Attempt.Number)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	s.cfg.Metrics.StopsSent.Inc(1)
	resp, err := s.target(a.Address).transport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
	resp.Body.Close()
}

// Close drops all attempts in flight, whose ends are still reported, and
// returns when none is left.
func (s *Sender) Close() {
	s.mu.Lock()
	s.closed = true
	for _, cancel := range s.flights {
		cancel()
	}
	s.mu.Unlock()
	s.cancel()
	close(s.done)
	s.wg.Wait()
	s.SetConnectionLimits(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.transport.CloseIdleConnections()
	}
}
