package frontend

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/relay"
)

// newFrontend returns a Frontend whose instance owns all targets itself. A job
// is run by submit.
func newFrontend(t *testing.T, submit func(ctx context.Context, j scheduler.Job) (scheduler.Outcome, error)) *Frontend {
	m := metrics.New()
	t.Cleanup(func() { _ = m.Close() })
	return New(Config{
		Log: zap.NewNop(), Metrics: m, Zone: "a", Clock: time.Now, SelfAddress: "self:1", Submit: submit,
		ShardHolders: func(string) map[ownership.Shard]ownership.Claim {
			return map[ownership.Shard]ownership.Claim{{Service: "s", Zone: "a"}: {Holder: "self", Address: "self:1"}}
		},
		Load: func() relay.Load { return relay.Load{} }, OwnersChanging: func() bool { return false },
		MayHaveRun: func(string) bool { return false },
	})
}

// Guards against a job that runs twice when a second copy of it arrives while
// the first one runs, and against a job that is withdrawn when only one of its
// callers disconnects.
func TestDuplicateSubmissionSharesTheJob(t *testing.T) {
	var requests atomic.Int64
	release := make(chan struct{})
	d := newFrontend(t, func(ctx context.Context, _ scheduler.Job) (scheduler.Outcome, error) {
		requests.Add(1)
		select {
		case <-release:
			return scheduler.Completed{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	firstCaller, disconnect := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.Submit(firstCaller, scheduler.Job{ID: "j", Service: "s"}) })
	answers := make(chan scheduler.Outcome, 2)
	for range 2 {
		wg.Go(func() { answers <- d.Submit(context.Background(), scheduler.Job{ID: "j", Service: "s"}) })
	}
	for d.waiters("j") < 3 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	for d.waiters("j") > 2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	wg.Wait()
	for range 2 {
		if o := <-answers; o != (scheduler.Completed{}) {
			t.Errorf("the outcome is %#v, want completed", o)
		}
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the owner received the job %d times, want once", n)
	}
}

// waiters returns the number of Submit calls that wait for the job.
func (f *Frontend) waiters(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job := f.inFlight[id]; job != nil {
		return job.waiters
	}
	return 0
}

// Guards against a job that runs at a second owner although the first one may
// have started it, and against a refusal while another owner could be tried.
func TestNextOwnerIsTriedOnlyAfterRefusal(t *testing.T) {
	for _, tc := range []struct {
		answer   scheduler.Outcome
		requests int64
		// want is the outcome, or nil if it is the answer.
		want scheduler.Outcome
	}{
		{scheduler.Unknown{Reason: scheduler.ReasonDeadline}, 1, nil},
		{scheduler.Failed{Reason: "x"}, 1, nil},
		// An earlier submission of a cancelled job may have run.
		{scheduler.Refused{Reason: scheduler.ReasonCancelled}, 1, scheduler.Unknown{Reason: scheduler.ReasonCancelled}},
		// The owner is first asked to start the job at once, then to queue it.
		{scheduler.Refused{Reason: scheduler.ReasonBusy}, 2, nil},
		{scheduler.Refused{Reason: scheduler.ReasonNoTarget}, 2, nil},
		// Another owner may have a target with the label or the capacity.
		{scheduler.Refused{Reason: scheduler.ReasonNeverFits}, 2, nil},
	} {
		var requests atomic.Int64
		d := newFrontend(t, func(context.Context, scheduler.Job) (scheduler.Outcome, error) {
			requests.Add(1)
			return tc.answer, nil
		})
		o := d.Submit(context.Background(), scheduler.Job{ID: "j", Service: "s"})
		want := tc.answer
		if tc.want != nil {
			want = tc.want
		}
		if o != want || requests.Load() != tc.requests {
			t.Errorf("%#v after %d requests, want %#v after %d", o, requests.Load(), want, tc.requests)
		}
	}
}

// Guards against a job that runs on after it was cancelled by its ID, and
// against a job that counts as cancelled although it is unknown.
func TestCancel(t *testing.T) {
	d := newFrontend(t, func(ctx context.Context, _ scheduler.Job) (scheduler.Outcome, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if d.CancelOwn("k") {
		t.Error("an unknown job was cancelled")
	}
	time.AfterFunc(20*time.Millisecond, func() {
		if !d.CancelOwn("j") {
			t.Error("the job in flight is unknown")
		}
	})
	want := scheduler.Unknown{Reason: scheduler.ReasonCancelled}
	if o := d.Submit(context.Background(), scheduler.Job{ID: "j", Service: "s"}); o != want {
		t.Errorf("the outcome is %#v, want unknown because of the cancellation", o)
	}
}

// Guards against a job that runs although its cancellation has overtaken it, and
// against one that was refused by its owner for that reason and counts as never run.
func TestJobCancelledBeforeItArrivesDoesNotRun(t *testing.T) {
	requests := 0
	d := newFrontend(t, func(context.Context, scheduler.Job) (scheduler.Outcome, error) {
		requests++
		return scheduler.Refused{Reason: scheduler.ReasonCancelled}, nil
	})
	d.CancelOwn("early")
	want := scheduler.Unknown{Reason: scheduler.ReasonCancelled}
	if o := d.Submit(context.Background(), scheduler.Job{ID: "early", Service: "s"}); o != want || requests > 0 {
		t.Errorf("the outcome is %#v after %d requests, want %#v after none", o, requests, want)
	}
	if o := d.Submit(context.Background(), scheduler.Job{ID: "other", Service: "s"}); o != want || requests != 1 {
		t.Errorf("the outcome is %#v after %d requests, want %#v after one", o, requests, want)
	}
}

// Guards against a job that is sent to an owner without free capacity for it
// while another owner has enough.
func TestOwnerWithFreeCapacityIsTriedFirst(t *testing.T) {
	now := time.Now()
	load := func(wait time.Duration, free int64) relay.Load {
		return relay.Load{ReportedAt: now, ForecastWait: wait, FreeCPU: free}
	}
	j := &scheduler.Job{Steps: []scheduler.Step{{Count: 4, CPU: 27_000}, {Count: 9, CPU: 27_000, After: []int{0}}}}
	need := cpuToStart(j)
	if need != 108_000 {
		t.Fatalf("the first tasks need %d thousandths of a core, want 108000", need)
	}
	for name, tc := range map[string]struct{ better, worse candidate }{
		"no capacity":       {candidate{sameZone: true, load: load(0, 200_000)}, candidate{sameZone: true, load: load(0, 50_000)}},
		"other zone":        {candidate{load: load(0, 200_000)}, candidate{sameZone: true, load: load(0, 0)}},
		"a little short":    {candidate{sameZone: true, load: load(0, 100_000)}, candidate{load: load(0, 200_000)}},
		"longer queue":      {candidate{sameZone: true, load: load(0, 50_000)}, candidate{sameZone: true, load: load(90*time.Millisecond, 200_000)}},
		"old report":        {candidate{sameZone: true, load: relay.Load{ReportedAt: now.Add(-time.Minute)}}, candidate{sameZone: true, load: load(0, 0)}},
		"overdue heartbeat": {candidate{sameZone: true, load: load(time.Second, 0)}, candidate{sameZone: true, load: relay.Load{Overdue: true}}},
		"no longer unresponsive": {
			candidate{sameZone: true, load: relay.Load{UnresponsiveAt: now.Add(-time.Minute)}}, candidate{sameZone: true, load: load(0, 0)},
		},
	} {
		if b, w := tc.better.cost(now, need), tc.worse.cost(now, need); b >= w {
			t.Errorf("%s: cost %v of the better owner, not below %v of the other", name, b, w)
		}
	}
}

// Guards against an offer of a job that was turned away to an owner that would turn it
// away as well, and against a refusal while another owner has room for its priority.
func TestOwnerWithRoomForThePriority(t *testing.T) {
	now := time.Now()
	load := relay.Load{ReportedAt: now, Rooms: []scheduler.PriorityRoom{
		{Priority: 0, ForecastWait: 20 * time.Millisecond}, {Priority: 1, ForecastWait: time.Second}, {Priority: 2, TurnsAway: true},
	}}
	for priority, want := range []bool{true, false, false, false} {
		if got := (candidate{load: load}).hasRoom(now, priority, 100*time.Millisecond); got != want {
			t.Errorf("priority %d: room %v, want %v", priority, got, want)
		}
	}
	for name, edit := range map[string]func(*relay.Load){
		"old report": func(l *relay.Load) { l.ReportedAt = now.Add(-maxLoadAge) },
		"draining":   func(l *relay.Load) { l.Draining = true },
		"overdue":    func(l *relay.Load) { l.Overdue = true },
	} {
		l := load
		edit(&l)
		if (candidate{load: l}).hasRoom(now, 0, 100*time.Millisecond) {
			t.Errorf("%s: the owner has room", name)
		}
	}
}

// Guards against a job that is sent to an unresponsive owner, whose outcome would
// be unknown, and against an owner that gets no jobs after it has recovered.
func TestUnresponsiveOwnerGetsNoJobs(t *testing.T) {
	for since, want := range map[time.Duration]int{0: 0, unresponsivePeriod / 2: 0, 2 * unresponsivePeriod: 1} {
		d := newFrontend(t, nil)
		d.cfg.Load = func() relay.Load { return relay.Load{UnresponsiveAt: time.Now().Add(-since)} }
		if got := d.rankedOwners(&scheduler.Job{Service: "s"}); len(got) != want {
			t.Errorf("%v after the owner failed to reply, %d owners may get a job, want %d", since, len(got), want)
		}
	}
}

// Guards against a job that is refused although targets will have an owner before
// its latest start, and against one that is kept longer than that.
func TestJobWaitsForAnOwnerUntilItsLatestStart(t *testing.T) {
	const estimate = 200 * time.Millisecond
	for name, tc := range map[string]struct {
		changing bool
		owned    time.Duration // when the owner accepts jobs
		deadline time.Duration
		complete bool
	}{
		"owner in time":      {true, 60 * time.Millisecond, time.Second, true},
		"owner too late":     {true, time.Hour, time.Second, false},
		"deadline too near":  {true, 120 * time.Millisecond, estimate + 30*time.Millisecond, false},
		"no owner is coming": {false, 60 * time.Millisecond, time.Second, false},
	} {
		begin := time.Now()
		d := newFrontend(t, func(context.Context, scheduler.Job) (scheduler.Outcome, error) {
			if time.Since(begin) < tc.owned {
				return scheduler.Refused{Reason: scheduler.ReasonNoTarget}, nil
			}
			return scheduler.Completed{}, nil
		})
		d.cfg.OwnersChanging = func() bool { return tc.changing }
		j := scheduler.Job{
			ID: "j", Service: "s", Stretch: 2, Arrived: begin, Deadline: begin.Add(tc.deadline),
			Steps: []scheduler.Step{{Count: 1, Estimate: estimate}},
		}
		_, completed := d.Submit(context.Background(), j).(scheduler.Completed)
		if completed != tc.complete || time.Since(begin) > 300*time.Millisecond {
			t.Errorf("%s: completed is %v after %v, want %v before the latest start", name, completed, time.Since(begin), tc.complete)
		}
	}
}

// Guards against jobs that are delayed because they are sent to one full owner
// after the other, which also costs the owners processor time under full load.
func TestFullOwnersAreTriedOnce(t *testing.T) {
	j := scheduler.Job{ID: "j", Service: "s", Steps: []scheduler.Step{{Count: 2, CPU: 27_000}}}
	for name, tc := range map[string]struct {
		load relay.Load
		want []bool // MustStartNow of each request
	}{
		"capacity":     {relay.Load{FreeCPU: 200_000}, []bool{true, false}},
		"no capacity":  {relay.Load{FreeCPU: 50_000}, []bool{false}},
		"queue":        {relay.Load{FreeCPU: 200_000, Queued: 1}, []bool{false}},
		"no report":    {relay.Load{ReportedAt: time.Unix(1, 0)}, []bool{true, false}},
		"older report": {relay.Load{ReportedAt: time.Now().Add(-2 * maxFullReportAge)}, []bool{true, false}},
	} {
		var requests []bool
		d := newFrontend(t, func(_ context.Context, j scheduler.Job) (scheduler.Outcome, error) {
			requests = append(requests, j.MustStartNow)
			return scheduler.Refused{Reason: scheduler.ReasonBusy}, nil
		})
		d.cfg.Load = func() relay.Load {
			l := tc.load
			if l.ReportedAt.IsZero() {
				l.ReportedAt = time.Now()
			}
			return l
		}
		d.Submit(context.Background(), j)
		if !slices.Equal(requests, tc.want) {
			t.Errorf("%s: requests to start at once: %v, want %v", name, requests, tc.want)
		}
	}
}

// Guards against the answer that a job has not run, when a target is known to have
// crashed under an earlier submission of it.
func TestJobThatHasRunBeforeIsNotRefused(t *testing.T) {
	for reason, want := range map[scheduler.Reason]scheduler.Outcome{
		scheduler.ReasonOverloaded: scheduler.Unknown{Reason: scheduler.ReasonOverloaded},
		scheduler.ReasonNoTarget:   scheduler.Unknown{Reason: scheduler.ReasonNoTarget},
		scheduler.ReasonDraining:   scheduler.Unknown{Reason: scheduler.ReasonDraining},
	} {
		f := newFrontend(t, func(context.Context, scheduler.Job) (scheduler.Outcome, error) {
			return scheduler.Refused{Reason: reason}, nil
		})
		f.cfg.MayHaveRun = func(job string) bool { return job == "ran" }
		if o := f.Submit(context.Background(), scheduler.Job{ID: "ran", Service: "s"}); o != want {
			t.Errorf("%s: the outcome is %#v, want %#v", reason, o, want)
		}
		if o := f.Submit(context.Background(), scheduler.Job{ID: "new", Service: "s"}); o != (scheduler.Refused{Reason: reason}) {
			t.Errorf("%s: the outcome of a job that has not run is %#v", reason, o)
		}
	}
}
