package frontend

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/relay"
	"marigoldfront.dev/wire"
)

// fakeOwner is an owner whose replies a test determines.
type fakeOwner struct {
	wire.Pool
	server *httptest.Server
	// waitMS is the wait that it reports. The job is queued at the owner with the
	// shortest one.
	waitMS atomic.Int64
	// turnsAway is set if it reports that it has no room for the priority of the job.
	turnsAway bool
	// run replies to the requests to queue a job. Requests to start it at once are
	// declined and not counted.
	run func(ctx context.Context) (*wire.RunReply, error)

	mu       sync.Mutex
	requests int
	// lost is set once the replies get lost, and are sent with the heartbeats.
	lost *wire.RunReply
}

func (o *fakeOwner) load() *wire.PoolLoad {
	return &wire.PoolLoad{
		WaitMs: o.waitMS.Load(), Cpu: 1_000_000, FreeCpu: 1_000_000, Rooms: []*wire.PriorityRoom{{TurnsAway: o.turnsAway}},
	}
}

func (o *fakeOwner) Run(ctx context.Context, in *wire.RunRequest) (*wire.RunReply, error) {
	if in.OnlyNow {
		return o.reply(wire.RunState_RUN_STATE_REFUSED, scheduler.ReasonBusy), nil
	}
	o.mu.Lock()
	o.requests++
	o.mu.Unlock()
	return o.run(ctx)
}

func (o *fakeOwner) Beat(_ context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := &wire.BeatReply{Load: o.load(), Epoch: 1}
	if o.lost != nil {
		for _, id := range in.Jobs {
			out.Ended = append(out.Ended, &wire.EndedJob{Id: id, Reply: o.lost})
		}
	}
	return out, nil
}

// received returns the number of requests to queue a job.
func (o *fakeOwner) received() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.requests
}

func (o *fakeOwner) reply(state wire.RunState, reason scheduler.Reason) *wire.RunReply {
	return &wire.RunReply{State: state, Reason: string(reason), Load: o.load(), Epoch: 1}
}

// turnedAway returns the reply of an owner that has less room than it had reported.
func (o *fakeOwner) turnedAway() *wire.RunReply {
	return o.reply(wire.RunState_RUN_STATE_REFUSED, scheduler.ReasonOverloaded)
}

// newFrontendOf returns a Frontend of an instance without targets, beside the owners.
func newFrontendOf(t *testing.T, owners ...*fakeOwner) *Frontend {
	tracer, err := tracing.New("off", "self")
	if err != nil {
		t.Fatal(err)
	}
	m := metrics.New()
	client := relay.NewClient(relay.ClientConfig{
		Log: zap.NewNop(), Tracer: tracer, Name: "self", Incarnation: 1, Clock: time.Now,
		StallAge: func() time.Duration { return 0 }, Version: func() int64 { return 0 }, OnNewerConfiguration: func(wire.Pool) {},
		Evacuation: func() evacuation.Set { return evacuation.Set{} }, OnEvacuation: func(evacuation.Set) {},
	})
	t.Cleanup(func() { client.Close(); _ = m.Close() })
	holders := map[ownership.Shard]ownership.Claim{}
	for i, o := range owners {
		o.server = httptest.NewServer(wire.NewPoolServer(o))
		t.Cleanup(o.server.Close)
		address := o.server.Listener.Addr().String()
		holders[ownership.Shard{Service: "s", Zone: "a", Index: i}] = ownership.Claim{Holder: fmt.Sprint(i), Address: address}
		// The owners are asked by their load reports.
		if !client.Serving(address, 0) {
			t.Fatal("an owner does not serve")
		}
	}
	return New(Config{
		Log: zap.NewNop(), Metrics: m, Tracer: tracer, Zone: "a", Clock: time.Now, SelfAddress: "self:1", RelayClient: client,
		ShardHolders:   func(string) map[ownership.Shard]ownership.Claim { return holders },
		OwnersChanging: func() bool { return false }, MayHaveRun: func(string) bool { return false },
	})
}

// Guards against a job that is lost, runs twice or is refused although it may have run,
// when the owner that turned it away, or the next one, dies or its reply is lost, and
// against a refusal with the reason of an owner that could not have run the job anyway.
func TestJobThatWasTurnedAwayIsHeldByOneOwner(t *testing.T) {
	type reply func(o *fakeOwner, ctx context.Context) (*wire.RunReply, error)
	turnsAway := func(o *fakeOwner, _ context.Context) (*wire.RunReply, error) { return o.turnedAway(), nil }
	refuses := func(r scheduler.Reason) reply {
		return func(o *fakeOwner, _ context.Context) (*wire.RunReply, error) {
			return o.reply(wire.RunState_RUN_STATE_REFUSED, r), nil
		}
	}
	completes := func(o *fakeOwner, _ context.Context) (*wire.RunReply, error) {
		return o.reply(wire.RunState_RUN_STATE_COMPLETED, ""), nil
	}
	dies := func(o *fakeOwner, ctx context.Context) (*wire.RunReply, error) {
		go o.server.CloseClientConnections()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, tc := range map[string]struct {
		best, other reply
		// otherTurnsAway is set if the other owner reports no room for the priority.
		otherTurnsAway bool
		want           scheduler.Outcome
		// atBest and atOther are the numbers of requests there.
		atBest, atOther int
	}{
		"another owner takes it":    {turnsAway, completes, false, scheduler.Completed{}, 1, 1},
		"the other one has no room": {turnsAway, completes, true, scheduler.Refused{Reason: scheduler.ReasonOverloaded}, 1, 0},
		"the owner dies before it turns it away": {
			dies, completes, false, scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}, 1, 0,
		},
		"the owner dies after it has turned it away": {
			func(o *fakeOwner, _ context.Context) (*wire.RunReply, error) {
				time.AfterFunc(5*time.Millisecond, o.server.CloseClientConnections)
				return o.turnedAway(), nil
			}, completes, false, scheduler.Completed{}, 1, 1,
		},
		"the next owner dies": {turnsAway, dies, false, scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}, 1, 1},
		"the reply is lost": {
			func(o *fakeOwner, ctx context.Context) (*wire.RunReply, error) {
				o.mu.Lock()
				o.lost = o.turnedAway()
				o.mu.Unlock()
				<-ctx.Done()
				return nil, ctx.Err()
			}, completes, false, scheduler.Completed{}, 1, 1,
		},
		"the next owner has no target for it": {
			refuses(scheduler.ReasonDeadline), refuses(scheduler.ReasonNeverFits), false, scheduler.Refused{Reason: scheduler.ReasonDeadline}, 1, 1,
		},
		"only the next owner has a target for it": {
			refuses(scheduler.ReasonNeverFits), refuses(scheduler.ReasonDeadline), false, scheduler.Refused{Reason: scheduler.ReasonDeadline}, 1, 1,
		},
		"no target is large enough": {
			refuses(scheduler.ReasonNeverFits), refuses(scheduler.ReasonNoTarget), false, scheduler.Refused{Reason: scheduler.ReasonNeverFits}, 1, 1,
		},
		"the next owner turns it away": {turnsAway, turnsAway, false, scheduler.Refused{Reason: scheduler.ReasonOverloaded}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			best, other := &fakeOwner{}, &fakeOwner{turnsAway: tc.otherTurnsAway}
			// The waits differ by so much that random factors do not change the order.
			other.waitMS.Store(1e6)
			best.run = func(ctx context.Context) (*wire.RunReply, error) { return tc.best(best, ctx) }
			other.run = func(ctx context.Context) (*wire.RunReply, error) { return tc.other(other, ctx) }
			f := newFrontendOf(t, best, other)
			now := time.Now()
			j := scheduler.Job{
				ID: "j", Service: "s", Stretch: 2, Arrived: now, Deadline: now.Add(5 * time.Second),
				Steps: []scheduler.Step{{Count: 1, CPU: 8_000, Estimate: time.Second}},
			}
			if o := f.Submit(context.Background(), j); o != tc.want {
				t.Errorf("the outcome is %#v, want %#v", o, tc.want)
			}
			if got := best.received(); got != tc.atBest {
				t.Errorf("the best owner got %d requests, want %d", got, tc.atBest)
			}
			if got := other.received(); got != tc.atOther {
				t.Errorf("the other owner got %d requests, want %d", got, tc.atOther)
			}
		})
	}
}
