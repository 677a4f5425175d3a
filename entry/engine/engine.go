// Package engine runs a Dispatcher in a single goroutine. It passes the
// Dispatcher events from bounded queues and executes the actions that the
// Dispatcher returns.
package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"marigoldfront.dev/core/dispatch"
)

const (
	// maxQueuedRequests bounds the queue of caller requests. A request beyond it
	// is rejected before anything is recorded.
	maxQueuedRequests = 1024
	// maxQueuedEvents bounds the queue of internal events. Their senders block
	// while the queue is full.
	maxQueuedEvents = 4096
	// maxBatch bounds the inputs handled between two checks of the timer.
	maxBatch = 256
)

// Errors returned by Do. With ErrBusy the request had no effect; with ErrClosed
// it may have had one.
var (
	ErrBusy   = errors.New("the instance is overloaded")
	ErrClosed = errors.New("the instance has stopped")
)

// Dispatcher is the subset of dispatch.Dispatcher that the engine uses.
type Dispatcher interface {
	Handle(now time.Time, ev dispatch.Event) []dispatch.Action
	NextWake() time.Time
}

// ActionHandlers execute the actions that are not replies to requests. The engine
// calls them in its goroutine, so none of them may block.
type ActionHandlers struct {
	// Start returns false if it cannot accept the attempt.
	Start    func(dispatch.StartAttempt) bool
	Stop     func(dispatch.StopAttempt)
	HandOver func([]dispatch.SessionRecord)
	Deliver  func([]dispatch.FinalAnswer)
	Drained  func()
}

// Engine runs a Dispatcher. Its methods are safe for concurrent use, except that
// Run is called once.
type Engine struct {
	dispatcher     Dispatcher
	handlers       ActionHandlers
	lastID         atomic.Uint64
	requests       chan input
	events         chan input
	closeRequested chan struct{}
	stopped        chan struct{}
	closeOnce      sync.Once

	// The fields below are used only by the engine's goroutine.
	replyChannels map[dispatch.RequestID]chan<- dispatch.Action
	// rejectedStarts holds the results of starts that ActionHandlers.Start did
	// not accept, until they are passed to the Dispatcher.
	rejectedStarts []dispatch.AttemptEnded
}

// input is an event for the Dispatcher, or a function to call between two
// events.
type input struct {
	event   dispatch.Event
	request dispatch.RequestID
	reply   chan<- dispatch.Action
	inspect func()
}

// New returns an Engine; Run starts it.
func New(d Dispatcher, handlers ActionHandlers) *Engine {
	return &Engine{
		dispatcher:     d,
		handlers:       handlers,
		requests:       make(chan input, maxQueuedRequests),
		events:         make(chan input, maxQueuedEvents),
		closeRequested: make(chan struct{}),
		stopped:        make(chan struct{}),
		replyChannels:  map[dispatch.RequestID]chan<- dispatch.Action{},
	}
}

// Do passes a request to the Dispatcher and waits for its reply action. It
// returns ErrBusy if the queue is full or the engine is closed. If ctx ends
// first, Do returns its error and the reply is discarded, but a job that the
// request submitted continues.
func (e *Engine) Do(ctx context.Context, event func(dispatch.RequestID) dispatch.Event) (dispatch.Action, error) {
	id := dispatch.RequestID(e.lastID.Add(1))
	reply := make(chan dispatch.Action, 1)
	select {
	case <-e.closeRequested:
		return nil, ErrBusy
	default:
	}
	select {
	case e.requests <- input{event: event(id), request: id, reply: reply}:
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

// Post queues an event that has no reply. It blocks while the queue is full and
// drops the event only if the engine has stopped.
func (e *Engine) Post(ev dispatch.Event) {
	select {
	case e.events <- input{event: ev}:
	case <-e.stopped:
	}
}

// Inspect calls fn in the engine's goroutine and waits until it returns. Inspect
// returns false if the engine has stopped.
func (e *Engine) Inspect(fn func()) bool {
	called := make(chan struct{})
	select {
	case e.events <- input{inspect: func() { fn(); close(called) }}:
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

// Run handles requests and events until Close is called.
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
		case in := <-e.events:
			e.handleInput(in)
		case in := <-e.requests:
			e.handleInput(in)
		case <-timer.C:
			wake = time.Time{}
			e.handleEvent(dispatch.Tick{})
		case <-e.closeRequested:
			e.drain()
			return
		}
		e.handleQueued()
	}
}

// untilWake returns the duration until wake, at least 0. The zero time means
// that no wake-up is scheduled.
func untilWake(wake time.Time) time.Duration {
	if wake.IsZero() {
		return time.Hour
	}
	return max(0, time.Until(wake))
}

// handleQueued handles the inputs that are already queued, up to maxBatch, and
// then the rejected starts.
func (e *Engine) handleQueued() {
	for range maxBatch {
		select {
		case in := <-e.events:
			e.handleInput(in)
			continue
		default:
		}
		select {
		case in := <-e.requests:
			e.handleInput(in)
			continue
		default:
		}
		break
	}
	ended := e.rejectedStarts
	e.rejectedStarts = nil
	for _, ev := range ended {
		e.handleEvent(ev)
	}
}

// drain handles the inputs that were queued before Close.
func (e *Engine) drain() {
	for {
		select {
		case in := <-e.events:
			e.handleInput(in)
		case in := <-e.requests:
			e.handleInput(in)
		default:
			return
		}
	}
}

func (e *Engine) handleInput(in input) {
	if in.inspect != nil {
		in.inspect()
		return
	}
	if in.reply != nil {
		e.replyChannels[in.request] = in.reply
	}
	if disconnected, ok := in.event.(dispatch.CallerDisconnected); ok {
		if _, awaited := e.replyChannels[disconnected.Request]; !awaited {
			return
		}
		delete(e.replyChannels, disconnected.Request)
	}
	e.handleEvent(in.event)
}

func (e *Engine) handleEvent(ev dispatch.Event) {
	for _, a := range e.dispatcher.Handle(time.Now(), ev) {
		e.handleAction(a)
	}
}

func (e *Engine) handleAction(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.StartAttempt:
		e.start(a)
	case dispatch.StopAttempt:
		e.handlers.Stop(a)
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
		e.handlers.HandOver(a.Records)
	case dispatch.DeliverAnswers:
		e.handlers.Deliver(a.Answers)
	case dispatch.Drained:
		e.handlers.Drained()
	default:
		panic(fmt.Sprintf("engine: unknown action %T", a))
	}
}

// start passes an attempt to the sender. If the sender does not accept it, the
// attempt ends as not sent, so that the engine never blocks on the sender.
func (e *Engine) start(a dispatch.StartAttempt) {
	if e.handlers.Start(a) {
		return
	}
	e.rejectedStarts = append(e.rejectedStarts, dispatch.AttemptEnded{
		Attempt: a.Attempt, Target: a.Target,
		Outcome: dispatch.NotSent{Message: "too many attempts are in flight"},
	})
}

// reply sends a reply to the request that waits for it, if there still is one.
// It does not block: the channel has capacity for the only reply of a request.
func (e *Engine) reply(id dispatch.RequestID, a dispatch.Action) {
	ch, ok := e.replyChannels[id]
	if !ok {
		return
	}
	delete(e.replyChannels, id)
	ch <- a
}

// Close makes Run return after it has handled the queued inputs, and waits for
// it.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closeRequested) })
	<-e.stopped
}
