package reachability

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/port"
)

// fakeStore is a store with a fixed list of targets. It counts the reads.
type fakeStore struct {
	port.Store
	items []port.Item
	err   error
	reads atomic.Int64
}

func (s *fakeStore) Read(context.Context, string) ([]port.Item, int64, error) {
	s.reads.Add(1)
	return s.items, 1, s.err
}

// formats decodes a target from the JSON of a scheduler.Target.
type formats struct{ port.Formats }

func (formats) TargetPrefix() string { return "targets/" }

func (formats) Target(_ string, value []byte) (t scheduler.Target, err error) {
	err = json.Unmarshal(value, &t)
	return t, err
}

// fakeTargets replies to polls of the targets in responding. A poll of any other
// target times out.
type fakeTargets struct {
	port.Targets
	responding map[string]bool
	// unsafe counts the polls that could change a target.
	unsafe atomic.Int64
}

func (f *fakeTargets) Poll(ctx context.Context, o scheduler.Poll) scheduler.PollReturned {
	if o.Fence != 0 || o.LeaseMS != 0 {
		f.unsafe.Add(1)
	}
	if !f.responding[o.Target] {
		<-ctx.Done()
	}
	return scheduler.PollReturned{Answered: f.responding[o.Target], Fenced: true}
}

// newFakeStore returns a store with one target in each of the zones, and an entry
// that cannot be decoded.
func newFakeStore(zones ...string) *fakeStore {
	s := &fakeStore{items: []port.Item{{Key: "targets/bad", Value: []byte("{")}}}
	for i, zone := range zones {
		id := fmt.Sprint("t", i)
		b, err := json.Marshal(scheduler.Target{ID: id, Service: "s", Zone: zone, Address: id + ":1"})
		if err != nil {
			panic(err)
		}
		s.items = append(s.items, port.Item{Key: "targets/" + id, Value: b})
	}
	return s
}

// Guards against claims of targets that the instance does not reach, and against
// targets that stay without an owner because one of them is down.
func TestReaches(t *testing.T) {
	for name, tc := range map[string]struct {
		store      *fakeStore
		responding map[string]bool
		want       bool
	}{
		"partitioned":    {newFakeStore("a", "a", "b"), map[string]bool{"t2": true}, false},
		"one down":       {newFakeStore("a", "a", "b"), map[string]bool{"t1": true}, true},
		"no targets":     {newFakeStore("b"), map[string]bool{"t0": true}, false},
		"no list":        {&fakeStore{err: errors.New("down")}, nil, false},
		"all responding": {newFakeStore("a", "a", "a", "a"), map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}, true},
	} {
		f := &fakeTargets{responding: tc.responding}
		c := New(zap.NewNop(), tc.store, formats{}, f)
		if got := c.Reachable(context.Background(), "s", "a"); got != tc.want {
			t.Errorf("%s: Reachable returned %v", name, got)
		}
		if n := f.unsafe.Load(); n > 0 {
			t.Errorf("%s: %d polls could change a target", name, n)
		}
	}
}

// Guards against a read of the whole list at each check.
func TestResultsAreCached(t *testing.T) {
	s := newFakeStore("a")
	c := New(zap.NewNop(), s, formats{}, &fakeTargets{responding: map[string]bool{"t0": true}})
	for range 5 {
		c.Reachable(context.Background(), "s", "a")
	}
	if n := s.reads.Load(); n != 1 {
		t.Errorf("the list was read %d times, want once", n)
	}
	c.cached[pool{"s", "a"}] = probeResult{reached: false, at: time.Now().Add(-2 * cacheTime)}
	if !c.Reachable(context.Background(), "s", "a") {
		t.Error("an expired result is used")
	}
}
