package dispatch

import (
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

// learnedOn returns the speeds of eight targets: four fast ones in either half
// of the names, and four that take eight times as long.
func learnedOn(dir *directory.Directory, firstHalf bool) (speeds []Speed, fast map[string]bool) {
	fast = map[string]bool{}
	for name := range dir.State.Targets {
		mean := 400 * time.Millisecond
		if name < "tae" == firstHalf {
			fast[name], mean = true, 50*time.Millisecond
		}
		speeds = append(speeds, Speed{Target: name, Service: "check", Mean: mean, Samples: 1000})
	}
	return speeds, fast
}

// Guards against a new instance that ignores the speeds it has taken over and
// sends its first tasks to slow targets.
func TestTakenSpeedsPlaceAtOnce(t *testing.T) {
	allFast := func(firstHalf, taken bool) bool {
		b := newBench(t, 8, 1)
		speeds, fast := learnedOn(b.d.dir, firstHalf)
		if taken {
			b.handle(ImportSpeeds{Speeds: speeds})
		}
		starts := all[StartAttempt](b.submit(1, 4, true))
		n := 0
		for _, s := range starts {
			if fast[s.Target] {
				n++
			}
		}
		return n == 4 && len(starts) == 4
	}
	if !allFast(true, true) || !allFast(false, true) {
		t.Error("tasks went to slow targets in spite of the speeds")
	}
	// Either half is fast in turn, so that no fixed order passes both.
	if allFast(true, false) && allFast(false, false) {
		t.Error("tasks went to fast targets without the speeds")
	}
}
