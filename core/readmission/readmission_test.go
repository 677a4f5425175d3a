package readmission

import (
	"fmt"
	"testing"
	"time"
)

func ExampleSchedule() {
	now := time.Unix(1000, 0)
	s := New(1 << 20)
	for range 3 {
		fmt.Println(s.Delay(now, 512<<10))
	}
	// Output:
	// 1s
	// 1.5s
	// 2s
}

// Guards against callers that all return at once, or later than they have to: in no second
// may more of them return than there is room for.
func TestCallersReturnAsRoomBecomesFree(t *testing.T) {
	const bytes, rate = 100_000, 1_000_000
	for name, freed := range map[string]int64{"nothing was served": 0, "twice the least rate": 2 * rate} {
		t.Run(name, func(t *testing.T) {
			s := New(rate)
			now := time.Unix(1000, 0)
			for range 40 {
				now = now.Add(time.Second)
				s.Free(now, freed)
			}
			perSecond := map[int]int64{}
			for range 200 {
				d := s.Delay(now, bytes)
				if d < minDelay || d > maxDelay {
					t.Fatalf("a delay of %v", d)
				}
				perSecond[int(d.Seconds())] += bytes
			}
			want := max(rate, freed)
			for second, b := range perSecond {
				if b > want*5/4 {
					t.Errorf("callers with %d bytes return after %d s, and %d become free", b, second, want)
				}
			}
			if n := len(perSecond); n > int(200*bytes/want)+2 {
				t.Errorf("the callers return over %d s", n)
			}
		})
	}
}

// Guards against times that only grow while many more callers are refused than there is
// room for.
func TestDelayIsBounded(t *testing.T) {
	s := New(1000)
	perSecond := map[int]int{}
	for range 3000 {
		d := s.Delay(time.Unix(1000, 0), 1000)
		if d < minDelay || d > maxDelay {
			t.Fatalf("a delay of %v", d)
		}
		perSecond[int(d.Seconds())]++
	}
	for second, n := range perSecond {
		if n > 3000/len(perSecond)*2 {
			t.Errorf("%d callers return after %d s", n, second)
		}
	}
}

// Guards against a shortage that is over and still sends callers away for long.
func TestDelayShrinksWithTime(t *testing.T) {
	s := New(1000)
	now := time.Unix(1000, 0)
	for range 20 {
		s.Delay(now, 1000)
	}
	if d := s.Delay(now.Add(25*time.Second), 1000); d != minDelay {
		t.Errorf("a delay of %v after a calm time", d)
	}
}
