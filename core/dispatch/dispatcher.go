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

// Dispatcher makes the decisions of one entry instance. It is not safe for
// concurrent use.
type Dispatcher struct {
	cfg    Config
	policy policy
	dir    *directory.Directory
	// now is the latest time passed to Handle. Time does not go backwards: an
	// earlier time is replaced by now.
	now time.Time

	sessions    map[SessionID]*sessionEntry
	sessionLRU  *list.List // of *sessionEntry, least recently used first
	nextSession uint64
	// removedImports holds the imported sessions that were closed or evicted.
	// A repeated transfer must not import them again.
	removedImports map[SessionID]struct{}
	answerCache    *session.AnswerCache

	jobs     map[JobID]*activeJob
	timers   timers
	requests map[RequestID]*activeJob
	orphans  []orphan

	// unanswered counts the jobs without an answer in all sessions.
	unanswered int
	// draining is set when a drain has started, handedOver if the drain has a
	// successor, and drained when Drained has been emitted.
	draining   bool
	handedOver bool
	drained    bool
	// undelivered holds the answers to send to the successor.
	undelivered []FinalAnswer

	stats   Stats
	actions []Action
}

// sessionEntry is a session in the table of the instance.
type sessionEntry struct {
	*session.Session
	id         SessionID
	lastUsed   time.Time
	lruElement *list.Element
	// unanswered counts the jobs of the session without an answer.
	unanswered int
}

// activeJob is a job that has no answer yet or has attempts in flight.
type activeJob struct {
	id      JobID
	session *sessionEntry
	// record is the record of the job in its session.
	record *session.Record
	// state is nil for a job that runs at the predecessor.
	state      *job.Job
	submission Submission
	caller     string
	admitted   time.Time
	deadline   time.Time
	// waiters holds the requests that wait for the answer.
	waiters []RequestID
	tasks   []taskState
	// policyState is used only by the policy.
	policyState *policyState
	// failure is set if the job is not repeatable, has failed, and still waits
	// for the end of its attempts in flight.
	failure *answer.Reason

	// timerAt is the time at which the timer of the job fires, and timerIndex
	// its index in the heap of timers.
	timerAt    time.Time
	timerIndex int
}

// String returns the id of the job, for messages of panics.
func (j *activeJob) String() string { return j.id.String() }

// New returns a Dispatcher without configuration, sessions or targets. It panics
// if the incarnation is 0.
func New(cfg Config, rng *rand.Rand) *Dispatcher {
	if cfg.Incarnation == 0 {
		panic("dispatch: the incarnation must not be 0")
	}
	return &Dispatcher{
		cfg:            cfg,
		policy:         newPolicy(cfg, rng),
		sessions:       map[SessionID]*sessionEntry{},
		sessionLRU:     list.New(),
		removedImports: map[SessionID]struct{}{},
		answerCache:    session.NewAnswerCache(cfg.AnswerLimits),
		jobs:           map[JobID]*activeJob{},
		requests:       map[RequestID]*activeJob{},
		stats:          Stats{Answers: map[AnswerKey]uint64{}},
	}
}

// Handle applies an event and returns the actions to carry out, in order. Before
// it applies the event, it makes the decisions that are due at now, so that a
// reply that arrives after its deadline counts as late.
func (d *Dispatcher) Handle(now time.Time, ev Event) []Action {
	if now.Before(d.now) {
		now = d.now
	}
	d.now = now
	d.actions = nil
	d.runDueTimers()
	d.applyEvent(ev)
	d.startTasks()
	d.stopOrphans()
	d.deliverAnswers()
	d.reportDrained()
	return d.actions
}

func (d *Dispatcher) applyEvent(ev Event) {
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
		d.callerDisconnected(ev)
	case AttemptEnded:
		d.attemptEnded(ev)
	case DirectoryChanged:
		d.changeDirectory(ev.Directory)
	case TargetsListed:
		d.policy.setInstanceList(d.now, ev.Targets)
	case EntryInstancesChanged:
		d.policy.setEntryInstances(ev.Names)
	case Drain:
		d.drain(ev)
	case ImportSessions:
		d.importSessions(ev)
	case ImportAnswers:
		d.importAnswers(ev)
	case ImportSpeeds:
		d.importSpeeds(ev)
	case StopNow:
		d.stopNow()
	case Tick:
	default:
		panic(fmt.Sprintf("dispatch: unknown event %T", ev))
	}
}

// changeDirectory puts a configuration in force. It ignores an older
// configuration than the current one, because an accepted ticket is never
// reverted.
func (d *Dispatcher) changeDirectory(dir *directory.Directory) {
	if d.dir != nil && dir.Number < d.dir.Number {
		return
	}
	d.dir = dir
	d.policy.setDirectory(d.now, dir)
}

// NextWake returns the time at which the next Tick is due, or the zero time if
// none is needed.
func (d *Dispatcher) NextWake() time.Time {
	next := earliest(d.answerCache.NextExpiry(), d.policy.nextWake(d.now))
	if len(d.timers) > 0 {
		next = earliest(next, d.timers[0].timerAt)
	}
	return next
}

// earliest returns the earlier of two times. The zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (d *Dispatcher) emit(a Action) {
	d.actions = append(d.actions, a)
}

// runDueTimers deletes expired answers and handles all timers that are due.
func (d *Dispatcher) runDueTimers() {
	d.answerCache.Expire(d.now)
	for len(d.timers) > 0 && !d.now.Before(d.timers[0].timerAt) {
		d.handleTimer(d.timers[0])
	}
}

func (d *Dispatcher) handleTimer(j *activeJob) {
	switch {
	case j.state == nil:
		d.finishRemote(j, answer.Unknown{Reason: answer.Reason{
			Code:    answer.CodeHomeUnreachable,
			Message: "the previous home of the session did not deliver the answer",
		}})
	case j.state.Answered():
		d.abandonAttempts(j)
	default:
		d.fail(j, answer.CodeDeadline, "the job's time limit has passed")
	}
}
