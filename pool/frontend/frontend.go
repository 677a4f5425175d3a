// Package frontend takes the jobs of callers: it finds their queue, chooses the
// owner of targets that runs them, and returns the answer.
package frontend

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/hangup"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/relay"
)

const (
	// freshLoad is how old an owner's report may be to be compared.
	freshLoad = 1500 * time.Millisecond
	// awayCost is what an owner in another availability zone has to gain in
	// waiting time: two round trips, and the uncertainty of its report.
	awayCost = 10 * time.Millisecond
	// costStep is the difference below which owners count as equal, because
	// their reports are that old.
	costStep = 4 * time.Millisecond
	// shortageCost is added for an owner in the share of the job for which it
	// has no free processors: the job waits there, or is declined.
	shortageCost = 40 * time.Millisecond
	// silentCost is added for an owner that did not answer in the last
	// silentTime. Only a job that no other owner takes waits for its answer.
	silentCost = 2 * time.Second
	silentTime = 2 * time.Second
	// currentLoad is how old a report may be to say that an owner cannot start
	// a job at once; most tasks end within it.
	currentLoad = 100 * time.Millisecond
	// maxOwners bounds the owners that are asked to start a job at once.
	maxOwners = 3
)

// Config holds the dependencies of a Frontend.
type Config struct {
	Log          *zap.Logger
	Metrics      *metrics.Metrics
	Tracer       *tracing.Tracer
	Zone         string
	Clock        func() time.Time
	Catalog      func() *catalog.Catalog
	ShardHolders func(service string) map[ownership.Shard]ownership.Claim
	RelayClient  *relay.Client
	// SelfAddress is the address under which other instances know this one.
	SelfAddress string
	// Submit and Load are those of this instance's own targets.
	Submit      func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error)
	Load        func() relay.Load
	WaitingJobs func(queue string) int
	Draining    func() bool
}

// Frontend implements port.Frontend.
type Frontend struct {
	cfg Config

	mu      sync.Mutex
	flights map[string]*flight // by job
}

// New returns a Frontend.
func New(cfg Config) *Frontend {
	return &Frontend{cfg: cfg, flights: map[string]*flight{}}
}

// FindQueue implements port.Frontend.
func (d *Frontend) FindQueue(host, path string) (q catalog.Queue, rest string, found, configured bool) {
	c := d.cfg.Catalog()
	if c == nil {
		return catalog.Queue{}, "", false, false
	}
	q, rest, found = c.Find(host, path)
	return q, rest, found, true
}

// WaitingJobs implements port.Frontend.
func (d *Frontend) WaitingJobs(queue string) int { return d.cfg.WaitingJobs(queue) }

// Draining implements port.Frontend.
func (d *Frontend) Draining() bool { return d.cfg.Draining() }

// Cancel implements port.Frontend.
func (d *Frontend) Cancel(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.flights[id]
	if f == nil {
		return false
	}
	f.cancelled = true
	f.cancel()
	return true
}

// flight is a job that this instance has passed on.
type flight struct {
	cancel  context.CancelFunc
	waiters int
	// cancelled is set once the job was cancelled by name.
	cancelled bool
	// done is closed when outcome is set.
	done    chan struct{}
	outcome scheduler.Outcome
}

// Submit implements port.Frontend. A job that is already on its way is joined: a
// second copy could reach another owner and run beside the first. A caller that
// is gone may have sent its job to another instance, where it runs by now.
func (d *Frontend) Submit(ctx context.Context, j scheduler.Job) scheduler.Outcome {
	if hangup.Closed(ctx) {
		d.cfg.Log.Info("The caller of a job is gone.", zap.String("job", j.ID), zap.String("queue", j.Queue))
		return scheduler.Refused{Reason: scheduler.ReasonWithdrawn, RetryAfter: time.Second}
	}
	ctx, span := d.cfg.Tracer.Start(ctx, "job")
	defer span.End()
	j.TraceID = tracing.ID(ctx)
	f := d.join(j)
	select {
	case <-f.done:
		return f.outcome
	case <-ctx.Done():
		d.leave(f)
		// The caller is gone; the answer reaches nobody.
		return scheduler.Unknown{Reason: scheduler.ReasonWithdrawn}
	}
}

// join returns the flight of a job, which it begins if there is none.
func (d *Frontend) join(j scheduler.Job) *flight {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.flights[j.ID]; f != nil {
		f.waiters++
		return f
	}
	// The job outlives its first caller, whose span the others join.
	ctx, cancel := context.WithCancel(tracing.FromID(context.Background(), j.TraceID))
	f := &flight{cancel: cancel, waiters: 1, done: make(chan struct{})}
	d.flights[j.ID] = f
	go d.fly(ctx, f, j)
	return f
}

// leave drops one waiter. A job without any is withdrawn.
func (d *Frontend) leave(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.waiters--; f.waiters == 0 {
		f.cancel()
	}
}

// fly runs the job to its answer.
func (d *Frontend) fly(ctx context.Context, f *flight, j scheduler.Job) {
	defer f.cancel()
	o, owner := d.run(ctx, &j)
	d.mu.Lock()
	delete(d.flights, j.ID)
	if f.cancelled {
		o = scheduler.Unknown{Reason: scheduler.ReasonCancelled}
	}
	f.outcome = o
	d.mu.Unlock()
	close(f.done)
	d.log(&j, o, owner)
}

// run asks the owners in turn, as long as the last one has certainly started
// nothing. The first ones are asked to take the job only if it can start at
// once, unless they have just reported that they have no room; where none can,
// the best one queues it. When all owners are full, each question would make the
// job later and take processor time from them.
func (d *Frontend) run(ctx context.Context, j *scheduler.Job) (o scheduler.Outcome, owner string) {
	all, need := d.owners(j), needAtOnce(j)
	all = all[:min(len(all), maxOwners)]
	now := *j
	now.MustStartNow = true
	for _, c := range all {
		if c.full(time.Now(), need) {
			continue
		}
		if o := d.ask(ctx, c.address, &now); final(o) || ctx.Err() != nil {
			return o, c.address
		}
	}
	o = scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	for _, c := range d.owners(j) {
		owner = c.address
		o = d.ask(ctx, owner, j)
		if r, ok := o.(scheduler.Refused); !ok || r.Reason == scheduler.ReasonOverloaded || final(o) || ctx.Err() != nil {
			break
		}
	}
	return o, owner
}

// final says whether asking another owner is of no use. A job that fits no
// target of one owner may fit one of another.
func final(o scheduler.Outcome) bool {
	r, ok := o.(scheduler.Refused)
	return !ok || r.Reason == scheduler.ReasonCancelled
}

func (d *Frontend) ask(ctx context.Context, address string, j *scheduler.Job) scheduler.Outcome {
	if address != d.cfg.SelfAddress {
		o := d.cfg.RelayClient.Run(ctx, address, d.cfg.Clock(), j)
		_, refused := o.(scheduler.Refused)
		d.cfg.Metrics.RunRequest("other", !refused)
		return o
	}
	o, err := d.cfg.Submit(ctx, *j)
	_, refused := o.(scheduler.Refused)
	d.cfg.Metrics.RunRequest("self", err == nil && !refused)
	switch {
	case err == nil:
		return o
	case ctx.Err() != nil:
		return scheduler.Unknown{Reason: scheduler.ReasonWithdrawn}
	}
	return scheduler.Refused{Reason: scheduler.ReasonOverloaded, RetryAfter: time.Second}
}

// candidate is an owner of targets of the job's service.
type candidate struct {
	address string
	near    bool
	load    relay.Load
}

// cost is the forecast wait at the owner for a job that needs a number of
// processors at once, in thousandths of a core.
func (c candidate) cost(now time.Time, need int64) time.Duration {
	cost := time.Duration(0)
	if !c.near {
		cost += awayCost
	}
	if c.load.Draining {
		cost += time.Second
	}
	if now.Sub(c.load.UnresponsiveAt) < silentTime {
		cost += silentCost
	}
	if now.Sub(c.load.ReportedAt) < freshLoad {
		cost += c.load.ForecastWait
		if short := need - c.load.FreeCPU; short > 0 {
			cost += time.Duration(float64(shortageCost) * float64(short) / float64(need))
		}
	}
	return cost.Round(costStep)
}

// full says whether the owner has just reported that it cannot start a job at
// once that needs a number of processors, in thousandths of a core.
func (c candidate) full(now time.Time, need int64) bool {
	return now.Sub(c.load.ReportedAt) < currentLoad && (c.load.Queued > 0 || c.load.FreeCPU < need)
}

// owners returns the owners for a job, the best one first.
func (d *Frontend) owners(j *scheduler.Job) []candidate {
	now, need := time.Now(), needAtOnce(j)
	var all []candidate
	for s, c := range d.cfg.ShardHolders(j.Service) {
		i := slices.IndexFunc(all, func(o candidate) bool { return o.address == c.Address })
		if i < 0 {
			i = len(all)
			all = append(all, candidate{address: c.Address, load: d.load(c.Address)})
		}
		all[i].near = all[i].near || s.Zone == d.cfg.Zone
	}
	// Among equals the order is random, so that they share the load.
	rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost(now, need), b.cost(now, need)) })
	return all
}

// needAtOnce is the sum of what the tasks need that can start first, in
// thousandths of a core.
func needAtOnce(j *scheduler.Job) int64 {
	need := int64(0)
	for _, s := range j.Steps {
		if len(s.After) == 0 {
			need += int64(s.Count) * s.CPU
		}
	}
	return need
}

func (d *Frontend) load(address string) relay.Load {
	if address == d.cfg.SelfAddress {
		return d.cfg.Load()
	}
	return d.cfg.RelayClient.Load(address)
}

// log counts an answer, and writes a line for it. The owner's line for the same
// job says what it rests on.
func (d *Frontend) log(j *scheduler.Job, o scheduler.Outcome, owner string) {
	age := d.cfg.Clock().Sub(j.Arrived)
	fields := []zap.Field{
		zap.String("job", j.ID), zap.String("queue", j.Queue), zap.Duration("age", age), zap.String("owner", owner),
		zap.Duration("left", j.Deadline.Sub(d.cfg.Clock())),
	}
	switch o := o.(type) {
	case scheduler.Completed:
		d.cfg.Metrics.Answer("completed", "", age)
		d.cfg.Log.Debug("A job is answered as completed.", fields...)
	case scheduler.Refused:
		d.cfg.Metrics.Answer("refused", string(o.Reason), age)
		d.cfg.Log.Info("A job is refused.", append(fields, zap.String("reason", string(o.Reason)),
			zap.Duration("retry_after", o.RetryAfter))...)
	case scheduler.Unknown:
		d.cfg.Metrics.Answer("unknown", string(o.Reason), age)
		d.cfg.Log.Info("The fate of a job is unknown.", append(fields, zap.String("reason", string(o.Reason)))...)
	case scheduler.Failed:
		d.cfg.Metrics.Answer("failed", "", age)
		d.cfg.Log.Info("A job has failed.", append(fields, zap.String("reason", o.Reason))...)
	}
}
