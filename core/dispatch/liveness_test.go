package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

// idleLimit is the longest time in which nothing may run while tasks wait and
// a target could take them: ejected targets are probed after at most 30 s, or
// 40 s where no repeatable work exists.
const idleLimit = 41 * time.Second

// smallFleet draws a directory with few targets, in three zones and of
// different sizes, so that most special cases of placement occur.
func smallFleet(rng *rand.Rand) *directory.Directory {
	dir := testDirectory(1+rng.IntN(6), 1+rng.IntN(3))
	for _, name := range slices.Sorted(maps.Keys(dir.State.Targets)) {
		tg := dir.State.Targets[name]
		tg.AvailabilityZone = string(rune('a' + rng.IntN(3)))
		tg.MemoryMB = int64(1+rng.IntN(2)) * 512
		dir.State.Targets[name] = tg
	}
	return dir
}

// outcomeOf draws an end; a third of the targets fail nearly everything.
func outcomeOf(rng *rand.Rand, s StartAttempt) Outcome {
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

// Guards against tasks that wait until their deadline although a target could
// take them, for want of anything that would wake them.
func TestNothingWaitsForEver(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		cfg := DefaultConfig("e1", 7)
		cfg.Region, cfg.AvailabilityZone = "", "a"
		b := &bench{t: t, d: New(cfg, rng), now: epoch}
		b.handle(DirectoryChanged{Directory: smallFleet(rng)})
		b.handle(EntryInstancesChanged{Names: []string{"e1", "e2", "e3"}[:1+rng.IntN(3)]})
		b.id = one[ReplySession](t, b.handle(OpenSession{Request: b.next(), Caller: "shop"})).Session
		runLiveness(t, b, rng, seed)
	}
}

func runLiveness(t *testing.T, b *bench, rng *rand.Rand, seed uint64) {
	t.Helper()
	var open []StartAttempt
	busy := b.now
	for step := range 4000 {
		b.now = b.now.Add(20 * time.Millisecond)
		actions := b.handle(Tick{})
		if step < 1000 && step%20 == 0 {
			actions = append(actions, b.handle(Submit{Request: b.next(), Job: JobID{b.id, uint64(step/20 + 1)}, Caller: "shop",
				Submission: Submission{Service: "check", Repeatable: rng.IntN(3) > 0, Timeout: 10 * time.Minute,
					Digest: 1, MemoryMB: int64(rng.IntN(3)) * 400, Tasks: make([]Task, 1+rng.IntN(4))}})...)
		}
		open = append(open, all[StartAttempt](actions)...)
		if len(open) > 0 {
			busy = b.now
		}
		if len(open) > 0 && rng.IntN(3) > 0 {
			s := open[0]
			open = append(open[1:], all[StartAttempt](b.end(s, outcomeOf(rng, s)))...)
		}
		if b.d.Stats().QueuedTasks == 0 {
			busy = b.now
		}
		if b.now.Sub(busy) > idleLimit {
			t.Fatalf("seed %d: %d tasks wait and nothing runs since %v", seed, b.d.Stats().QueuedTasks, b.now.Sub(busy))
		}
	}
}
