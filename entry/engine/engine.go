// Package engine runs the Dispatcher: it is the only goroutine that touches
// it, feeds it events from bounded channels and carries its actions out.
package engine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marigoldfront.dev/core/dispatch"
)

const (
	// requestQueue bounds the caller requests that wait for the engine. A
	// request beyond it is turned away before anything is recorded.
	requestQueue = 1024
	// eventQueue bounds the events of the instance's own parts, which wait
	// for a place.
	eventQueue = 4096
	// batch bounds the events handled between two looks at the timer.
	batch = 256
)

// Errors of Do. After ErrBusy nothing is recorded; after ErrClosed the request
// may have had an effect.
var (
	ErrBusy   = errors.New("the instance is overloaded")
	ErrClosed = errors.New("the instance has stopped")
)

// Dispatcher is the part of dispatch.Dispatcher that the engine uses.
type Dispatcher interface {
	Handle(now time.Time, ev dispatch.Event) []dispatch.Action
	NextWake() time.Time
}

// ActionHandlers receive the actions that are no replies. None of them may block.
type ActionHandlers struct {
	// Start returns false where the attempt was not taken.
	Start    func(dispatch.StartAttempt) bool
	Stop     func(dispatch.StopAttempt)
	HandOver func([]dispatch.SessionRecord)
	Deliver  func([]dispatch.FinalAnswer)
	Drained  func()
}

// Engine owns a Dispatcher.
type Engine struct {
	dispatcher Dispatcher
	out        ActionHandlers
	lastID     atomic.Uint64
	requests   chan item
	events     chan item
	done       chan struct{}
	stopped    chan struct{}
	closing    sync.Once

	// The fields below belong to the engine's goroutine.
	waiting map[dispatch.RequestID]chan<- dispatch.Action
	// notTaken holds the ends of starts that the sender did not take.
	notTaken []dispatch.AttemptEnded
}

// item is an input of the engine: an event, or a function to call between two
// events.
type item struct {
	event   dispatch.Event
	request dispatch.RequestID
	reply   chan<- dispatch.Action
	inspect func()
}

// New returns an Engine; Run starts it.
func New(d Dispatcher, out ActionHandlers) *Engine {
	return &Engine{
		dispatcher: d,
		out:        out,
		requests:   make(chan item, requestQueue),
		events:     make(chan item, eventQueue),
		done:       make(chan struct{}),
		stopped:    make(chan struct{}),
		waiting:    map[dispatch.RequestID]chan<- dispatch.Action{},
	}
}

// Do hands a request to the Dispatcher and waits for its reply action. It
// returns ErrBusy, and nothing is recorded, where the input is full. When ctx
// ends, the request is given up, but what it started goes on.
func (e *Engine) Do(ctx context.Context, event func(dispatch.RequestID) dispatch.Event) (dispatch.Action, error) {
	id := dispatch.RequestID(e.lastID.Add(1))
	reply := make(chan dispatch.Action, 1)
	select {
	case <-e.done:
		return nil, ErrBusy
	default:
	}
	select {
	case e.requests <- item{event: event(id), request: id, reply: reply}:
	default:
		return nil, ErrBusy
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		e.Post(dispatch.CallerDisconnected{Request: id})
		return nil, ctx.Err()
	case <-e.stopped:
		select {
		case a := <-reply:
			return a, nil
		default:
			return nil, ErrClosed
		}
	}
}

// Post hands over an event that has no reply. It waits for a place and never
// drops the event while the engine runs.
func (e *Engine) Post(ev dispatch.Event) {
	select {
	case e.events <- item{event: ev}:
	case <-e.stopped:
	}
}

// Inspect calls fn in the engine's goroutine and waits for it. It returns
// false if the engine has stopped.
func (e *Engine) Inspect(fn func()) bool {
	called := make(chan struct{})
	select {
	case e.events <- item{inspect: func() { fn(); close(called) }}:
	case <-e.stopped:
		return false
	}
	select {
	case <-called:
		return true
	case <-e.stopped:
		return false
	}
}

// Run handles events until Close.
func (e *Engine) Run() {
	defer close(e.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var wake time.Time
	for {
		if next := e.dispatcher.NextWake(); !next.Equal(wake) {
			wake = next
			timer.Reset(untilWake(wake))
		}
		select {
		case it := <-e.events:
			e.handle(it)
		case it := <-e.requests:
			e.handle(it)
		case <-timer.C:
			wake = time.Time{}
			e.event(dispatch.Tick{})
		case <-e.done:
			e.finish()
			return
		}
		e.more()
	}
}

// untilWake returns the time to sleep until wake; the zero time means that
// nothing is due.
func untilWake(wake time.Time) time.Duration {
	if wake.IsZero() {
		return time.Hour
	}
	return max(0, time.Until(wake))
}

// more handles the inputs that are already there, up to a batch.
func (e *Engine) more() {
	for range batch {
		select {
		case it := <-e.events:
			e.handle(it)
			continue
		default:
		}
		select {
		case it := <-e.requests:
			e.handle(it)
			continue
		default:
		}
		break
	}
	ended := e.notTaken
	e.notTaken = nil
	for _, ev := range ended {
		e.event(ev)
	}
}

// finish handles what was accepted before Close.
func (e *Engine) finish() {
	for {
		select {
		case it := <-e.events:
			e.handle(it)
		case it := <-e.requests:
			e.handle(it)
		default:
			return
		}
	}
}

func (e *Engine) handle(it item) {
	if it.inspect != nil {
		it.inspect()
		return
	}
	if it.reply != nil {
		e.waiting[it.request] = it.reply
	}
	if gone, ok := it.event.(dispatch.CallerDisconnected); ok {
		if _, waits := e.waiting[gone.Request]; !waits {
			return
		}
		delete(e.waiting, gone.Request)
	}
	e.event(it.event)
}

func (e *Engine) event(ev dispatch.Event) {
	for _, a := range e.dispatcher.Handle(time.Now(), ev) {
		e.act(a)
	}
}

func (e *Engine) act(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.StartAttempt:
		e.start(a)
	case dispatch.StopAttempt:
		e.out.Stop(a)
	case dispatch.ReplySession:
		e.reply(a.Request, a)
	case dispatch.ReplyAnswer:
		e.reply(a.Request, a)
	case dispatch.ReplyRunning:
		e.reply(a.Request, a)
	case dispatch.ReplyRejected:
		e.reply(a.Request, a)
	case dispatch.ReplyHandedOver:
		e.reply(a.Request, a)
	case dispatch.ReplyConfirmed:
		e.reply(a.Request, a)
	case dispatch.HandOver:
		e.out.HandOver(a.Records)
	case dispatch.DeliverAnswers:
		e.out.Deliver(a.Answers)
	case dispatch.Drained:
		e.out.Drained()
	default:
		panic("engine: unknown action")
	}
}

// start passes a start on. A start that the sender does not take ends as not
// sent, so that the engine never waits for the sender.
func (e *Engine) start(a dispatch.StartAttempt) {
	if e.out.Start(a) {
		return
	}
	e.notTaken = append(e.notTaken, dispatch.AttemptEnded{
		Attempt: a.Attempt, Target: a.Target,
		Outcome: dispatch.NotSent{Message: "too many attempts are in flight"},
	})
}

// reply passes a reply on to its request, if that still waits. The channel
// has room for the one reply of a request.
func (e *Engine) reply(id dispatch.RequestID, a dispatch.Action) {
	ch, ok := e.waiting[id]
	if !ok {
		return
	}
	delete(e.waiting, id)
	ch <- a
}

// Close ends Run after the inputs that were accepted, and waits for it.
func (e *Engine) Close() {
	e.closing.Do(func() { close(e.done) })
	<-e.stopped
}
