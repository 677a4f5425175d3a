package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world is a model of callers, a network and targets with leases. Orders may be
// lost, answered late, or carried out seconds later; targets crash, come back
// under the same id, get cut off, hang and fail tasks; another owner may take a
// target over. It checks what must hold at the targets.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	s       *Scheduler
	targets []*modelTarget
	queue   []delivery
	jobs    map[string]*modelJob
	lastReq RequestID
	faults  float64
	starts  int
}

// delivery is something that happens at a time.
type delivery struct {
	at time.Time
	do func()
}

type modelJob struct {
	job      Job
	request  RequestID
	answered Outcome
	ran      bool
	// over is when the job was answered; nothing of it may run long after.
	over time.Time
}

type modelTarget struct {
	Target
	w       *world
	running map[RunID]*modelRun
	highest map[TaskID]int
	ends    []Completion
	lastEnd int64
	lease   time.Time
	fence   int64
	cut     bool
	skew    time.Duration
}

type modelRun struct {
	cpu   int64
	until time.Time
	fails bool
}

const modelSeeds = 150

// traceModel logs every event and action, to follow a failed seed.
const traceModel = false

// Guards against two runs of a task at once, room used twice, a refusal of a
// job of which something runs, and runs that outlive their job.
func TestModel(t *testing.T) {
	starts := 0
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed)
			w.run()
			starts += w.starts
		})
	}
	if starts < 20*modelSeeds {
		t.Errorf("only %d starts in %d runs", starts, modelSeeds)
	}
}

func newWorld(t *testing.T, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{
		t: t, rng: rng, now: time.Unix(1000, 0), jobs: map[string]*modelJob{},
		s:      New(Config{Lease: testLease, MaxClockDrift: 0.02, RemoteRackFactor: 2}),
		faults: []float64{0, 0.01, 0.05, 0.2}[seed%4],
	}
	for i := range 2 + rng.IntN(4) {
		target := testTarget(fmt.Sprint("t", i))
		target.CPU = []int64{64_000, 96_000}[rng.IntN(2)]
		w.targets = append(w.targets, &modelTarget{
			Target: target, w: w, running: map[RunID]*modelRun{}, highest: map[TaskID]int{}, fence: 1,
			skew: time.Duration(rng.IntN(1000)) * time.Hour,
		})
	}
	return w
}

func (w *world) run() {
	w.announce()
	end := w.now.Add(12 * time.Second)
	nextJob, nextFault := w.now, w.now
	for w.now.Before(end.Add(4 * time.Second)) {
		w.now = w.now.Add(5 * time.Millisecond)
		w.deliver()
		for _, t := range w.targets {
			t.tick()
		}
		if w.now.After(nextJob) && w.now.Before(end) {
			nextJob = w.now.Add(time.Duration(w.rng.ExpFloat64() * float64(40*time.Millisecond)))
			w.submit()
		}
		if w.faults > 0 && w.now.After(nextFault) {
			nextFault = w.now.Add(time.Duration(w.rng.ExpFloat64() * float64(time.Second)))
			w.fault()
		}
		w.check()
		if next := w.s.NextWake(); !next.IsZero() && !next.After(w.now) {
			w.event(Tick{})
		}
	}
	for id, j := range w.jobs {
		if j.answered == nil {
			w.t.Errorf("job %s has no answer: %+v", id, j.job)
		}
	}
}

func (w *world) later(d time.Duration, do func()) {
	w.queue = append(w.queue, delivery{w.now.Add(d), do})
}

// deliver does what is due, in random order.
func (w *world) deliver() {
	var due []delivery
	w.queue = slices.DeleteFunc(w.queue, func(d delivery) bool {
		if d.at.After(w.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		d.do()
	}
}

func (w *world) latency() time.Duration { return time.Duration(w.rng.IntN(8)) * time.Millisecond }

func (w *world) event(ev Event) {
	if traceModel {
		w.t.Logf("%v event %T%+v", w.now.Sub(time.Unix(1000, 0)), ev, ev)
	}
	for _, a := range w.s.Handle(w.now, ev) {
		if traceModel {
			w.t.Logf("%v action %T%+v", w.now.Sub(time.Unix(1000, 0)), a, a)
		}
		switch a := a.(type) {
		case Start:
			w.start(a)
		case Stop:
			w.stop(a)
		case Poll:
			w.look(a)
		case Reply:
			w.reply(a)
		case TargetLost:
			// The instance claims the target again a little later.
			w.later(500*time.Millisecond, func() {
				t := w.target(a.Target)
				t.Fence = t.fence + 1
				w.announce()
			})
		}
	}
}

func (w *world) announce() {
	var all []Target
	for _, t := range w.targets {
		all = append(all, t.Target)
	}
	w.event(TargetsChanged{Targets: all})
}

func (w *world) target(id string) *modelTarget {
	for _, t := range w.targets {
		if t.ID == id {
			return t
		}
	}
	panic("no target " + id)
}

// order carries an order out at its target and brings the answer back, unless
// a fault strikes: a cut, a lost answer, or an order that is carried out late.
func (w *world) order(t *modelTarget, timeout time.Duration, do func() func(), unanswered func()) {
	answered := false
	w.orderWith(t, timeout, do, unanswered, &answered)
}

// orderWith is order for one whose answer may come after do has returned.
func (w *world) orderWith(t *modelTarget, timeout time.Duration, do func() func(), unanswered func(), answered *bool) {
	w.later(timeout, func() {
		if !*answered {
			*answered = true
			unanswered()
		}
	})
	if w.rng.Float64() < w.faults/2 {
		w.later(2*time.Second+time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { do() })
		return
	}
	w.later(w.latency(), func() {
		if t.cut {
			return
		}
		reply := do()
		if reply == nil || w.rng.Float64() < w.faults/2 {
			return
		}
		w.later(w.latency(), func() {
			if !*answered && !t.cut {
				*answered = true
				reply()
			}
		})
	})
}

func (w *world) start(a Start) {
	t := w.target(a.Target)
	w.starts++
	w.order(t, 400*time.Millisecond, func() func() {
		result := t.start(a)
		clock := t.clock()
		return func() { w.event(StartReturned{Run: a.Run, Target: a.Target, Result: result, ClockMS: clock}) }
	}, func() { w.event(StartReturned{Run: a.Run, Target: a.Target, Result: StartUnanswered}) })
}

func (w *world) stop(a Stop) {
	t := w.target(a.Target)
	w.order(t, 400*time.Millisecond, func() func() {
		fenced := !t.obeys(a.Fence)
		if !fenced {
			t.highest[a.Run.Task] = max(t.highest[a.Run.Task], a.Run.Attempt)
			w.later(20*time.Millisecond, func() { t.end(a.Run, RunStopped) })
		}
		return func() {
			w.event(StopReturned{Run: a.Run, Target: a.Target, Answered: !fenced, Fenced: fenced})
		}
	}, func() { w.event(StopReturned{Run: a.Run, Target: a.Target}) })
}

func (w *world) look(a Poll) {
	t := w.target(a.Target)
	var poll func() func()
	asked := w.now
	first := true
	answer := func() func() {
		ev := PollReturned{Target: a.Target, Sent: a.Sent, Answered: true, Incarnation: t.Incarnation, ClockMS: t.clock()}
		for id := range t.running {
			ev.Running = append(ev.Running, id)
		}
		slices.SortFunc(ev.Running, compareRuns)
		ev.Completions = slices.Clone(t.ends)
		return func() { w.event(ev) }
	}
	poll = func() func() {
		if !t.obeys(a.Fence) {
			return func() { w.event(PollReturned{Target: a.Target, Sent: a.Sent, Answered: true, Fenced: true}) }
		}
		if first {
			first = false
			t.ends = slices.DeleteFunc(t.ends, func(e Completion) bool { return e.Number <= a.AckThrough })
			t.extend(a.LeaseMS)
		}
		return answer()
	}
	wait := a.MaxWait
	answered := false
	w.orderWith(t, wait+250*time.Millisecond, func() func() {
		reply := poll()
		if wait == 0 || len(t.ends) > 0 || reply == nil {
			return reply
		}
		// The target waits for an end.
		var again func()
		again = func() {
			if t.cut {
				return
			}
			if len(t.ends) > 0 || w.now.Sub(asked) >= wait {
				r := poll()
				w.later(w.latency(), func() {
					if !answered {
						answered = true
						r()
					}
				})
				return
			}
			w.later(5*time.Millisecond, again)
		}
		w.later(5*time.Millisecond, again)
		return nil
	}, func() { w.event(PollReturned{Target: a.Target, Sent: a.Sent}) }, &answered)
}

func (w *world) submit() {
	id := fmt.Sprint("j", len(w.jobs))
	j := testJob(id, 1+w.rng.IntN(4))
	j.Steps[0].Estimate = time.Duration(20+w.rng.IntN(400)) * time.Millisecond
	if w.rng.IntN(4) == 0 {
		j.Steps = append(j.Steps, Step{Count: 1, CPU: 10_000, Estimate: 50 * time.Millisecond, After: []int{0}})
	}
	j.Arrived, j.Deadline = w.now, w.now.Add(1500*time.Millisecond)
	w.lastReq++
	request := w.lastReq
	w.jobs[id] = &modelJob{job: j, request: request}
	w.event(Submit{Request: request, Job: j})
	if w.rng.Float64() < 0.1 {
		w.later(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
			if m := w.jobs[id]; m.answered == nil {
				m.answered, m.over = Unknown{Reason: ReasonWithdrawn}, w.now
				w.event(Withdraw{Request: request})
			}
		})
	}
}

func (w *world) reply(a Reply) {
	j := w.jobs[a.Job]
	if j.answered != nil {
		w.t.Errorf("job %s is answered twice: %#v and %#v", a.Job, j.answered, a.Outcome)
	}
	j.answered, j.over = a.Outcome, w.now
	if _, refused := a.Outcome.(Refused); refused && j.ran {
		w.t.Errorf("job %s was refused after it ran", a.Job)
	}
}

// fault strikes one target.
func (w *world) fault() {
	t := w.targets[w.rng.IntN(len(w.targets))]
	switch w.rng.IntN(4) {
	case 0:
		t.cut = true
		w.later(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() { t.cut = false })
	case 1:
		t.Incarnation++
		t.running, t.highest, t.ends, t.lastEnd = map[RunID]*modelRun{}, map[TaskID]int{}, nil, 0
		t.fence, t.lease = 0, time.Time{}
		w.later(time.Second, w.announce)
	case 2:
		// Another owner takes the target over and stops what runs there.
		t.fence = max(t.fence, t.Fence) + 1
		for id := range t.running {
			t.end(id, RunStopped)
		}
	case 3:
		t.Draining = !t.Draining
		w.announce()
	}
}

// check compares the targets with what must hold.
func (w *world) check() {
	seen := map[TaskID]string{}
	for _, t := range w.targets {
		var cpu int64
		for id, r := range t.running {
			if other, ok := seen[id.Task]; ok {
				w.t.Fatalf("%v: task %v runs on %s and %s", w.now, id.Task, other, t.ID)
			}
			seen[id.Task] = t.ID
			cpu += r.cpu
			j := w.jobs[id.Task.Job]
			if j.answered != nil && w.now.Sub(j.over) > 3*time.Second {
				w.t.Fatalf("%v: run %v on %s outlives its job, answered %#v", w.now, id, t.ID, j.answered)
			}
		}
		if cpu > t.CPU {
			w.t.Fatalf("%v: target %s runs %d of %d", w.now, t.ID, cpu, t.CPU)
		}
	}
}
