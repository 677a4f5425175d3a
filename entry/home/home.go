// Package home serves the requests of sessions whose home instance, the one that
// holds the session's records, is this instance.
package home

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/token"
	"marigoldfront.dev/entry/convert"
	"marigoldfront.dev/entry/engine"
	"marigoldfront.dev/wire"
)

// Config holds the dependencies of a Handler.
type Config struct {
	Engine *engine.Engine
	Signer *token.Signer
	// Directory returns the configuration in force, nil if there is none.
	Directory func() *directory.Directory
	// MaxAge returns how long ago a request that is read now may have arrived.
	MaxAge      func() time.Duration
	Address     netip.AddrPort
	Incarnation uint64
}

// Handler converts request messages to events of the Dispatcher and its reply
// actions to reply messages. It is safe for concurrent use.
type Handler struct {
	cfg Config
}

// New returns a Handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Open opens a session for an authenticated caller and returns a reply with the
// session's token, or a rejection.
func (h *Handler) Open(ctx context.Context, caller string) *wire.ForwardReply {
	action, err := h.cfg.Engine.Do(ctx, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.OpenSession{Request: id, Caller: caller}
	})
	if err != nil {
		return Reject(http.StatusServiceUnavailable, "session", err.Error())
	}
	switch a := action.(type) {
	case dispatch.ReplySession:
		text, err := h.cfg.Signer.Sign(token.Token{
			Address: h.cfg.Address, Incarnation: a.Session.Incarnation, Number: a.Session.Number, Caller: caller,
		})
		if err != nil {
			return Reject(http.StatusBadRequest, "caller", err.Error())
		}
		return &wire.ForwardReply{Session: text}
	case dispatch.ReplyRejected:
		return rejectionReply(a)
	default:
		panic(fmt.Sprintf("home: unexpected reply %T to OpenSession", a))
	}
}

// Serve handles a request of a session. It returns a nil reply if the session was
// handed over to another instance, with handedOver set, or if ctx has ended.
func (h *Handler) Serve(ctx context.Context, tok token.Token, req *wire.ForwardRequest) (reply *wire.ForwardReply, handedOver bool) {
	event, reply := h.eventFor(ctx, tok, req)
	if reply != nil {
		return reply, false
	}
	wait := time.Duration(req.GetWaitMs()) * time.Millisecond
	if req.GetOperation() == wire.Operation_OPERATION_COLLECT && wait > 0 {
		c, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		ctx = c
	}
	action, err := h.cfg.Engine.Do(ctx, event)
	switch {
	case errors.Is(err, engine.ErrBusy):
		return Reject(http.StatusServiceUnavailable, "instance", err.Error()), false
	case errors.Is(err, engine.ErrClosed):
		return &wire.ForwardReply{Answer: convert.UnknownAnswer(answer.CodeDraining, "the instance ended before the answer")}, false
	case errors.Is(err, context.DeadlineExceeded) && wait > 0:
		return &wire.ForwardReply{Running: true}, false
	case err != nil:
		return nil, false
	}
	return replyFor(action)
}

// replyFor converts a reply action to a reply message. The reply is nil and
// handedOver is set if the session was handed over to another instance.
func replyFor(action dispatch.Action) (reply *wire.ForwardReply, handedOver bool) {
	switch a := action.(type) {
	case dispatch.ReplyAnswer:
		return &wire.ForwardReply{Answer: convert.ToAnswer(a.Answer)}, false
	case dispatch.ReplyRunning:
		return &wire.ForwardReply{Running: true}, false
	case dispatch.ReplyRejected:
		return rejectionReply(a), false
	case dispatch.ReplyConfirmed:
		return &wire.ForwardReply{HttpStatus: http.StatusNoContent}, false
	case dispatch.ReplyHandedOver:
		return nil, true
	default:
		panic(fmt.Sprintf("home: unexpected reply %T", a))
	}
}

// eventFor returns a function that creates the event for a request, or a
// rejection if the operation is unknown or the configuration does not permit the
// request.
func (h *Handler) eventFor(ctx context.Context, tok token.Token, req *wire.ForwardRequest) (func(dispatch.RequestID) dispatch.Event, *wire.ForwardReply) {
	session := dispatch.SessionID{Incarnation: tok.Incarnation, Number: tok.Number}
	job := dispatch.JobID{Session: session, Seq: req.GetSeq()}
	switch req.GetOperation() {
	case wire.Operation_OPERATION_SUBMIT:
		if reply := h.checkService(tok.Caller, req.GetSubmission().GetService()); reply != nil {
			return nil, reply
		}
		sub := toSubmission(ctx, req)
		sub.Received = time.Now().Add(-h.cfg.MaxAge())
		return func(id dispatch.RequestID) dispatch.Event {
			return dispatch.Submit{Request: id, Job: job, Caller: tok.Caller, Submission: sub, AcknowledgedBelow: req.GetAcknowledgedBelow()}
		}, nil
	case wire.Operation_OPERATION_COLLECT:
		return func(id dispatch.RequestID) dispatch.Event {
			return dispatch.Collect{Request: id, Job: job, Caller: tok.Caller, Wait: req.GetWaitMs() > 0}
		}, nil
	case wire.Operation_OPERATION_CANCEL:
		return func(id dispatch.RequestID) dispatch.Event {
			return dispatch.Cancel{Request: id, Job: job, Caller: tok.Caller}
		}, nil
	case wire.Operation_OPERATION_ACKNOWLEDGE:
		return func(id dispatch.RequestID) dispatch.Event {
			return dispatch.Acknowledge{Request: id, Session: session, Caller: tok.Caller, Below: req.GetAcknowledgedBelow()}
		}, nil
	case wire.Operation_OPERATION_CLOSE_SESSION:
		return func(id dispatch.RequestID) dispatch.Event {
			return dispatch.CloseSession{Request: id, Session: session, Caller: tok.Caller}
		}, nil
	default:
		return nil, Reject(http.StatusBadRequest, "operation", "the operation is not known")
	}
}

// checkService returns a rejection if the service does not exist or the caller
// may not use it. Without a configuration it returns nil, and the Dispatcher
// replies to the request.
func (h *Handler) checkService(caller, service string) *wire.ForwardReply {
	dir := h.cfg.Directory()
	if dir == nil {
		return nil
	}
	c, ok := dir.State.Callers[caller]
	if !ok {
		return Reject(http.StatusForbidden, "caller", "the caller is not configured")
	}
	if _, ok := dir.State.Services[service]; !ok {
		return Reject(http.StatusForbidden, "service", "the service is not configured")
	}
	if !slices.Contains(c.Services, service) {
		return Reject(http.StatusForbidden, "service", "the caller may not use the service")
	}
	return nil
}

// rejectionReply converts a rejection by the Dispatcher to a reply message.
func rejectionReply(a dispatch.ReplyRejected) *wire.ForwardReply {
	return &wire.ForwardReply{HttpStatus: int32(a.Status), Rejection: convert.ToFindings(a.Findings)}
}

// Reject returns a rejection with an HTTP status and one finding.
func Reject(status int, place, message string) *wire.ForwardReply {
	return RejectAll(status, finding.List{{Place: place, Message: message}})
}

// RejectAll returns a rejection with an HTTP status and any number of findings.
func RejectAll(status int, found finding.List) *wire.ForwardReply {
	return &wire.ForwardReply{HttpStatus: int32(status), Rejection: convert.ToFindings(found)}
}
