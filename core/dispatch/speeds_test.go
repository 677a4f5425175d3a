package dispatch

import (
	"testing"
	"time"

	"marigoldfront.dev/core/directory"
)

// halfFastSpeeds returns speeds of the eight targets of dir, and the names of the
// fast ones. The targets in one half of the names are fast. The others take eight
// times as long.
func halfFastSpeeds(dir *directory.Directory, firstHalf bool) (speeds []Speed, fast map[string]bool) {
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

// Guards against a new instance that ignores imported speeds and starts its first
// tasks on slow targets.
func TestImportedSpeedsGuidePlacement(t *testing.T) {
	allFast := func(firstHalf, imported bool) bool {
		f := newFixture(t, 8, 1)
		speeds, fast := halfFastSpeeds(f.d.dir, firstHalf)
		if imported {
			f.handle(ImportSpeeds{Speeds: speeds})
		}
		starts := actionsOf[StartAttempt](f.submit(1, 4, true))
		n := 0
		for _, s := range starts {
			if fast[s.Target] {
				n++
			}
		}
		return n == 4 && len(starts) == 4
	}
	if !allFast(true, true) || !allFast(false, true) {
		t.Error("tasks were started on slow targets despite the imported speeds")
	}
	// Each half of the targets is fast once, so that no fixed order of targets
	// passes both cases.
	if allFast(true, false) && allFast(false, false) {
		t.Error("tasks were started on fast targets without imported speeds")
	}
}
