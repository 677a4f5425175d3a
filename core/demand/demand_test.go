package demand

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// record adds the demand of three queues for 20 s: one that asks for much, one for
// little, and one of a lower priority that asks for as little.
func record(d *Demand, from time.Time) time.Time {
	now := from
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		d.Add(now, "much", 0, 20)
		d.Add(now, "little", 0, 5)
		d.Add(now, "lower", 3, 5)
	}
	return now
}

// Guards against a queue that floods and starves the others: its price must fall with
// what it asks for. Also against a priority without effect.
func TestPriceFallsWithDemandAndPriority(t *testing.T) {
	d := New()
	now := record(d, time.Unix(1000, 0))
	little := d.Price(now, "little")
	if r := little / d.Price(now, "much"); math.Abs(r-4) > 0.2 {
		t.Errorf("a queue with a quarter of the demand costs %.2f times as much, want 4", r)
	}
	if r := little / d.Price(now, "lower"); math.Abs(r-2) > 0.1 {
		t.Errorf("three priorities make a factor of %.2f, want 2", r)
	}
}

// Guards against a short burst that turns the order of prices round.
func TestBurstBarelyChangesThePrice(t *testing.T) {
	d := New()
	now := record(d, time.Unix(1000, 0))
	before := d.Price(now, "little")
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		d.Add(now, "little", 0, 15)
	}
	if r := d.Price(now, "little") / before; r < 0.8 {
		t.Errorf("a second with three times the demand lowers the price to %.2f", r)
	}
	if got := d.Current(now, "little"); got < 1000 || got > 1600 {
		t.Errorf("the current demand is %.0f core-seconds per second, want about 1500", got)
	}
}

// Guards against a demand that stays after its queue has fallen silent.
func TestCurrentDemandEnds(t *testing.T) {
	d := New()
	now := record(d, time.Unix(1000, 0))
	if got := d.Current(now.Add(5*time.Second), "much"); got > 1 {
		t.Errorf("5 s after the last job the current demand is %.1f core-seconds per second", got)
	}
}

// Guards against results that depend on the order of a map: equal events must lead to
// equal decisions.
func TestEqualEventsGiveEqualValues(t *testing.T) {
	var names []string
	rate := 0.0
	for run := range 100 {
		d := New()
		now := time.Unix(1000, 0)
		for i := range 40 {
			now = now.Add(7 * time.Millisecond)
			d.Add(now, fmt.Sprintf("queue%d", i*7%40), i%3, 1/float64(i+3))
		}
		gotNames, gotRate := d.Queues(), d.CurrentAbove(now, 0)
		if run == 0 {
			names, rate = gotNames, gotRate
		}
		if !slices.Equal(gotNames, names) || gotRate != rate {
			t.Fatalf("run %d: %v with %v core-seconds per second, the first gave %v with %v", run, gotNames, gotRate, names, rate)
		}
	}
}

// Guards against a queue that costs more than equal ones because it has begun later, so
// that its flood takes the room of all others.
func TestNewQueueCostsAsMuchAsAnEqualOne(t *testing.T) {
	d := New()
	now := time.Unix(1000, 0)
	for range 60_000 {
		now = now.Add(10 * time.Millisecond)
		d.Add(now, "old", 0, 5)
	}
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		d.Add(now, "old", 0, 5)
		d.Add(now, "new", 0, 5)
		if r := d.Price(now, "new") / d.Price(now, "old"); i >= 100 && (r < 0.5 || r > 2) {
			t.Fatalf("after %d ms the new queue costs %.2f times as much, want 1", 10*i, r)
		}
	}
}

// Guards against a queue without demand whose price makes the room of its priority look
// too good for the queues that are in use.
func TestPriorityHasThePriceOfItsBusiestQueue(t *testing.T) {
	d := New()
	now := record(d, time.Unix(1000, 0))
	if got, want := d.Priorities(now)[0], d.Price(now, "much"); got != want {
		t.Errorf("priority 0 has the price %v, want %v of the queue with the most demand", got, want)
	}
}

// Guards against queues that are kept forever, and against dropping one whose jobs wait.
func TestQueueWithoutDemandIsDropped(t *testing.T) {
	d := New()
	now := record(d, time.Unix(1000, 0))
	for range 11 * 60 {
		now = now.Add(time.Second)
		d.Add(now, "much", 0, 20)
		d.Keep(now, "lower")
	}
	if got := d.Queues(); !slices.Equal(got, []string{"lower", "much"}) {
		t.Errorf("the queues are %v after 11 minutes with demand for one and waiting jobs of another", got)
	}
	if got := d.Priorities(now.Add(11 * time.Minute)); len(got) != 0 {
		t.Errorf("the priorities are %v after 11 minutes without demand", got)
	}
}
