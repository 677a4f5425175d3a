package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/core/scheduler"
	infra "marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

// holdingProxy forwards connections to an address. While it holds, nothing passes
// in either direction. What it held is delivered afterwards, and the end of a
// connection finDelay after its last bytes, as a network delivers them.
type holdingProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	released chan struct{} // closed unless the proxy holds
}

const finDelay = 20 * time.Millisecond

func newHoldingProxy(t *testing.T, target string) *holdingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &holdingProxy{listener: l, target: target, released: make(chan struct{})}
	close(p.released)
	t.Cleanup(func() { p.release(); _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.connect(c)
		}
	}()
	return p
}

func (p *holdingProxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = make(chan struct{})
}

func (p *holdingProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.released:
	default:
		close(p.released)
	}
}

func (p *holdingProxy) wait() {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	<-released
}

func (p *holdingProxy) connect(c net.Conn) {
	p.wait()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.forward(c, s)
	go p.forward(s, c)
}

func (p *holdingProxy) forward(from, to net.Conn) {
	buf := make([]byte, 1<<14)
	for {
		n, err := from.Read(buf)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_, _ = io.Copy(io.Discard, from)
				return
			}
		}
		if err != nil {
			time.Sleep(finDelay)
			_ = to.Close()
			return
		}
	}
}

// testOwner is a Server whose targets run each job until its sender gives it up.
type testOwner struct {
	server  *Server
	address string
	// submitted receives each job that would start.
	submitted chan scheduler.Job
	// suspended is added to the owner's clock.
	suspended atomic.Int64
}

const testIncarnation = 77

func newTestOwner(t *testing.T) *testOwner { return startTestOwner(t, "127.0.0.1:0", testIncarnation) }

func startTestOwner(t *testing.T, address string, incarnation uint64) *testOwner {
	return startLimitedOwner(t, address, incarnation, intake.Limits{Memory: 1 << 30, Connections: 1000, Unfinished: 1000})
}

// startLimitedOwner is like startTestOwner, with limits for its senders.
func startLimitedOwner(t *testing.T, address string, incarnation uint64, limits intake.Limits) *testOwner {
	tracer, err := tracing.New("off", "b")
	if err != nil {
		t.Fatal(err)
	}
	guard := infra.New(infra.Config{Limits: limits, BodyTime: time.Minute, WriteTime: time.Minute, Log: zap.NewNop(), Refused: func(intake.Limit) {}, Closed: func(intake.Limit) {}})
	l, err := guard.Listen(address, 1)
	if err != nil {
		t.Fatal(err)
	}
	o := &testOwner{address: l.Addr().String(), submitted: make(chan scheduler.Job, 16)}
	o.server = NewServer(ServerConfig{
		Log: zap.NewNop(), Tracer: tracer, Incarnation: incarnation, Clock: o.now,
		Submit: func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error) {
			o.submitted <- j
			<-ctx.Done()
			return nil, ctx.Err()
		},
		Awaited:       func(scheduler.Awaited) {},
		Cancel:        func([]string, bool) bool { return false },
		Load:          func() *wire.PoolLoad { return &wire.PoolLoad{Cpu: 1} },
		Configuration: func() (int64, []byte) { return 0, nil },
		Evacuation:    func() evacuation.Set { return evacuation.Set{} },
		OnEvacuation:  func(evacuation.Set) {},
		Guard:         guard,
	})
	go func() { _ = o.server.Serve(l) }()
	t.Cleanup(func() { _ = o.server.server.Close(); close(o.server.done) })
	return o
}

// awaitJob waits until a job starts.
func (o *testOwner) awaitJob(t *testing.T) {
	t.Helper()
	select {
	case <-o.submitted:
	case <-time.After(5 * time.Second):
		t.Fatal("no job starts")
	}
}

func (o *testOwner) now() time.Time { return time.Now().Add(time.Duration(o.suspended.Load())) }

// Guards against a job that runs twice: the sender gives up a job that a partition
// holds, its caller sends it again, and the owner starts the first copy when the
// partition ends, before the end of its connection arrives.
func TestJobHeldInPartitionIsNotStarted(t *testing.T) {
	o := newTestOwner(t)
	p := newHoldingProxy(t, o.address)
	r, address := newTestClient(t), p.listener.Addr().String()
	if !r.Serving(address, testIncarnation) {
		t.Fatal("the owner does not serve")
	}
	// The connection of the job must be open before the partition begins.
	j := testJob()
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx, address, j)
	o.awaitJob(t)
	cancel()
	time.Sleep(50 * time.Millisecond)

	j = testJob()
	p.hold()
	if out, ok := r.Run(context.Background(), address, j).(scheduler.Unknown); !ok || out.Reason != scheduler.ReasonOwnerLost {
		t.Fatalf("the outcome of a job in the partition is %v", out)
	}
	p.release()
	select {
	case <-o.submitted:
		t.Errorf("a job is started %v after it was sent, and its sender has given it up", time.Since(j.Arrived))
	case <-time.After(300 * time.Millisecond):
	}
	// New jobs start again.
	for end := time.Now().Add(2 * time.Second); len(o.submitted) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no job starts 2 s after the partition")
		}
		j := testJob()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		r.Run(ctx, address, j)
		cancel()
	}
}

// Guards against an owner that gets no jobs after a restart, because its clock is
// taken for that of the process before it.
func TestRestartedOwnerGetsJobs(t *testing.T) {
	first := newTestOwner(t)
	first.suspended.Store(int64(time.Hour))
	r := newTestClient(t)
	if !r.Serving(first.address, testIncarnation) {
		t.Fatal("the owner does not serve")
	}
	_ = first.server.server.Close()
	second := startTestOwner(t, first.address, testIncarnation+1)
	for end := time.Now().Add(2 * time.Second); len(second.submitted) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the owner gets no job 2 s after its restart")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		r.Run(ctx, first.address, testJob())
		cancel()
	}
	if j := <-second.submitted; time.Since(j.Arrived) > time.Second {
		t.Errorf("the job counts as %v old", time.Since(j.Arrived))
	}
}

// request returns a job that was sent by the owner's clock at the given time.
func (o *testOwner) request(id uint64, sent time.Time) *wire.RunRequest {
	j := testJob()
	in := jobToWire(j.Arrived, j)
	in.Sender, in.Incarnation, in.Id = "a", 1, id
	in.Sent = &wire.OwnerTime{Incarnation: testIncarnation, Ms: sent.UnixMilli()}
	return in
}

// run sends a request and returns the job that is submitted for it, or false if the
// owner refuses it.
func (o *testOwner) run(t *testing.T, in *wire.RunRequest) (scheduler.Job, bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	refused := make(chan *wire.RunReply, 1)
	go func() {
		if out, err := o.server.Run(ctx, in); err == nil && out.State == wire.RunState_RUN_STATE_REFUSED {
			refused <- out
		}
	}()
	select {
	case j := <-o.submitted:
		return j, true
	case out := <-refused:
		if out.Time.GetIncarnation() != testIncarnation {
			t.Errorf("the refusal carries the time %v", out.Time)
		}
		return scheduler.Job{}, false
	case <-time.After(5 * time.Second):
		t.Fatal("the job is neither started nor refused")
	}
	panic("unreachable")
}

// Guards against jobs that an owner starts after a suspension, and against jobs that
// were meant for an earlier incarnation of the owner, whose clock differs.
func TestJobOfUnknownAgeIsRefused(t *testing.T) {
	o := newTestOwner(t)
	if _, ok := o.run(t, o.request(1, o.now())); !ok {
		t.Error("a job that was just sent is refused")
	}
	in := o.request(2, o.now())
	o.suspended.Add(int64(time.Second))
	if _, ok := o.run(t, in); ok {
		t.Error("a job is started that was sent before a suspension of the owner")
	}
	in = o.request(3, o.now())
	in.Sent.Incarnation++
	if _, ok := o.run(t, in); ok {
		t.Error("a job for another incarnation is started")
	}
	for _, ms := range []int64{-1 << 63, 1<<63 - 1} {
		in = o.request(4, o.now())
		in.Sent.Ms = ms
		o.run(t, in)
	}
}

// Guards against jobs that are started or awaited too late, because the time that
// they were under way is not counted.
func TestTransitCountsAsAge(t *testing.T) {
	o := newTestOwner(t)
	sent := o.now().Add(-200 * time.Millisecond)
	j, ok := o.run(t, o.request(1, sent))
	if !ok {
		t.Fatal("the job is refused")
	}
	if d := j.Arrived.Sub(sent).Abs(); d > 2*time.Millisecond {
		t.Errorf("the job arrived at its sender %v away from the time at which it was sent", d)
	}
	if d := j.Deadline.Sub(sent.Add(time.Second)).Abs(); d > 2*time.Millisecond {
		t.Errorf("the deadline is off by %v", d)
	}
}

// Guards against an owner that keeps the jobs of a lost sender running because an
// earlier heartbeat of it arrives late.
func TestLateHeartbeatDoesNotKeepJobsRunning(t *testing.T) {
	o := newTestOwner(t)
	sent := o.now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		_, _ = o.server.Run(ctx, o.request(1, sent))
		close(stopped)
	}()
	o.awaitJob(t)
	time.Sleep(senderTimeout - 100*time.Millisecond)
	_, err := o.server.Beat(ctx, &wire.BeatRequest{
		Sender: "a", Incarnation: 1, Number: 1, Last: 1, Jobs: []uint64{1},
		Sent: &wire.OwnerTime{Incarnation: testIncarnation, Ms: sent.UnixMilli()},
	})
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-stopped:
	case <-time.After(senderTimeout / 2):
		t.Errorf("the job runs %v after the sender's last message was sent", o.now().Sub(sent))
	}
}

// Guards against a late message of a sender's previous incarnation that stops the
// jobs of the current one.
func TestLateMessageOfPreviousIncarnationIsIgnored(t *testing.T) {
	o := newTestOwner(t)
	before := o.now()
	time.Sleep(5 * time.Millisecond)
	in := o.request(1, o.now())
	in.Incarnation = 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		_, _ = o.server.Run(ctx, in)
		close(stopped)
	}()
	o.awaitJob(t)
	if _, ok := o.run(t, o.request(2, before)); ok {
		t.Error("a job of the previous incarnation is started")
	}
	_, err := o.server.Beat(ctx, &wire.BeatRequest{
		Sender: "a", Incarnation: 1, Number: 1,
		Sent: &wire.OwnerTime{Incarnation: testIncarnation, Ms: before.UnixMilli()},
	})
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-stopped:
		t.Error("the job of the current incarnation is stopped")
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against instances that refuse the jobs of earlier versions, which send no
// time, while instances are replaced one after the other.
func TestMessagesWithoutTimeAreTaken(t *testing.T) {
	o := newTestOwner(t)
	in := o.request(1, o.now())
	in.Sent = nil
	if _, ok := o.run(t, in); !ok {
		t.Error("a job without a time is refused")
	}
	out, err := o.server.Beat(context.Background(), &wire.BeatRequest{Sender: "a", Incarnation: 1, Number: 1, Last: 1, Jobs: []uint64{1}})
	if err != nil || len(out.Missing) > 0 || out.Time.GetIncarnation() != testIncarnation {
		t.Errorf("the reply to a heartbeat without a time is %v (%v)", out, err)
	}
}
