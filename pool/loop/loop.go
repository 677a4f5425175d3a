// Package loop runs the Scheduler: its goroutine is the only one that touches
// it, feeds it events from a bounded ring and passes its actions on.
package loop

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marigoldfront.dev/core/scheduler"
)

const (
	// requestRing bounds the requests that wait for the loop; further ones are
	// turned away.
	requestRing = 1024
	// eventRing bounds the reports of the instance's own parts.
	eventRing = 8192
	// batch bounds the events handled between two looks at the timer.
	batch = 256
)

// ErrQueueFull says that too many requests wait; nothing is recorded.
var ErrQueueFull = errors.New("too many requests wait")

// Handlers receive the actions that are no replies. None of them may block.
type Handlers struct {
	Start      func(scheduler.Start)
	Stop       func(scheduler.Stop)
	Poll       func(scheduler.Poll)
	TargetLost func(scheduler.TargetLost)
	// Answered is called for each answer, for logs.
	Answered func(scheduler.Reply)
}

// Loop owns a Scheduler.
type Loop struct {
	sched    *scheduler.Scheduler
	clock    func() time.Time
	out      Handlers
	lastID   atomic.Uint64
	requests chan item
	events   chan item
	done     chan struct{}
	closing  sync.Once
	stopped  chan struct{}
	// waiting belongs to the loop's goroutine.
	waiting map[scheduler.RequestID]chan<- scheduler.Outcome
}

type item struct {
	event   scheduler.Event
	request scheduler.RequestID
	reply   chan<- scheduler.Outcome
	// ctx ends when nobody waits for the reply any more.
	ctx     context.Context
	inspect func(*scheduler.Scheduler)
}

// New returns a Loop; Run starts it. The clock counts suspensions.
func New(s *scheduler.Scheduler, clock func() time.Time, out Handlers) *Loop {
	return &Loop{
		sched: s, clock: clock, out: out,
		requests: make(chan item, requestRing),
		events:   make(chan item, eventRing),
		done:     make(chan struct{}),
		stopped:  make(chan struct{}),
		waiting:  map[scheduler.RequestID]chan<- scheduler.Outcome{},
	}
}

// Submit hands a job over and waits for its answer. When ctx ends, the job is
// withdrawn.
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

// Post hands over an event without a reply. It waits for a place.
func (l *Loop) Post(ev scheduler.Event) {
	select {
	case l.events <- item{event: ev}:
	case <-l.stopped:
	}
}

// Inspect calls fn between two events and waits for it. It returns false once
// the loop has stopped.
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
			l.event(scheduler.Tick{})
		case <-l.done:
			return
		}
		l.more()
	}
}

func (l *Loop) untilWake() time.Duration {
	wake := l.sched.NextWake()
	if wake.IsZero() {
		return time.Hour
	}
	// A timer that fires early would find nothing due.
	return max(0, wake.Sub(l.clock())) + time.Millisecond/4
}

// more handles the inputs that are already there, up to a batch.
func (l *Loop) more() {
	for range batch {
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

func (l *Loop) handle(it item) {
	if it.inspect != nil {
		it.inspect(l.sched)
		return
	}
	if it.reply != nil {
		if it.ctx.Err() != nil {
			// The withdrawal waits in another ring and may have come before.
			return
		}
		l.waiting[it.request] = it.reply
	}
	if w, ok := it.event.(scheduler.Withdraw); ok {
		delete(l.waiting, w.Request)
	}
	l.event(it.event)
}

func (l *Loop) event(ev scheduler.Event) {
	for _, a := range l.sched.Handle(l.clock(), ev) {
		switch a := a.(type) {
		case scheduler.Start:
			l.out.Start(a)
		case scheduler.Stop:
			l.out.Stop(a)
		case scheduler.Poll:
			l.out.Poll(a)
		case scheduler.TargetLost:
			l.out.TargetLost(a)
		case scheduler.Reply:
			l.reply(a)
		default:
			panic("loop: unknown action")
		}
	}
}

// reply passes an answer on; each channel has room for its one answer.
func (l *Loop) reply(a scheduler.Reply) {
	l.out.Answered(a)
	for _, id := range a.Requests {
		if ch, ok := l.waiting[id]; ok {
			delete(l.waiting, id)
			ch <- a.Outcome
		}
	}
}

// Close ends Run and waits for it.
func (l *Loop) Close() {
	l.closing.Do(func() { close(l.done) })
	<-l.stopped
}
