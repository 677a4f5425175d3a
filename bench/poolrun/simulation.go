package poolrun

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldfront.dev/bench/eventclock"
	"marigoldfront.dev/core/scheduler"
)

const (
	service = "work"
	// instanceDelay is the one-way network delay between two instances.
	instanceDelay = time.Millisecond
	// recordDelay is the time until a crash is in the store.
	recordDelay = 15 * time.Millisecond
	// noticeDelay is the time until the other owners learn of a crash.
	noticeDelay = 500 * time.Millisecond
	// timerDelay is how late the timer of an instance fires.
	timerDelay = time.Millisecond / 4
	// maxStartOwners is the maximum number of owners that are asked, one after
	// the other, to start a job at once.
	maxStartOwners = 3
)

// simulation is a run of an experiment with a policy.
type simulation struct {
	eventclock.Clock
	exp         Experiment
	policy      Policy
	begin       time.Time
	targetDelay time.Duration
	// rng is the source for the events at the targets. The jobs are drawn from
	// another source in advance, so that all policies receive the same jobs.
	rng           *rand.Rand
	owners        []*owner
	targets       []*target
	jobs          []*job
	jobsByID      map[string]*job
	replyHandlers map[scheduler.RequestID]func(scheduler.Outcome)
	lastRequest   scheduler.RequestID
	// lastDeadline is the latest deadline of a job.
	lastDeadline time.Time
	result       Result
}

// owner is a simulated instance that owns targets. nextWake is the time of its
// timer, or zero.
type owner struct {
	sched    *scheduler.Scheduler
	nextWake time.Time
}

// job is a job to submit. outcome and latency are set once it has been answered.
type job struct {
	id       string
	kind     *JobKind
	tasks    []*task
	cpu      int64
	estimate time.Duration
	arrival  time.Time
	// objective and deadline are relative to the arrival.
	objective, deadline time.Duration
	outcome             scheduler.Outcome
	latency             time.Duration
}

// task is one task of a job. runTime applies to a target of slowness 1.
type task struct {
	job     *job
	runTime time.Duration
}

func newSimulation(exp Experiment, p Policy, seed uint64) *simulation {
	sim := &simulation{
		exp: exp, policy: p, begin: time.Unix(1_700_000_000, 0), targetDelay: ms(exp.Targets.DelayMS), rng: rand.New(rand.NewPCG(seed, 1)),
		jobsByID: map[string]*job{}, replyHandlers: map[scheduler.RequestID]func(scheduler.Outcome){},
		result: Result{Policy: p.Name, Seed: seed},
	}
	sim.Now = sim.begin
	jobRNG := rand.New(rand.NewPCG(seed, 2))
	for range exp.Owners {
		sim.owners = append(sim.owners, &owner{sched: scheduler.New(scheduler.Config{
			Lease: maxLease, MaxClockDrift: 0.02, RemoteRackFactor: 1, Policy: p.schedulerPolicy(),
		})})
	}
	slowness := exp.Targets.assignSlowness(jobRNG)
	for i := range exp.Targets.Count {
		sim.addTarget(i, slowness[i]*math.Exp(jobRNG.NormFloat64()*exp.Targets.SpeedSpread))
	}
	for _, o := range sim.owners {
		sim.sendTargetList(o)
	}
	sim.drawJobs(jobRNG)
	for _, f := range exp.Faults {
		sim.scheduleFault(f, jobRNG.Perm(len(sim.targets)))
	}
	return sim
}

// assignSlowness returns the factor of the run times on each target, without the
// random spread.
func (c *TargetConfig) assignSlowness(rng *rand.Rand) []float64 {
	all := slices.Repeat([]float64{1}, c.Count)
	if len(c.Slowness) == 0 {
		return all
	}
	for i, k := range rng.Perm(c.Count) {
		all[k] = c.Slowness[i%len(c.Slowness)]
	}
	return all
}

func (sim *simulation) addTarget(i int, slowness float64) {
	id := fmt.Sprintf("t%03d", i)
	sim.targets = append(sim.targets, &target{
		sim: sim, owner: sim.owners[i%len(sim.owners)], slowness: slowness, slowFactor: 1,
		running: map[scheduler.RunID]*run{}, highestAttempt: map[scheduler.TaskID]int{},
		listed: scheduler.Target{
			ID: id, Service: service, Address: id, Incarnation: 1, CPU: sim.exp.Targets.CPU[i%len(sim.exp.Targets.CPU)],
			MemoryMB: 1, Fence: 1,
		},
	})
}

// sendTargetList sends an owner the list of its targets.
func (sim *simulation) sendTargetList(o *owner) {
	var ev scheduler.TargetsChanged
	for _, t := range sim.targets {
		if t.owner == o && !t.unlisted {
			ev.Targets = append(ev.Targets, t.listed)
		}
	}
	sim.handle(o, ev)
}

// drawJobs draws all jobs of the run and queues their submissions. Arrivals are a
// Poisson process whose rate increases during bursts.
func (sim *simulation) drawJobs(jobRNG *rand.Rand) {
	at := 0.0
	for n := 0; ; n++ {
		rates, total := sim.rates(at)
		at += jobRNG.ExpFloat64() / total
		if at >= sim.exp.Seconds {
			return
		}
		pick := jobRNG.Float64() * total
		i := 0
		for ; i < len(rates)-1 && pick >= rates[i]; i++ {
			pick -= rates[i]
		}
		j := drawJob(jobRNG, &sim.exp.Kinds[i], fmt.Sprintf("j%06d", n), sim.begin.Add(seconds(at)))
		sim.jobs = append(sim.jobs, j)
		sim.jobsByID[j.id] = j
		if end := j.arrival.Add(j.deadline); end.After(sim.lastDeadline) {
			sim.lastDeadline = end
		}
		sim.At(j.arrival, func() { sim.submit(j) })
	}
}

// rates returns the arrivals per second of each kind of job at a time, and their sum.
func (sim *simulation) rates(at float64) (rates []float64, total float64) {
	shares := 0.0
	for _, k := range sim.exp.Kinds {
		shares += k.Share
	}
	for _, k := range sim.exp.Kinds {
		rate := sim.exp.Rate * k.Share / shares
		for _, f := range sim.exp.Faults {
			if f.Kind == "burst" && at >= f.StartSeconds && at < f.StartSeconds+f.DurationSeconds && (f.JobKind == "" || f.JobKind == k.Name) {
				rate *= f.Magnitude
			}
		}
		rates = append(rates, rate)
		total += rate
	}
	return rates, total
}

// drawJob draws the tasks of a job. The latency objective is derived from the
// longest task.
func drawJob(jobRNG *rand.Rand, k *JobKind, id string, at time.Time) *job {
	j := &job{id: id, kind: k, arrival: at, deadline: time.Duration(k.DeadlineMS) * time.Millisecond}
	work := k.WorkMS * math.Exp(jobRNG.NormFloat64()*k.WorkSpread)
	longest := time.Duration(0)
	for range max(1, k.Tasks/2+jobRNG.IntN(k.Tasks+1)) {
		t := &task{job: j, runTime: ms(work * math.Exp(jobRNG.NormFloat64()*k.TaskSpread))}
		longest = max(longest, t.runTime)
		j.tasks = append(j.tasks, t)
	}
	j.cpu = k.CPU
	if k.CPUSpread > 0 {
		j.cpu = int64(float64(k.CPU) * math.Exp(jobRNG.NormFloat64()*k.CPUSpread))
	}
	if k.MaxCPU > 0 {
		j.cpu = min(j.cpu, k.MaxCPU)
	}
	j.estimate = ms(work * math.Exp(jobRNG.NormFloat64()*k.EstimateSpread))
	j.objective = time.Duration(float64(longest)*max(1, k.Stretch)) + time.Duration(k.SlackMS)*time.Millisecond
	if k.Patience > 0 {
		j.deadline = time.Duration(float64(j.objective) * k.Patience * math.Exp(jobRNG.NormFloat64()*k.PatienceSpread))
	}
	return j
}

func (sim *simulation) taskOf(id scheduler.TaskID) *task { return sim.jobsByID[id.Job].tasks[id.Index] }

// submit submits a job in the same way as the instance that receives it from the
// caller: it asks the owners with the shortest expected wait to start the job at
// once, and then the best of them to queue it.
func (sim *simulation) submit(j *job) {
	order := slices.Clone(sim.owners)
	sim.rng.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	neededCPU := int64(len(j.tasks)) * j.cpu
	expectedWait := func(o *owner) time.Duration {
		st := o.sched.Stats()
		return st.ForecastWait + time.Duration(max(0, neededCPU-st.FreeCPU))*time.Microsecond/4
	}
	slices.SortStableFunc(order, func(a, b *owner) int { return cmp.Compare(expectedWait(a), expectedWait(b)) })
	sim.askOwners(j, order[:min(len(order), maxStartOwners)], order[0])
}

// askOwners submits a job to the first of startOwners, which must start it at
// once or refuse it. After a refusal it asks the next one, and finally
// queueOwner, which may queue the job.
func (sim *simulation) askOwners(j *job, startOwners []*owner, queueOwner *owner) {
	in := scheduler.Job{
		ID: j.id, Queue: j.kind.Name, Service: service, Priority: j.kind.Priority, MaxAttempts: max(1, j.kind.MaxAttempts),
		Stretch: j.kind.Stretch, Slack: time.Duration(j.kind.SlackMS) * time.Millisecond, Arrived: j.arrival,
		Deadline: j.arrival.Add(j.deadline), MustStartNow: len(startOwners) > 0,
		Steps: []scheduler.Step{{Count: len(j.tasks), CPU: j.cpu, Estimate: j.estimate}},
	}
	if sim.policy.KnownRunTimes {
		in.Steps[0].Estimate = j.work() / time.Duration(len(j.tasks))
	}
	dest := queueOwner
	if len(startOwners) > 0 {
		dest = startOwners[0]
	}
	sim.lastRequest++
	id := sim.lastRequest
	sim.replyHandlers[id] = func(o scheduler.Outcome) {
		if _, refused := o.(scheduler.Refused); refused && len(startOwners) > 0 {
			sim.askOwners(j, startOwners[1:], queueOwner)
			return
		}
		j.outcome, j.latency = o, sim.Now.Sub(j.arrival)
	}
	sim.After(instanceDelay, func() { sim.handle(dest, scheduler.Submit{Request: id, Job: in}) })
}

// handle passes an event to the scheduler of an owner, carries out the returned
// actions and schedules the next wake-up.
func (sim *simulation) handle(o *owner, ev scheduler.Event) {
	for _, a := range o.sched.Handle(sim.Now, ev) {
		switch a := a.(type) {
		case scheduler.Start:
			sim.targetByID(a.Target).sendStart(a)
		case scheduler.Stop:
			sim.targetByID(a.Target).sendStop(a)
		case scheduler.Poll:
			sim.targetByID(a.Target).sendPoll(a)
		case scheduler.Reply:
			for _, id := range a.Requests {
				onReply := sim.replyHandlers[id]
				delete(sim.replyHandlers, id)
				sim.After(instanceDelay, func() { onReply(a.Outcome) })
			}
		case scheduler.CrashFound:
			sim.reportCrash(o, a.Crash)
		case scheduler.GivenUpRunOver:
			// Only logs and metrics use it.
		default:
			panic(fmt.Sprintf("poolrun: unexpected action %T", a))
		}
	}
	sim.scheduleWake(o, o.sched.NextWake())
}

// reportCrash records a crash that an owner has found, and passes it on to the others.
func (sim *simulation) reportCrash(from *owner, c scheduler.Crash) {
	sim.After(recordDelay, func() { sim.handle(from, scheduler.CrashRecorded{Crash: c}) })
	for _, o := range sim.owners {
		if o != from {
			sim.After(noticeDelay, func() { sim.handle(o, scheduler.CrashReported{Crash: c}) })
		}
	}
}

// scheduleWake schedules a Tick of an owner timerDelay after next, or after now if
// next has passed, unless an earlier Tick is scheduled.
func (sim *simulation) scheduleWake(o *owner, next time.Time) {
	if next.IsZero() {
		return
	}
	if next.Before(sim.Now) {
		next = sim.Now
	}
	next = next.Add(timerDelay)
	if !o.nextWake.IsZero() && !next.Before(o.nextWake) {
		return
	}
	o.nextWake = next
	sim.At(next, func() {
		if o.nextWake.Equal(next) {
			o.nextWake = time.Time{}
			sim.result.TimerWakes++
			sim.handle(o, scheduler.Tick{})
		}
	})
}

func (sim *simulation) targetByID(id string) *target {
	i := slices.IndexFunc(sim.targets, func(t *target) bool { return t.listed.ID == id })
	return sim.targets[i]
}

// scheduleFault queues the start and the end of a fault. targetOrder holds the
// indexes of all targets in random order; the fault affects the first ones.
func (sim *simulation) scheduleFault(f Fault, targetOrder []int) {
	var affected []*target
	for _, i := range targetOrder[:int(math.Ceil(f.Share*float64(len(targetOrder))))] {
		affected = append(affected, sim.targets[i])
	}
	if f.Kind == "fail" || f.Kind == "hang" || f.Kind == "lose_orders" {
		affected = sim.targets
	}
	for _, t := range affected {
		sim.At(sim.begin.Add(seconds(f.StartSeconds)), func() { t.applyFault(f) })
		sim.At(sim.begin.Add(seconds(f.StartSeconds+f.DurationSeconds)), func() { t.clearFault(f) })
	}
}

// applyFault starts the effect of a fault on a target.
func (t *target) applyFault(f Fault) {
	sim := t.sim
	switch f.Kind {
	case "crash":
		t.crash()
		sim.After(crashDetectionDelay, func() { t.unlisted = t.crashed; sim.sendTargetList(t.owner) })
	case "leave":
		t.listed.Draining = true
		sim.After(listDelay, func() { sim.sendTargetList(t.owner) })
	case "slow":
		t.slowFactor = f.Magnitude
	case "fail":
		t.failShare = f.Share
	case "hang":
		t.hangShare = f.Share
	case "lose_orders":
		t.lossShare, t.lostRequestDelay = f.Share, seconds(f.Magnitude)
	}
}

// clearFault ends the effect of a fault on a target.
func (t *target) clearFault(f Fault) {
	switch f.Kind {
	case "crash", "leave":
		t.crashed, t.unlisted, t.listed.Draining = false, false, false
		t.sim.After(listDelay, func() { t.sim.sendTargetList(t.owner) })
	case "slow":
		t.slowFactor = 1
	case "fail":
		t.failShare = 0
	case "hang":
		t.hangShare = 0
	case "lose_orders":
		t.lossShare = 0
	}
}

func sortedRuns(m map[scheduler.RunID]*run) []scheduler.RunID {
	return slices.SortedFunc(maps.Keys(m), func(a, b scheduler.RunID) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
}
