// Package sender starts tasks on targets and reports the outcome of each
// attempt. A start is written to a connection at most once.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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
	// workerIdleTimeout is the time after which an idle worker terminates.
	workerIdleTimeout = 10 * time.Second
	// leaseGrace is how long a reply is awaited after the end of the lease.
	leaseGrace = time.Second
	// stopTimeout bounds a stop request.
	stopTimeout = 500 * time.Millisecond
)

// Config holds the dependencies of a Sender.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Tracer  *tracing.Tracer
	// OnAttemptEnd is called with the outcome of every attempt. It may block.
	OnAttemptEnd func(dispatch.AttemptEnded)
}

// Sender executes the start and stop actions of the engine. It is safe for
// concurrent use.
type Sender struct {
	cfg  Config
	work chan dispatch.StartAttempt
	// sem limits the workers and the stop requests. It holds one token for
	// each of them.
	sem  chan struct{}
	done chan struct{}
	wg   sync.WaitGroup

	// ctx bounds the stop requests. Close cancels it.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	closed   bool
	limits   ConnectionLimits
	targets  map[string]*target
	inFlight map[dispatch.AttemptID]context.CancelFunc
}

// New returns a Sender without connections. Close releases its resources.
func New(cfg Config) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		cfg:      cfg,
		work:     make(chan dispatch.StartAttempt),
		sem:      make(chan struct{}, maxInFlight),
		done:     make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
		limits:   ConnectionLimits{},
		targets:  map[string]*target{},
		inFlight: map[dispatch.AttemptID]context.CancelFunc{},
	}
}

// Start starts an attempt. It never blocks. It returns false, and sends
// nothing, if too many attempts are in flight or the Sender is closed.
func (s *Sender) Start(a dispatch.StartAttempt) bool {
	select {
	case s.work <- a:
		return true
	default:
	}
	select {
	case s.sem <- struct{}{}:
	default:
		return false
	}
	return s.spawn(func() { s.worker(a) }, func() { <-s.sem })
}

// spawn runs fn in a goroutine that Close waits for, and then onExit. If the
// Sender is closed, it only calls onExit and returns false.
func (s *Sender) spawn(fn, onExit func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		onExit()
		return false
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer onExit()
		fn()
	}()
	return true
}

// worker runs attempts one after another. Workers are reused because the stack
// of a new goroutine would have to grow for the HTTP client each time.
func (s *Sender) worker(a dispatch.StartAttempt) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		s.cfg.OnAttemptEnd(s.runAttempt(a))
		idle.Reset(workerIdleTimeout)
		select {
		case a = <-s.work:
		case <-idle.C:
			return
		case <-s.done:
			return
		}
	}
}

// runAttempt sends a start and returns the outcome of the attempt.
func (s *Sender) runAttempt(a dispatch.StartAttempt) dispatch.AttemptEnded {
	// The context has no parent, because all attempts would contend for the
	// lock of a shared parent. Close cancels the attempts one by one.
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
	s.countOutcome(outcome)
	return dispatch.AttemptEnded{Attempt: a.Attempt, Target: a.Target, Outcome: outcome, Load: load}
}

// send writes the start and reads its reply.
func (s *Sender) send(ctx context.Context, cancel context.CancelFunc, a *dispatch.StartAttempt) (dispatch.Outcome, dispatch.Load) {
	if time.Now().After(a.StartBy) {
		return dispatch.NotSent{Message: errStartTimePassed.Error(), DeadlinePassed: true}, dispatch.Load{}
	}
	job := JobName(a.Attempt.Job)
	t := s.targetFor(a.Address)
	var usedConn *conn
	// The attempt waits for a connection until its latest start time. After it
	// has a connection, the end of the lease is the limit.
	timer := time.AfterFunc(time.Until(a.StartBy), cancel)
	defer timer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		timer.Reset(time.Until(a.LeaseUntil) + leaseGrace)
		usedConn = info.Conn.(*conn)
		usedConn.beginStart(a.StartBy)
	}})
	sent := time.Now()
	resp, err := t.transport.RoundTrip(s.newStartRequest(ctx, t, job, a))
	if err != nil {
		return classifyFailure(usedConn, a.StartBy, err), dispatch.Load{}
	}
	defer resp.Body.Close()
	outcome, load, err := readReply(resp, job, a.Attempt, time.Since(sent))
	if err != nil {
		if errors.Is(err, errAttemptMismatch) {
			s.cfg.Metrics.MismatchedReplies.Inc(1)
			s.cfg.Log.Warn("The reply of a target belongs to another attempt.", zap.String("target", a.Target), zap.String("job", job))
		}
		// Replies on this connection may no longer match its requests.
		usedConn.Close()
		return dispatch.Ambiguous{Message: err.Error()}, load
	}
	return outcome, load
}

// newStartRequest returns the request of a start. It has no GetBody function
// and no Idempotency-Key header, so the transport cannot send it twice.
func (s *Sender) newStartRequest(ctx context.Context, t *target, job string, a *dispatch.StartAttempt) *http.Request {
	body := appendStartBody(make([]byte, 0, 256+len(a.Payload)/3*4), job, a)
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           t.startURL,
		Host:          t.startURL.Host,
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

// classifyFailure returns the outcome of a start without a reply. The outcome
// is NotSent only if no byte was written and none can be written later.
func classifyFailure(usedConn *conn, startBy time.Time, err error) dispatch.Outcome {
	if usedConn == nil {
		return dispatch.NotSent{Message: err.Error(), DeadlinePassed: time.Now().After(startBy)}
	}
	written, deadlinePassed := usedConn.disableWrites()
	usedConn.Close()
	if written {
		return dispatch.Ambiguous{Message: err.Error()}
	}
	return dispatch.NotSent{Message: err.Error(), DeadlinePassed: deadlinePassed}
}

// countOutcome counts the outcome of an attempt in the metrics.
func (s *Sender) countOutcome(o dispatch.Outcome) {
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
		panic(fmt.Sprintf("sender: unknown outcome %T", o))
	}
}

// track registers an attempt, so that Stop and Close can cancel it.
func (s *Sender) track(id dispatch.AttemptID, cancel context.CancelFunc) {
	s.mu.Lock()
	s.inFlight[id] = cancel
	closed := s.closed
	s.mu.Unlock()
	if closed {
		cancel()
	}
}

func (s *Sender) untrack(id dispatch.AttemptID) {
	s.mu.Lock()
	delete(s.inFlight, id)
	s.mu.Unlock()
}

// InFlight returns the number of attempts that are in flight or wait for a
// connection.
func (s *Sender) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}

// Stop requests the target to stop an attempt and then closes the connection of
// the attempt. It never blocks. The request only saves the target useless work,
// so Stop omits it if too many attempts are in flight.
func (s *Sender) Stop(a dispatch.StopAttempt) {
	s.mu.Lock()
	cancel := s.inFlight[a.Attempt]
	s.mu.Unlock()
	if cancel == nil {
		return
	}
	select {
	case s.sem <- struct{}{}:
	default:
		cancel()
		return
	}
	s.spawn(func() { s.sendStop(a, cancel) }, func() { <-s.sem })
}

// sendStop sends a stop request and then cancels the attempt.
func (s *Sender) sendStop(a dispatch.StopAttempt, cancel context.CancelFunc) {
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
	resp, err := s.targetFor(a.Address).transport.RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReplyBytes))
	resp.Body.Close()
}

// Close cancels all attempts in flight and waits until they have ended. Their
// outcomes are still reported.
func (s *Sender) Close() {
	s.mu.Lock()
	s.closed = true
	for _, cancel := range s.inFlight {
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
