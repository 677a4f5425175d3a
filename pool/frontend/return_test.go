package frontend

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
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

const testReturnAfter = 25 * time.Millisecond

// fakeOwner is an owner whose replies a test determines.
type fakeOwner struct {
	wire.Pool
	server *httptest.Server
	// waitMS is the wait that it reports. The job is queued at the owner with the
	// shortest one.
	waitMS atomic.Int64
	// run replies to the nth request to run a job, counted from 0. Requests to start it
	// at once are declined and not counted, unless startsNow returns true.
	run       func(ctx context.Context, n int) (*wire.RunReply, error)
	startsNow func() bool

	mu       sync.Mutex
	requests []*wire.RunRequest
	// lost is set once the replies get lost, and are sent with the heartbeats.
	lost *wire.RunReply
}

func (o *fakeOwner) load() *wire.PoolLoad {
	return &wire.PoolLoad{WaitMs: o.waitMS.Load(), Cpu: 1_000_000, FreeCpu: 1_000_000}
}

func (o *fakeOwner) Run(ctx context.Context, in *wire.RunRequest) (*wire.RunReply, error) {
	if in.OnlyNow && (o.startsNow == nil || !o.startsNow()) {
		return o.reply(wire.RunState_RUN_STATE_REFUSED, scheduler.ReasonBusy), nil
	}
	o.mu.Lock()
	n := len(o.requests)
	o.requests = append(o.requests, in)
	o.mu.Unlock()
	return o.run(ctx, n)
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

// startNow stands in received for a request to start a job at once.
const startNow = -1

// received returns the ReturnAfter of each request in milliseconds, or startNow.
func (o *fakeOwner) received() (all []int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, in := range o.requests {
		if in.OnlyNow {
			all = append(all, startNow)
			continue
		}
		all = append(all, in.ReturnAfterMs)
	}
	return all
}

func (o *fakeOwner) reply(state wire.RunState, reason scheduler.Reason) *wire.RunReply {
	return &wire.RunReply{State: state, Reason: string(reason), Load: o.load(), Epoch: 1}
}

// returned returns the reply of an owner that is behind a longer queue than it had
// reported.
func (o *fakeOwner) returned() *wire.RunReply {
	o.waitMS.Store(1e12)
	return o.reply(wire.RunState_RUN_STATE_REFUSED, scheduler.ReasonReturned)
}

// newFrontendOf returns a Frontend of an instance without targets, beside the owners.
func newFrontendOf(t *testing.T, owners ...*fakeOwner) *Frontend {
	tracer, err := tracing.New("off", "self")
	if err != nil {
		t.Fatal(err)
	}
	m := metrics.New()
	client := relay.NewClient(zap.NewNop(), tracer, "self", 1, time.Now, func() time.Duration { return 0 },
		func() int64 { return 0 }, func(wire.Pool) {}, func() evacuation.Set { return evacuation.Set{} }, func(evacuation.Set) {})
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
		ReturnAfter: testReturnAfter,
	})
}

// Guards against a job that is lost, runs twice or is refused although it may have run,
// when the owner that returned it, or the next one, dies or its reply is lost.
func TestReturnedJobIsHeldByOneOwner(t *testing.T) {
	first := func(reply func(o *fakeOwner, ctx context.Context) (*wire.RunReply, error)) func(*fakeOwner) {
		return func(o *fakeOwner) {
			o.run = func(ctx context.Context, n int) (*wire.RunReply, error) {
				if n > 0 {
					return o.reply(wire.RunState_RUN_STATE_REFUSED, scheduler.ReasonOverloaded), nil
				}
				return reply(o, ctx)
			}
		}
	}
	returns := first(func(o *fakeOwner, _ context.Context) (*wire.RunReply, error) { return o.returned(), nil })
	dies := func(o *fakeOwner) {
		o.run = func(ctx context.Context, _ int) (*wire.RunReply, error) {
			go o.server.CloseClientConnections()
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	completes := func(o *fakeOwner) {
		o.run = func(context.Context, int) (*wire.RunReply, error) {
			return o.reply(wire.RunState_RUN_STATE_COMPLETED, ""), nil
		}
	}
	after := testReturnAfter.Milliseconds()
	for name, tc := range map[string]struct {
		best, other func(*fakeOwner)
		// otherHasRoom is set if the other owner has room once the job is returned.
		otherHasRoom bool
		want         scheduler.Outcome
		// atBest and atOther are the ReturnAfter of the requests there.
		atBest, atOther []int64
	}{
		"another owner takes it":          {returns, completes, false, scheduler.Completed{}, []int64{after}, []int64{0}},
		"another owner starts it at once": {returns, completes, true, scheduler.Completed{}, []int64{after}, []int64{startNow}},
		"the owner that starts it at once dies": {
			returns, dies, true, scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}, []int64{after}, []int64{startNow},
		},
		"the owner dies before it returns it": {
			dies, completes, false, scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}, []int64{after}, nil,
		},
		"the owner dies after it has returned it": {
			first(func(o *fakeOwner, _ context.Context) (*wire.RunReply, error) {
				time.AfterFunc(5*time.Millisecond, o.server.CloseClientConnections)
				return o.returned(), nil
			}), completes, false, scheduler.Completed{}, []int64{after}, []int64{0},
		},
		"the next owner dies": {returns, dies, false, scheduler.Unknown{Reason: scheduler.ReasonOwnerLost}, []int64{after}, []int64{0}},
		"the reply is lost": {
			first(func(o *fakeOwner, ctx context.Context) (*wire.RunReply, error) {
				o.mu.Lock()
				o.lost = o.returned()
				o.mu.Unlock()
				<-ctx.Done()
				return nil, ctx.Err()
			}), completes, false, scheduler.Completed{}, []int64{after}, []int64{0},
		},
		"the next owner is overloaded": {
			returns, func(o *fakeOwner) {
				o.run = func(context.Context, int) (*wire.RunReply, error) {
					return o.reply(wire.RunState_RUN_STATE_REFUSED, scheduler.ReasonOverloaded), nil
				}
			}, false, scheduler.Refused{Reason: scheduler.ReasonOverloaded}, []int64{after}, []int64{0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			best, other := &fakeOwner{}, &fakeOwner{}
			// The waits differ by so much that random factors do not change the order.
			other.waitMS.Store(1e6)
			other.startsNow = func() bool { return tc.otherHasRoom && len(best.received()) > 0 }
			tc.best(best)
			tc.other(other)
			f := newFrontendOf(t, best, other)
			now := time.Now()
			j := scheduler.Job{
				ID: "j", Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second),
				Steps: []scheduler.Step{{Count: 1, CPU: 8_000, Estimate: time.Second}},
			}
			if o := f.Submit(context.Background(), j); o != tc.want {
				t.Errorf("the outcome is %#v, want %#v", o, tc.want)
			}
			if got := best.received(); !slices.Equal(got, tc.atBest) {
				t.Errorf("the best owner got requests with ReturnAfter %v, want %v", got, tc.atBest)
			}
			if got := other.received(); !slices.Equal(got, tc.atOther) {
				t.Errorf("the other owner got requests with ReturnAfter %v, want %v", got, tc.atOther)
			}
		})
	}
}

// Guards against a job that is sent back and forth to the only owner.
func TestOnlyOwnerKeepsJobs(t *testing.T) {
	o := &fakeOwner{}
	o.run = func(context.Context, int) (*wire.RunReply, error) {
		return o.reply(wire.RunState_RUN_STATE_COMPLETED, ""), nil
	}
	now := time.Now()
	newFrontendOf(t, o).Submit(context.Background(), scheduler.Job{ID: "j", Service: "s", Arrived: now, Deadline: now.Add(time.Second)})
	if got := o.received(); !slices.Equal(got, []int64{0}) {
		t.Errorf("the owner got requests with ReturnAfter %v, want one without", got)
	}
}

// Guards against jobs that are returned in deployments whose settings do not ask for it.
func TestJobsAreKeptWithoutTheSetting(t *testing.T) {
	best, other := &fakeOwner{}, &fakeOwner{}
	other.waitMS.Store(1e6)
	best.run = func(context.Context, int) (*wire.RunReply, error) {
		return best.reply(wire.RunState_RUN_STATE_COMPLETED, ""), nil
	}
	f := newFrontendOf(t, best, other)
	f.cfg.ReturnAfter = 0
	now := time.Now()
	f.Submit(context.Background(), scheduler.Job{ID: "j", Service: "s", Arrived: now, Deadline: now.Add(time.Second)})
	if got := best.received(); !slices.Equal(got, []int64{0}) {
		t.Errorf("the owner got requests with ReturnAfter %v, want one without", got)
	}
}
