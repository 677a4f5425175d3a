package poolrun

import (
	"time"

	"marigoldfront.dev/core/scheduler"
)

const (
	// lease is the longest lease that a target grants.
	lease = time.Second
	// orderTimeout is how long the instance waits for the answer to an order,
	// and lookSlack how much longer than its wait a look may take.
	orderTimeout = 125 * time.Millisecond
	lookSlack    = 250 * time.Millisecond
	// listTime is how long a change of the list takes to reach an owner, and
	// silenceTime how long an entry stays listed after a crash.
	listTime    = 700 * time.Millisecond
	silenceTime = 4500 * time.Millisecond
)

// target is a target with a lease.
type target struct {
	w       *world
	owner   *owner
	listed  scheduler.Target
	slow    float64
	down    bool
	gone    bool
	running map[scheduler.RunID]*run
	highest map[scheduler.TaskID]int
	ends    []scheduler.Completion
	lastEnd int64
	lease   time.Time
	// lapsing is set while the end of the lease is queued.
	lapsing bool
	used    int64
	// waiting is the look that waits for an end.
	waiting func()
	// factor, fails, hangs and loses are those of the faults in effect.
	factor              float64
	fails, hangs, loses float64
	late                time.Duration
}

type run struct {
	cpu   int64
	begun time.Time
}

func (t *target) clock() int64 { return t.w.Now.UnixMilli() }

// order carries an order out after the delay of a message, and reports its
// result, or that there was none.
func (t *target) order(do func(), answer func(answered bool)) {
	w := t.w
	w.After(w.delay, func() {
		switch {
		case t.down:
			w.After(w.delay, func() { answer(false) })
		case w.rng.Float64() < t.loses:
			w.After(t.late, do)
			w.After(orderTimeout-w.delay, func() { answer(false) })
		default:
			do()
			w.After(w.delay, func() { answer(true) })
		}
	})
}

func (t *target) start(a scheduler.Start) {
	result := scheduler.StartUnanswered
	t.order(func() { result = t.begin(a) }, func(answered bool) {
		ev := scheduler.StartReturned{Run: a.Run, Target: a.Target, Result: scheduler.StartUnanswered}
		if answered {
			ev.Result, ev.ClockMS = result, t.clock()
		}
		t.w.handle(t.owner, ev)
	})
}

// begin is what the target does with a start.
func (t *target) begin(a scheduler.Start) scheduler.StartResult {
	w := t.w
	k := w.task(a.Run.Task)
	cpu := k.job.kind.CPU
	switch {
	case t.down:
		return scheduler.StartUnanswered
	case t.running[a.Run] != nil:
		return scheduler.StartAccepted
	case a.Run.Attempt <= t.highest[a.Run.Task]:
		return scheduler.StartStaleAttempt
	case a.LeaseMS <= t.clock():
		return scheduler.StartLeaseExpired
	case t.used+cpu > t.listed.CPU:
		return scheduler.StartNoCapacity
	}
	t.extend(a.LeaseMS)
	t.highest[a.Run.Task] = a.Run.Attempt
	t.used += cpu
	t.running[a.Run] = &run{cpu: cpu, begun: w.Now}
	w.result.Starts++
	took := time.Duration(float64(k.work) * t.slow * t.factor)
	how := scheduler.RunSucceeded
	if w.rng.Float64() < t.fails {
		how, took = scheduler.RunFailed, took/2
	}
	if w.rng.Float64() >= t.hangs {
		w.After(took, func() { t.end(a.Run, how) })
	}
	if !t.lapsing {
		t.lapsing = true
		w.At(t.lease, t.lapse)
	}
	return scheduler.StartAccepted
}

func (t *target) extend(leaseMS int64) {
	until := t.w.Now.Add(min(time.Duration(leaseMS-t.clock())*time.Millisecond, lease))
	if leaseMS > 0 && until.After(t.lease) {
		t.lease = until
	}
}

// lapse ends everything once the lease is over.
func (t *target) lapse() {
	t.lapsing = false
	switch {
	case len(t.running) == 0:
	case t.w.Now.Before(t.lease):
		t.lapsing = true
		t.w.At(t.lease, t.lapse)
	default:
		for _, id := range sortedRuns(t.running) {
			t.end(id, scheduler.RunLeaseExpired)
		}
	}
}

func (t *target) end(id scheduler.RunID, how scheduler.RunResult) {
	r := t.running[id]
	if r == nil {
		return
	}
	delete(t.running, id)
	t.used -= r.cpu
	if how != scheduler.RunSucceeded {
		t.w.result.WastedCoreSeconds += float64(r.cpu) / 1000 * t.w.Now.Sub(r.begun).Seconds()
	}
	t.lastEnd++
	t.ends = append(t.ends, scheduler.Completion{Number: t.lastEnd, Run: id, Result: how})
	if t.waiting != nil {
		t.waiting()
	}
}

func (t *target) stop(a scheduler.Stop) {
	t.order(func() {
		t.highest[a.Run.Task] = max(t.highest[a.Run.Task], a.Run.Attempt)
		t.end(a.Run, scheduler.RunStopped)
	}, func(answered bool) {
		t.w.handle(t.owner, scheduler.StopReturned{Run: a.Run, Target: a.Target, Answered: answered})
	})
}

// look answers when the target has an end, or after the wait.
func (t *target) look(a scheduler.Poll) {
	w := t.w
	w.result.Polls++
	answered := false
	reply := func(ev scheduler.PollReturned) {
		if answered {
			return
		}
		answered = true
		ev.Target, ev.Sent = a.Target, a.Sent
		w.After(w.delay, func() { w.handle(t.owner, ev) })
	}
	w.After(a.MaxWait+lookSlack, func() { reply(scheduler.PollReturned{}) })
	w.After(w.delay, func() {
		if t.down || w.rng.Float64() < t.loses {
			return
		}
		for len(t.ends) > 0 && t.ends[0].Number <= a.AckThrough {
			t.ends = t.ends[1:]
		}
		t.extend(a.LeaseMS)
		show := func() {
			if answered {
				return
			}
			t.waiting = nil
			if t.down {
				return
			}
			reply(scheduler.PollReturned{
				Answered: true, Incarnation: t.listed.Incarnation, ClockMS: t.clock(), Running: sortedRuns(t.running),
				Completions: append([]scheduler.Completion{}, t.ends...),
			})
		}
		if len(t.ends) > 0 || a.MaxWait == 0 {
			show()
			return
		}
		t.waiting = show
		w.After(a.MaxWait, show)
	})
}

// crash ends everything that runs and forgets it.
func (t *target) crash() {
	for _, id := range sortedRuns(t.running) {
		t.end(id, scheduler.RunOther)
	}
	t.down, t.waiting = true, nil
	t.highest, t.ends, t.lastEnd, t.lease = map[scheduler.TaskID]int{}, nil, 0, time.Time{}
	t.listed.Incarnation++
}
