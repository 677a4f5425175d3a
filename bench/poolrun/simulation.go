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
	// hop is the time of a message between two instances.
	hop = time.Millisecond
	// timerError is how late an instance's timer fires.
	timerError = time.Millisecond / 4
	// maxOwners bounds the owners that are asked to start a job at once.
	maxOwners = 3
)

// world is one run of an experiment under a policy.
type world struct {
	eventclock.Clock
	x     Experiment
	begin time.Time
	delay time.Duration
	// rng draws what happens at the targets. The jobs are drawn before, so that
	// all policies meet the same ones.
	rng     *rand.Rand
	owners  []*owner
	targets []*target
	jobs    []*job
	byID    map[string]*job
	asked   map[scheduler.RequestID]func(scheduler.Outcome)
	last    scheduler.RequestID
	result  Result
}

// owner is an instance that owns targets.
type owner struct {
	sched *scheduler.Scheduler
	wake  time.Time
}

type job struct {
	id       string
	kind     *JobKind
	tasks    []*task
	estimate time.Duration
	arrives  time.Time
	// objective and deadline count from the arrival.
	objective, deadline time.Duration
	outcome             scheduler.Outcome
	took                time.Duration
}

type task struct {
	job  *job
	work time.Duration
}

func newWorld(x Experiment, p Policy, seed uint64) *world {
	w := &world{
		x: x, begin: time.Unix(1_700_000_000, 0), delay: ms(x.Targets.DelayMS), rng: rand.New(rand.NewPCG(seed, 1)),
		byID: map[string]*job{}, asked: map[scheduler.RequestID]func(scheduler.Outcome){},
		result: Result{Policy: p.Name, Seed: seed},
	}
	w.Now = w.begin
	draw := rand.New(rand.NewPCG(seed, 2))
	for range x.Owners {
		w.owners = append(w.owners, &owner{sched: scheduler.New(scheduler.Config{
			Lease: lease, MaxClockDrift: 0.02, RemoteRackFactor: 1, Policy: p.scheduler(),
		})})
	}
	for i := range x.Targets.Count {
		w.addTarget(i, math.Exp(draw.NormFloat64()*x.Targets.SpeedSpread))
	}
	for _, o := range w.owners {
		w.list(o)
	}
	w.drawJobs(draw)
	for _, f := range x.Faults {
		w.plan(f, draw.Perm(len(w.targets)))
	}
	return w
}

func (w *world) addTarget(i int, slow float64) {
	id := fmt.Sprintf("t%03d", i)
	w.targets = append(w.targets, &target{
		w: w, owner: w.owners[i%len(w.owners)], slow: slow, factor: 1,
		running: map[scheduler.RunID]*run{}, highest: map[scheduler.TaskID]int{},
		listed: scheduler.Target{
			ID: id, Service: service, Address: id, Incarnation: 1, CPU: w.x.Targets.CPU[i%len(w.x.Targets.CPU)],
			MemoryMB: 1, Fence: 1,
		},
	})
}

// list tells an owner its targets.
func (w *world) list(o *owner) {
	var ev scheduler.TargetsChanged
	for _, t := range w.targets {
		if t.owner == o && !t.gone {
			ev.Targets = append(ev.Targets, t.listed)
		}
	}
	w.handle(o, ev)
}

// drawJobs draws all jobs of the run.
func (w *world) drawJobs(draw *rand.Rand) {
	total := 0.0
	for _, k := range w.x.Kinds {
		total += k.Share
	}
	at := 0.0
	for n := 0; ; n++ {
		rate := w.x.Rate
		for _, f := range w.x.Faults {
			if f.Kind == "burst" && at >= f.StartSeconds && at < f.StartSeconds+f.DurationSeconds {
				rate *= f.Magnitude
			}
		}
		at += draw.ExpFloat64() / rate
		if at >= w.x.Seconds {
			return
		}
		pick := draw.Float64() * total
		i := 0
		for ; i < len(w.x.Kinds)-1 && pick >= w.x.Kinds[i].Share; i++ {
			pick -= w.x.Kinds[i].Share
		}
		j := drawJob(draw, &w.x.Kinds[i], fmt.Sprintf("j%06d", n), w.begin.Add(seconds(at)))
		w.jobs = append(w.jobs, j)
		w.byID[j.id] = j
		w.At(j.arrives, func() { w.submit(j) })
	}
}

func drawJob(draw *rand.Rand, k *JobKind, id string, at time.Time) *job {
	j := &job{id: id, kind: k, arrives: at, deadline: time.Duration(k.DeadlineMS) * time.Millisecond}
	work := k.WorkMS * math.Exp(draw.NormFloat64()*k.WorkSpread)
	longest := time.Duration(0)
	for range max(1, k.Tasks/2+draw.IntN(k.Tasks+1)) {
		t := &task{job: j, work: ms(work * math.Exp(draw.NormFloat64()*k.TaskSpread))}
		longest = max(longest, t.work)
		j.tasks = append(j.tasks, t)
	}
	j.estimate = ms(work * math.Exp(draw.NormFloat64()*k.EstimateSpread))
	j.objective = time.Duration(float64(longest)*max(1, k.Stretch)) + time.Duration(k.SlackMS)*time.Millisecond
	return j
}

func (w *world) task(id scheduler.TaskID) *task { return w.byID[id.Job].tasks[id.Index] }

// submit asks the owners as the instance of the caller does: those with the
// shortest wait to start the job at once, and then the best one to queue it.
func (w *world) submit(j *job) {
	order := slices.Clone(w.owners)
	w.rng.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	need := int64(len(j.tasks)) * j.kind.CPU
	cost := func(o *owner) time.Duration {
		st := o.sched.Stats()
		return st.ForecastWait + time.Duration(max(0, need-st.FreeCPU))*time.Microsecond/4
	}
	slices.SortStableFunc(order, func(a, b *owner) int { return cmp.Compare(cost(a), cost(b)) })
	w.ask(j, order[:min(len(order), maxOwners)], order[0])
}

func (w *world) ask(j *job, now []*owner, last *owner) {
	in := scheduler.Job{
		ID: j.id, Queue: j.kind.Name, Service: service, Priority: j.kind.Priority, MaxAttempts: max(1, j.kind.MaxAttempts),
		Stretch: j.kind.Stretch, Slack: time.Duration(j.kind.SlackMS) * time.Millisecond, Arrived: j.arrives,
		Deadline: j.arrives.Add(j.deadline), MustStartNow: len(now) > 0,
		Steps: []scheduler.Step{{Count: len(j.tasks), CPU: j.kind.CPU, Estimate: j.estimate}},
	}
	to := last
	if len(now) > 0 {
		to = now[0]
	}
	w.last++
	id := w.last
	w.asked[id] = func(o scheduler.Outcome) {
		if _, refused := o.(scheduler.Refused); refused && len(now) > 0 {
			w.ask(j, now[1:], last)
			return
		}
		j.outcome, j.took = o, w.Now.Sub(j.arrives)
	}
	w.After(hop, func() { w.handle(to, scheduler.Submit{Request: id, Job: in}) })
}

// handle passes an event to an owner and carries out its actions.
func (w *world) handle(o *owner, ev scheduler.Event) {
	for _, a := range o.sched.Handle(w.Now, ev) {
		switch a := a.(type) {
		case scheduler.Start:
			w.target(a.Target).start(a)
		case scheduler.Stop:
			w.target(a.Target).stop(a)
		case scheduler.Poll:
			w.target(a.Target).look(a)
		case scheduler.Reply:
			for _, id := range a.Requests {
				answer := w.asked[id]
				delete(w.asked, id)
				w.After(hop, func() { answer(a.Outcome) })
			}
		default:
			panic(fmt.Sprintf("poolrun: unexpected action %T", a))
		}
	}
	w.wakeAt(o, o.sched.NextWake())
}

// wakeAt sees to it that an owner decides at a time, or soon after one that has
// passed.
func (w *world) wakeAt(o *owner, next time.Time) {
	if next.IsZero() {
		return
	}
	if next.Before(w.Now) {
		next = w.Now
	}
	next = next.Add(timerError)
	if !o.wake.IsZero() && !next.Before(o.wake) {
		return
	}
	o.wake = next
	w.At(next, func() {
		if o.wake.Equal(next) {
			o.wake = time.Time{}
			w.result.TimerWakes++
			w.handle(o, scheduler.Tick{})
		}
	})
}

func (w *world) target(id string) *target {
	i := slices.IndexFunc(w.targets, func(t *target) bool { return t.listed.ID == id })
	return w.targets[i]
}

// plan queues a fault. The order says which targets come first.
func (w *world) plan(f Fault, order []int) {
	var victims []*target
	for _, i := range order[:int(math.Ceil(f.Share*float64(len(order))))] {
		victims = append(victims, w.targets[i])
	}
	if f.Kind == "fail" || f.Kind == "hang" || f.Kind == "lose_orders" {
		victims = w.targets
	}
	for _, t := range victims {
		w.At(w.begin.Add(seconds(f.StartSeconds)), func() { t.suffer(f) })
		w.At(w.begin.Add(seconds(f.StartSeconds+f.DurationSeconds)), func() { t.recover(f) })
	}
}

func (t *target) suffer(f Fault) {
	w := t.w
	switch f.Kind {
	case "crash":
		t.crash()
		w.After(silenceTime, func() { t.gone = t.down; w.list(t.owner) })
	case "leave":
		t.listed.Draining = true
		w.After(listTime, func() { w.list(t.owner) })
	case "slow":
		t.factor = f.Magnitude
	case "fail":
		t.fails = f.Share
	case "hang":
		t.hangs = f.Share
	case "lose_orders":
		t.loses, t.late = f.Share, seconds(f.Magnitude)
	}
}

func (t *target) recover(f Fault) {
	switch f.Kind {
	case "crash", "leave":
		t.down, t.gone, t.listed.Draining = false, false, false
		t.w.After(listTime, func() { t.w.list(t.owner) })
	case "slow":
		t.factor = 1
	case "fail":
		t.fails = 0
	case "hang":
		t.hangs = 0
	case "lose_orders":
		t.loses = 0
	}
}

func sortedRuns(m map[scheduler.RunID]*run) []scheduler.RunID {
	return slices.SortedFunc(maps.Keys(m), func(a, b scheduler.RunID) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
}
