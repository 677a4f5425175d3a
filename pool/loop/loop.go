// Package loop runs a Scheduler in an event loop. Only the goroutine of the loop
// uses the Scheduler. It passes events from bounded queues to the Scheduler, and
// hands the resulting actions to handlers.
package loop

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marigoldfront.dev/core/scheduler"
)

const (
	// requestQueueSize bounds the requests that wait for the loop. Further
	// requests are rejected.
	requestQueueSize = 1024
	// eventQueueSize bounds the events that wait for the loop. Post blocks while
	// the queue is full.
	eventQueueSize = 8192
	// maxBatch bounds the events handled between two checks of the timer.
	maxBatch = 256
)

// ErrQueueFull is returned by Submit if too many requests wait for the loop. The
// job has then not reached the Scheduler.
var ErrQueueFull = errors.New("too many requests wait")

// Handlers receive the actions of the Scheduler. They are called from the
// goroutine of the loop and must not block.
type Handlers struct {
	Start          func(scheduler.Start)
	Stop           func(scheduler.Stop)
	Poll           func(scheduler.Poll)
	TargetLost     func(scheduler.TargetLost)
	CrashFound     func(scheduler.CrashFound)
	GivenUpRunOver func(scheduler.GivenUpRunOver)
	// Answered is called for each reply, before it is passed to the callers of
	// Submit.
	Answered func(scheduler.Reply)
}

// Loop runs a Scheduler. Its methods may be called from several goroutines.
type Loop struct {
	sched    *scheduler.Scheduler
	clock    func() time.Time
	handlers Handlers
	lastID   atomic.Uint64
	requests chan item
	events   chan item
	done     chan struct{}
	closing  sync.Once
	stopped  chan struct{}
	// waiting holds the reply channels of requests without a reply. Only the
	// goroutine of the loop uses it.
	waiting map[scheduler.RequestID]chan<- scheduler.Outcome
}

// item is an entry of a queue: an event, or a function to call with the Scheduler.
type item struct {
	event   scheduler.Event
	request scheduler.RequestID
	reply   chan<- scheduler.Outcome
	// ctx ends when the reply is no longer awaited.
	ctx context.Context
	// inspect is called instead of handling an event, unless it is nil.
	inspect func(*scheduler.Scheduler)
}

// New returns a Loop; Run starts it. The clock must include suspensions of the
// machine.
func New(s *scheduler.Scheduler, clock func() time.Time, handlers Handlers) *Loop {
	return &Loop{
		sched: s, clock: clock, handlers: handlers,
		requests: make(chan item, requestQueueSize),
		events:   make(chan item, eventQueueSize),
		done:     make(chan struct{}),
		stopped:  make(chan struct{}),
		waiting:  map[scheduler.RequestID]chan<- scheduler.Outcome{},
	}
}

// Submit passes a job to the Scheduler and waits for its outcome. When ctx ends,
// the job is withdrawn and the error of ctx returned. If the queue of requests is
// full, Submit returns ErrQueueFull.
func (l *Loop) Submit(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error) {
	id := scheduler.RequestID(l.lastID.Add(1))
	reply := make(chan scheduler.Outcome, 1)
	it := item{event: scheduler.Submit{Request: id, Job: j}, request: id, reply: reply, ctx: ctx}
	select {
	case l.requests <- it:
	default:
		return nil, ErrQueueFull
	}
	select {
	case o := <-reply:
		return o, nil
	case <-ctx.Done():
		l.Post(scheduler.Withdraw{Request: id})
		return nil, ctx.Err()
	case <-l.stopped:
		return scheduler.Unknown{Reason: scheduler.ReasonDraining}, nil
	}
}

// Post queues an event that has no reply. It blocks while the queue is full, and
// drops the event once the loop has stopped.
func (l *Loop) Post(ev scheduler.Event) {
	select {
	case l.events <- item{event: ev}:
	case <-l.stopped:
	}
}

// Inspect calls fn in the goroutine of the loop, between two events, and waits for
// it. It returns false if the loop has stopped before fn was called.
func (l *Loop) Inspect(fn func(*scheduler.Scheduler)) bool {
	called := make(chan struct{})
	select {
	case l.events <- item{inspect: func(s *scheduler.Scheduler) { fn(s); close(called) }}:
	case <-l.stopped:
		return false
	}
	select {
	case <-called:
		return true
	case <-l.stopped:
		return false
	}
}

// Run handles events until Close.
func (l *Loop) Run() {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(l.untilWake())
		select {
		case it := <-l.events:
			l.handle(it)
		case it := <-l.requests:
			l.handle(it)
		case <-timer.C:
			l.dispatch(scheduler.Tick{})
		case <-l.done:
			return
		}
		l.drainQueues()
	}
}

// untilWake returns the time until the Scheduler has to be called again.
func (l *Loop) untilWake() time.Duration {
	wake := l.sched.NextWake()
	if wake.IsZero() {
		return time.Hour
	}
	// The margin keeps the timer from firing before anything is due.
	return max(0, wake.Sub(l.clock())) + time.Millisecond/4
}

// drainQueues handles the items that are already queued, at most maxBatch. Events
// have priority over requests.
func (l *Loop) drainQueues() {
	for range maxBatch {
		select {
		case it := <-l.events:
			l.handle(it)
			continue
		default:
		}
		select {
		case it := <-l.requests:
			l.handle(it)
			continue
		default:
		}
		return
	}
}

// handle handles one item of a queue.
func (l *Loop) handle(it item) {
	if it.inspect != nil {
		it.inspect(l.sched)
		return
	}
	if it.reply != nil {
		if it.ctx.Err() != nil {
			// The withdrawal is in the other queue and may already have been
			// handled.
			return
		}
		l.waiting[it.request] = it.reply
	}
	if w, ok := it.event.(scheduler.Withdraw); ok {
		delete(l.waiting, w.Request)
	}
	l.dispatch(it.event)
}

// dispatch passes an event to the Scheduler, and its actions to the handlers.
func (l *Loop) dispatch(ev scheduler.Event) {
	for _, a := range l.sched.Handle(l.clock(), ev) {
		switch a := a.(type) {
		case scheduler.Start:
			l.handlers.Start(a)
		case scheduler.Stop:
			l.handlers.Stop(a)
		case scheduler.Poll:
			l.handlers.Poll(a)
		case scheduler.TargetLost:
			l.handlers.TargetLost(a)
		case scheduler.CrashFound:
			l.handlers.CrashFound(a)
		case scheduler.GivenUpRunOver:
			l.handlers.GivenUpRunOver(a)
		case scheduler.Reply:
			l.reply(a)
		default:
			panic(fmt.Sprintf("loop: unknown action %T", a))
		}
	}
}

// reply passes a reply to the waiting calls of Submit. It does not block, because
// each channel has a buffer for its only reply.
func (l *Loop) reply(a scheduler.Reply) {
	l.handlers.Answered(a)
	for _, id := range a.Requests {
		if ch, ok := l.waiting[id]; ok {
			delete(l.waiting, id)
			ch <- a.Outcome
		}
	}
}

// Close stops Run and waits for its end. Run must have been started.
func (l *Loop) Close() {
	l.closing.Do(func() { close(l.done) })
	<-l.stopped
}
