package relay

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/ledger"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/disconnect"
	"marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	// idleTime bounds the idle connections of other instances.
	idleTime = 2 * time.Minute
	// maxMessageBytes bounds the body of a request.
	maxMessageBytes = 4 << 20
	// maxTransit is the time that a job may be under way. After a longer time, its
	// sender may have given it up before the owner notices that the sender is
	// unresponsive. Messages between instances take milliseconds.
	maxTransit = 250 * time.Millisecond
	// expiryCheckEvery is the interval of checks for unresponsive senders.
	expiryCheckEvery = 100 * time.Millisecond
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Log    *zap.Logger
	Tracer *tracing.Tracer
	// Submit runs a job on the targets of this instance.
	Submit func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error)
	// Recall refuses a job with an ID, unless one of its tasks may have run.
	Recall func(job string)
	// Cancel cancels jobs at the request of another instance. If write is set, it
	// reports whether the cancellations are in the store.
	Cancel func(jobs []string, write bool) (written bool)
	// Awaited passes on which jobs a sender awaits.
	Awaited func(scheduler.Awaited)
	// Evacuation returns the set of evacuated zones in force. OnEvacuation is called
	// with the set of each heartbeat.
	Evacuation   func() evacuation.Set
	OnEvacuation func(evacuation.Set)
	// Clock returns the time. It must include suspensions of the machine.
	Clock func() time.Time
	// Load returns the load report of this instance's targets.
	Load func() *wire.PoolLoad
	// Configuration returns the active version and the encoded configuration.
	Configuration func() (int64, []byte)
	// OnNewerConfiguration is currently not called.
	OnNewerConfiguration func(version int64)
	// Incarnation identifies this run of the instance.
	Incarnation uint64
	// Guard bounds the connections and messages.
	Guard *intake.Guard
}

// Server implements wire.Pool: it runs jobs of other instances on the targets of
// this one.
type Server struct {
	cfg    ServerConfig
	server *http.Server
	done   chan struct{}

	mu      sync.Mutex // guards the fields below
	senders map[string]*sender
	// byLastMessage holds the senders in the order of their last messages.
	byLastMessage *list.List
	// ids is the number of job IDs in the last heartbeats of all senders.
	ids int
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, done: make(chan struct{}), senders: map[string]*sender{}, byLastMessage: list.New()}
	s.server = &http.Server{
		Handler:           readMessages(wire.NewPoolServer(s)),
		ReadHeaderTimeout: intake.HeaderTime,
		IdleTimeout:       idleTime,
	}
	cfg.Guard.Protect(s.server)
	return s
}

// Serve accepts requests of other instances until Close.
func (s *Server) Serve(l net.Listener) error {
	go s.expiryLoop()
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops accepting requests and waits for the jobs of other instances, at
// most until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	close(s.done)
	return s.server.Shutdown(ctx)
}

// Run implements wire.Pool.
func (s *Server) Run(ctx context.Context, in *wire.RunRequest) (*wire.RunReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if disconnect.PeerClosed(ctx) {
		// The sender no longer awaits the job, and its caller may have sent the
		// job again.
		s.cfg.Log.Info("The sender of a job has disconnected.", zap.String("job", in.Job), zap.String("sender", in.Sender))
		return nil, twirp.NewError(twirp.Canceled, "the job was withdrawn")
	}
	sent, ok := s.sentTime(in.Sent)
	if underWay := s.cfg.Clock().Sub(sent); !ok || underWay > maxTransit {
		s.cfg.Log.Info("A job was under way for too long and is refused.", zap.String("job", in.Job), zap.String("sender", in.Sender),
			zap.Duration("under_way", underWay), zap.Bool("same_incarnation", ok))
		return s.refuseUnstarted(), nil
	}
	j := jobFromWire(sent, in)
	var refused *intake.RefusedError
	if errors.As(intake.Hold(ctx, j.Memory()), &refused) {
		return nil, exhausted(refused)
	}
	p := s.addJob(in, sent, cancel)
	if p == nil {
		return s.refuseUnstarted(), nil
	}
	ctx, span := s.cfg.Tracer.Start(tracing.Extract(ctx, in.Traceparent), "run at owner")
	defer span.End()
	j.TraceID = tracing.TraceID(ctx)
	o, err := s.cfg.Submit(ctx, j)
	out, err := s.encodeReply(ctx, o, err)
	s.endJob(p, in.Id, out)
	return out, err
}

// sentTime returns when a message was sent, or an earlier time. It returns false if
// the message was meant for another incarnation of this instance, whose clock is
// unknown. A message without a time counts as sent now: it is a first heartbeat, or of
// an instance of an earlier version.
func (s *Server) sentTime(t *wire.OwnerTime) (sent time.Time, ok bool) {
	now := s.cfg.Clock()
	if t == nil || t.Incarnation != s.cfg.Incarnation {
		return now, t == nil
	}
	if sent = time.UnixMilli(t.Ms); sent.After(now) {
		sent = now
	}
	return sent, true
}

// ownTime returns the clock of this instance.
func (s *Server) ownTime() *wire.OwnerTime {
	return &wire.OwnerTime{Incarnation: s.cfg.Incarnation, Ms: s.cfg.Clock().UnixMilli()}
}

// refuseUnstarted returns the reply to a job that its sender no longer awaits. The
// reply carries the clock, in case the sender was wrong about it.
func (s *Server) refuseUnstarted() *wire.RunReply {
	out := outcomeToWire(scheduler.Refused{Reason: scheduler.ReasonWithdrawn, RetryAfter: time.Second})
	out.Time = s.ownTime()
	return out
}

// encodeReply returns the reply to a job and the error for the connection on which
// the job arrived. The reply is recorded as well, so that the reply to a heartbeat
// can carry it if that connection fails.
func (s *Server) encodeReply(ctx context.Context, o scheduler.Outcome, err error) (*wire.RunReply, error) {
	switch {
	case err == nil:
	case ctx.Err() != nil:
		// The sender has withdrawn the job, or its connection was lost.
		return outcomeToWire(scheduler.Unknown{Reason: scheduler.ReasonWithdrawn}),
			twirp.NewError(twirp.Canceled, "the job was withdrawn")
	default:
		return outcomeToWire(scheduler.Refused{Reason: scheduler.ReasonOverloaded, RetryAfter: time.Second}),
			twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	out := outcomeToWire(o)
	out.Load, out.Time = s.cfg.Load(), s.ownTime()
	return out, nil
}

// addJob records a job of a sender. It returns nil if the sender no longer awaits
// the job. Because the clock includes suspensions, all senders count as
// unresponsive after a suspension of the machine, until their next message.
func (s *Server) addJob(in *wire.RunRequest, sent time.Time, cancel context.CancelFunc) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.recordMessage(in.Sender, in.Incarnation, sent)
	if p == nil || !p.ledger.Begin(in.Id) {
		s.cfg.Log.Info("A job arrived after its sender stopped waiting for it.", zap.String("job", in.Job), zap.String("sender", in.Sender))
		return nil
	}
	p.jobs[in.Id] = senderJob{id: in.Job, cancel: cancel}
	return p
}

// endJob records the reply to a job that has ended.
func (s *Server) endJob(p *sender, id uint64, out *wire.RunReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(p.jobs, id)
	out.Epoch = p.ledger.Epoch()
	p.ledger.End(s.cfg.Clock(), id, out)
}

// Beat implements wire.Pool.
func (s *Server) Beat(_ context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	if n := len(in.Jobs) + len(in.Overdue); n > maxAwaitedIDs {
		return nil, twirp.InvalidArgumentError("jobs", fmt.Sprintf("%d job IDs, at most %d are allowed", n, maxAwaitedIDs))
	}
	if in.Evacuation != nil {
		s.cfg.OnEvacuation(EvacuationFromWire(in.Evacuation))
	}
	version, _ := s.cfg.Configuration()
	out := &wire.BeatReply{
		Incarnation: s.cfg.Incarnation, Configuration: version, Load: s.cfg.Load(), Time: s.ownTime(),
		Evacuation: evacuationToWire(s.cfg.Evacuation()),
	}
	awaited, recalled := s.reconcile(in, out)
	if len(awaited.Jobs) > 0 {
		s.cfg.Awaited(awaited)
	}
	for _, job := range recalled {
		s.cfg.Recall(job)
	}
	return out, nil
}

// reconcile compares the jobs of a heartbeat with those of the sender here, and adds
// the differences to the reply. It returns the jobs that run here and that the sender
// awaits, and those that it recalls.
func (s *Server) reconcile(in *wire.BeatRequest, out *wire.BeatReply) (awaited scheduler.Awaited, recalled []string) {
	sent, timed := s.sentTime(in.Sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.recordMessage(in.Sender, in.Incarnation, sent)
	if p == nil || !s.setIDs(p, len(in.Jobs)+len(in.Overdue)) {
		return awaited, nil
	}
	r := p.ledger.Reconcile(s.cfg.Clock(), ledger.SenderState{
		Number: in.Number, LastID: in.Last, Awaited: in.Jobs, Overdue: in.Overdue,
	})
	for id, reply := range r.Replies {
		out.Ended = append(out.Ended, &wire.EndedJob{Id: id, Reply: reply})
	}
	for _, id := range r.Orphans {
		p.jobs[id].cancel()
	}
	if len(r.Orphans) > 0 {
		s.cfg.Log.Info("Jobs that their sender no longer awaits are stopped.", zap.String("sender", in.Sender), zap.Int("jobs", len(r.Orphans)))
	}
	out.Missing, out.Epoch = r.Missing, p.ledger.Epoch()
	awaited = scheduler.Awaited{Sender: senderID(in.Sender, in.Incarnation), At: sent}
	for _, id := range in.Jobs {
		if job, ok := p.jobs[id]; ok && timed {
			awaited.Jobs = append(awaited.Jobs, job.id)
		}
	}
	if in.Recall {
		for _, job := range p.jobs {
			recalled = append(recalled, job.id)
		}
	}
	return awaited, recalled
}

// Cancel implements wire.Pool.
func (s *Server) Cancel(_ context.Context, in *wire.CancelRequest) (*wire.CancelReply, error) {
	return &wire.CancelReply{Written: s.cfg.Cancel(in.Jobs, in.Write)}, nil
}

// FetchConfiguration implements wire.Pool.
func (s *Server) FetchConfiguration(context.Context, *wire.FetchConfigurationRequest) (*wire.FetchConfigurationReply, error) {
	version, value := s.cfg.Configuration()
	return &wire.FetchConfigurationReply{Version: version, Value: value, Evacuation: evacuationToWire(s.cfg.Evacuation())}, nil
}

// expiryLoop checks for unresponsive senders until Close.
func (s *Server) expiryLoop() {
	tick := time.NewTicker(expiryCheckEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.expireSenders()
		case <-s.done:
			return
		}
	}
}
