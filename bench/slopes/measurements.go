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
	region           = "gh-south"
	service          = "appraisal-desk"
	callerName       = "slopes"
	token            = "slopes-token"
	entriesPerZone   = 8
	slots            = 8
	connections      = 64
	memoryMB         = 128 << 10
	targetsPerTicket = 1000
	tasksPerJob      = 500
	jobTimeout       = 10 * time.Minute
	// blockingTaskMS is a run time that exceeds the time of the measurement, so
	// that the first task occupies the only slot throughout.
	blockingTaskMS = 120_000
	ticketTimeout  = 60 * time.Second
	// timedTickets is the number of tickets whose propagation is timed.
	timedTickets = 5
	maxParallel  = 32
)

var appraisalService = directory.Service{Name: service, Owner: "bench", ExpectedMS: 1, MaxAttempts: 3}

// startSystem starts the given number of entry processes and one target. It
// applies a ticket with the service and the caller, and waits until it is in
// force.
func (env *environment) startSystem(ctx context.Context, entries int) (*fleet.Fleet, error) {
	f, err := fleet.New(env.bin)
	if err != nil {
		return nil, err
	}
	if err := startProcesses(f, entries); err != nil {
		f.Close()
		return nil, err
	}
	c := directory.Caller{Name: callerName, Team: "bench", Owner: "bench", TokenSHA256: fleet.TokenSHA256(token), Services: []string{service}}
	n, err := f.ApplyTicket(ctx, f.DirectoryState([]directory.Service{appraisalService}, []directory.Caller{c}))
	if err == nil {
		err = f.AwaitTicket(n, ticketTimeout)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	time.Sleep(env.settle)
	return f, nil
}

func startProcesses(f *fleet.Fleet, entries int) error {
	_, err := f.StartTarget(fleet.TargetSpec{Name: "worker", Region: region, AvailabilityZone: zone(0), Rack: "rack",
		Services: []string{service}, Slots: 1, Connections: connections, Speed: 1, MemoryMB: memoryMB})
	if err != nil {
		return err
	}
	var g errgroup.Group
	g.SetLimit(maxParallel)
	for i := range entries {
		g.Go(func() error {
			_, err := f.StartEntry(fleet.EntrySpec{Name: fmt.Sprintf("entry-%02d", i), Region: region, AvailabilityZone: zone(i / entriesPerZone), LogLevel: "warn"})
			return err
		})
	}
	return g.Wait()
}

func zone(i int) string { return fmt.Sprintf("zone-%02d", i) }

// observeIdle measures the average resource usage of the entry processes over
// the window. The argument setup is the processor time of the setup.
func (env *environment) observeIdle(f *fleet.Fleet, setup time.Duration) (Measurement, error) {
	before, callsBefore, err := sampleEntries(f)
	if err != nil {
		return Measurement{}, err
	}
	time.Sleep(env.window)
	after, callsAfter, err := sampleEntries(f)
	if err != nil {
		return Measurement{}, err
	}
	m := Measurement{SetupCPU: setup.Seconds() * 1000}
	n := float64(len(after))
	for i, a := range after {
		seconds := a.At.Sub(before[i].At).Seconds()
		m.ResidentBytes += float64(a.ResidentBytes) / n
		m.IdleCPU += 1000 * (a.CPU - before[i].CPU).Seconds() / seconds / n
		m.IdleIO += float64(a.IOBytes-before[i].IOBytes) / seconds / n
	}
	m.IdleStoreCalls = float64(callsAfter-callsBefore) / env.window.Seconds() / n
	return m, nil
}

// sampleEntries samples each entry process. It also returns the number of calls
// to the store so far.
func sampleEntries(f *fleet.Fleet) ([]procstat.Sample, int64, error) {
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

// measureSetup runs do and then observes the idle system. The result includes
// the processor time that the first entry process spent during do.
func (env *environment) measureSetup(f *fleet.Fleet, do func(*fleet.Entry) error) (Measurement, error) {
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
	time.Sleep(env.settle)
	return env.observeIdle(f, after.CPU-before.CPU)
}

// measureTargets configures n targets that the instance list does not contain,
// so that their configured addresses are used. No process listens on these
// addresses, and no task is sent to them.
func measureTargets(ctx context.Context, env *environment, n int) (Measurement, error) {
	f, err := env.startSystem(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return env.measureSetup(f, func(*fleet.Entry) error {
		var number uint64
		for from := 0; from < n; from += targetsPerTicket {
			put := directory.State{Targets: map[string]directory.Target{}}
			for i := from; i < min(n, from+targetsPerTicket); i++ {
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
		return f.AwaitTicket(number, ticketTimeout)
	})
}

// measureTickets applies n tickets that each change one object.
func measureTickets(ctx context.Context, env *environment, n int) (Measurement, error) {
	f, err := env.startSystem(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return env.measureSetup(f, func(*fleet.Entry) error {
		var number uint64
		for i := range n {
			put := directory.State{Teams: map[string]directory.Team{"bench": {Name: "bench", Weight: 2 + i}}}
			if number, err = f.ApplyTicket(ctx, put); err != nil {
				return err
			}
		}
		return f.AwaitTicket(number, ticketTimeout)
	})
}

// measurePeers observes n entry processes, eight per availability zone. It also
// measures how long a ticket takes until all of them have it in force.
func measurePeers(ctx context.Context, env *environment, n int) (Measurement, error) {
	f, err := env.startSystem(ctx, n)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	m, err := env.measureSetup(f, func(*fleet.Entry) error { return nil })
	for i := 0; err == nil && i < timedTickets; i++ {
		var took time.Duration
		took, err = propagationTime(ctx, f, 2+i)
		m.PropagationTime = max(m.PropagationTime, took.Seconds()*1000)
	}
	return m, err
}

// propagationTime applies a ticket and returns the time from its acceptance
// until all entry processes have it in force. The processes are polled one
// after the other, which is included in the time.
func propagationTime(ctx context.Context, f *fleet.Fleet, weight int) (time.Duration, error) {
	put := directory.State{Teams: map[string]directory.Team{"bench": {Name: "bench", Weight: weight}}}
	number, err := f.ApplyTicket(ctx, put)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	err = f.AwaitTicket(number, ticketTimeout)
	return time.Since(accepted), err
}

func newClient(e *fleet.Entry) (*caller.Client, error) {
	return caller.New(caller.Config{Caller: callerName, Token: token, Bases: []string{e.URL()}})
}

// measureSessions opens n sessions at the entry process.
func measureSessions(ctx context.Context, env *environment, n int) (Measurement, error) {
	f, err := env.startSystem(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return env.measureSetup(f, func(e *fleet.Entry) error {
		c, err := newClient(e)
		if err != nil {
			return err
		}
		var g errgroup.Group
		g.SetLimit(maxParallel)
		for range n {
			g.Go(func() error {
				_, err := c.Open(ctx)
				return err
			})
		}
		return g.Wait()
	})
}

// measureQueuedTasks fills the queue with n tasks, the first of which occupies
// the only slot.
func measureQueuedTasks(ctx context.Context, env *environment, n int) (Measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := env.startSystem(ctx, 1)
	if err != nil {
		return Measurement{}, err
	}
	defer f.Close()
	return env.measureSetup(f, func(e *fleet.Entry) error {
		c, err := newClient(e)
		if err != nil {
			return err
		}
		s, err := c.Open(ctx)
		if err != nil {
			return err
		}
		payload, err := json.Marshal(map[string]int{"run_ms": blockingTaskMS})
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
