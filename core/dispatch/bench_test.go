package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// loop keeps a Dispatcher at a queue depth, with one start per step.
type loop struct {
	*bench
	running []StartAttempt
	seq     uint64
	tasks   int
}

func (l *loop) add(actions []Action) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			l.running = append(l.running, s)
		}
	}
}

func (l *loop) submitJob() {
	l.seq++
	l.add(l.handle(Submit{Request: l.next(), Job: JobID{l.id, l.seq}, Caller: "shop",
		AcknowledgedBelow: l.seq - min(l.seq-1, 500),
		Submission: Submission{Service: "check", Repeatable: true, Timeout: time.Minute,
			Digest: 1, Tasks: make([]Task, l.tasks)}}))
}

// step ends the oldest attempt and keeps the queue at its depth.
func (l *loop) step(depth int) {
	if l.d.policy.depth() < depth || len(l.running) == 0 {
		l.submitJob()
	}
	s := l.running[0]
	l.running = l.running[1:]
	l.now = l.now.Add(100 * time.Microsecond)
	l.add(l.end(s, TaskSucceeded{RunTime: 100 * time.Millisecond}))
}

// BenchmarkDispatch measures the core alone; one operation is one start with
// its end and its share of its job.
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
	l := &loop{bench: &bench{t: b, now: epoch}, tasks: tasks}
	// A team may fill at most half of the queue.
	cfg := DefaultConfig("e1", 7)
	cfg.MaxQueuedTasks = max(cfg.MaxQueuedTasks, 4*depth)
	l.restart(cfg, testDirectory(targets, 8))
	for l.d.policy.depth() < depth {
		l.submitJob()
	}
	b.ReportAllocs()
	for b.Loop() {
		l.step(depth)
	}
	for key := range l.d.Stats().Answers {
		if key.State != "complete" {
			b.Errorf("answers with the state %+v; the figure does not hold", key)
		}
	}
}
