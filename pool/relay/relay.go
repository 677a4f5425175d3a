// Package relay sends jobs from the instance that received them to the owner of
// targets, and returns the outcomes. An owner stops the jobs of a sender from
// which it receives no more heartbeats, because the sender's callers then send
// the jobs again to other instances.
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

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/remoteclock"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	// heartbeatEvery is the interval of heartbeats to an owner that runs jobs for
	// this instance.
	heartbeatEvery = 250 * time.Millisecond
	// senderTimeout is the time after the last message of a sender after which
	// the owner stops the sender's jobs. Together with the stop itself it is less
	// than the time after which callers send a job again.
	senderTimeout = 800 * time.Millisecond
	// ownerTimeout is the time without a reply of an owner after which the sender
	// no longer waits for the jobs there.
	ownerTimeout = 700 * time.Millisecond
	// maxSettleTime is how long a heartbeat waits at most after a stall of this
	// instance, until the callers are known that have disconnected during it.
	// settleInterval is the time between two checks.
	maxSettleTime  = 200 * time.Millisecond
	settleInterval = 20 * time.Millisecond
	// overdueReply is the time without a reply to a heartbeat after which the owner
	// gets no new jobs while others are available. Replies take milliseconds.
	overdueReply = 60 * time.Millisecond
	// probePeriod is how long heartbeats to an unresponsive owner continue without
	// jobs, so that it gets new jobs again soon after it replies.
	probePeriod = 30 * time.Second
	// confirmTimeout is the time in which an owner must reply that is asked before
	// it gets a job, or before its shards are claimed.
	confirmTimeout = 100 * time.Millisecond
	// minHeartbeatTimeout and maxHeartbeatTimeout bound the timeout of a heartbeat.
	minHeartbeatTimeout = 50 * time.Millisecond
	maxHeartbeatTimeout = 400 * time.Millisecond
	// dialTimeout bounds a connection to another instance.
	dialTimeout = 300 * time.Millisecond
	// replySlack is how long after a job's deadline its reply is awaited.
	replySlack = 100 * time.Millisecond
	// overdueAfter is the time within which an owner must have received a job.
	// Messages between instances take milliseconds.
	overdueAfter = 200 * time.Millisecond
	// maxClockDrift is the fraction by which the clocks of two instances may drift
	// apart.
	maxClockDrift = 0.02
	// maxIdleConns bounds the idle connections to each owner.
	maxIdleConns = 16
)

// Load is the load report of an owner.
type Load struct {
	// ForecastWait is the forecast time until a new task starts.
	ForecastWait time.Duration
	// FreeCPU and CPU are the free and all processors of the owner's targets, in
	// thousandths of a core.
	FreeCPU int64
	CPU     int64
	// EvacuatedCPU is the processors of the owner's targets that serve in evacuated
	// zones. Only the owner itself knows it.
	EvacuatedCPU int64
	// Queued is the number of queued jobs.
	Queued int
	// Rooms describes the room by priority. It is empty if the owner does not report
	// it.
	Rooms []scheduler.PriorityRoom
	// Draining is set while the owner shuts down.
	Draining bool
	// ReportedAt is the time of the report, or zero if there is none.
	ReportedAt time.Time
	// UnresponsiveAt is the time at which the owner last failed to reply, or zero
	// if it has replied since.
	UnresponsiveAt time.Time
	// Overdue is set while the reply to a heartbeat takes unusually long.
	Overdue bool
}

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	Log    *zap.Logger
	Tracer *tracing.Tracer
	// Name and Incarnation identify this instance.
	Name        string
	Incarnation uint64
	// Clock returns the time. It must include suspensions of the machine.
	Clock func() time.Time
	// StallAge returns for how long disconnected callers may not have been noticed.
	StallAge func() time.Duration
	// Version returns the version of the configuration in force, which each heartbeat
	// carries. OnNewerConfiguration is called with an owner that has a newer one.
	Version              func() int64
	OnNewerConfiguration func(wire.Pool)
	// Evacuation returns the set of evacuated zones in force, which each heartbeat
	// carries. OnEvacuation is called with the set of each reply.
	Evacuation   func() evacuation.Set
	OnEvacuation func(evacuation.Set)
}

// Client sends jobs to other instances. Its methods may be called from several
// goroutines.
type Client struct {
	cfg    ClientConfig
	http   *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	owners map[string]*owner // by address
	// lastID is the ID of the last job sent.
	lastID uint64
	// recalled is set once the owners have to refuse what has not started.
	recalled bool
}

// owner is another instance that runs jobs for this one.
type owner struct {
	client wire.Pool
	load   Load
	// inFlight holds the jobs sent to the owner whose replies are awaited, by ID.
	inFlight map[uint64]*inFlightJob
	// heartbeatActive is set while a goroutine sends heartbeats to the owner.
	heartbeatActive bool
	// lastReply is the time of the last reply, by the clock of the Client.
	lastReply time.Time
	// incarnation is the incarnation that sent the last reply, and time estimates its
	// clock. The estimate is never ahead, so that the owner does not take a message
	// for a newer one than it is.
	incarnation uint64
	time        remoteclock.Clock
	// epoch is the epoch of the owner's ledger of this instance's jobs, or 0 if it
	// is unknown.
	epoch uint64
	// heartbeats counts the heartbeats sent. heartbeatSent is when the last one was
	// sent, or zero once it has been answered.
	heartbeats    uint64
	heartbeatSent time.Time
	// unresponsiveSince is the time of the first failure since the last reply, or
	// zero.
	unresponsiveSince time.Time
}

// inFlightJob is a job whose reply is awaited.
type inFlightJob struct {
	// cancel ends the wait for the reply, with the cause.
	cancel context.CancelCauseFunc
	sent   time.Time
	// sentTime is the time at which the job was sent, by the owner's clock.
	sentTime *wire.OwnerTime
	// epoch is the epoch of the owner's ledger when the job was sent.
	epoch uint64
	reply *wire.RunReply // guarded by the Client's mutex
}

var (
	// errOwnerUnresponsive means that the owner may run the job, but its reply is
	// not to be expected.
	errOwnerUnresponsive = errors.New("the owner does not reply")
	// errReplyByHeartbeat means that the reply arrived with a heartbeat.
	errReplyByHeartbeat = errors.New("the connection of the job has stalled, its reply arrived with a heartbeat")
	// errJobNotReceived means that the owner has not received the job and will
	// not run it.
	errJobNotReceived = errors.New("the job has not reached the owner")
)

// NewClient returns a Client without owners.
func NewClient(cfg ClientConfig) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		cfg: cfg, ctx: ctx, cancel: cancel,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		owners: map[string]*owner{},
	}
}

// owner returns the owner at the address. The caller holds the lock.
func (c *Client) owner(address string) *owner {
	o := c.owners[address]
	if o == nil {
		o = &owner{
			client:   wire.NewPoolProtobufClient("http://"+address, c.http),
			inFlight: map[uint64]*inFlightJob{},
			time:     remoteclock.New(maxClockDrift),
		}
		c.owners[address] = o
	}
	return o
}

// Load returns the last load report of the owner at the address.
func (c *Client) Load(address string) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[address]
	if o == nil {
		return Load{}
	}
	l := o.load
	l.Overdue = !o.heartbeatSent.IsZero() && time.Since(o.heartbeatSent) > overdueReply
	return l
}

// Run sends a job to the owner at the address and returns its outcome. It returns
// Refused only if the job certainly does not run there. The times of the job are of
// the clock of the Client.
func (c *Client) Run(ctx context.Context, address string, j *scheduler.Job) scheduler.Outcome {
	ctx, cancelTimeout := context.WithTimeout(ctx, j.Deadline.Sub(c.cfg.Clock())+replySlack)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !c.confirm(address) {
		c.cfg.Log.Info("An owner did not reply in time to get a job.", zap.String("job", j.ID), zap.String("owner", address))
		return scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	}
	in := jobToWire(c.cfg.Clock(), j)
	o, job, id := c.addJob(address, cancel)
	ctx, span := c.cfg.Tracer.Start(ctx, "ask owner")
	defer span.End()
	in.Sender, in.Incarnation, in.Id, in.Traceparent = c.cfg.Name, c.cfg.Incarnation, id, tracing.Inject(ctx)
	in.Sent = job.sentTime
	out, err := o.client.Run(ctx, in)
	c.removeJob(o, id)
	if err == nil {
		c.recordReply(o, out.Load, out.Time, out.Epoch)
		return outcomeFromWire(out)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errReplyByHeartbeat):
		c.cfg.Log.Info("The connection of a job has stalled; its reply arrived with a heartbeat.", zap.String("job", j.ID), zap.String("owner", address))
		return outcomeFromWire(job.reply)
	case errors.Is(cause, errJobNotReceived):
		c.cfg.Log.Info("A job did not reach the owner.", zap.String("job", j.ID), zap.String("owner", address))
		return scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.markUnresponsive(o)
		return scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	}
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.ResourceExhausted {
		return scheduler.Refused{Reason: scheduler.ReasonOverloaded, RetryAfter: retryAfter(te)}
	}
	c.cfg.Log.Info("An owner did not reply to a job.", zap.String("job", j.ID), zap.String("owner", address),
		zap.Error(err), zap.NamedError("cause", context.Cause(ctx)))
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return scheduler.Unknown{Reason: scheduler.ReasonDeadline}
	}
	return scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}
}

// Cancel makes the instance at the address cancel jobs. If write is set, it reports
// whether that instance has written the cancellations to the store. It returns an error
// unless the instance has replied.
func (c *Client) Cancel(ctx context.Context, address string, jobs []string, write bool) (written bool, err error) {
	c.mu.Lock()
	o := c.owner(address)
	c.mu.Unlock()
	out, err := o.client.Cancel(ctx, &wire.CancelRequest{Jobs: jobs, Write: write})
	return out.GetWritten(), err
}

// addJob records a job in flight, and starts the heartbeats to its owner if they
// are not active.
func (c *Client) addJob(address string, cancel context.CancelCauseFunc) (*owner, *inFlightJob, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owner(address)
	c.lastID++
	job := &inFlightJob{cancel: cancel, sent: time.Now(), sentTime: o.estimateTime(c.cfg.Clock(), 0), epoch: o.epoch}
	o.inFlight[c.lastID] = job
	c.startHeartbeats(o)
	return o, job, c.lastID
}

// removeJob removes a job that is no longer in flight.
func (c *Client) removeJob(o *owner, id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(o.inFlight, id)
}

// recordReply records the load report, the clock and the epoch of a reply. A reply to
// a job that did not run may lack the load report.
func (c *Client) recordReply(o *owner, l *wire.PoolLoad, t *wire.OwnerTime, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.observeTime(c.cfg.Clock(), t)
	if l == nil {
		return
	}
	o.lastReply, o.epoch = c.cfg.Clock(), epoch
	o.heartbeatSent, o.unresponsiveSince = time.Time{}, time.Time{}
	o.load = Load{
		ForecastWait: time.Duration(l.WaitMs) * time.Millisecond, FreeCPU: l.FreeCpu, CPU: l.Cpu,
		Queued: int(l.Queued), Rooms: roomsFromWire(l.Rooms), Draining: l.Draining, ReportedAt: time.Now(),
	}
}

// observeTime records a reading of the owner's clock, unless a later one has
// overtaken it.
func (o *owner) observeTime(now time.Time, t *wire.OwnerTime) {
	if t == nil {
		return
	}
	if t.Incarnation != o.incarnation {
		o.incarnation = t.Incarnation
		o.time.Reset()
	}
	reading := time.Duration(t.Ms) * time.Millisecond
	if !o.time.Known() || reading >= o.time.At(now) {
		o.time.Observe(now, reading)
	}
}

// estimateTime returns the estimate of the owner's clock a time ago, or nil if it is
// unknown.
func (o *owner) estimateTime(now time.Time, ago time.Duration) *wire.OwnerTime {
	if !o.time.Known() {
		return nil
	}
	then := o.time.At(now) - time.Duration(float64(ago)*(1+maxClockDrift))
	return &wire.OwnerTime{Incarnation: o.incarnation, Ms: then.Milliseconds()}
}

// markUnresponsive records that an owner has just failed to reply.
func (c *Client) markUnresponsive(o *owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o.load = Load{UnresponsiveAt: time.Now()}
	o.heartbeatSent = time.Time{}
	if o.unresponsiveSince.IsZero() {
		o.unresponsiveSince = time.Now()
	}
}

// Close stops the heartbeats and closes idle connections. It waits until the
// heartbeats have stopped.
func (c *Client) Close() {
	c.cancel()
	c.wg.Wait()
	c.http.CloseIdleConnections()
}
