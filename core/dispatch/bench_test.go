package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// benchLoop keeps the queue of a Dispatcher at a given length, with one start per
// step.
type benchLoop struct {
	*fixture
	inFlight    []StartAttempt
	seq         uint64
	tasksPerJob int
}

func (l *benchLoop) addStarts(actions []Action) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			l.inFlight = append(l.inFlight, s)
		}
	}
}

func (l *benchLoop) submitJob() {
	l.seq++
	l.addStarts(l.handle(Submit{Request: l.nextRequest(), Job: JobID{l.session, l.seq}, Caller: "shop",
		AcknowledgedBelow: l.seq - min(l.seq-1, 500),
		Submission: Submission{Service: "check", Repeatable: true, Timeout: time.Minute,
			Digest: 1, Tasks: make([]Task, l.tasksPerJob)}}))
}

// step submits a job if the queue is shorter than depth, and then ends the oldest
// attempt.
func (l *benchLoop) step(depth int) {
	if l.d.policy.queuedTasks() < depth || len(l.inFlight) == 0 {
		l.submitJob()
	}
	s := l.inFlight[0]
	l.inFlight = l.inFlight[1:]
	l.now = l.now.Add(100 * time.Microsecond)
	l.addStarts(l.reportEnd(s, TaskSucceeded{RunTime: 100 * time.Millisecond}))
}

// BenchmarkDispatch measures the Dispatcher alone. One operation is the start and
// the end of one attempt, with its share of the work for its job.
func BenchmarkDispatch(b *testing.B) {
	for _, targets := range []int{48, 200} {
		for _, depth := range []int{0, 10_000} {
			for _, tasks := range []int{1, 50} {
				name := fmt.Sprintf("targets=%d/queue=%d/tasks=%d", targets, depth, tasks)
				b.Run(name, func(b *testing.B) { benchmark(b, targets, depth, tasks) })
			}
		}
	}
}

func benchmark(b *testing.B, targets, depth, tasks int) {
	l := &benchLoop{fixture: &fixture{t: b, now: epoch}, tasksPerJob: tasks}
	// The single team may fill at most half of the queue.
	cfg := DefaultConfig("e1", 7)
	cfg.MaxQueuedTasks = max(cfg.MaxQueuedTasks, 4*depth)
	l.restart(cfg, testDirectory(targets, 8))
	for l.d.policy.queuedTasks() < depth {
		l.submitJob()
	}
	b.ReportAllocs()
	for b.Loop() {
		l.step(depth)
	}
	for key := range l.d.Stats().Answers {
		if key.State != "complete" {
			b.Errorf("answers with the state %+v; the measurement is invalid", key)
		}
	}
}
