// Package frontend accepts the jobs of callers. It looks up the queue of a job,
// selects the owner of targets that runs it, and returns the outcome.
package frontend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/cancellation"
	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/disconnect"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/port"
	"marigoldfront.dev/pool/relay"
)

const (
	// maxStartNowOwners limits the owners that are asked to start a job at once.
	maxStartNowOwners = 3
	// maxFurtherOwners limits the owners with room that are asked to queue a job which
	// another one has turned away.
	maxFurtherOwners = 1
	// ownerRetryInterval is the time between two attempts to find an owner while
	// the owners change.
	ownerRetryInterval = 15 * time.Millisecond
)

// Config holds the dependencies of a Frontend.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Tracer  *tracing.Tracer
	Zone    string
	Clock   func() time.Time
	// Catalog returns the active configuration, or nil if there is none.
	Catalog func() *catalog.Catalog
	// ShardHolders returns the claims of all instances to the shards of a service.
	ShardHolders func(service string) map[ownership.Shard]ownership.Claim
	// OwnersChanging reports whether targets without an owner are likely to have
	// one soon.
	OwnersChanging func() bool
	RelayClient    *relay.Client
	// SelfAddress is the address at which other instances reach this one.
	SelfAddress string
	// Submit runs a job on this instance's own targets, and Load returns their
	// load.
	Submit      func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error)
	Load        func() relay.Load
	WaitingJobs func(queue string) int
	Draining    func() bool
	// MayHaveRun reports whether tasks of an earlier submission of a job are known to
	// have run, or may have.
	MayHaveRun func(job string) bool
	// Cancel cancels a job at all instances, at this one with CancelOwn.
	Cancel func(ctx context.Context, job string) port.CancelResult
}

// Frontend implements port.Frontend.
type Frontend struct {
	cfg Config
	// recalled is set once no further owner is asked to run a job.
	recalled atomic.Bool

	mu       sync.Mutex
	inFlight map[string]*inFlightJob // by job ID
	// cancelled holds the jobs that were cancelled at any instance.
	cancelled *cancellation.Log
}

// New returns a Frontend.
func New(cfg Config) *Frontend {
	return &Frontend{cfg: cfg, inFlight: map[string]*inFlightJob{}, cancelled: cancellation.New()}
}

// FindQueue implements port.Frontend.
func (f *Frontend) FindQueue(host, path string) (q catalog.Queue, rest string, found, configured bool) {
	c := f.cfg.Catalog()
	if c == nil {
		return catalog.Queue{}, "", false, false
	}
	q, rest, found = c.Find(host, path)
	return q, rest, found, true
}

// MayHaveRun implements port.Frontend.
func (f *Frontend) MayHaveRun(id string) bool {
	f.mu.Lock()
	inFlight := f.inFlight[id] != nil
	f.mu.Unlock()
	return inFlight || f.cfg.MayHaveRun(id)
}

// WaitingJobs implements port.Frontend.
func (f *Frontend) WaitingJobs(queue string) int { return f.cfg.WaitingJobs(queue) }

// Draining implements port.Frontend.
func (f *Frontend) Draining() bool { return f.cfg.Draining() }

// Cancel implements port.Frontend.
func (f *Frontend) Cancel(ctx context.Context, id string) port.CancelResult {
	return f.cfg.Cancel(ctx, id)
}

// CancelOwn cancels a job that this instance has received, and withdraws it from the
// owner that runs it. A job that arrives later is not started. It returns false if no
// such job is in flight.
func (f *Frontend) CancelOwn(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled.Add(f.cfg.Clock(), id)
	job := f.inFlight[id]
	if job == nil {
		return false
	}
	job.cancelled = true
	job.cancel()
	return true
}

// Recall ends the wait of the jobs of which no task can have run: they are refused. It
// is called when the instance is about to end.
func (f *Frontend) Recall() {
	f.recalled.Store(true)
	f.cfg.RelayClient.Recall()
}

// Abort ends the wait of all jobs. Their outcome is unknown.
func (f *Frontend) Abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, job := range f.inFlight {
		job.aborted = true
		job.cancel()
	}
}

// inFlightJob is a job that this instance has accepted and whose outcome is not
// yet determined.
type inFlightJob struct {
	cancel context.CancelFunc
	// waiters counts the calls of Submit that wait for the outcome.
	waiters int
	// cancelled is set once the job has been cancelled by its ID.
	cancelled bool
	// aborted is set once the instance ends before the job.
	aborted bool
	// done is closed when outcome is set.
	done    chan struct{}
	outcome scheduler.Outcome
}

// Submit implements port.Frontend. If the job is already in flight, the call
// waits for the same outcome, because a second copy could run at another owner
// at the same time. The job of a disconnected caller is refused, because the
// caller may have sent it to another instance, where it already runs.
func (f *Frontend) Submit(ctx context.Context, j scheduler.Job) scheduler.Outcome {
	if disconnect.PeerClosed(ctx) {
		f.cfg.Log.Info("The caller of a job has disconnected.", zap.String("job", j.ID), zap.String("queue", j.Queue))
		return scheduler.Refused{Reason: scheduler.ReasonWithdrawn, RetryAfter: time.Second}
	}
	ctx, span := f.cfg.Tracer.Start(ctx, "job")
	defer span.End()
	j.TraceID = tracing.TraceID(ctx)
	job := f.joinOrStart(j)
	select {
	case <-job.done:
		return job.outcome
	case <-ctx.Done():
		f.removeWaiter(job)
		// The caller has disconnected and does not receive this outcome.
		return scheduler.Unknown{Reason: scheduler.ReasonWithdrawn}
	}
}

// joinOrStart adds a waiter to a job in flight, or starts the job.
func (f *Frontend) joinOrStart(j scheduler.Job) *inFlightJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job := f.inFlight[j.ID]; job != nil {
		job.waiters++
		return job
	}
	if f.cancelled.Has(f.cfg.Clock(), j.ID) {
		f.cfg.Log.Info("A job has arrived after it was cancelled.", zap.String("job", j.ID), zap.String("queue", j.Queue))
		// An earlier submission may have run.
		job := &inFlightJob{cancel: func() {}, waiters: 1, done: make(chan struct{}), outcome: scheduler.Unknown{Reason: scheduler.ReasonCancelled}}
		close(job.done)
		return job
	}
	// The context is not that of the first call, because the job continues for
	// the other callers when the first one disconnects. They share its trace.
	ctx, cancel := context.WithCancel(tracing.WithTraceID(context.Background(), j.TraceID))
	job := &inFlightJob{cancel: cancel, waiters: 1, done: make(chan struct{})}
	f.inFlight[j.ID] = job
	go f.complete(ctx, job, j)
	return job
}

// removeWaiter removes one waiter of a job. A job without waiters is withdrawn.
func (f *Frontend) removeWaiter(job *inFlightJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job.waiters--; job.waiters == 0 {
		job.cancel()
	}
}

// complete runs a job and passes its outcome to the waiters.
func (f *Frontend) complete(ctx context.Context, job *inFlightJob, j scheduler.Job) {
	defer job.cancel()
	o, owner := f.run(ctx, &j)
	if r, ok := o.(scheduler.Refused); ok && f.cfg.MayHaveRun(j.ID) {
		// A refusal would say that no task of the job has run.
		o = scheduler.Unknown{Reason: r.Reason}
	}
	f.mu.Lock()
	delete(f.inFlight, j.ID)
	switch {
	case job.cancelled || refusedAsCancelled(o):
		// An earlier submission may have run.
		o = scheduler.Unknown{Reason: scheduler.ReasonCancelled}
	case job.aborted && isUnknown(o):
		o = scheduler.Unknown{Reason: scheduler.ReasonDraining}
	}
	job.outcome = o
	f.mu.Unlock()
	close(job.done)
	f.recordOutcome(&j, o, owner)
}

// run runs a job at an owner. While the owners change, for example after a
// restart, a job that no owner has targets for is kept until its latest start.
func (f *Frontend) run(ctx context.Context, j *scheduler.Job) (o scheduler.Outcome, owner string) {
	for {
		o, owner = f.runAtOwners(ctx, j)
		next := f.cfg.Clock().Add(ownerRetryInterval)
		if !lacksOwner(o) || f.recalled.Load() || !f.cfg.OwnersChanging() || next.After(j.LatestStart()) {
			return o, owner
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return o, owner
		}
	}
}

func refusedAsCancelled(o scheduler.Outcome) bool {
	r, ok := o.(scheduler.Refused)
	return ok && r.Reason == scheduler.ReasonCancelled
}

func isUnknown(o scheduler.Outcome) bool {
	_, ok := o.(scheduler.Unknown)
	return ok
}

// lacksOwner reports whether a job was refused because the owners that were asked
// have no targets for it or shut down.
func lacksOwner(o scheduler.Outcome) bool {
	r, ok := o.(scheduler.Refused)
	return ok && (r.Reason == scheduler.ReasonNoTarget || r.Reason == scheduler.ReasonDraining)
}

// runAtOwners sends the job to one owner after the other until one accepts it.
// It tries the next owner only if the previous one has certainly started
// nothing. It first asks the best owners to accept the job only if it can start
// at once, and skips those that have just reported too little free capacity. If
// none accepts it, the best owner queues the job. If all owners are full, each
// further request would delay the job and cost the owners processor time.
func (f *Frontend) runAtOwners(ctx context.Context, j *scheduler.Job) (o scheduler.Outcome, owner string) {
	if o, owner, ok := f.startNow(ctx, j, f.rankedOwners(j), maxStartNowOwners); ok {
		return o, owner
	}
	return f.queue(ctx, j)
}

// startNow asks up to n owners to accept the job if it can start at once, and skips
// those that have just reported too little free capacity. It returns false if the job
// may be sent to another owner.
func (f *Frontend) startNow(ctx context.Context, j *scheduler.Job, owners []candidate, n int) (o scheduler.Outcome, owner string, ok bool) {
	need := cpuToStart(j)
	startNow := *j
	startNow.MustStartNow = true
	for _, c := range owners[:min(len(owners), n)] {
		if c.cannotStartNow(time.Now(), need) {
			continue
		}
		if o := f.runAt(ctx, c.address, &startNow); isFinal(o) || ctx.Err() != nil {
			return o, c.address, true
		}
	}
	return nil, "", false
}

// queue asks the owners, the best one first, to queue the job, until one accepts it. If
// an owner turns it away, the job is offered only to another one that has reported room
// for its priority.
func (f *Frontend) queue(ctx context.Context, j *scheduler.Job) (o scheduler.Outcome, owner string) {
	told := scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	turnedAway := 0
	for _, c := range f.rankedOwners(j) {
		if turnedAway > 0 && !c.hasRoom(time.Now(), j.Priority, j.LatestStart().Sub(f.cfg.Clock())) {
			continue
		}
		o := f.runAt(ctx, c.address, j)
		r, refused := o.(scheduler.Refused)
		if !refused || isFinal(o) || ctx.Err() != nil {
			return o, c.address
		}
		if owner == "" || closeness(r.Reason) >= closeness(told.Reason) {
			told, owner = r, c.address
		}
		if r.Reason == scheduler.ReasonOverloaded {
			if turnedAway++; turnedAway > maxFurtherOwners {
				break
			}
		}
	}
	return told, owner
}

// closeness ranks the reasons of owners that have refused a job by how close they came to
// running it. The caller is told the reason of the closest one: that other owners have no
// target for the job is not why it does not run.
func closeness(r scheduler.Reason) int {
	switch r {
	case scheduler.ReasonNoTarget:
		return 0
	case scheduler.ReasonNeverFits:
		return 1
	case scheduler.ReasonWithdrawn, scheduler.ReasonDraining:
		return 2
	}
	return 3
}

// isFinal reports whether the job must not be sent to another owner, because it
// may have run or was cancelled. Other refusals are not final: a job that fits
// no target of one owner may fit a target of another.
func isFinal(o scheduler.Outcome) bool {
	r, ok := o.(scheduler.Refused)
	return !ok || r.Reason == scheduler.ReasonCancelled
}

// runAt runs the job at the owner with the address, which may be this instance.
func (f *Frontend) runAt(ctx context.Context, address string, j *scheduler.Job) scheduler.Outcome {
	if f.recalled.Load() {
		return scheduler.Refused{Reason: scheduler.ReasonDraining, RetryAfter: time.Second}
	}
	if address != f.cfg.SelfAddress {
		o := f.cfg.RelayClient.Run(ctx, address, j)
		_, refused := o.(scheduler.Refused)
		f.cfg.Metrics.RunRequest("other", !refused)
		return o
	}
	o, err := f.cfg.Submit(ctx, *j)
	_, refused := o.(scheduler.Refused)
	f.cfg.Metrics.RunRequest("self", err == nil && !refused)
	switch {
	case err == nil:
		return o
	case ctx.Err() != nil:
		return scheduler.Unknown{Reason: scheduler.ReasonWithdrawn}
	}
	return scheduler.Refused{Reason: scheduler.ReasonOverloaded, RetryAfter: time.Second}
}

// recordOutcome counts and logs the outcome of a job. The owner's log line for
// the same job has the figures behind it.
func (f *Frontend) recordOutcome(j *scheduler.Job, o scheduler.Outcome, owner string) {
	age := f.cfg.Clock().Sub(j.Arrived)
	fields := []zap.Field{
		zap.String("job", j.ID), zap.String("queue", j.Queue), zap.Duration("age", age), zap.String("owner", owner),
		zap.Duration("left", j.Deadline.Sub(f.cfg.Clock())),
	}
	switch o := o.(type) {
	case scheduler.Completed:
		f.cfg.Metrics.Answer("completed", "", age)
		f.cfg.Log.Debug("A job has completed.", fields...)
	case scheduler.Refused:
		f.cfg.Metrics.Answer("refused", string(o.Reason), age)
		f.cfg.Log.Info("A job was refused.", append(fields, zap.String("reason", string(o.Reason)),
			zap.Duration("retry_after", o.RetryAfter))...)
	case scheduler.Unknown:
		f.cfg.Metrics.Answer("unknown", string(o.Reason), age)
		f.cfg.Log.Info("The outcome of a job is unknown.", append(fields, zap.String("reason", string(o.Reason)))...)
	case scheduler.Failed:
		f.cfg.Metrics.Answer("failed", "", age)
		f.cfg.Log.Info("A job has failed.", append(fields, zap.String("reason", o.Reason))...)
	}
}
