// Package peering exchanges state with the other entry instances (peers) and
// serves their requests.
package peering

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/convert"
	"marigoldfront.dev/entry/engine"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/entry/routing"
	"marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	idleTimeout = 2 * time.Minute
	// maxMessageBytes bounds a request of a peer. The largest ones are
	// forwarded submissions and parts of a handover.
	maxMessageBytes = 32 << 20
)

// TicketSource provides the tickets that peers fetch.
type TicketSource interface {
	// Fetch returns the tickets with a number above after, or a snapshot of
	// the configuration if some of them are not available.
	Fetch(after uint64) *wire.FetchTicketsReply
}

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Log       *zap.Logger
	Tracer    *tracing.Tracer
	Router    *routing.Router
	Engine    *engine.Engine
	Peers     *peers.Registry
	Tickets   TicketSource
	Exchanger *Exchanger
	// Draining reports whether this instance is draining.
	Draining func() bool
	// Speeds returns the learned run times.
	Speeds func() []dispatch.Speed
	// Secrets are the accepted peer secrets. Empty ones are ignored.
	Secrets []string
	// Guard bounds the connections and messages.
	Guard *intake.Guard
}

// Server serves the requests of peers. It implements wire.Peer.
type Server struct {
	cfg    ServerConfig
	self   membership.Identity
	server *http.Server
	done   chan struct{}
}

// NewServer returns a Server; Serve starts it.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, done: make(chan struct{})}
	cfg.Peers.WithRoster(func(r *membership.Roster) { s.self = r.Self() })
	handler := intake.Messages(wire.NewPeerServer(s), maxMessageBytes, messageMemory, refuseMessage)
	s.server = &http.Server{
		Handler:           peers.Authenticate(handler, cfg.Secrets...),
		ReadHeaderTimeout: intake.HeaderTime,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(cfg.Log),
	}
	cfg.Guard.Protect(s.server)
	return s
}

// messageMemory returns the memory, in bytes, that a message takes with its decoded form.
func messageMemory(body []byte) int64 { return 3 * int64(len(body)) }

// refuseMessage refuses a message for which there is no memory. It has had no effect.
func refuseMessage(w http.ResponseWriter, refused *intake.RefusedError) {
	// A write error means that the peer has disconnected.
	_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, refused.Error()))
}

// Serve accepts connections on l until Close is called. It returns nil after
// Close.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.done)
	if err := s.server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close stops accepting requests and waits for those in flight. If ctx ends
// first, it closes their connections and returns the error of ctx.
func (s *Server) Close(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	<-s.done
	return err
}

// Forward implements wire.Peer. It serves a request of a caller that a peer
// has forwarded.
func (s *Server) Forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	ctx = tracing.Extract(ctx, req.GetTraceparent())
	ctx, span := s.cfg.Tracer.Start(ctx, "forwarded")
	defer span.End()
	reply := s.cfg.Router.ServeForwarded(tracing.EnsureTraceID(ctx), req)
	if reply == nil {
		return nil, twirp.NewError(twirp.Canceled, "the request was given up")
	}
	reply.RequestId = req.GetRequestId()
	return reply, nil
}

// Handover implements wire.Peer. It imports the sessions of a draining peer.
// The error FailedPrecondition means that this instance is draining too and
// has imported none of the sessions.
func (s *Server) Handover(ctx context.Context, req *wire.HandoverRequest) (*wire.HandoverReply, error) {
	records, err := convert.FromSessionRecords(req.GetSessions())
	if err != nil {
		return nil, twirp.InvalidArgumentError("sessions", err.Error())
	}
	err = s.handleImport(ctx, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.ImportSessions{Request: id, Records: records}
	})
	if err != nil {
		return nil, err
	}
	s.cfg.Peers.WithRoster(func(r *membership.Roster) {
		now := time.Now()
		for _, rec := range records {
			r.AddHandover(now, membership.Handover{Incarnation: rec.Session.Incarnation, Successor: s.self.Address})
		}
		r.AddHandover(now, membership.Handover{Incarnation: req.GetIncarnation(), Successor: s.self.Address})
	})
	s.cfg.Log.Info("Imported the sessions of a draining peer.", zap.String("from", req.GetFrom()), zap.Int("sessions", len(records)))
	return &wire.HandoverReply{Accepted: uint32(len(records)), Incarnation: s.self.Incarnation}, nil
}

// Deliver implements wire.Peer. It imports the answers of jobs that finished
// at the predecessor after the handover. The error NotFound means that the
// sessions were handed over to an earlier incarnation at this address and were
// lost when it exited.
func (s *Server) Deliver(ctx context.Context, req *wire.DeliverRequest) (*wire.DeliverReply, error) {
	if req.GetIncarnation() != s.self.Incarnation {
		return nil, twirp.NotFoundError("the sessions ended with an earlier run of this instance")
	}
	answers, err := convert.FromDeliveredAnswers(req.GetAnswers())
	if err != nil {
		return nil, twirp.InvalidArgumentError("answers", err.Error())
	}
	err = s.handleImport(ctx, func(id dispatch.RequestID) dispatch.Event {
		return dispatch.ImportAnswers{Request: id, Answers: answers}
	})
	if err != nil {
		return nil, err
	}
	return &wire.DeliverReply{}, nil
}

// handleImport passes an import event to the engine and waits for its reply. A
// rejection or an engine error is returned as a twirp error.
func (s *Server) handleImport(ctx context.Context, event func(dispatch.RequestID) dispatch.Event) error {
	action, err := s.cfg.Engine.Do(ctx, event)
	if errors.Is(err, engine.ErrBusy) {
		return twirp.NewError(twirp.Unavailable, err.Error())
	}
	if err != nil {
		return twirp.InternalErrorWith(err)
	}
	switch a := action.(type) {
	case dispatch.ReplyConfirmed:
		return nil
	case dispatch.ReplyRejected:
		if a.Status == http.StatusServiceUnavailable {
			return twirp.NewError(twirp.FailedPrecondition, a.Findings.Error())
		}
		return twirp.NewError(twirp.Unavailable, a.Findings.Error())
	default:
		panic(fmt.Sprintf("peering: unexpected reply %T to an import", a))
	}
}

// Exchange implements wire.Peer. It merges the message of a peer and replies
// with the message of this instance.
func (s *Server) Exchange(_ context.Context, req *wire.ExchangeMessage) (*wire.ExchangeMessage, error) {
	s.cfg.Exchanger.MergeMessage(req)
	return s.cfg.Exchanger.Message(), nil
}

// FetchTickets implements wire.Peer. It returns the tickets after the one that
// the peer has in force, or a snapshot.
func (s *Server) FetchTickets(_ context.Context, req *wire.FetchTicketsRequest) (*wire.FetchTicketsReply, error) {
	return s.cfg.Tickets.Fetch(req.GetAfter()), nil
}

// FetchSpeeds implements wire.Peer. It returns the learned run times of
// targets, or none to a peer of another region.
func (s *Server) FetchSpeeds(_ context.Context, req *wire.FetchSpeedsRequest) (*wire.FetchSpeedsReply, error) {
	if req.GetRegion() != s.self.Region {
		return &wire.FetchSpeedsReply{}, nil
	}
	return &wire.FetchSpeedsReply{Speeds: convert.ToSpeeds(s.cfg.Speeds())}, nil
}
