// Package relay passes jobs between instances: to the owner of targets, and
// back the answer. An owner stops the jobs of a sender that it no longer hears
// of, because the sender's callers send them again elsewhere.
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
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	// beatEvery is the time between two messages to an owner that runs jobs
	// for this instance.
	beatEvery = 250 * time.Millisecond
	// senderTimeout is how long after the last message of a sender its jobs
	// are stopped. With the stop itself it stays below the second after which
	// callers send a job again.
	senderTimeout = 800 * time.Millisecond
	// ownerTimeout is how long an owner may leave beats unanswered before its
	// jobs are given up.
	ownerTimeout = 700 * time.Millisecond
	// beatTimeout bounds one beat.
	beatTimeout = 400 * time.Millisecond
	// dialTimeout bounds a connection to another instance.
	dialTimeout = 300 * time.Millisecond
	// replySlack is how long after a job's deadline its reply is awaited.
	replySlack = 100 * time.Millisecond
	// overdueAfter is how long after it was sent an owner must have received a
	// job; messages between instances take milliseconds.
	overdueAfter = 200 * time.Millisecond
	maxIdle      = 16
)

// Load describes an owner's targets, as of At.
type Load struct {
	ForecastWait time.Duration
	FreeCPU      int64
	CPU          int64
	Queued       int
	Draining     bool
	ReportedAt   time.Time
	// UnresponsiveAt is when the owner did not answer, if it has not answered since.
	UnresponsiveAt time.Time
}

// Client is the client side.
type Client struct {
	log         *zap.Logger
	tracer      *tracing.Tracer
	name        string
	incarnation uint64
	version     func() int64
	newer       func(wire.Pool)
	http        *http.Client
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu     sync.Mutex
	owners map[string]*owner // by address
	last   uint64
}

// owner is another instance that runs jobs for this one.
type owner struct {
	client wire.Pool
	load   Load
	// flights are the jobs on their way there, by id.
	flights map[uint64]*flight
	beating bool
	heard   time.Time
	// epoch is that of the owner's record of this instance's jobs, or 0.
	epoch uint64
	// beats counts the beats sent.
	beats uint64
}

// flight is a job whose reply is awaited.
type flight struct {
	// end ends the wait, with the cause.
	end    context.CancelCauseFunc
	sent   time.Time
	epoch  uint64
	answer *wire.RunReply // guarded by the Relay's mutex
}

var (
	errSilent = errors.New("the owner does not answer")
	// errAnswered: the reply came with a beat.
	errAnswered = errors.New("the connection of the job is silent, its reply came with a beat")
	// errMissing: the owner has not received the job and will not run it.
	errMissing = errors.New("the job has not reached the owner")
)

// NewClient returns a Relay. The version in force goes with every beat; newer
// is called with an owner that has a newer configuration.
func NewClient(log *zap.Logger, tracer *tracing.Tracer, name string, incarnation uint64, version func() int64, newer func(wire.Pool)) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		log: log, tracer: tracer, name: name, incarnation: incarnation, version: version, newer: newer, ctx: ctx, cancel: cancel,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		owners: map[string]*owner{},
	}
}

func (r *Client) owner(address string) *owner {
	o := r.owners[address]
	if o == nil {
		o = &owner{
			client:  wire.NewPoolProtobufClient("http://"+address, r.http),
			flights: map[uint64]*flight{},
		}
		r.owners[address] = o
	}
	return o
}

// Load returns what the owner at the address last said about itself.
func (r *Client) Load(address string) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.owners[address]; o != nil {
		return o.load
	}
	return Load{}
}

// Run passes a job on and returns its answer. Refused is returned only if the
// job certainly does not run there.
func (r *Client) Run(ctx context.Context, address string, now time.Time, j *scheduler.Job) scheduler.Outcome {
	ctx, cancelTimeout := context.WithTimeout(ctx, j.Deadline.Sub(now)+replySlack)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o, f, id := r.begin(address, cancel)
	ctx, span := r.tracer.Start(ctx, "ask owner")
	defer span.End()
	in := toWire(now, j)
	in.Sender, in.Incarnation, in.Id, in.Traceparent = r.name, r.incarnation, id, tracing.Inject(ctx)
	out, err := o.client.Run(ctx, in)
	r.end(o, id)
	if err == nil {
		r.learn(o, out.Load, out.Epoch)
		return fromWire(out)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errAnswered):
		r.log.Info("The connection of a job was silent.", zap.String("job", j.ID), zap.String("owner", address))
		return fromWire(f.answer)
	case errors.Is(cause, errMissing):
		r.log.Info("A job did not reach its owner.", zap.String("job", j.ID), zap.String("owner", address))
		return scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r.silent(o)
		return scheduler.Refused{Reason: scheduler.ReasonNoTarget, RetryAfter: time.Second}
	}
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.ResourceExhausted {
		return scheduler.Refused{Reason: scheduler.ReasonOverloaded, RetryAfter: time.Second}
	}
	r.log.Info("An owner did not answer for a job.", zap.String("job", j.ID), zap.String("owner", address),
		zap.Error(err), zap.NamedError("cause", context.Cause(ctx)))
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return scheduler.Unknown{Reason: scheduler.ReasonDeadline}
	}
	return scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}
}

// begin records a job on its way, and sees to it that the owner hears of this
// instance as long as one is.
func (r *Client) begin(address string, end context.CancelCauseFunc) (*owner, *flight, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.owner(address)
	r.last++
	f := &flight{end: end, sent: time.Now(), epoch: o.epoch}
	o.flights[r.last] = f
	if !o.beating {
		o.beating, o.heard = true, time.Now()
		r.wg.Go(func() { r.beatAlways(o) })
	}
	return o, f, r.last
}

func (r *Client) end(o *owner, id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(o.flights, id)
}

func (r *Client) learn(o *owner, l *wire.PoolLoad, epoch uint64) {
	if l == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.heard, o.epoch = time.Now(), epoch
	o.load = Load{
		ForecastWait: time.Duration(l.WaitMs) * time.Millisecond, FreeCPU: l.FreeCpu, CPU: l.Cpu,
		Queued: int(l.Queued), Draining: l.Draining, ReportedAt: time.Now(),
	}
}

// silent notes that an owner does not answer.
func (r *Client) silent(o *owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.load = Load{UnresponsiveAt: time.Now()}
}

// beatAlways sends beats as long as jobs are on their way, and one after the
// last, which tells the owner that no reply is awaited any more.
func (r *Client) beatAlways(o *owner) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.ctx.Done():
			return
		}
		in := r.nextBeat(o)
		r.beat(o, in)
		if len(in.Jobs) == 0 && r.rest(o) {
			return
		}
	}
}

// rest ends the beats to an owner unless a job is on its way to it again.
func (r *Client) rest(o *owner) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.beating = len(o.flights) > 0
	return !o.beating
}

// nextBeat tells an owner which of its replies are awaited.
func (r *Client) nextBeat(o *owner) *wire.BeatRequest {
	version := r.version()
	r.mu.Lock()
	defer r.mu.Unlock()
	o.beats++
	in := &wire.BeatRequest{
		Sender: r.name, Incarnation: r.incarnation, Configuration: version, Number: o.beats, Last: r.last,
	}
	for id, f := range o.flights {
		in.Jobs = append(in.Jobs, id)
		if time.Since(f.sent) >= overdueAfter {
			in.Overdue = append(in.Overdue, id)
		}
	}
	return in
}

func (r *Client) beat(o *owner, in *wire.BeatRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, beatTimeout)
	defer cancel()
	out, err := o.client.Beat(ctx, in)
	if err == nil {
		r.learn(o, out.Load, out.Epoch)
		r.compare(o, out)
		if out.Configuration > r.version() {
			r.newer(o.client)
		}
		return
	}
	r.silent(o)
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(o.heard) < ownerTimeout {
		return
	}
	r.log.Warn("An owner is silent; its jobs are given up.", zap.Int("jobs", len(o.flights)), zap.Error(err),
		zap.Duration("silent", time.Since(o.heard)))
	for _, f := range o.flights {
		f.end(errSilent)
	}
}

// compare ends the wait for jobs that have ended at the owner, or that it does
// not know.
func (r *Client) compare(o *owner, out *wire.BeatReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range out.Ended {
		if f := o.flights[e.Id]; f != nil && e.Reply != nil {
			f.answer = e.Reply
			f.end(errAnswered)
		}
	}
	for _, id := range out.Missing {
		f := o.flights[id]
		switch {
		case f == nil:
		case f.epoch != 0 && f.epoch == out.Epoch:
			f.end(errMissing)
		default:
			f.end(errSilent)
		}
	}
}

// Close ends all calls.
func (r *Client) Close() {
	r.cancel()
	r.wg.Wait()
	r.http.CloseIdleConnections()
}
