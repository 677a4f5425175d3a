package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

// maxIdleTime is the longest time in which nothing may run although tasks are
// queued. If all targets are ejected, one is probed after at most 30 s, or after
// 40 s if no repeatable task is queued.
const maxIdleTime = 41 * time.Second

// randomDirectory returns a directory with few targets in up to three zones and
// of different sizes, so that most special cases of placement occur.
func randomDirectory(rng *rand.Rand) *directory.Directory {
	dir := testDirectory(1+rng.IntN(6), 1+rng.IntN(3))
	for _, name := range slices.Sorted(maps.Keys(dir.State.Targets)) {
		tg := dir.State.Targets[name]
		tg.AvailabilityZone = string(rune('a' + rng.IntN(3)))
		tg.MemoryMB = int64(1+rng.IntN(2)) * 512
		dir.State.Targets[name] = tg
	}
	return dir
}

// randomOutcome returns a random outcome of an attempt. A third of the targets
// fail nearly all tasks.
func randomOutcome(rng *rand.Rand, s StartAttempt) Outcome {
	bad := s.Target[2]%3 == 0
	switch n := rng.IntN(10); {
	case bad && n < 9:
		return TaskFailed{RunTime: time.Millisecond}
	case n == 0:
		return Refused{Cause: NoFreeSlot}
	case n == 1:
		return NotSent{Message: "refused"}
	}
	return TaskSucceeded{RunTime: time.Duration(1+rng.IntN(300)) * time.Millisecond}
}

// Guards against tasks that stay queued until their deadline although a target
// could run them, because no event or timer triggers their start.
func TestNoTaskWaitsForever(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		cfg := DefaultConfig("e1", 7)
		cfg.Region, cfg.AvailabilityZone = "", "a"
		f := &fixture{t: t, d: New(cfg, rng), now: epoch}
		f.handle(DirectoryChanged{Directory: randomDirectory(rng)})
		f.handle(EntryInstancesChanged{Names: []string{"e1", "e2", "e3"}[:1+rng.IntN(3)]})
		f.session = onlyAction[ReplySession](t, f.handle(OpenSession{Request: f.nextRequest(), Caller: "shop"})).Session
		checkLiveness(t, f, rng, seed)
	}
}

// checkLiveness runs random jobs and fails the test if tasks are queued but none
// runs for longer than maxIdleTime.
func checkLiveness(t *testing.T, f *fixture, rng *rand.Rand, seed uint64) {
	t.Helper()
	var inFlight []StartAttempt
	lastBusy := f.now
	for step := range 4000 {
		f.now = f.now.Add(20 * time.Millisecond)
		actions := f.handle(Tick{})
		if step < 1000 && step%20 == 0 {
			actions = append(actions, f.handle(Submit{Request: f.nextRequest(), Job: JobID{f.session, uint64(step/20 + 1)}, Caller: "shop",
				Submission: Submission{Service: "check", Repeatable: rng.IntN(3) > 0, Timeout: 10 * time.Minute,
					Digest: 1, MemoryMB: int64(rng.IntN(3)) * 400, Tasks: make([]Task, 1+rng.IntN(4))}})...)
		}
		inFlight = append(inFlight, actionsOf[StartAttempt](actions)...)
		if len(inFlight) > 0 {
			lastBusy = f.now
		}
		if len(inFlight) > 0 && rng.IntN(3) > 0 {
			s := inFlight[0]
			inFlight = append(inFlight[1:], actionsOf[StartAttempt](f.reportEnd(s, randomOutcome(rng, s)))...)
		}
		if f.d.Stats().QueuedTasks == 0 {
			lastBusy = f.now
		}
		if f.now.Sub(lastBusy) > maxIdleTime {
			t.Fatalf("seed %d: %d tasks are queued and none has run for %v", seed, f.d.Stats().QueuedTasks, f.now.Sub(lastBusy))
		}
	}
}
