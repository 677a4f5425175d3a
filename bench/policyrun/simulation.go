// Package policyrun simulates entry instances and targets to compare the policies
// of the Dispatcher. It runs Dispatchers in simulated time and without I/O, under
// loads and faults that are drawn from a seed.
package policyrun

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldfront.dev/bench/eventclock"
	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/dispatch"
)

const (
	numZones       = 3
	numEntries     = 6
	numTargets     = 48
	slotsPerTarget = 8
	service        = "appraise"
	memoryMB       = 128_000
	// warmUp is the time at the start of a run that is not measured.
	warmUp = 5 * time.Second
	// listDelay is the time from the crash of a target until the entry
	// instances receive a list without it.
	listDelay   = 5 * time.Second
	maxAttempts = 3
)

// simulation is a run of a scenario with a policy.
type simulation struct {
	eventclock.Clock
	sc Scenario
	// attemptRNG is the source for the outcomes of attempts, jobRNG that for the
	// jobs. They are separate so that all policies receive the same jobs.
	attemptRNG      *rand.Rand
	jobRNG          *rand.Rand
	entries         []*entryInstance
	targets         []*target
	targetsByName   map[string]*target
	jobs            map[dispatch.JobID]*job
	jobsByRequest   map[dispatch.RequestID]*job
	lastRequest     dispatch.RequestID
	begin           time.Time
	measureWindow   [2]time.Time
	allJobs         []*job
	directoryNumber uint64
}

// entryInstance is a simulated entry instance.
type entryInstance struct {
	zone       int
	dispatcher *dispatch.Dispatcher
	sessions   map[string]*callerSession
	nextTick   time.Time
}

// callerSession is the session of a team's caller at an entry instance. All jobs
// up to acknowledged have been answered and acknowledged.
type callerSession struct {
	id           dispatch.SessionID
	lastSeq      uint64
	unanswered   map[uint64]bool
	acknowledged uint64
}

// job is a submitted job.
type job struct {
	id        dispatch.JobID
	request   dispatch.RequestID
	entry     *entryInstance
	team      string
	arrivedAt time.Time
	// tasks holds the run time of each task at speed 1. idealTime is that of the
	// longest task and 500 µs for messages.
	tasks     []time.Duration
	idealTime time.Duration
	// poison jobs fail on every target. tooLarge jobs need more memory than any
	// target has. affected is set when an attempt failed because of its target.
	poison     bool
	tooLarge   bool
	affected   bool
	answer     answer.Answer
	answeredAt time.Time
	runs       []runInterval
}

// runInterval is the interval of a successful run of a task, for the goodput.
type runInterval struct {
	from, to time.Time
	speed    float64
}

func newSimulation(sc Scenario, policy dispatch.PolicyName, seed uint64) *simulation {
	sim := &simulation{
		sc:            sc,
		attemptRNG:    rand.New(rand.NewPCG(seed, 1)),
		jobRNG:        rand.New(rand.NewPCG(seed, 2)),
		targetsByName: map[string]*target{},
		jobs:          map[dispatch.JobID]*job{},
		jobsByRequest: map[dispatch.RequestID]*job{},
		begin:         time.Unix(1_700_000_000, 0),
	}
	sim.Now = sim.begin
	sim.addTargets()
	for i := range numEntries {
		sim.addEntryInstance(i, policy, seed)
	}
	return sim
}

func (sim *simulation) addTargets() {
	for i := range numTargets {
		t := &target{
			name: fmt.Sprintf("t%02d", i), zone: i % numZones, slots: slotsPerTarget, speed: 1,
			running: map[dispatch.AttemptID]*run{},
		}
		if sim.sc.MixedSpeeds {
			// Every availability zone has the same mix of speeds.
			t.speed = []float64{0.5, 0.7, 1, 1.4, 2}[(i/numZones)%5]
		}
		sim.targets = append(sim.targets, t)
		sim.targetsByName[t.name] = t
	}
}

// capacity returns the total speed of all slots.
func (sim *simulation) capacity() float64 {
	sum := 0.0
	for _, t := range sim.targets {
		sum += t.speed * float64(t.slots)
	}
	return sum
}

func (sim *simulation) addEntryInstance(i int, policy dispatch.PolicyName, seed uint64) {
	cfg := dispatch.DefaultConfig(entryName(i), uint64(i+1))
	cfg.Region, cfg.AvailabilityZone = "r", zoneName(i%numZones)
	cfg.Policy = policy
	if sim.sc.EjectionThreshold >= 0 {
		cfg.EjectionThreshold = sim.sc.EjectionThreshold
	}
	if sim.sc.MinBorrowBacklog > 0 {
		cfg.MinBorrowBacklog = sim.sc.MinBorrowBacklog
	}
	e := &entryInstance{
		zone:       i % numZones,
		dispatcher: dispatch.New(cfg, rand.New(rand.NewPCG(seed, uint64(i)))),
		sessions:   map[string]*callerSession{},
	}
	sim.entries = append(sim.entries, e)
	sim.handle(e, dispatch.DirectoryChanged{Directory: sim.directory()})
	sim.sendTargetList(e)
	var names []string
	for k := range numEntries {
		if k%numZones == e.zone {
			names = append(names, entryName(k))
		}
	}
	sim.handle(e, dispatch.EntryInstancesChanged{Names: names})
}

func (sim *simulation) directory() *directory.Directory {
	st := directory.State{
		Teams: map[string]directory.Team{}, Callers: map[string]directory.Caller{},
		Targets: map[string]directory.Target{},
		Services: map[string]directory.Service{service: {
			Name: service, ExpectedMS: 400, HedgePercent: sim.sc.HedgePercent, MaxAttempts: maxAttempts,
		}},
	}
	for _, team := range teams {
		st.Teams[team] = directory.Team{Name: team, Weight: 1}
		st.Callers[team] = directory.Caller{Name: team, Team: team, Services: []string{service}}
	}
	for _, t := range sim.targets {
		st.Targets[t.name] = directory.Target{
			Name: t.name, Services: []string{service}, Region: "r", AvailabilityZone: zoneName(t.zone),
			Address: t.name, Slots: t.slots, Connections: 64, MemoryMB: memoryMB,
		}
	}
	sim.directoryNumber++
	return &directory.Directory{Number: sim.directoryNumber, State: st}
}

// sendTargetList sends the list of the targets that have not crashed to an entry
// instance.
func (sim *simulation) sendTargetList(e *entryInstance) {
	var l dispatch.TargetsListed
	for _, t := range sim.targets {
		if t.mode != crashed {
			l.Targets = append(l.Targets, dispatch.ListedTarget{Name: t.name, Address: t.name})
		}
	}
	sim.handle(e, l)
}

// handle passes an event to the Dispatcher of an entry instance, carries out the
// returned actions and schedules the Dispatcher's next wake-up.
func (sim *simulation) handle(e *entryInstance, ev dispatch.Event) {
	for _, a := range e.dispatcher.Handle(sim.Now, ev) {
		sim.execute(e, a)
	}
	if next := e.dispatcher.NextWake(); !next.IsZero() && (e.nextTick.IsZero() || next.Before(e.nextTick)) {
		if next.Before(sim.Now) {
			next = sim.Now
		}
		e.nextTick = next
		sim.At(next, func() { sim.fireTick(e, next) })
	}
}

// fireTick sends the Tick that is scheduled for at, unless an earlier Tick has
// replaced it.
func (sim *simulation) fireTick(e *entryInstance, at time.Time) {
	if e.nextTick.Equal(at) {
		e.nextTick = time.Time{}
		sim.handle(e, dispatch.Tick{})
	}
}

// execute carries out an action of a Dispatcher.
func (sim *simulation) execute(e *entryInstance, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.StartAttempt:
		t := sim.targetsByName[a.Target]
		r := &run{start: a, entry: e, sentAt: sim.Now}
		sim.After(sim.networkDelay(e.zone, t.zone), func() { sim.receiveStart(t, r) })
	case dispatch.StopAttempt:
		t := sim.targetsByName[a.Target]
		sim.After(sim.networkDelay(e.zone, t.zone), func() { sim.stopRun(t, a.Attempt) })
	case dispatch.ReplyAnswer:
		sim.recordAnswer(a)
	case dispatch.ReplySession:
		sim.recordSession(e, a)
	case dispatch.ReplyConfirmed, dispatch.ReplyRunning:
	default:
		panic(fmt.Sprintf("policyrun: unexpected action %#v", a))
	}
}

func entryName(i int) string { return fmt.Sprintf("e%d", i) }

func zoneName(i int) string { return string(rune('a' + i)) }

func sortedAttempts(m map[dispatch.AttemptID]*run) []dispatch.AttemptID {
	return slices.SortedFunc(maps.Keys(m), func(a, b dispatch.AttemptID) int {
		return cmp.Or(
			cmp.Compare(a.Job.Session.Incarnation, b.Job.Session.Incarnation),
			cmp.Compare(a.Job.Session.Number, b.Job.Session.Number),
			cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
}
