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
	"marigoldfront.dev/infra/instancelist"
	"marigoldfront.dev/infra/logging"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
	"marigoldfront.dev/infra/tracing"
)

// Instance is a composed entry instance.
type Instance struct {
	settings Settings
	log      *zap.Logger
	metrics  *metrics.Metrics
	tracer   *tracing.Tracer
	self     membership.Identity
	http     *http.Client

	listener     net.Listener
	peerListener net.Listener

	dispatcher *dispatch.Dispatcher
	engine     *engine.Engine
	sender     *sender.Sender
	peers      *peers.Registry
	mover      *handover.Sender
	home       *home.Handler
	router     *routing.Router
	configurer *configuration.Manager
	lister     *lister.Lister
	exchanger  *peering.Exchanger
	server     *peering.Server
	gateway    *gateway.Gateway

	draining atomic.Bool
	drained  chan struct{}
	wg       sync.WaitGroup
}

// New opens the listeners of an instance and composes its parts.
func New(s Settings) (*Instance, error) {
	log, err := logging.New(os.Stderr, s.LogLevel)
	if err != nil {
		return nil, err
	}
	in := &Instance{settings: s, log: log, drained: make(chan struct{}), http: &http.Client{}}
	if in.tracer, err = tracing.New(s.Trace, s.Name); err != nil {
		return nil, err
	}
	if in.listener, err = net.Listen("tcp", s.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if in.peerListener, err = net.Listen("tcp", s.PeerListen); err != nil {
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
	in.metrics = metrics.New()
	if err := in.compose(); err != nil {
		return nil, err
	}
	return in, nil
}

// newIncarnation draws the number that tells this run from all others.
func newIncarnation() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			return n
		}
	}
}

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
	in.mover = handover.New(handover.Config{Log: in.part("handover"), Metrics: in.metrics, Peers: in.peers})
	in.composeCore()
	in.composeWatchers()
	in.home = home.New(home.Config{
		Engine: in.engine, Signer: signer, Directory: in.directory,
		Address: address, Incarnation: in.self.Incarnation,
	})
	in.router = routing.New(routing.Config{
		Log: in.part("routing"), Metrics: in.metrics, Tracer: in.tracer, Home: in.home,
		Signer: signer, Peers: in.peers, Successors: in.mover, Draining: in.draining.Load,
	})
	in.server = peering.NewServer(peering.ServerConfig{
		Log: in.part("peering"), Tracer: in.tracer, Router: in.router, Engine: in.engine,
		Peers: in.peers, Tickets: in.configurer, Exchanger: in.exchanger, Draining: in.draining.Load, Speeds: in.speeds,
		Secrets: []string{s.PeerSecret, s.PreviousPeerSecret},
	})
	in.gateway = gateway.New(gateway.Config{
		Log: in.part("gateway"), Metrics: in.metrics, Tracer: in.tracer, Router: in.router,
		Directory: in.directory, Draining: in.draining.Load, Status: in.status,
	})
	return nil
}

// composeCore builds the engine and the sender, which feed each other.
func (in *Instance) composeCore() {
	cfg := in.settings.dispatchConfig(in.self.Incarnation)
	in.dispatcher = dispatch.New(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	in.sender = sender.New(sender.Config{
		Log: in.part("sender"), Metrics: in.metrics, Tracer: in.tracer,
		OnAttemptEnd: func(ev dispatch.AttemptEnded) { in.engine.Post(ev) },
	})
	in.engine = engine.New(in.dispatcher, engine.ActionHandlers{
		Start: in.sender.Start, Stop: in.sender.Stop,
		HandOver: in.mover.AddRecords, Deliver: in.mover.AddAnswers,
		Drained: func() { close(in.drained) },
	})
}

// composeWatchers builds the parts that follow the platform and the peers.
func (in *Instance) composeWatchers() {
	s := in.settings
	in.exchanger = peering.NewExchanger(peering.ExchangerConfig{
		Log: in.part("peering"), Metrics: in.metrics, Peers: in.peers,
		InForce:  func() (uint64, uint64) { return in.configurer.InForce() },
		Draining: in.draining.Load,
		OnRosterUpdate: func() {
			in.configurer.TriggerFetch()
			in.lister.Refresh()
		},
	})
	in.configurer = configuration.New(configuration.Config{
		Log: in.part("configurer"), Metrics: in.metrics, Peers: in.peers,
		Tickets: ticketlog.New(store.New(s.Store, in.http)),
		OnChange: func(d *directory.Directory) {
			in.engine.Post(dispatch.DirectoryChanged{Directory: d})
			in.lister.Refresh()
		},
		Announce: in.exchanger.AnnounceTicket,
	})
	in.lister = lister.New(lister.Config{
		Log: in.part("lister"), Metrics: in.metrics, Peers: in.peers,
		Client:    instancelist.New(s.InstanceList, s.Region, in.http),
		Directory: in.directory, Post: in.engine.Post, SetLimits: in.sender.SetConnectionLimits,
		OnInstanceJoined: in.exchanger.TriggerRound,
	})
}

func (in *Instance) part(name string) *zap.Logger { return logging.ForComponent(in.log, name) }

// directory returns the configuration in force, nil if there is none.
func (in *Instance) directory() *directory.Directory { return in.configurer.Directory() }

// Addresses returns the addresses of the two listeners.
func (in *Instance) Addresses() (listen, peerListen string) {
	return in.listener.Addr().String(), in.peerListener.Addr().String()
}

// Serve runs the instance. The first value of stop begins the graceful stop,
// the second one ends it early. Serve reports whether all work was finished.
func (in *Instance) Serve(stop <-chan os.Signal) (finished bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 2)
	in.wg.Go(in.engine.Run)
	in.wg.Go(func() { in.configurer.Run(ctx) })
	in.wg.Go(func() { in.lister.Run(ctx) })
	in.wg.Go(func() { in.exchanger.Run(ctx) })
	in.wg.Go(func() { in.sample(ctx) })
	in.wg.Go(func() { in.fetchSpeeds(ctx) })
	in.wg.Go(func() { failed <- in.server.Serve(in.peerListener) })
	in.wg.Go(func() { failed <- in.gateway.Serve(in.listener) })
	in.log.Info("The instance serves.", zap.String("listen", in.listener.Addr().String()),
		zap.String("peer_address", in.self.Address), zap.String("incarnation", fmt.Sprintf("%016x", in.self.Incarnation)))
	select {
	case <-stop:
		finished = in.drain(ctx, stop)
	case err = <-failed:
	}
	in.shutDown(cancel)
	return finished, err
}

// shutDown ends the parts in the order in which they feed each other.
func (in *Instance) shutDown(cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), closeLimit)
	defer done()
	_ = in.gateway.Close(ctx)
	_ = in.server.Close(ctx)
	cancel()
	<-in.configurer.Done()
	<-in.lister.Done()
	<-in.exchanger.Done()
	in.sender.Close()
	in.engine.Close()
	in.wg.Wait()
	in.peers.Close()
	in.http.CloseIdleConnections()
	_ = in.metrics.Close()
	_ = in.tracer.Close(ctx)
	_ = in.log.Sync()
}
