// Package policyrun runs Dispatchers against drawn loads and targets in
// simulated time, to compare policies without I/O.
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
	zones       = 3
	entries     = 6
	targets     = 48
	slots       = 8
	service     = "appraise"
	memoryMB    = 128_000
	warmUp      = 5 * time.Second
	listLag     = 5 * time.Second
	maxAttempts = 3
)

// world is one run.
type world struct {
	eventclock.Clock
	sc Scenario
	// rng draws what happens to attempts, draw what is submitted, so that all
	// policies meet the same jobs.
	rng     *rand.Rand
	draw    *rand.Rand
	entries []*entry
	targets []*target
	byName  map[string]*target
	jobs    map[dispatch.JobID]*job
	byReq   map[dispatch.RequestID]*job
	nextReq dispatch.RequestID
	begin   time.Time
	window  [2]time.Time
	all     []*job
	dirNo   uint64
}

// entry is one simulated entry instance.
type entry struct {
	zone     int
	d        *dispatch.Dispatcher
	sessions map[string]*callerSession
	tick     time.Time
}

// callerSession is one caller's session at one entry instance.
type callerSession struct {
	id      dispatch.SessionID
	seq     uint64
	open    map[uint64]bool
	ackedTo uint64
}

// job is one submission.
type job struct {
	id       dispatch.JobID
	request  dispatch.RequestID
	entry    *entry
	team     string
	arrived  time.Time
	tasks    []time.Duration
	ideal    time.Duration
	poison   bool
	tooLarge bool
	touched  bool
	answer   answer.Answer
	ended    time.Time
	runs     []span
}

// span is the part of a task's run that counts for goodput.
type span struct {
	from, to time.Time
	speed    float64
}

func newWorld(sc Scenario, policy dispatch.PolicyName, seed uint64) *world {
	w := &world{
		sc:     sc,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		draw:   rand.New(rand.NewPCG(seed, 2)),
		byName: map[string]*target{},
		jobs:   map[dispatch.JobID]*job{},
		byReq:  map[dispatch.RequestID]*job{},
		begin:  time.Unix(1_700_000_000, 0),
	}
	w.Now = w.begin
	w.addTargets()
	for i := range entries {
		w.addEntry(i, policy, seed)
	}
	return w
}

func (w *world) addTargets() {
	for i := range targets {
		t := &target{
			name: fmt.Sprintf("t%02d", i), zone: i % zones, slots: slots, speed: 1,
			running: map[dispatch.AttemptID]*run{},
		}
		if w.sc.MixedSpeeds {
			// Half to double speed, in the same proportions in every zone.
			t.speed = []float64{0.5, 0.7, 1, 1.4, 2}[(i/zones)%5]
		}
		w.targets = append(w.targets, t)
		w.byName[t.name] = t
	}
}

func (w *world) capacity() float64 {
	sum := 0.0
	for _, t := range w.targets {
		sum += t.speed * float64(t.slots)
	}
	return sum
}

func (w *world) addEntry(i int, policy dispatch.PolicyName, seed uint64) {
	cfg := dispatch.DefaultConfig(entryName(i), uint64(i+1))
	cfg.Region, cfg.AvailabilityZone = "r", zoneName(i%zones)
	cfg.Policy = policy
	if w.sc.EjectionThreshold >= 0 {
		cfg.EjectionThreshold = w.sc.EjectionThreshold
	}
	if w.sc.MinBorrowBacklog > 0 {
		cfg.MinBorrowBacklog = w.sc.MinBorrowBacklog
	}
	e := &entry{
		zone:     i % zones,
		d:        dispatch.New(cfg, rand.New(rand.NewPCG(seed, uint64(i)))),
		sessions: map[string]*callerSession{},
	}
	w.entries = append(w.entries, e)
	w.handle(e, dispatch.DirectoryChanged{Directory: w.directory()})
	w.list(e)
	var names []string
	for k := range entries {
		if k%zones == e.zone {
			names = append(names, entryName(k))
		}
	}
	w.handle(e, dispatch.EntryInstancesChanged{Names: names})
}

func (w *world) directory() *directory.Directory {
	st := directory.State{
		Teams: map[string]directory.Team{}, Callers: map[string]directory.Caller{},
		Targets: map[string]directory.Target{},
		Services: map[string]directory.Service{service: {
			Name: service, ExpectedMS: 400, HedgePercent: w.sc.HedgePercent, MaxAttempts: maxAttempts,
		}},
	}
	for _, team := range teams {
		st.Teams[team] = directory.Team{Name: team, Weight: 1}
		st.Callers[team] = directory.Caller{Name: team, Team: team, Services: []string{service}}
	}
	for _, t := range w.targets {
		st.Targets[t.name] = directory.Target{
			Name: t.name, Services: []string{service}, Region: "r", AvailabilityZone: zoneName(t.zone),
			Address: t.name, Slots: t.slots, Connections: 64, MemoryMB: memoryMB,
		}
	}
	w.dirNo++
	return &directory.Directory{Number: w.dirNo, State: st}
}

// list sends the instance list to an entry instance.
func (w *world) list(e *entry) {
	var l dispatch.TargetsListed
	for _, t := range w.targets {
		if t.mode != dead {
			l.Targets = append(l.Targets, dispatch.ListedTarget{Name: t.name, Address: t.name})
		}
	}
	w.handle(e, l)
}

// handle passes an event to a Dispatcher and carries out its actions.
func (w *world) handle(e *entry, ev dispatch.Event) {
	for _, a := range e.d.Handle(w.Now, ev) {
		w.act(e, a)
	}
	if next := e.d.NextWake(); !next.IsZero() && (e.tick.IsZero() || next.Before(e.tick)) {
		if next.Before(w.Now) {
			next = w.Now
		}
		e.tick = next
		w.At(next, func() { w.tick(e, next) })
	}
}

func (w *world) tick(e *entry, at time.Time) {
	if e.tick.Equal(at) {
		e.tick = time.Time{}
		w.handle(e, dispatch.Tick{})
	}
}

func (w *world) act(e *entry, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.StartAttempt:
		t := w.byName[a.Target]
		r := &run{start: a, entry: e, sent: w.Now}
		w.After(w.delay(e.zone, t.zone), func() { w.receive(t, r) })
	case dispatch.StopAttempt:
		t := w.byName[a.Target]
		w.After(w.delay(e.zone, t.zone), func() { w.stop(t, a.Attempt) })
	case dispatch.ReplyAnswer:
		w.answered(a)
	case dispatch.ReplySession:
		w.opened(e, a)
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
