package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"marigoldfront.dev/core/ledger"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/hangup"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	// headerTime and idleTime bound the connections of other instances.
	headerTime = 5 * time.Second
	idleTime   = 2 * time.Minute
	// maxMessageBytes bounds a message.
	maxMessageBytes = 4 << 20
	// checkEvery is how often silent senders are looked for.
	checkEvery = 100 * time.Millisecond
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Log    *zap.Logger
	Tracer *tracing.Tracer
	// Submit runs a job on the targets of this instance.
	Submit func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error)
	// Clock counts suspensions of the machine.
	Clock func() time.Time
	Load  func() *wire.PoolLoad
	// Configuration returns the version in force and the configuration.
	Configuration func() (int64, []byte)
	// OnNewerConfiguration is called when another instance has a newer configuration.
	OnNewerConfiguration func(version int64)
	Incarnation          uint64
}

// Server implements wire.Pool.
type Server struct {
	cfg    ServerConfig
	server *http.Server
	done   chan struct{}

	mu      sync.Mutex
	senders map[string]*sender
}

// sender is an instance for which jobs run here.
type sender struct {
	incarnation uint64
	heard       time.Time
	// jobs holds what stops each running job, and ledger what became of them.
	jobs   map[uint64]context.CancelFunc
	ledger *ledger.Ledger[*wire.RunReply]
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, done: make(chan struct{}), senders: map[string]*sender{}}
	s.server = &http.Server{
		Handler:           http.MaxBytesHandler(wire.NewPoolServer(s), maxMessageBytes),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		ConnContext:       hangup.Context,
	}
	return s
}

// Serve serves other instances until Close.
func (s *Server) Serve(l net.Listener) error {
	go s.checkAlways()
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close waits for the jobs of other instances, up to the end of ctx.
func (s *Server) Close(ctx context.Context) error {
	close(s.done)
	return s.server.Shutdown(ctx)
}

// Run implements wire.Pool.
func (s *Server) Run(ctx context.Context, in *wire.RunRequest) (*wire.RunReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if hangup.Closed(ctx) {
		// The sender has given the job up, and its caller may have sent it again.
		s.cfg.Log.Info("The sender of a job is gone.", zap.String("job", in.Job), zap.String("sender", in.Sender))
		return nil, twirp.NewError(twirp.Canceled, "the job was withdrawn")
	}
	p := s.begin(in, cancel)
	if p == nil {
		return replyToWire(scheduler.Refused{Reason: scheduler.ReasonWithdrawn, RetryAfter: time.Second}), nil
	}
	ctx, span := s.cfg.Tracer.Start(tracing.Extract(ctx, in.Traceparent), "run at owner")
	defer span.End()
	j := jobFromWire(s.cfg.Clock(), in)
	j.TraceID = tracing.ID(ctx)
	o, err := s.cfg.Submit(ctx, j)
	out, err := s.replyTo(ctx, o, err)
	s.end(p, in.Id, out)
	return out, err
}

// replyTo turns what became of a job into the reply and the error for its own
// connection.
func (s *Server) replyTo(ctx context.Context, o scheduler.Outcome, err error) (*wire.RunReply, error) {
	switch {
	case err == nil:
	case ctx.Err() != nil:
		// The sender has withdrawn the job, or its connection was lost.
		return replyToWire(scheduler.Unknown{Reason: scheduler.ReasonWithdrawn}),
			twirp.NewError(twirp.Canceled, "the job was withdrawn")
	default:
		return replyToWire(scheduler.Refused{Reason: scheduler.ReasonOverloaded, RetryAfter: time.Second}),
			twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	out := replyToWire(o)
	out.Load = s.cfg.Load()
	return out, nil
}

// begin records a job of a sender. It returns nil if the sender does not await
// it any more. The clock counts suspensions, so that a machine that slept takes
// its senders for silent until they are heard again.
func (s *Server) begin(in *wire.RunRequest, cancel context.CancelFunc) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.heard(in.Sender, in.Incarnation)
	if !p.ledger.Begin(in.Id) {
		s.cfg.Log.Info("A job came too late.", zap.String("job", in.Job), zap.String("sender", in.Sender))
		return nil
	}
	p.jobs[in.Id] = cancel
	return p
}

func (s *Server) heard(name string, incarnation uint64) *sender {
	p := s.senders[name]
	if p == nil || p.incarnation != incarnation {
		if p != nil {
			p.stopAll()
		}
		p = &sender{
			incarnation: incarnation, jobs: map[uint64]context.CancelFunc{},
			ledger: ledger.New[*wire.RunReply](rand.Uint64()),
		}
		s.senders[name] = p
	}
	p.heard = s.cfg.Clock()
	return p
}

func (p *sender) stopAll() {
	for _, cancel := range p.jobs {
		cancel()
	}
}

func (s *Server) end(p *sender, id uint64, out *wire.RunReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(p.jobs, id)
	out.Epoch = p.ledger.Epoch()
	p.ledger.End(s.cfg.Clock(), id, out)
}

// Beat implements wire.Pool.
func (s *Server) Beat(_ context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	version, _ := s.cfg.Configuration()
	out := &wire.BeatReply{Incarnation: s.cfg.Incarnation, Configuration: version, Load: s.cfg.Load()}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.heard(in.Sender, in.Incarnation)
	r := p.ledger.Reconcile(s.cfg.Clock(), ledger.SenderState{
		Number: in.Number, LastID: in.Last, Awaited: in.Jobs, Overdue: in.Overdue,
	})
	for id, reply := range r.Replies {
		out.Ended = append(out.Ended, &wire.EndedJob{Id: id, Reply: reply})
	}
	for _, id := range r.Orphans {
		p.jobs[id]()
	}
	if len(r.Orphans) > 0 {
		s.cfg.Log.Info("Jobs that nobody awaits are stopped.", zap.String("sender", in.Sender), zap.Int("jobs", len(r.Orphans)))
	}
	out.Missing, out.Epoch = r.Missing, p.ledger.Epoch()
	return out, nil
}

// FetchConfiguration implements wire.Pool.
func (s *Server) FetchConfiguration(context.Context, *wire.FetchConfigurationRequest) (*wire.FetchConfigurationReply, error) {
	version, value := s.cfg.Configuration()
	return &wire.FetchConfigurationReply{Version: version, Value: value}, nil
}

func (s *Server) checkAlways() {
	tick := time.NewTicker(checkEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.check()
		case <-s.done:
			return
		}
	}
}

// check stops the jobs of silent senders.
func (s *Server) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	for name, p := range s.senders {
		p.ledger.Expire(now)
		if len(p.jobs) == 0 || now.Sub(p.heard) < senderTimeout {
			continue
		}
		s.cfg.Log.Warn("A sender is silent; its jobs are stopped.", zap.String("sender", name),
			zap.Int("jobs", len(p.jobs)), zap.Duration("silent", now.Sub(p.heard)))
		p.stopAll()
		delete(s.senders, name)
	}
}
