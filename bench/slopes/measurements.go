package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/procstat"
	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/directory"
)

const (
	region      = "gh-south"
	service     = "appraisal-desk"
	callerName  = "slopes"
	token       = "slopes-token"
	perZone     = 8
	slots       = 8
	connections = 64
	memoryMB    = 128 << 10
	perTicket   = 1000
	tasksPerJob = 500
	jobTimeout  = 10 * time.Minute
	// blockMS keeps the only slot busy for longer than the observation.
	blockMS     = 120_000
	ticketLimit = 60 * time.Second
	// ticketRounds is how many tickets are timed.
	ticketRounds = 5
	parallel     = 32
)

var desk = directory.Service{Name: service, Owner: "bench", ExpectedMS: 1, MaxAttempts: 3}

// system starts one entry process and one target, and puts the service and
// the caller in force.
func (r *run) system(ctx context.Context, entries int) (*fleet.Fleet, error) {
	f, err := fleet.New(r.bin)
	if err != nil {
		return nil, err
	}
	if err := startAll(f, entries); err != nil {
		f.Close()
		return nil, err
	}
	c := directory.Caller{Name: callerName, Team: "bench", Owner: "bench", TokenSHA256: fleet.TokenSHA256(token), Services: []string{service}}
	n, err := f.ApplyTicket(ctx, f.DirectoryState([]directory.Service{desk}, []directory.Caller{c}))
	if err == nil {
		err = f.AwaitTicket(n, ticketLimit)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	time.Sleep(r.settle)
	return f, nil
}

func startAll(f *fleet.Fleet, entries int) error {
	_, err := f.StartTarget(fleet.TargetSpec{Name: "worker", Region: region, AvailabilityZone: zone(0), Rack: "rack",
		Services: []string{service}, Slots: 1, Connections: connections, Speed: 1, MemoryMB: memoryMB})
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range entries {
		g.Go(func() error {
			_, err := f.StartEntry(fleet.EntrySpec{Name: fmt.Sprintf("entry-%02d", i), Region: region, AvailabilityZone: zone(i / perZone), LogLevel: "warn"})
			return err
		})
	}
	return g.Wait()
}

func zone(i int) string { return fmt.Sprintf("zone-%02d", i) }

// observe reads what the entry processes use on average while idle.
func (r *run) observe(f *fleet.Fleet, setup time.Duration) (Measurement, error) {
	before, callsBefore, err := sample(f)
	if err != nil {
		return Measurement{}, err
	}
	time.Sleep(r.window)
	after, callsAfter, err := sample(f)
	if err != nil {
		return Measurement{}, err
	}
	p := Measurement{SetupCPU: setup.Seconds() * 1000}
	n := float64(len(after))
	for i, a := range after {
		seconds := a.At.Sub(before[i].At).Seconds()
		p.ResidentBytes += float64(a.ResidentBytes) / n
		p.IdleCPU += 1000 * (a.CPU - before[i].CPU).Seconds() / seconds / n
		p.IdleIO += float64(a.IOBytes-before[i].IOBytes) / seconds / n
	}
	p.IdleStoreCalls = float64(callsAfter-callsBefore) / r.window.Seconds() / n
	return p, nil
}

func sample(f *fleet.Fleet) ([]procstat.Sample, int64, error) {
	var l []procstat.Sample
	for _, e := range f.Entries() {
		s, err := e.Sample()
		if err != nil {
			return nil, 0, err
		}
		l = append(l, s)
	}
	calls, err := f.Platform.StoreCalls()
	return l, calls, err
}

// setUp runs do and then observes, with the processor time that do took from
// the first entry process.
func (r *run) setUp(f *fleet.Fleet, do func(*fleet.Entry) error) (Measurement, error) {
	e := f.Entries()[0]
	before, err := e.Sample()
	if err != nil {
		return Measurement{}, err
	}
	if err := do(e); err != nil {
		return Measurement{}, err
	}
	after, err := e.Sample()
	if err != nil {
		return Measurement{}, err
	}
	time.Sleep(r.settle)
	return r.observe(f, after.CPU-before.CPU)
}

// targets configures n targets that the list does not name, so that their
// configured addresses hold. Nothing listens there and nothing is sent.
func targets(ctx context.Context, r *run, n int) (Measurement, error) {
	f, err := r.system(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return r.setUp(f, func(*fleet.Entry) error {
		var number uint64
		for from := 0; from < n; from += perTicket {
			put := directory.State{Targets: map[string]directory.Target{}}
			for i := from; i < min(n, from+perTicket); i++ {
				name := fmt.Sprintf("worker-%05d", i)
				put.Targets[name] = directory.Target{Name: name, Services: []string{service}, Region: region,
					AvailabilityZone: zone(0), Rack: fmt.Sprintf("rack-%03d", i/8),
					Address: fmt.Sprintf("127.1.%d.%d:7500", i/250, 1+i%250),
					Slots:   slots, Connections: connections, MemoryMB: memoryMB}
			}
			if number, err = f.ApplyTicket(ctx, put); err != nil {
				return err
			}
		}
		return f.AwaitTicket(number, ticketLimit)
	})
}

// tickets applies n tickets that each change one object.
func tickets(ctx context.Context, r *run, n int) (Measurement, error) {
	f, err := r.system(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return r.setUp(f, func(*fleet.Entry) error {
		var number uint64
		for i := range n {
			put := directory.State{Teams: map[string]directory.Team{"bench": {Name: "bench", Weight: 2 + i}}}
			if number, err = f.ApplyTicket(ctx, put); err != nil {
				return err
			}
		}
		return f.AwaitTicket(number, ticketLimit)
	})
}

// peers observes n entry processes, eight to an availability zone, and how
// long tickets take to reach all of them.
func peers(ctx context.Context, r *run, n int) (Measurement, error) {
	f, err := r.system(ctx, n)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	p, err := r.setUp(f, func(*fleet.Entry) error { return nil })
	for i := 0; err == nil && i < ticketRounds; i++ {
		var took time.Duration
		took, err = propagation(ctx, f, 2+i)
		p.PropagationTime = max(p.PropagationTime, took.Seconds()*1000)
	}
	return p, err
}

// propagation accepts a ticket and waits until all entry processes have it in
// force. Asking them in turn is part of the time.
func propagation(ctx context.Context, f *fleet.Fleet, weight int) (time.Duration, error) {
	put := directory.State{Teams: map[string]directory.Team{"bench": {Name: "bench", Weight: weight}}}
	number, err := f.ApplyTicket(ctx, put)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	err = f.AwaitTicket(number, ticketLimit)
	return time.Since(accepted), err
}

func client(e *fleet.Entry) (*caller.Client, error) {
	return caller.New(caller.Config{Caller: callerName, Token: token, Bases: []string{e.URL()}})
}

func sessions(ctx context.Context, r *run, n int) (Measurement, error) {
	f, err := r.system(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return r.setUp(f, func(e *fleet.Entry) error {
		c, err := client(e)
		if err != nil {
			return err
		}
		var g errgroup.Group
		g.SetLimit(parallel)
		for range n {
			g.Go(func() error {
				_, err := c.Open(ctx)
				return err
			})
		}
		return g.Wait()
	})
}

// queuedTasks fills the queue behind one task that keeps the only slot busy.
func queuedTasks(ctx context.Context, r *run, n int) (Measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := r.system(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return r.setUp(f, func(e *fleet.Entry) error {
		c, err := client(e)
		if err != nil {
			return err
		}
		s, err := c.Open(ctx)
		if err != nil {
			return err
		}
		payload, err := json.Marshal(map[string]int{"run_ms": blockMS})
		if err != nil {
			return err
		}
		for queued := 0; queued < n; queued += tasksPerJob {
			j := caller.Job{Service: service, Timeout: jobTimeout}
			for range min(tasksPerJob, n-queued) {
				j.Tasks = append(j.Tasks, caller.Task{Payload: payload, Declared: time.Millisecond})
			}
			go func() { _, _ = s.Submit(ctx, j) }()
		}
		return awaitQueue(e, n)
	})
}
