// Package routing finds the home instance of a session (its home), which holds
// the session's records. It serves a request locally if this instance is the
// home, and forwards it to the home otherwise.
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
	// forwardGrace is added to the time limit of a forwarded request, so that
	// the reply of the home can still arrive after that limit.
	forwardGrace = 5 * time.Second
	// maxSearchPeers bounds the peers that are asked for the home if it is not
	// at the address in the token. No peer is asked if more than
	// searchTimeLimit has passed since the request arrived.
	maxSearchPeers  = 2
	searchTimeLimit = 2 * time.Second
	// maxOpenPeers bounds the peers that a draining instance asks to open a
	// session.
	maxOpenPeers = 3
)

// errReplyMismatch is returned if a reply carries the ID of another request.
// The home may still have received the request.
var errReplyMismatch = errors.New("the reply belongs to another request")

// SuccessorFinder finds the successor of this instance during a drain.
type SuccessorFinder interface {
	// Successor waits until the successor has accepted the sessions of this
	// instance and returns its address. It returns false if there is no
	// successor or ctx ends first.
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
	// Draining reports whether this instance is draining.
	Draining func() bool
}

// Router serves or forwards the requests of callers and peers. It is safe for
// concurrent use.
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

// Serve answers a request of a caller, here or through the home of its session.
// It returns nil if ctx ended first.
func (r *Router) Serve(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	if req.GetOperation() == wire.Operation_OPERATION_OPEN_SESSION {
		return r.openSession(ctx, req)
	}
	tok, err := r.cfg.Signer.Verify(req.GetSession())
	if err != nil {
		return home.Reject(http.StatusUnauthorized, "session", err.Error())
	}
	req.Caller = tok.Caller
	start := time.Now()
	deadline := start.Add(time.Duration(req.GetSubmission().GetTimeoutMs()) * time.Millisecond)
	reply := r.serveOrForward(ctx, tok, req, deadline)
	if homeNotFound(reply) && time.Since(start) < searchTimeLimit {
		setRemainingTimeout(req, deadline)
		return r.searchHome(ctx, tok, req, reply)
	}
	return reply
}

// setRemainingTimeout sets the timeout of a submission to the time left until
// deadline, at least 1 ms. Without it, a job that is forwarded late would
// exceed the timeout of its caller.
func setRemainingTimeout(req *wire.ForwardRequest, deadline time.Time) {
	if s := req.GetSubmission(); s != nil {
		s.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
}

// serveOrForward serves the request locally if this instance is the home of
// the session. Otherwise, or after a handover, it forwards the request.
func (r *Router) serveOrForward(ctx context.Context, tok token.Token, req *wire.ForwardRequest, deadline time.Time) *wire.ForwardReply {
	address := r.homeAddress(tok)
	if address == "" {
		reply, handedOver := r.cfg.Home.Serve(ctx, tok, req)
		if !handedOver {
			return reply
		}
		var ok bool
		if address, ok = r.cfg.Successors.Successor(ctx); !ok {
			return homeUnreachable("the session has no home any more")
		}
		setRemainingTimeout(req, deadline)
	}
	return r.forwardToHome(ctx, address, req)
}

// CheckSession returns a rejection if the session token is invalid, and nil
// otherwise.
func (r *Router) CheckSession(session string) *wire.ForwardReply {
	if _, err := r.cfg.Signer.Verify(session); err != nil {
		return home.Reject(http.StatusUnauthorized, "session", err.Error())
	}
	return nil
}

// ServeForwarded answers a request that a peer has forwarded. It never forwards
// the request again; the reply may name the successor of the home instead. It
// returns nil if ctx ended first.
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
	if address, ok := r.sessionHolder(tok.Incarnation); ok && address != r.self.Address && tok.Incarnation != r.self.Incarnation {
		return &wire.ForwardReply{MovedTo: address}
	}
	reply, handedOver := r.cfg.Home.Serve(ctx, tok, req)
	if !handedOver {
		return reply
	}
	address, ok := r.cfg.Successors.Successor(ctx)
	if !ok {
		return homeUnreachable("the session has no home any more")
	}
	return &wire.ForwardReply{MovedTo: address}
}

// homeAddress returns the address of the home of a session, "" for this
// instance.
func (r *Router) homeAddress(tok token.Token) string {
	if tok.Incarnation == r.self.Incarnation {
		return ""
	}
	address, ok := r.sessionHolder(tok.Incarnation)
	if !ok {
		address = tok.Address.String()
	}
	if address == r.self.Address {
		return ""
	}
	return address
}

// sessionHolder returns the address of the instance that holds the sessions of
// an incarnation after a handover, and false if no handover is known.
func (r *Router) sessionHolder(incarnation uint64) (address string, ok bool) {
	r.cfg.Peers.WithRoster(func(roster *membership.Roster) {
		address, ok = roster.FindSessionHolder(time.Now(), incarnation)
	})
	return address, ok
}

// forwardToHome forwards a request to address and, if the reply names a
// successor, once more to the successor. If there is a second successor or no
// reply, the answer is "unknown": the home may have received this request or
// an earlier copy of it.
func (r *Router) forwardToHome(ctx context.Context, address string, req *wire.ForwardRequest) *wire.ForwardReply {
	for range 2 {
		reply, err := r.forward(ctx, address, req)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.cfg.Metrics.CountForward("unreachable")
			r.cfg.Log.Info("A home is unreachable.", zap.String("address", address), zap.Error(err))
			return homeUnreachable("the home of the session gave no reply")
		}
		r.cfg.Metrics.CountForward("ok")
		if reply.GetMovedTo() == "" {
			return reply
		}
		address = reply.GetMovedTo()
	}
	return homeUnreachable("the session moved more than once")
}

// homeUnreachable returns the answer "unknown" with the code home_unreachable.
func homeUnreachable(message string) *wire.ForwardReply {
	return &wire.ForwardReply{Answer: convert.UnknownAnswer(answer.CodeHomeUnreachable, message)}
}

// forward sends a request to the instance at address and returns its reply.
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
		return nil, errReplyMismatch
	}
	return reply, err
}

// openSession opens a session here or, while this instance drains, at a peer.
func (r *Router) openSession(ctx context.Context, req *wire.ForwardRequest) *wire.ForwardReply {
	if !r.cfg.Draining() {
		return r.cfg.Home.Open(ctx, req.GetCaller())
	}
	for _, address := range r.livePeers(maxOpenPeers) {
		reply, err := r.forward(ctx, address, req)
		if err == nil && reply.GetSession() != "" {
			return reply
		}
	}
	return home.Reject(http.StatusServiceUnavailable, "session", "the instance is draining and no peer opens sessions")
}

// homeNotFound reports whether the answer is "unknown" because the home of the
// session is unreachable or was replaced.
func homeNotFound(reply *wire.ForwardReply) bool {
	code := answer.Code(reply.GetAnswer().GetCode())
	return reply.GetAnswer().GetState() == wire.State_STATE_UNKNOWN &&
		(code == answer.CodeHomeUnreachable || code == answer.CodeHomeReplaced)
}

// searchHome forwards the request to peers, which may have the successor of a
// terminated home in their rosters. Exchange messages carry only recent
// handovers, so an older one may be missing from the roster of this instance. A
// peer that is not the home starts no task. If the home is not found, searchHome
// returns original.
func (r *Router) searchHome(ctx context.Context, tok token.Token, req *wire.ForwardRequest, original *wire.ForwardReply) *wire.ForwardReply {
	if _, known := r.sessionHolder(tok.Incarnation); known || tok.Incarnation == r.self.Incarnation {
		return original
	}
	for _, address := range r.livePeers(maxSearchPeers) {
		reply, err := r.forward(ctx, address, req)
		if err != nil {
			continue
		}
		r.cfg.Metrics.CountForward("sought")
		if to := reply.GetMovedTo(); to != "" {
			reply = r.forwardToHome(ctx, to, req)
		}
		if !homeNotFound(reply) {
			return reply
		}
	}
	return original
}

// livePeers returns the addresses of up to n live peers of the region, those of
// the same availability zone first.
func (r *Router) livePeers(n int) []string {
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
