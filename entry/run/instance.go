package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/core/token"
	"marigoldfront.dev/entry/configuration"
	"marigoldfront.dev/entry/engine"
	"marigoldfront.dev/entry/gateway"
	"marigoldfront.dev/entry/handover"
	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/entry/lister"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peering"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/entry/routing"
	"marigoldfront.dev/entry/sender"
	"marigoldfront.dev/infra/clock"
	"marigoldfront.dev/infra/instancelist"
	"marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/logging"
	"marigoldfront.dev/infra/stall"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
	"marigoldfront.dev/infra/tracing"
)

// Instance is an entry instance: it accepts the jobs of callers, dispatches
// their tasks to targets and exchanges state with its peers.
type Instance struct {
	settings   Settings
	log        *zap.Logger
	metrics    *metrics.Metrics
	tracer     *tracing.Tracer
	self       membership.Identity
	httpClient *http.Client

	listener     net.Listener
	peerListener net.Listener

	dispatcher    *dispatch.Dispatcher
	engine        *engine.Engine
	sender        *sender.Sender
	peers         *peers.Registry
	handover      *handover.Sender
	home          *home.Handler
	router        *routing.Router
	configuration *configuration.Manager
	lister        *lister.Lister
	exchanger     *peering.Exchanger
	peerServer    *peering.Server
	gateway       *gateway.Gateway
	stalls        *stall.Detector
	// guard keeps the connections of both servers within the limits of the process.
	guard *intake.Guard

	draining atomic.Bool
	drained  chan struct{}
	wg       sync.WaitGroup
}

// New opens the listeners of an instance and creates its components. Serve
// starts them.
func New(s Settings) (*Instance, error) {
	log, err := logging.New(os.Stderr, s.LogLevel)
	if err != nil {
		return nil, err
	}
	in := &Instance{settings: s, log: log, drained: make(chan struct{}), httpClient: &http.Client{}}
	if in.tracer, err = tracing.New(s.Trace, s.Name); err != nil {
		return nil, err
	}
	in.metrics = metrics.New()
	in.guard = in.newGuard()
	if in.listener, err = in.guard.Listen(s.Listen, callerShare); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if in.peerListener, err = in.guard.Listen(s.PeerListen, 1); err != nil {
		in.listener.Close()
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	in.self = membership.Identity{
		Name: s.Name, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		Address: in.peerListener.Addr().String(), Incarnation: newIncarnation(),
	}
	if s.PeerAddress != "" {
		in.self.Address = s.PeerAddress
	}
	if err := in.compose(); err != nil {
		return nil, err
	}
	return in, nil
}

// newIncarnation returns a random number that identifies this run of the
// instance. Zero is not used.
func newIncarnation() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			return n
		}
	}
}

// compose creates the components and connects them.
func (in *Instance) compose() error {
	s := in.settings
	signer, err := token.New(s.PeerSecret, s.PreviousPeerSecret)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(in.self.Address)
	if err != nil {
		return err
	}
	in.peers = peers.New(in.self, s.PeerSecret)
	in.handover = handover.New(handover.Config{Log: in.logger("handover"), Metrics: in.metrics, Peers: in.peers})
	in.composeCore()
	in.composeWatchers()
	in.stalls = stall.New(clock.Now)
	in.home = home.New(home.Config{
		Engine: in.engine, Signer: signer, Directory: in.directory, MaxAge: in.stalls.MaxAge,
		Address: address, Incarnation: in.self.Incarnation,
	})
	in.router = routing.New(routing.Config{
		Log: in.logger("routing"), Metrics: in.metrics, Tracer: in.tracer, Home: in.home,
		Signer: signer, Peers: in.peers, Successors: in.handover, Draining: in.draining.Load,
	})
	in.peerServer = peering.NewServer(peering.ServerConfig{
		Log: in.logger("peering"), Tracer: in.tracer, Router: in.router, Engine: in.engine,
		Peers: in.peers, Tickets: in.configuration, Exchanger: in.exchanger, Draining: in.draining.Load, Speeds: in.speeds,
		Secrets: []string{s.PeerSecret, s.PreviousPeerSecret}, Guard: in.guard,
	})
	in.gateway = gateway.New(gateway.Config{
		Log: in.logger("gateway"), Metrics: in.metrics, Tracer: in.tracer, Router: in.router,
		Directory: in.directory, Draining: in.draining.Load, Status: in.status, Guard: in.guard,
	})
	return nil
}

// composeCore creates the engine and the sender. The engine passes starts to
// the sender, which passes their outcomes back.
func (in *Instance) composeCore() {
	cfg := in.settings.dispatcherConfig(in.self.Incarnation)
	in.dispatcher = dispatch.New(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	in.sender = sender.New(sender.Config{
		Log: in.logger("sender"), Metrics: in.metrics, Tracer: in.tracer,
		OnAttemptEnd: func(ev dispatch.AttemptEnded) { in.engine.Post(ev) },
	})
	in.engine = engine.New(in.dispatcher, engine.ActionHandlers{
		Start: in.sender.Start, Stop: in.sender.Stop,
		HandOver: in.handover.AddRecords, Deliver: in.handover.AddAnswers,
		Drained: func() { close(in.drained) },
	})
}

// composeWatchers creates the components that watch the store, the instance
// list and the peers.
func (in *Instance) composeWatchers() {
	s := in.settings
	in.exchanger = peering.NewExchanger(peering.ExchangerConfig{
		Log: in.logger("peering"), Metrics: in.metrics, Peers: in.peers,
		InForce:  func() (uint64, uint64) { return in.configuration.InForce() },
		Draining: in.draining.Load,
		OnRosterUpdate: func() {
			in.configuration.TriggerFetch()
			in.lister.Refresh()
		},
	})
	in.configuration = configuration.New(configuration.Config{
		Log: in.logger("configurer"), Metrics: in.metrics, Peers: in.peers,
		Tickets: ticketlog.New(store.New(s.Store, in.httpClient)),
		OnChange: func(d *directory.Directory) {
			in.engine.Post(dispatch.DirectoryChanged{Directory: d})
			in.lister.Refresh()
		},
		Announce: in.exchanger.AnnounceTicket,
	})
	in.lister = lister.New(lister.Config{
		Log: in.logger("lister"), Metrics: in.metrics, Peers: in.peers,
		Client:    instancelist.New(s.InstanceList, s.Region, in.httpClient),
		Directory: in.directory, Post: in.engine.Post, SetLimits: in.sender.SetConnectionLimits,
		OnInstanceJoined: in.exchanger.TriggerRound,
	})
}

// logger returns the logger of a component.
func (in *Instance) logger(name string) *zap.Logger { return logging.ForComponent(in.log, name) }

// directory returns the configuration in force, or nil if there is none.
func (in *Instance) directory() *directory.Directory { return in.configuration.Directory() }

// Addresses returns the addresses of the listeners for callers and for peers.
func (in *Instance) Addresses() (listen, peerListen string) {
	return in.listener.Addr().String(), in.peerListener.Addr().String()
}

// Serve runs the instance until a value arrives on stop or a listener fails.
// The first value of stop starts the graceful shutdown, the second one ends it
// early. Serve reports whether all work was finished, and returns the error of a
// listener. It must be called once.
func (in *Instance) Serve(stop <-chan os.Signal) (finished bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 2)
	in.wg.Go(in.stalls.Run)
	in.wg.Go(in.engine.Run)
	in.wg.Go(func() { in.configuration.Run(ctx) })
	in.wg.Go(func() { in.lister.Run(ctx) })
	in.wg.Go(func() { in.exchanger.Run(ctx) })
	in.wg.Go(func() { in.sampleMetrics(ctx) })
	in.wg.Go(func() { in.fetchSpeeds(ctx) })
	in.wg.Go(func() { failed <- in.peerServer.Serve(in.peerListener) })
	in.wg.Go(func() { failed <- in.gateway.Serve(in.listener) })
	in.log.Info("The instance is serving requests.", zap.String("listen", in.listener.Addr().String()),
		zap.String("peer_address", in.self.Address), zap.String("incarnation", fmt.Sprintf("%016x", in.self.Incarnation)))
	select {
	case <-stop:
		finished = in.drain(ctx, stop)
	case err = <-failed:
	}
	in.shutDown(cancel)
	return finished, err
}

// shutDown closes the components. Those that produce requests or events are
// closed before those that process them.
func (in *Instance) shutDown(cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	_ = in.gateway.Close(ctx)
	_ = in.peerServer.Close(ctx)
	cancel()
	<-in.configuration.Done()
	<-in.lister.Done()
	<-in.exchanger.Done()
	in.sender.Close()
	in.engine.Close()
	in.stalls.Close()
	in.wg.Wait()
	in.peers.Close()
	in.httpClient.CloseIdleConnections()
	_ = in.metrics.Close()
	_ = in.tracer.Close(ctx)
	_ = in.log.Sync()
}
