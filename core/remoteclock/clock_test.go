package remoteclock

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func ExampleClock() {
	now := time.Unix(1000, 0)
	c := New(0.02)
	c.Observe(now, 7*time.Second)
	fmt.Println(c.At(now.Add(10 * time.Second)))
	// Output: 16.8s
}

// Guards against an estimate ahead of the remote clock, and one that falls behind
// by more than the delay of the last reply and the possible drift since then.
func TestEstimateIsALowerBound(t *testing.T) {
	const drift, maxDelay, interval = 0.02, 300 * time.Millisecond, 250 * time.Millisecond
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		start := time.Unix(1000, 0)
		rate := 1 - drift*rng.Float64()
		remote := func(now time.Time) time.Duration {
			return time.Hour + time.Duration(float64(now.Sub(start))*rate)
		}
		c := New(drift)
		for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(interval) {
			sent := now.Add(-time.Duration(rng.Int64N(int64(maxDelay))))
			c.Observe(now, remote(sent))
			later := now.Add(time.Duration(rng.Int64N(int64(time.Minute))))
			switch off := remote(later) - c.At(later); {
			case off < 0:
				t.Fatalf("seed %d: the estimate is %v ahead", seed, -off)
			case off > maxDelay+time.Duration(float64(later.Sub(now))*drift)+time.Millisecond:
				t.Fatalf("seed %d: the estimate is %v behind after %v", seed, off, later.Sub(now))
			}
		}
	}
}

// Guards against keeping the clock of a process that has restarted.
func TestLowerReadingIsTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(0)
	c.Observe(now, time.Minute)
	c.Observe(now.Add(time.Second), 30*time.Second)
	if got := c.At(now.Add(2 * time.Second)); got != 31*time.Second {
		t.Errorf("the estimate is %v after a lower reading", got)
	}
	c.Reset()
	if c.Known() {
		t.Error("a reading is known after the reset")
	}
}
