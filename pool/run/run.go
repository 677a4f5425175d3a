// Package run composes an instance and runs it.
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
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/clock"
	"marigoldfront.dev/infra/hangup"
	"marigoldfront.dev/infra/logging"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/pool/claims"
	"marigoldfront.dev/pool/configuration"
	"marigoldfront.dev/pool/frontend"
	"marigoldfront.dev/pool/loop"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/port"
	"marigoldfront.dev/pool/reachability"
	"marigoldfront.dev/pool/relay"
	"marigoldfront.dev/pool/sender"
	"marigoldfront.dev/pool/settings"
	"marigoldfront.dev/pool/storemetrics"
	"marigoldfront.dev/pool/targetlist"
	"marigoldfront.dev/wire"
)

const (
	// clockError is the share by which a target's clock may be slow, as the
	// platform states it.
	clockError = 0.02
	// headerTime and idleTime bound the connections of callers.
	headerTime = 3 * time.Second
	idleTime   = time.Minute
	// closeMargin is left of the grace period for the end of the process.
	closeMargin = 500 * time.Millisecond
	// awayTime is how long callers' new connections may still arrive after
	// the instance has said that it is not ready: two checks, a second apart.
	awayTime = 2200 * time.Millisecond
	// releaseTimeout bounds passing the own targets on.
	releaseTimeout = 2200 * time.Millisecond
	// reportEvery is the time between two lines about the own targets.
	reportEvery = 2 * time.Second
	// decisionLines bounds the lines a second about jobs without a result.
	decisionLines = 100
	// loadEvery is how long a report of the own load is used.
	loadEvery = 20 * time.Millisecond
	// fetchTimeout bounds reading the configuration from another instance.
	fetchTimeout = time.Second
)

// Platform is what the adapter of a platform provides.
type Platform struct {
	Store   port.Store
	Targets port.Targets
	Formats port.Formats
	// Handler takes the requests of callers.
	Handler func(d port.Frontend, clock func() time.Time, log *zap.Logger) http.Handler
	// Ready takes the load balancer's checks.
	Ready func(ready func() bool) http.Handler
}

// Instance is a composed instance.
type Instance struct {
	cfg      settings.Settings
	platform Platform
	log      *zap.Logger
	metrics  *metrics.Metrics
	tracer   *tracing.Tracer
	self     ownership.Member

	loop    *loop.Loop
	sender  *sender.Sender
	owner   *claims.Manager
	listing *targetlist.Watcher
	conf    *configuration.Watcher
	relay   *relay.Client
	server  *relay.Server
	desk    *frontend.Frontend
	// decisions logs what becomes of jobs. Its lines are left out later than
	// those of log, because each tells of another job.
	decisions *zap.Logger

	callers *http.Server
	ready   *http.Server
	// measures serves the metrics and the status, if it has an address.
	measures *http.Server
	wg       sync.WaitGroup

	draining atomic.Bool
	load     atomic.Pointer[relay.Load]
}

// New composes an instance.
func New(cfg settings.Settings, p Platform) (*Instance, error) {
	log, err := logging.New(os.Stdout, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	decisions, err := logging.NewLimited(os.Stdout, cfg.LogLevel, decisionLines)
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(cfg.Traces, cfg.Name)
	if err != nil {
		return nil, err
	}
	in := &Instance{
		cfg: cfg, platform: p, log: log, decisions: decisions, tracer: tracer, metrics: metrics.New(),
		self: ownership.Member{
			Name: cfg.Name, Zone: cfg.AvailabilityZone, Address: cfg.PeerAddress, Incarnation: rand.Uint64(),
			Capacity: ownership.Capacity(cfg.Weight, cfg.LinkMbps),
		},
	}
	in.compose()
	return in, nil
}

func (in *Instance) part(name string) *zap.Logger { return logging.Part(in.log, name) }

func (in *Instance) compose() {
	cfg, p := in.cfg, in.platform
	store := storemetrics.New(p.Store, in.metrics)
	decisions := func(name string) *zap.Logger { return logging.Part(in.decisions, name) }
	sched := scheduler.New(scheduler.Config{Lease: cfg.Lease(), MaxClockDrift: clockError, RemoteRackFactor: cfg.FarFactor})
	in.loop = loop.New(sched, clock.Now, loop.Handlers{
		Start:      func(a scheduler.Start) { in.sender.Start(a) },
		Stop:       func(a scheduler.Stop) { in.sender.Stop(a) },
		Poll:       func(a scheduler.Poll) { in.sender.Poll(a) },
		TargetLost: in.lost,
		Answered:   in.answered,
	})
	in.sender = sender.New(in.part("sender"), in.tracer, p.Targets, in.metrics, in.loop.Post)
	in.owner = claims.New(in.part("owner"), store, in.self, cfg.AvailabilityZones, cfg.Shards, clock.Now,
		func() { in.listing.Refresh() }, in.busy, reachability.New(in.part("contact"), store, p.Formats, p.Targets).Reachable)
	in.listing = targetlist.New(in.part("listing"), store, p.Formats, in.owner, cfg.Shards, clock.Now, in.loop.Post)
	in.conf = configuration.New(in.part("configuration"), store, p.Formats, func(c *catalog.Catalog) {
		in.owner.SetServices(c.Services)
	})
	in.relay = relay.NewClient(in.part("relay"), in.tracer, cfg.Name, in.self.Incarnation, in.conf.Version, in.fetch)
	in.server = relay.NewServer(relay.ServerConfig{
		Log: in.part("relay"), Tracer: in.tracer, Submit: in.loop.Submit, Clock: clock.Now, Load: in.wireLoad,
		Configuration: in.conf.Value, Incarnation: in.self.Incarnation,
	})
	in.desk = frontend.New(frontend.Config{
		Log: decisions("desk"), Metrics: in.metrics, Tracer: in.tracer, Zone: cfg.AvailabilityZone, Clock: clock.Now, Catalog: in.conf.Catalog,
		ShardHolders: in.owner.Holders, RelayClient: in.relay, SelfAddress: cfg.PeerAddress, Submit: in.loop.Submit, Load: in.ownLoad,
		WaitingJobs: in.waiting, Draining: in.draining.Load,
	})
	in.callers = &http.Server{
		Handler:           in.traced(p.Handler(in.desk, clock.Now, in.part("callers"))),
		ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ConnContext: hangup.Context,
	}
	in.measures = &http.Server{Handler: in.operators(), ReadHeaderTimeout: headerTime}
	in.ready = &http.Server{Handler: p.Ready(in.isReady), ReadHeaderTimeout: headerTime}
}

// traced joins the traces that callers send along.
func (in *Instance) traced(h http.Handler) http.Handler {
	if !in.tracer.On() {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(tracing.Extract(r.Context(), r.Header.Get(tracing.Header))))
	})
}

// answered writes what an answer rests on. Those that went well are lines of
// the level debug, because there are hundreds a second.
func (in *Instance) answered(a scheduler.Reply) {
	m := a.Summary
	level := zap.InfoLevel
	switch o := a.Outcome.(type) {
	case scheduler.Completed:
		level = zap.DebugLevel
	case scheduler.Refused:
		if o.Reason == scheduler.ReasonBusy {
			// Another owner is asked next.
			level = zap.DebugLevel
		}
	}
	if !in.decisions.Core().Enabled(level) {
		return
	}
	line := logging.Part(in.decisions, "scheduler").Check(level, fmt.Sprintf("A job ends as %v.", a.Outcome))
	if line == nil {
		return
	}
	line.Write(zap.String("job", a.Job), zap.String("queue", m.Queue), zap.Duration("age", m.Age),
		zap.Duration("waited", m.Waited), zap.Duration("backlog", m.Backlog), zap.Duration("forecast", m.Forecast),
		zap.Duration("objective", m.Objective), zap.Int("tasks", m.Tasks), zap.Int("starts", m.Starts),
		zap.Int("failed", m.Failed), zap.Int("hung", m.Hung), zap.Int("lost", m.Lost),
		zap.Int("declined", m.RefusedStarts), zap.Stringers("open", m.Unfinished))
}

// lost drops the claim of a target that has another owner. The claim's lock may
// be held for a call of the store, so that the loop does not wait for it.
func (in *Instance) lost(a scheduler.TargetLost) {
	in.log.Warn("A target has another owner.", zap.String("target", a.Target), zap.Int64("fence", a.Fence))
	shard := ownership.ShardOf(a.Service, a.Zone, a.Target, in.cfg.Shards)
	in.wg.Go(func() {
		in.owner.DropFencedClaim(shard, a.Fence)
		in.listing.Refresh()
	})
}

// Reload takes note of changed settings. They describe addresses and limits of
// the process, which stay as they are until its next start.
func (in *Instance) Reload(cfg settings.Settings, found finding.List) {
	if err := found.Err(); err != nil {
		in.log.Error("The changed settings are not valid.", zap.Error(err))
		return
	}
	in.log.Info("The settings were read again.", zap.Bool("changed", !reflect.DeepEqual(cfg, in.cfg)))
}

func (in *Instance) isReady() bool { return !in.draining.Load() && in.conf.Catalog() != nil }

func (in *Instance) waiting(queue string) int {
	n := 0
	in.loop.Inspect(func(s *scheduler.Scheduler) { n = s.WaitingJobs(queue) })
	return n
}

// ownLoad describes the own targets, not older than loadEvery.
func (in *Instance) ownLoad() relay.Load {
	if l := in.load.Load(); l != nil && time.Since(l.ReportedAt) < loadEvery {
		return *l
	}
	l := relay.Load{ReportedAt: time.Now(), Draining: in.draining.Load()}
	in.loop.Inspect(func(s *scheduler.Scheduler) {
		st := s.Stats()
		l.ForecastWait, l.FreeCPU, l.CPU, l.Queued = st.ForecastWait, st.FreeCPU, st.CPU, st.Queued
	})
	in.load.Store(&l)
	return l
}

func (in *Instance) wireLoad() *wire.PoolLoad {
	l := in.ownLoad()
	return &wire.PoolLoad{
		WaitMs: l.ForecastWait.Milliseconds(), FreeCpu: l.FreeCPU, Cpu: l.CPU, Queued: int32(l.Queued), Draining: l.Draining,
	}
}

// fetch takes a newer configuration from another instance.
func (in *Instance) fetch(p wire.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	out, err := p.FetchConfiguration(ctx, &wire.FetchConfigurationRequest{})
	if err != nil {
		in.log.Info("A newer configuration could not be fetched.", zap.Error(err))
		return
	}
	in.conf.ApplyIfNewer(out.Value, "instance")
}

// Serve runs the instance until stop.
func (in *Instance) Serve(stop <-chan os.Signal) error {
	addresses := map[string]func(net.Listener) error{
		in.cfg.PeerListen: in.server.Serve, in.cfg.Listen: in.callers.Serve, in.cfg.ReadyListen: in.ready.Serve,
	}
	if in.cfg.MetricsListen != "" {
		addresses[in.cfg.MetricsListen] = in.measures.Serve
	}
	failed := make(chan error, len(addresses))
	for address, serve := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		in.wg.Go(func() {
			if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	in.wg.Go(in.loop.Run)
	in.wg.Go(in.owner.Run)
	in.wg.Go(in.listing.Run)
	in.wg.Go(in.conf.Run)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.wg.Go(func() { in.report(ctx) })
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

// drain is the planned stop.
func (in *Instance) drain() {
	in.log.Info("The stop begins.")
	end := time.Now().Add(in.cfg.Grace() - closeMargin)
	away := time.Now().Add(awayTime)
	in.draining.Store(true)
	in.owner.Drain()
	in.loop.Post(scheduler.Drain{})
	in.owner.ReleaseAll(time.Now().Add(releaseTimeout))
	in.owner.Deregister()
	in.log.Info("The targets are released.")
	time.Sleep(time.Until(away))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := in.callers.Shutdown(ctx); err != nil {
		in.log.Warn("Callers were cut off by the stop.", zap.Error(err))
	}
	if err := in.server.Close(ctx); err != nil {
		in.log.Warn("Other instances were cut off by the stop.", zap.Error(err))
	}
}

// report writes a line about the own targets from time to time.
func (in *Instance) report(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
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
		in.metrics.SetGauges(st, len(in.owner.Owned()), in.conf.Version())
		if st.Targets > 0 || st.Jobs > 0 {
			in.log.Info("Own targets.", zap.Int("targets", st.Targets), zap.Int("usable", st.Usable),
				zap.Int64("cpu", st.CPU), zap.Int64("free_cpu", st.FreeCPU), zap.Int("jobs", st.Jobs),
				zap.Int("queued", st.Queued), zap.Int("running", st.Running), zap.Duration("wait", st.ForecastWait))
		}
	}
}

// busy says whether anything runs on the targets of a shard.
func (in *Instance) busy(shard ownership.Shard) bool {
	busy := false
	in.loop.Inspect(func(s *scheduler.Scheduler) { busy = in.listing.Busy(shard, s.RunCount) })
	return busy
}

func (in *Instance) close() {
	_ = in.callers.Close()
	_ = in.ready.Close()
	_ = in.measures.Close()
	_ = in.metrics.Close()
	if err := in.tracer.Close(context.Background()); err != nil {
		in.log.Warn("The last spans were not written.", zap.Error(err))
	}
	in.relay.Close()
	in.conf.Close()
	in.listing.Close()
	in.owner.Close()
	in.sender.Close()
	in.loop.Close()
	in.wg.Wait()
	in.log.Info("The instance has stopped.")
	_ = in.log.Sync()
}
