package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
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
	Log *zap.Logger
	// Submit runs a job on the targets of this instance.
	Submit func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error)
	// Clock counts suspensions of the machine.
	Clock func() time.Time
	Load  func() *wire.PoolLoad
	// Configuration returns the version in force and the configuration.
	Configuration func() (int64, []byte)
	// Behind is called when another instance has a newer configuration.
	Behind      func(version int64)
	Incarnation uint64
}

// Server implements wire.Pool.
type Server struct {
	cfg    ServerConfig
	server *http.Server
	done   chan struct{}

	mu      sync.Mutex
	senders map[string]*sender
	last    uint64
}

// sender is an instance for which jobs run here.
type sender struct {
	incarnation uint64
	heard       time.Time
	jobs        map[uint64]context.CancelFunc
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, done: make(chan struct{}), senders: map[string]*sender{}}
	s.server = &http.Server{
		Handler:           http.MaxBytesHandler(wire.NewPoolServer(s), maxMessageBytes),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
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
	id := s.begin(in.Sender, in.Incarnation, cancel)
	defer s.end(in.Sender, id)
	o, err := s.cfg.Submit(ctx, jobFromWire(s.cfg.Clock(), in))
	if err != nil {
		if ctx.Err() != nil {
			return nil, twirp.NewError(twirp.Canceled, "the job was withdrawn")
		}
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	out := replyToWire(o)
	out.Load = s.cfg.Load()
	return out, nil
}

// begin records a job of a sender. The clock counts suspensions, so that a
// machine that slept takes its senders for silent until they are heard again.
func (s *Server) begin(name string, incarnation uint64, cancel context.CancelFunc) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.heard(name, incarnation)
	s.last++
	p.jobs[s.last] = cancel
	return s.last
}

func (s *Server) heard(name string, incarnation uint64) *sender {
	p := s.senders[name]
	if p == nil || p.incarnation != incarnation {
		if p != nil {
			p.stopAll()
		}
		p = &sender{incarnation: incarnation, jobs: map[uint64]context.CancelFunc{}}
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

func (s *Server) end(name string, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.senders[name]; p != nil {
		delete(p.jobs, id)
	}
}

// Beat implements wire.Pool.
func (s *Server) Beat(_ context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	s.mu.Lock()
	s.heard(in.Sender, in.Incarnation)
	s.mu.Unlock()
	version, _ := s.cfg.Configuration()
	return &wire.BeatReply{Incarnation: s.cfg.Incarnation, Configuration: version, Load: s.cfg.Load()}, nil
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
		if len(p.jobs) == 0 || now.Sub(p.heard) < senderTimeout {
			continue
		}
		s.cfg.Log.Warn("A sender is silent; its jobs are stopped.", zap.String("sender", name),
			zap.Int("jobs", len(p.jobs)), zap.Duration("silent", now.Sub(p.heard)))
		p.stopAll()
		delete(s.senders, name)
	}
}
