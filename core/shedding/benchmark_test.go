package shedding

import (
	"math/rand/v2"
	"testing"
	"time"
)

// longQueue returns jobs of three prices, most of which cannot be in time.
func longQueue(n int) []Job {
	rng := rand.New(rand.NewPCG(1, 1))
	jobs := make([]Job, n)
	for i := range jobs {
		start := time.Duration(rng.IntN(400)) * ms
		jobs[i] = Job{
			Cores: float64(8 * (1 + rng.IntN(8))), RunTime: time.Duration(50+rng.IntN(800)) * ms, Price: float64(1 + rng.IntN(3)),
			LatestStart: start, LatestUseful: start + 300*ms,
		}
	}
	return jobs
}

// Guards against decisions that take so long that the owner misses its heartbeats.
func TestDecisionAboutALongQueueIsFast(t *testing.T) {
	jobs, room := longQueue(3000), busy(1000, 200*ms)
	begin := time.Now()
	New(jobs, room)
	if took := time.Since(begin); took > time.Second {
		t.Errorf("a decision about %d jobs took %v", len(jobs), took)
	}
}

func BenchmarkQueue(b *testing.B) {
	jobs, room := longQueue(100), busy(150, 200*ms)
	for b.Loop() {
		New(jobs, room)
	}
}
