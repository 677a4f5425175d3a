// Package run builds an instance from its components and runs it.
package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/clock"
	"marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/logging"
	"marigoldfront.dev/infra/stall"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/pool/canceller"
	"marigoldfront.dev/pool/claims"
	"marigoldfront.dev/pool/configuration"
	"marigoldfront.dev/pool/frontend"
	"marigoldfront.dev/pool/loop"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/notices"
	"marigoldfront.dev/pool/port"
	"marigoldfront.dev/pool/reachability"
	"marigoldfront.dev/pool/relay"
	"marigoldfront.dev/pool/sender"
	"marigoldfront.dev/pool/settings"
	"marigoldfront.dev/pool/storemetrics"
	"marigoldfront.dev/pool/targetlist"
)

const (
	// maxClockDrift is the share by which the clock of a target may be slow,
	// according to the platform's specification.
	maxClockDrift = 0.02
	// idleTime is the time for which a connection may be idle, and transferTime that in
	// which a body must arrive of which no caller says how long it waits, and in which
	// each part of a response must be taken.
	idleTime     = time.Minute
	transferTime = time.Minute
	// reportEvery is the interval at which the gauges are set and the state of the
	// owned targets is logged.
	reportEvery = 2 * time.Second
	// maxJobLines bounds the log lines per second about the outcomes of jobs.
	maxJobLines = 100
	// maxLoadAge is how long a load report of the instance's targets is reused.
	maxLoadAge = 20 * time.Millisecond
	// fetchTimeout bounds the call that reads the configuration from another
	// instance.
	fetchTimeout = time.Second
)

// Platform holds the adapters to a platform.
type Platform struct {
	Store   port.Store
	Targets port.Targets
	Formats port.Formats
	// Handler returns the handler of the requests of callers.
	Handler func(f port.Frontend, clock func() time.Time, log *zap.Logger) http.Handler
	// Ready returns the handler of the load balancer's health checks.
	Ready func(ready func() bool) http.Handler
}

// Instance is an instance with all its components.
type Instance struct {
	cfg      settings.Settings
	platform Platform
	log      *zap.Logger
	metrics  *metrics.Metrics
	tracer   *tracing.Tracer
	self     ownership.Member

	stalls        *stall.Detector
	loop          *loop.Loop
	sender        *sender.Sender
	claims        *claims.Manager
	targets       *targetlist.Watcher
	notices       *notices.Broadcaster
	canceller     *canceller.Canceller
	configuration *configuration.Watcher
	relayClient   *relay.Client
	relayServer   *relay.Server
	frontend      *frontend.Frontend
	// jobLog logs the outcomes of jobs. It has a higher rate limit than log,
	// because each of its lines is about another job.
	jobLog *zap.Logger

	callerServer *http.Server
	readyServer  *http.Server
	// metricsServer serves the metrics and the status. It is not started without
	// an address.
	metricsServer *http.Server
	wg            sync.WaitGroup
	// guard keeps the connections of all servers within the limits of the process.
	guard *intake.Guard

	draining atomic.Bool
	load     atomic.Pointer[relay.Load]
}

// New builds an instance. It returns an error if the log or the traces cannot be
// opened.
func New(cfg settings.Settings, p Platform) (*Instance, error) {
	log, err := logging.New(os.Stdout, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	jobLog, err := logging.NewLimited(os.Stdout, cfg.LogLevel, maxJobLines)
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(cfg.Traces, cfg.Name)
	if err != nil {
		return nil, err
	}
	in := &Instance{
		cfg: cfg, platform: p, log: log, jobLog: jobLog, tracer: tracer, metrics: metrics.New(),
		self: ownership.Member{
			Name: cfg.Name, Zone: cfg.AvailabilityZone, Address: cfg.PeerAddress, Incarnation: rand.Uint64(),
			Capacity: ownership.Capacity(cfg.Weight, cfg.LinkMbps),
		},
	}
	in.build()
	return in, nil
}

// logger returns the logger of a component.
func (in *Instance) logger(name string) *zap.Logger { return logging.ForComponent(in.log, name) }

// build creates the components and connects them. The names of the loggers are
// part of the log format; some of them differ from the package names.
func (in *Instance) build() {
	cfg, p := in.cfg, in.platform
	store := storemetrics.New(p.Store, in.metrics)
	jobLogger := func(name string) *zap.Logger { return logging.ForComponent(in.jobLog, name) }
	sched := scheduler.New(scheduler.Config{
		Lease: cfg.Lease(), MaxClockDrift: maxClockDrift, RemoteRackFactor: cfg.RemoteRackFactor, ResubmissionDelay: cfg.ResubmissionDelay(),
		EvacuationStartTime: cfg.EvacuationStartTime(),
	})
	b := budget(&cfg)
	in.guard = intake.New(intake.Config{
		Limits: b.Limits, Backlog: b.Backlog, BodyTime: transferTime, WriteTime: transferTime, Log: in.logger("intake"),
		Refused: in.metrics.RefusedRequest, Closed: in.metrics.ClosedConnection,
	})
	in.stalls = stall.New(clock.Now)
	in.loop = loop.New(sched, clock.Now, loop.Handlers{
		Start:      func(a scheduler.Start) { in.sender.Start(a) },
		Stop:       func(a scheduler.Stop) { in.sender.Stop(a) },
		Poll:       func(a scheduler.Poll) { in.sender.Poll(a) },
		TargetLost: in.dropClaim,
		CrashFound: in.recordCrash, GivenUpRunOver: in.recordGivenUpRun,
		Answered: in.logReply,
	})
	in.sender = sender.New(in.logger("sender"), in.tracer, p.Targets, in.metrics, in.loop.Post)
	p.Targets.OnConnectionLost(func(address string) { in.loop.Post(scheduler.ConnectionLost{Address: address}) })
	in.claims = claims.New(in.logger("owner"), store, in.self, cfg.AvailabilityZones, cfg.Shards, clock.Now,
		func() { in.targets.Refresh() }, in.busy, reachability.New(in.logger("contact"), store, p.Formats, p.Targets).Reachable,
		func(address string, incarnation uint64) bool { return in.relayClient.Serving(address, incarnation) },
		func(it port.Item) { in.notices.Apply(it) }, func(address string) { in.canceller.TellStarted(address) })
	in.notices = notices.New(in.logger("notices"), store, cfg.Name, in.self.Incarnation, clock.Now, in.loop.Post,
		func(job string) { in.applyCancel(job) })
	in.canceller = canceller.New(canceller.Config{
		Log: in.logger("canceller"), Apply: in.applyCancel, Write: in.notices.CancelJob, Peers: in.claims.Peers, Departed: in.claims.Departed,
		Ask: func(ctx context.Context, address string, jobs []string, write bool) (bool, error) {
			return in.relayClient.Cancel(ctx, address, jobs, write)
		},
		Clock: clock.Now,
	})
	in.targets = targetlist.New(in.logger("listing"), store, p.Formats, in.claims, cfg.Shards, clock.Now, in.loop.Post)
	in.configuration = configuration.New(configuration.Config{
		Log: in.logger("configuration"), Store: store, Formats: p.Formats,
		OnConfiguration: func(c *catalog.Catalog) { in.claims.SetServices(c.Services) },
		OnEvacuation:    func(s evacuation.Set) { in.loop.Post(scheduler.ZonesEvacuated{Zones: s.Zones}) },
		AskInstance:     in.askInstance,
	})
	in.relayClient = relay.NewClient(relay.ClientConfig{
		Log: in.logger("relay"), Tracer: in.tracer, Name: cfg.Name, Incarnation: in.self.Incarnation, Clock: clock.Now, StallAge: in.stalls.MaxAge,
		Version: in.configuration.Version, OnNewerConfiguration: in.fetchConfiguration,
		Evacuation: in.configuration.Evacuation, OnEvacuation: in.applyEvacuation,
	})
	in.relayServer = relay.NewServer(relay.ServerConfig{
		Log: in.logger("relay"), Tracer: in.tracer, Submit: in.loop.Submit, Clock: clock.Now, Load: in.wireLoad,
		Recall:        func(job string) { in.loop.Post(scheduler.Recall{Job: job}) },
		Cancel:        in.canceller.CancelForPeer,
		Awaited:       func(ev scheduler.Awaited) { in.loop.Post(ev) },
		Configuration: in.configuration.Value, Incarnation: in.self.Incarnation, Guard: in.guard,
		Evacuation: in.configuration.Evacuation, OnEvacuation: in.applyEvacuation,
	})
	in.frontend = frontend.New(frontend.Config{
		Log: jobLogger("desk"), Metrics: in.metrics, Tracer: in.tracer, Zone: cfg.AvailabilityZone, Clock: clock.Now, Catalog: in.configuration.Catalog,
		ShardHolders: in.holders, OwnersChanging: in.claims.Settling, RelayClient: in.relayClient, SelfAddress: cfg.PeerAddress, Submit: in.loop.Submit, Load: in.ownLoad,
		WaitingJobs: in.waiting, Draining: in.draining.Load, MayHaveRun: in.mayHaveRun, Cancel: in.cancel,
	})
	in.callerServer = in.newServer(in.withTrace(p.Handler(in.frontend, clock.Now, in.logger("callers"))))
	in.metricsServer = in.newServer(in.operatorHandler())
	in.readyServer = in.newServer(p.Ready(in.isReady))
}

// newServer returns a server whose connections count toward the limits of the process.
func (in *Instance) newServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: intake.HeaderTime, IdleTimeout: idleTime}
	in.guard.Protect(s)
	return s
}

// withTrace continues the traces whose context callers send in a header.
func (in *Instance) withTrace(h http.Handler) http.Handler {
	if !in.tracer.Enabled() {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(tracing.Extract(r.Context(), r.Header.Get(tracing.Header))))
	})
}

// dropClaim drops the claim of a target that has accepted another owner. It does
// so in another goroutine, because the loop must not wait for the lock of the
// claims, which may be held during a call to the store.
func (in *Instance) dropClaim(a scheduler.TargetLost) {
	in.log.Warn("A target has accepted another owner.", zap.String("target", a.Target), zap.Int64("fence", a.Fence))
	shard := ownership.ShardOf(a.Service, a.Zone, a.Target, in.cfg.Shards)
	in.wg.Go(func() {
		in.claims.DropFencedClaim(shard, a.Fence)
		in.targets.Refresh()
	})
}

// Reload validates and logs changed settings, but does not apply them. Settings
// are addresses and limits of the process, which change only at the next start.
func (in *Instance) Reload(cfg settings.Settings, found finding.List) {
	if err := found.Err(); err != nil {
		in.log.Error("The changed settings are not valid.", zap.Error(err))
		return
	}
	in.log.Info("The settings were read again.", zap.Bool("changed", !reflect.DeepEqual(cfg, in.cfg)))
}

func (in *Instance) isReady() bool { return !in.draining.Load() && in.configuration.Catalog() != nil }

func (in *Instance) mayHaveRun(job string) bool {
	ran := false
	in.loop.Inspect(func(s *scheduler.Scheduler) { ran = s.MayHaveRun(job) })
	return ran
}

// cancel cancels a job at the request of a caller.
func (in *Instance) cancel(ctx context.Context, job string) port.CancelResult {
	begun := time.Now()
	r := in.canceller.Cancel(ctx, job)
	in.metrics.Cancel(r, time.Since(begun))
	return r
}

// applyCancel cancels a job at this instance, as the one that has received it and as an
// owner. It reports whether this instance has received the job and awaits it.
func (in *Instance) applyCancel(job string) (held bool) {
	in.loop.Post(scheduler.Cancel{Job: job})
	return in.frontend.CancelOwn(job)
}

func (in *Instance) waiting(queue string) int {
	n := 0
	in.loop.Inspect(func(s *scheduler.Scheduler) { n = s.WaitingJobs(queue) })
	return n
}

// Serve runs the instance until a signal arrives on stop or a listener fails. It
// returns the error of the listener.
func (in *Instance) Serve(stop <-chan os.Signal) error {
	type endpoint struct {
		address string
		serve   func(net.Listener) error
		share   float64
	}
	endpoints := []endpoint{
		{in.cfg.PeerListen, in.relayServer.Serve, 1}, {in.cfg.Listen, in.callerServer.Serve, callerShare}, {in.cfg.ReadyListen, in.readyServer.Serve, 1},
	}
	if in.cfg.MetricsListen != "" {
		endpoints = append(endpoints, endpoint{in.cfg.MetricsListen, in.metricsServer.Serve, scraperShare})
	}
	failed := make(chan error, len(endpoints))
	for _, e := range endpoints {
		l, err := in.guard.Listen(e.address, e.share)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		in.wg.Go(func() {
			if err := e.serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	in.wg.Go(in.stalls.Run)
	in.wg.Go(in.loop.Run)
	in.wg.Go(in.claims.Run)
	in.wg.Go(in.targets.Run)
	in.wg.Go(in.notices.Run)
	in.wg.Go(in.configuration.Run)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.wg.Go(func() { in.reportState(ctx) })
	in.log.Info("The instance serves.", zap.String("name", in.cfg.Name), zap.String("listen", in.cfg.Listen),
		zap.String("incarnation", fmt.Sprintf("%016x", in.self.Incarnation)))
	var err error
	select {
	case <-stop:
		in.drain()
	case err = <-failed:
		in.log.Error("A listener failed.", zap.Error(err))
	}
	cancel()
	in.close()
	return err
}

// reportState periodically sets the gauges and logs the state of the owned
// targets, until ctx ends.
func (in *Instance) reportState(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	var idle scheduler.IdleCPU
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		var st scheduler.Stats
		if !in.loop.Inspect(func(s *scheduler.Scheduler) { st = s.Stats() }) {
			return
		}
		in.metrics.SetGauges(st, len(in.claims.Owned()), in.configuration.Version(), len(in.configuration.Evacuation().Zones))
		in.metrics.SetRequests(in.guard.Stats())
		sinceLast := st.IdleCPU.Minus(idle)
		idle = st.IdleCPU
		in.metrics.Idle(sinceLast)
		if st.Targets > 0 || st.Jobs > 0 {
			in.log.Info("State of the owned targets.", zap.Int("targets", st.Targets), zap.Int("usable", st.Usable),
				zap.Int64("cpu", st.CPU), zap.Int64("free_cpu", st.FreeCPU), zap.Int("jobs", st.Jobs),
				zap.Int("queued", st.Queued), zap.Int("running", st.Running), zap.Duration("wait", st.ForecastWait),
				zap.Int64("evacuated_cpu", st.EvacuatedCPU), zap.Int("evacuated_running", st.EvacuatedRunning),
				zap.String("contained", st.Contained), zap.Bool("contained_full", st.ContainedFull),
				zap.Int64s("idle_core_ms", sinceLast[:]))
		}
	}
}

// busy reports whether a task runs on the targets of a shard that is forecast to end by
// a time of the wall clock, or any task if that is zero.
func (in *Instance) busy(shard ownership.Shard, endBy time.Time) bool {
	busy := false
	in.loop.Inspect(func(s *scheduler.Scheduler) {
		runs := s.RunCount
		if !endBy.IsZero() {
			limit := clock.Now().Add(time.Until(endBy))
			runs = func(target string) int { return s.RunsEndingBy(target, limit) }
		}
		busy = in.targets.Busy(shard, runs)
	})
	return busy
}

// close stops all components and waits for them.
func (in *Instance) close() {
	_ = in.callerServer.Close()
	_ = in.readyServer.Close()
	_ = in.metricsServer.Close()
	_ = in.metrics.Close()
	if err := in.tracer.Close(context.Background()); err != nil {
		in.log.Warn("The last trace spans were not written.", zap.Error(err))
	}
	in.configuration.Close()
	in.targets.Close()
	in.claims.Close()
	in.canceller.Close()
	in.relayClient.Close()
	in.notices.Close()
	in.sender.Close()
	in.loop.Close()
	in.stalls.Close()
	in.wg.Wait()
	in.log.Info("The instance has stopped.")
	_ = in.log.Sync()
}
