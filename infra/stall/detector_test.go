package stall

import (
	"testing"
	"time"
)

// Guards against a request that counts as new although it waited during a stall,
// before and after the Detector itself runs again, and against requests that count
// as old without a stall.
func TestMaxAge(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(func() time.Time { return now })
	for range 100 {
		now = now.Add(tickEvery)
		if age := d.MaxAge(); age != 0 {
			t.Fatalf("without a stall, the age is %v", age)
		}
		d.tick()
	}
	now = now.Add(3 * time.Second)
	if age := d.MaxAge(); age != 3*time.Second {
		t.Errorf("before the first tick after a stall of 3 s, the age is %v", age)
	}
	d.tick()
	now = now.Add(settleTime / 2)
	d.tick()
	if age := d.MaxAge(); age != 3*time.Second+settleTime/2 {
		t.Errorf("shortly after a stall of 3 s, the age is %v", age)
	}
	for range int(settleTime / tickEvery) {
		now = now.Add(tickEvery)
		d.tick()
	}
	if age := d.MaxAge(); age != 0 {
		t.Errorf("long after the stall, the age is %v", age)
	}
}

// Guards against a Detector that does not stop, or that finds stalls in a process
// that runs.
func TestRunningProcess(t *testing.T) {
	d := New(time.Now)
	go d.Run()
	time.Sleep(5 * tickEvery)
	d.Close()
	if tick := d.last.Load().tick; time.Since(tick) > time.Second {
		t.Errorf("the last tick was %v ago", time.Since(tick))
	}
}
