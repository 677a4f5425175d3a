package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	fleetHeartbeat = 250 * time.Millisecond
	// fleetSenderTimeout is the silence of a sender after which owners withdraw its
	// jobs.
	fleetSenderTimeout = 800 * time.Millisecond
)

// fleet models several owners of targets, senders that pass jobs on to them, and
// callers that submit a job again if they have no result. It checks that no task runs
// twice at the same time.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	owners  []*simulation
	retired []*simulation // stopped instances, whose requests may be under way
	targets []*simTarget
	jobs    map[string]*simJob
	senders []*fleetSender
	// attempts holds the submissions that their callers or owners have not ended.
	attempts    []*fleetAttempt
	lastRequest RequestID
	resubmitted int
	// longJobs makes the jobs run for 0.05 to 40 s and their callers wait for 1 to
	// maxCallerWait.
	longJobs bool
}

// fleetSender is an instance that passes on jobs. One without a name stands for the
// owner itself.
type fleetSender struct {
	name string
	dead bool
}

// fleetAttempt is one submission of a job.
type fleetAttempt struct {
	job     *simJob
	owner   *simulation
	sender  *fleetSender
	request RequestID
	// left is set once the caller no longer waits, and withdrawn once the owner knows.
	left, withdrawn bool
	// heardAt is when the owner last heard from the sender.
	heardAt time.Time
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), jobs: map[string]*simJob{}}
	for i := range 2 + int(seed%3) {
		sim := newSimulation(t, seed*16+uint64(i))
		for _, target := range sim.targets {
			target.ID = fmt.Sprint("o", i, target.ID)
			target.Address = target.ID + ":1"
		}
		f.targets = append(f.targets, sim.targets...)
		sim.rng, sim.jobs = f.rng, f.jobs
		sim.faults = []float64{0.05, 0.2, 0.6, 1}[seed%4]
		sim.reliablePolls = seed/4%2 == 0
		sim.slowdown = 3
		sim.onReply = f.reply
		f.owners = append(f.owners, sim)
	}
	for _, sim := range f.owners {
		sim.allTargets = f.targets
		sim.sendTargets()
	}
	for i := range 3 {
		f.senders = append(f.senders, &fleetSender{name: fmt.Sprint("s", i)})
	}
	return f
}

func (f *fleet) run() {
	end := f.now.Add(15 * time.Second)
	if f.longJobs {
		end = f.now.Add(40 * time.Second)
	}
	nextJob, nextFault, nextHeartbeat := f.now, f.now.Add(time.Second), f.now
	for f.now.Before(end.Add(5 * time.Second)) {
		f.now = f.now.Add(5 * time.Millisecond)
		for _, sim := range slices.Concat(f.owners, f.retired) {
			sim.advance()
		}
		f.checkTasks()
		if f.now.Before(end) && f.now.After(nextJob) {
			nextJob = f.now.Add(time.Duration(f.rng.ExpFloat64() * float64(100*time.Millisecond)))
			f.submitNew()
		}
		if f.now.Before(end) && f.now.After(nextFault) {
			nextFault = f.now.Add(time.Duration(f.rng.ExpFloat64() * float64(700*time.Millisecond)))
			f.injectFault()
		}
		if f.now.After(nextHeartbeat) {
			nextHeartbeat = f.now.Add(fleetHeartbeat)
			f.sendHeartbeats()
		}
		f.expireSenders()
		for _, sim := range f.owners {
			sim.wake()
		}
	}
}

// checkTasks fails the test if a task runs twice.
func (f *fleet) checkTasks() {
	seen := map[TaskID]string{}
	for _, t := range f.targets {
		for id := range t.running {
			if other, ok := seen[id.Task]; ok {
				f.t.Fatalf("%v: task %v runs on %s and %s", f.now.Sub(time.Unix(1000, 0)), id.Task, other, t.ID)
			}
			seen[id.Task] = t.ID
		}
	}
}

func (f *fleet) submitNew() {
	id := fmt.Sprint("j", len(f.jobs))
	j := testJob(id, 1+f.rng.IntN(3))
	j.Steps[0].Estimate = time.Duration(200+f.rng.IntN(800)) * time.Millisecond
	if f.longJobs {
		makeLong(f.rng, &j)
	}
	f.jobs[id] = &simJob{job: j}
	f.submit(f.jobs[id], false)
}

// submit sends a job to a random owner, through a random sender or directly. The caller
// of a job that is submitted again waits until it has a reply.
func (f *fleet) submit(j *simJob, again bool) {
	j.ran, j.answered = false, nil
	a := &fleetAttempt{job: j, owner: f.owners[f.rng.IntN(len(f.owners))], sender: &fleetSender{}, heardAt: f.now}
	in := j.job
	wait := 1500 * time.Millisecond
	if f.longJobs {
		wait = callerWait(f.rng)
	}
	in.Arrived, in.Deadline = f.now, f.now.Add(wait)
	if i := f.rng.IntN(len(f.senders) + 1); i < len(f.senders) {
		a.sender = f.senders[i]
		in.Sender, in.SentAt = a.sender.name, f.now
	}
	f.lastRequest++
	a.request = f.lastRequest
	f.attempts = append(f.attempts, a)
	a.owner.send(Submit{Request: a.request, Job: in})
	if f.rng.IntN(8) == 0 {
		a.owner.after(time.Duration(f.rng.IntN(int(wait.Milliseconds())-100))*time.Millisecond, func() {
			f.leave(a)
			f.withdrawSoon(a)
		})
	}
	if !again {
		a.owner.after(wait, func() { f.leave(a) })
	}
}

// leave ends the wait of the caller, which submits the job again.
func (f *fleet) leave(a *fleetAttempt) {
	if a.left {
		return
	}
	a.left = true
	f.attempts = slices.DeleteFunc(f.attempts, func(o *fleetAttempt) bool { return o == a && a.withdrawn })
	f.resubmit(a.job)
}

func (f *fleet) resubmit(j *simJob) {
	f.resubmitted++
	f.owners[0].after(DefaultResubmissionDelay, func() { f.submit(j, true) })
}

// withdrawSoon tells the owner that the caller has left. If the message is lost, the
// next heartbeat does.
func (f *fleet) withdrawSoon(a *fleetAttempt) {
	delay := time.Duration(f.rng.IntN(20)) * time.Millisecond
	if a.sender.name != "" && f.rng.IntN(3) == 0 {
		delay += fleetHeartbeat
	}
	a.owner.after(delay, func() { f.withdraw(a) })
}

func (f *fleet) withdraw(a *fleetAttempt) {
	if !a.withdrawn {
		a.withdrawn = true
		a.owner.send(Withdraw{Request: a.request})
	}
}

// reply handles the outcome of a job at an owner.
func (f *fleet) reply(r Reply) {
	for _, a := range slices.Clone(f.attempts) {
		if !slices.Contains(r.Requests, a.request) {
			continue
		}
		a.withdrawn = true
		if a.left || a.sender.dead {
			continue
		}
		a.left, a.job.answered = true, r.Outcome
		if _, unknown := r.Outcome.(Unknown); unknown {
			f.resubmit(a.job)
		}
	}
	f.attempts = slices.DeleteFunc(f.attempts, func(a *fleetAttempt) bool { return a.left && a.withdrawn })
}

// sendHeartbeats reports to each owner which jobs are still awaited.
func (f *fleet) sendHeartbeats() {
	for _, s := range f.senders {
		for _, o := range f.owners {
			ev := Awaited{Sender: s.name, At: f.now}
			for _, a := range slices.Clone(f.attempts) {
				if a.sender != s || a.owner != o {
					continue
				}
				a.heardAt = f.now
				if !a.left {
					ev.Jobs = append(ev.Jobs, a.job.job.ID)
				} else {
					f.withdraw(a)
				}
			}
			o.send(ev)
		}
	}
}

// expireSenders withdraws the jobs of senders that have been silent for too long.
func (f *fleet) expireSenders() {
	for _, a := range slices.Clone(f.attempts) {
		if a.sender.dead && f.now.Sub(a.heardAt) > fleetSenderTimeout {
			f.withdraw(a)
		}
	}
}

// injectFault ends a sender, pauses or restarts an owner, or hands a target over.
func (f *fleet) injectFault() {
	i := f.rng.IntN(len(f.owners))
	owner := f.owners[i]
	switch f.rng.IntN(5) {
	case 0:
		k := f.rng.IntN(len(f.senders))
		f.senders[k].dead = true
		for _, a := range slices.Clone(f.attempts) {
			if a.sender == f.senders[k] {
				f.leave(a)
			}
		}
		f.senders[k] = &fleetSender{name: f.senders[k].name + "'"}
	case 1:
		f.pause(owner)
	case 2:
		f.restart(i)
	case 3:
		f.handOver(owner, f.owners[f.rng.IntN(len(f.owners))])
	case 4:
		t := f.targets[f.rng.IntN(len(f.targets))]
		t.disconnected = true
		owner.after(time.Duration(f.rng.IntN(2500))*time.Millisecond, func() { t.disconnected = false })
	}
}

// pause suspends an owner. The callers of some of its own jobs leave meanwhile.
func (f *fleet) pause(o *simulation) {
	if o.paused {
		return
	}
	o.paused = true
	length := time.Duration(50+f.rng.IntN(1600)) * time.Millisecond
	for _, a := range slices.Clone(f.attempts) {
		if a.owner == o && a.sender.name == "" && f.rng.IntN(2) == 0 {
			o.after(time.Duration(f.rng.Int64N(int64(length))), func() { f.leave(a) })
			// The owner notices it soon after the pause.
			o.after(length+time.Duration(f.rng.IntN(50))*time.Millisecond, func() { f.withdraw(a) })
		}
	}
	o.after(length, func() {
		o.paused = false
		events := o.backlog
		o.backlog = nil
		for _, ev := range events {
			o.send(ev)
		}
	})
}

// restart replaces the process of an owner. Its own callers lose their connections,
// and senders notice it later.
func (f *fleet) restart(i int) {
	old := f.owners[i]
	if old.paused {
		return
	}
	old.stopped = true
	f.retired = append(f.retired, old)
	sim := newSimulation(f.t, 0)
	sim.now, sim.rng, sim.jobs, sim.faults, sim.reliablePolls = old.now, f.rng, f.jobs, old.faults, old.reliablePolls
	sim.slowdown, sim.onReply, sim.allTargets = old.slowdown, f.reply, f.targets
	sim.targets, old.targets = old.targets, nil
	for _, t := range sim.targets {
		t.sim, t.Fence = sim, t.Fence+1
	}
	f.owners[i] = sim
	for _, a := range slices.Clone(f.attempts) {
		if a.owner != old {
			continue
		}
		a.withdrawn = true
		noticed := time.Duration(0)
		if a.sender.name != "" {
			noticed = time.Duration(f.rng.IntN(700)) * time.Millisecond
		}
		sim.after(noticed, func() { f.leave(a) })
	}
	sim.after(time.Duration(f.rng.IntN(300))*time.Millisecond, sim.sendTargets)
}

// handOver moves a target to another owner, which gets a newer fencing token.
func (f *fleet) handOver(from, to *simulation) {
	if from == to || len(from.targets) < 2 {
		return
	}
	t := from.targets[0]
	from.targets = slices.Clone(from.targets[1:])
	to.targets = append(slices.Clone(to.targets), t)
	t.sim, t.Fence = to, t.Fence+1
	from.sendTargets()
	to.after(time.Duration(f.rng.IntN(200))*time.Millisecond, to.sendTargets)
}

// Guards against two concurrent runs of a task that is submitted again while its
// earlier run goes on: for any share of lost and late orders, and when senders die,
// owners are paused or restarted, and targets are handed over or cut off.
func TestSimulatedResubmissionsDoNotOverlap(t *testing.T) {
	resubmitted := 0
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, seed)
			f.run()
			resubmitted += f.resubmitted
		})
	}
	if resubmitted < 10*simulationSeeds {
		t.Errorf("only %d jobs were submitted again in %d runs", resubmitted, simulationSeeds)
	}
}

// Guards against the same with jobs of 0.05 to 40 s and callers that wait for 1 to 45 s.
func TestSimulatedResubmissionsOfLongJobsDoNotOverlap(t *testing.T) {
	resubmitted := 0
	for seed := range uint64(longJobSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, seed)
			f.longJobs = true
			for _, sim := range f.owners {
				sim.slowdown = 1
			}
			f.run()
			resubmitted += f.resubmitted
		})
	}
	if resubmitted < 10*longJobSeeds {
		t.Errorf("only %d jobs were submitted again in %d runs", resubmitted, longJobSeeds)
	}
}
