// Package routing finds the home of a request's session: this instance, which
// serves the request, or another one, to which the request is forwarded.
package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/core/token"
	"marigoldfront.dev/entry/convert"
	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	// forwardGrace is how long after its own time limit a forwarded request
	// may still be answered by its home.
	forwardGrace = 5 * time.Second
	// seekTries bounds the peers that are asked for a home that is not where
	// its token says, and seekWithin the time after which none is asked.
	seekTries  = 2
	seekWithin = 2 * time.Second
	// openTries bounds the peers that a draining instance asks to open a
	// session.
	openTries = 3
)

// errCrossed says that a reply names another request. The request may have
// arrived all the same.
var errCrossed = errors.New("the reply belongs to another request")

// SuccessorFinder tells where this instance's sessions went. Successor waits until the
// successor has accepted them or ctx ends, and returns false where there is
// none.
type SuccessorFinder interface {
	Successor(ctx context.Context) (address string, ok bool)
}

// Config holds the dependencies of a Router.
type Config struct {
	Log        *zap.Logger
	Metrics    *metrics.Metrics
	Tracer     *tracing.Tracer
	Home       *home.Handler
	Signer     *token.Signer
	Peers      *peers.Registry
	Successors SuccessorFinder
	// Draining says whether the planned stop has begun.
	Draining func() bool
}

// Router serves or forwards the requests of callers and peers.
type Router struct {
	cfg  Config
	self membership.Identity
}

// New returns a Router.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg}
	cfg.Peers.WithRoster(func(roster *membership.Roster) { r.self = roster.Self() })
	return r
}

// Serve answers a request of a caller. It returns nil where ctx has ended.
func (r *Router) Serve(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	if req.GetOperation() == wire.Operation_OPERATION_OPEN_SESSION {
		return r.open(ctx, req)
	}
	tok, err := r.cfg.Signer.Verify(req.GetSession())
	if err != nil {
		return home.Reject(http.StatusUnauthorized, "session", err.Error())
	}
	req.Caller = tok.Caller
	began := time.Now()
	until := began.Add(time.Duration(req.GetSubmission().GetTimeoutMs()) * time.Millisecond)
	reply := r.reach(ctx, tok, req, until)
	if lost(reply) && time.Since(began) < seekWithin {
		setTimeLeft(req, until)
		return r.seek(ctx, tok, req, reply)
	}
	return reply
}

// setTimeLeft takes the time spent here off the timeout of a submission, so
// that a forwarded job ends when its caller expects it.
func setTimeLeft(req *wire.ForwardRequest, until time.Time) {
	if s := req.GetSubmission(); s != nil {
		s.TimeoutMs = max(1, time.Until(until).Milliseconds())
	}
}

// reach serves the request here or forwards it to where its home should be.
func (r *Router) reach(ctx context.Context, tok token.Token, req *wire.ForwardRequest, until time.Time) *wire.ForwardReply {
	address := r.locate(tok)
	if address == "" {
		reply, moved := r.cfg.Home.Serve(ctx, tok, req)
		if !moved {
			return reply
		}
		var ok bool
		if address, ok = r.cfg.Successors.Successor(ctx); !ok {
			return unreachable("the session has no home any more")
		}
		setTimeLeft(req, until)
	}
	return r.follow(ctx, address, req)
}

// CheckSession rejects a session token that is not valid.
func (r *Router) CheckSession(session string) *wire.ForwardReply {
	if _, err := r.cfg.Signer.Verify(session); err != nil {
		return home.Reject(http.StatusUnauthorized, "session", err.Error())
	}
	return nil
}

// ServeForwarded answers a request that a peer has forwarded. It is never
// forwarded again; the reply may name the session's successor instead.
func (r *Router) ServeForwarded(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	if req.GetOperation() == wire.Operation_OPERATION_OPEN_SESSION {
		if r.cfg.Draining() {
			return home.Reject(http.StatusServiceUnavailable, "session", "the instance is draining")
		}
		return r.cfg.Home.Open(ctx, req.GetCaller())
	}
	tok, err := r.cfg.Signer.Verify(req.GetSession())
	if err != nil {
		return home.Reject(http.StatusUnauthorized, "session", err.Error())
	}
	if tok.Caller != req.GetCaller() {
		return home.Reject(http.StatusForbidden, "session", "the session belongs to another caller")
	}
	if address, ok := r.moved(tok.Incarnation); ok && address != r.self.Address && tok.Incarnation != r.self.Incarnation {
		return &wire.ForwardReply{MovedTo: address}
	}
	reply, moved := r.cfg.Home.Serve(ctx, tok, req)
	if !moved {
		return reply
	}
	address, ok := r.cfg.Successors.Successor(ctx)
	if !ok {
		return unreachable("the session has no home any more")
	}
	return &wire.ForwardReply{MovedTo: address}
}

// locate returns the address of a session's home, "" for this instance.
func (r *Router) locate(tok token.Token) string {
	if tok.Incarnation == r.self.Incarnation {
		return ""
	}
	address, ok := r.moved(tok.Incarnation)
	if !ok {
		address = tok.Address.String()
	}
	if address == r.self.Address {
		return ""
	}
	return address
}

func (r *Router) moved(incarnation uint64) (address string, ok bool) {
	r.cfg.Peers.WithRoster(func(roster *membership.Roster) {
		address, ok = roster.FindSessionHolder(time.Now(), incarnation)
	})
	return address, ok
}

// follow forwards a request and follows one successor. After that, or where
// no reply comes, the answer is unknown: an earlier copy, or this one, may
// have arrived at the home.
func (r *Router) follow(ctx context.Context, address string, req *wire.ForwardRequest) *wire.ForwardReply {
	for range 2 {
		reply, err := r.forward(ctx, address, req)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.cfg.Metrics.CountForward("unreachable")
			r.cfg.Log.Info("A home is unreachable.", zap.String("address", address), zap.Error(err))
			return unreachable("the home of the session gave no reply")
		}
		r.cfg.Metrics.CountForward("ok")
		if reply.GetMovedTo() == "" {
			return reply
		}
		address = reply.GetMovedTo()
	}
	return unreachable("the session moved more than once")
}

func unreachable(message string) *wire.ForwardReply {
	return &wire.ForwardReply{Answer: convert.UnknownAnswer(answer.CodeHomeUnreachable, message)}
}

func (r *Router) forward(ctx context.Context, address string, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	limit := time.Duration(max(req.GetWaitMs(), req.GetSubmission().GetTimeoutMs()))*time.Millisecond + forwardGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, span := r.cfg.Tracer.Start(ctx, "forward")
	defer span.End()
	req.Traceparent = tracing.Inject(ctx)
	req.RequestId = rand.Uint64()
	reply, err := r.cfg.Peers.Client(address).Forward(ctx, req)
	if err == nil && reply.GetRequestId() != req.GetRequestId() {
		return nil, errCrossed
	}
	return reply, err
}

// open opens a session here or, while this instance drains, at a peer.
func (r *Router) open(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	if !r.cfg.Draining() {
		return r.cfg.Home.Open(ctx, req.GetCaller())
	}
	for _, address := range r.live(openTries) {
		reply, err := r.forward(ctx, address, req)
		if err == nil && reply.GetSession() != "" {
			return reply
		}
	}
	return home.Reject(http.StatusServiceUnavailable, "session", "the instance is draining and no peer opens sessions")
}

// lost says whether the home of a request was not found.
func lost(reply *wire.ForwardReply) bool {
	code := answer.Code(reply.GetAnswer().GetCode())
	return reply.GetAnswer().GetState() == wire.State_STATE_UNKNOWN &&
		(code == answer.CodeHomeUnreachable || code == answer.CodeHomeReplaced)
}

// seek asks peers for the successor of a home that is gone. The exchange
// messages carry only the newest moves, so that an instance may not know an
// older one. A peer that is not the home starts nothing.
func (r *Router) seek(ctx context.Context, tok token.Token, req *wire.ForwardRequest, last *wire.ForwardReply) *wire.ForwardReply {
	if _, known := r.moved(tok.Incarnation); known || tok.Incarnation == r.self.Incarnation {
		return last
	}
	for _, address := range r.live(seekTries) {
		reply, err := r.forward(ctx, address, req)
		if err != nil {
			continue
		}
		r.cfg.Metrics.CountForward("sought")
		if to := reply.GetMovedTo(); to != "" {
			reply = r.follow(ctx, to, req)
		}
		if !lost(reply) {
			return reply
		}
	}
	return last
}

// live returns up to n live peers of the region, those of the own
// availability zone first.
func (r *Router) live(n int) []string {
	var own, other []string
	r.cfg.Peers.WithRoster(func(roster *membership.Roster) {
		for _, p := range roster.Peers() {
			switch {
			case p.State != membership.Live || p.Region != r.self.Region:
			case p.AvailabilityZone == r.self.AvailabilityZone:
				own = append(own, p.Address)
			default:
				other = append(other, p.Address)
			}
		}
	})
	all := append(own, other...)
	return all[:min(len(all), n)]
}
