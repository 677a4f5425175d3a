package dispatch

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/job"
	"marigoldfront.dev/core/session"
)

// Dispatcher makes the decisions of one entry instance. It is owned by one
// goroutine.
type Dispatcher struct {
	cfg    Config
	policy policy
	dir    *directory.Directory
	// now is the latest time seen; an earlier one is read as now.
	now time.Time

	sessions    map[SessionID]*sessionEntry
	byUse       *list.List // of *sessionEntry, least recently used first
	nextSession uint64
	// removed names imported sessions that were closed or evicted, so that a
	// repeated transfer cannot bring them back.
	removed map[SessionID]struct{}
	keeper  *session.AnswerCache

	jobs     map[JobID]*activeJob
	timers   timers
	requests map[RequestID]*activeJob
	orphans  []orphan

	// unanswered counts the jobs without an answer over all sessions.
	unanswered int
	draining   bool
	handedOver bool
	drained    bool
	deliveries []FinalAnswer

	stats Stats
	out   []Action
}

// sessionEntry is a session in the table of the instance.
type sessionEntry struct {
	*session.Session
	id       SessionID
	lastUsed time.Time
	use      *list.Element
	// active counts the jobs without an answer.
	active int
}

// activeJob is a job without an answer, or with attempts in flight.
type activeJob struct {
	id      JobID
	session *sessionEntry
	record  *session.Record
	// rec is nil for a job that runs at the predecessor.
	rec      *job.Job
	sub      Submission
	caller   string
	admitted time.Time
	deadline time.Time
	waiters  []RequestID
	work     []pending
	// plan belongs to the policy.
	plan *plan
	// failure is set where a job that is not repeatable has failed and waits for
	// the end of its attempts in flight.
	failure *answer.Reason

	wake  time.Time
	timer int
}

// String returns the id of the job.
func (j *activeJob) String() string { return j.id.String() }

// New returns a Dispatcher without configuration, sessions or targets.
func New(cfg Config, rng *rand.Rand) *Dispatcher {
	if cfg.Incarnation == 0 {
		panic("dispatch: the incarnation is 0")
	}
	return &Dispatcher{
		cfg:      cfg,
		policy:   newPolicy(cfg, rng),
		sessions: map[SessionID]*sessionEntry{},
		byUse:    list.New(),
		removed:  map[SessionID]struct{}{},
		keeper:   session.NewAnswerCache(cfg.AnswerLimits),
		jobs:     map[JobID]*activeJob{},
		requests: map[RequestID]*activeJob{},
		stats:    Stats{Answers: map[AnswerKey]uint64{}},
	}
}

// Handle applies an event and returns what is to be done, in order. Decisions
// that are due at now are made before the event is applied, so that a reply
// that arrives after its deadline is late.
func (d *Dispatcher) Handle(now time.Time, ev Event) []Action {
	if now.Before(d.now) {
		now = d.now
	}
	d.now = now
	d.out = nil
	d.expire()
	d.apply(ev)
	d.startWork()
	d.stopOrphans()
	d.deliver()
	d.finishDrain()
	return d.out
}

func (d *Dispatcher) apply(ev Event) {
	switch ev := ev.(type) {
	case OpenSession:
		d.openSession(ev)
	case Submit:
		d.submit(ev)
	case Collect:
		d.collect(ev)
	case Cancel:
		d.cancel(ev)
	case Acknowledge:
		d.acknowledge(ev)
	case CloseSession:
		d.closeSession(ev)
	case CallerDisconnected:
		d.requestGone(ev)
	case AttemptEnded:
		d.attemptEnded(ev)
	case DirectoryChanged:
		d.changeDirectory(ev.Directory)
	case TargetsListed:
		d.policy.listTargets(d.now, ev.Targets)
	case EntryInstancesChanged:
		d.policy.listEntries(ev.Names)
	case Drain:
		d.drain(ev)
	case ImportSessions:
		d.importSessions(ev)
	case ImportAnswers:
		d.importAnswers(ev)
	case ImportSpeeds:
		d.takeOverSpeeds(ev)
	case StopNow:
		d.stopNow()
	case Tick:
	default:
		panic(fmt.Sprintf("dispatch: unknown event %T", ev))
	}
}

// changeDirectory puts a configuration in force. An older one is ignored,
// because an accepted ticket is never reverted.
func (d *Dispatcher) changeDirectory(dir *directory.Directory) {
	if d.dir != nil && dir.Number < d.dir.Number {
		return
	}
	d.dir = dir
	d.policy.configure(d.now, dir)
}

// NextWake is the time of the next decision that no event causes, or zero. A
// Tick is due then.
func (d *Dispatcher) NextWake() time.Time {
	next := earliest(d.keeper.NextExpiry(), d.policy.wake(d.now))
	if len(d.timers) > 0 {
		next = earliest(next, d.timers[0].wake)
	}
	return next
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (d *Dispatcher) emit(a Action) {
	d.out = append(d.out, a)
}

// expire makes all decisions that are due.
func (d *Dispatcher) expire() {
	d.keeper.Expire(d.now)
	for len(d.timers) > 0 && !d.now.Before(d.timers[0].wake) {
		d.wakeJob(d.timers[0])
	}
}

func (d *Dispatcher) wakeJob(j *activeJob) {
	switch {
	case j.rec == nil:
		d.answerRemote(j, answer.Unknown{Reason: answer.Reason{
			Code:    answer.CodeHomeUnreachable,
			Message: "the previous home of the session did not deliver the answer",
		}})
	case j.rec.Answered():
		d.abandon(j)
	default:
		d.fail(j, answer.CodeDeadline, "the job's time limit has passed")
	}
}
