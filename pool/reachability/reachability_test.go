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

// list is a store that holds the list of targets.
type list struct {
	port.Store
	items []port.Item
	err   error
	reads atomic.Int64
}

func (s *list) Read(context.Context, string) ([]port.Item, int64, error) {
	s.reads.Add(1)
	return s.items, 1, s.err
}

type formats struct{ port.Formats }

func (formats) TargetPrefix() string { return "targets/" }

func (formats) Target(_ string, value []byte) (t scheduler.Target, err error) {
	err = json.Unmarshal(value, &t)
	return t, err
}

// targets answer if they are named in it.
type targets struct {
	port.Targets
	answer map[string]bool
	wrong  atomic.Int64
}

func (f *targets) Poll(ctx context.Context, o scheduler.Poll) scheduler.PollReturned {
	if o.Fence != 0 || o.LeaseMS != 0 {
		f.wrong.Add(1)
	}
	if !f.answer[o.Target] {
		<-ctx.Done()
	}
	return scheduler.PollReturned{Answered: f.answer[o.Target], Fenced: true}
}

func newList(zones ...string) *list {
	s := &list{items: []port.Item{{Key: "targets/bad", Value: []byte("{")}}}
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

// Guards against claims of targets that the instance does not reach, and
// against targets without an owner because one of them is down.
func TestReaches(t *testing.T) {
	for name, tc := range map[string]struct {
		list   *list
		answer map[string]bool
		want   bool
	}{
		"cut off":          {newList("a", "a", "b"), map[string]bool{"t2": true}, false},
		"one down":         {newList("a", "a", "b"), map[string]bool{"t1": true}, true},
		"no targets":       {newList("b"), map[string]bool{"t0": true}, false},
		"no list":          {&list{err: errors.New("down")}, nil, false},
		"all of them well": {newList("a", "a", "a", "a"), map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}, true},
	} {
		f := &targets{answer: tc.answer}
		c := New(zap.NewNop(), tc.list, formats{}, f)
		if got := c.Reachable(context.Background(), "s", "a"); got != tc.want {
			t.Errorf("%s: reached %v", name, got)
		}
		if n := f.wrong.Load(); n > 0 {
			t.Errorf("%s: %d looks could change a target", name, n)
		}
	}
}

// Guards against a read of the whole list with every decision.
func TestFindingsAreKept(t *testing.T) {
	s := newList("a")
	c := New(zap.NewNop(), s, formats{}, &targets{answer: map[string]bool{"t0": true}})
	for range 5 {
		c.Reachable(context.Background(), "s", "a")
	}
	if n := s.reads.Load(); n != 1 {
		t.Errorf("%d reads", n)
	}
	c.found[pool{"s", "a"}] = finding{reached: false, at: time.Now().Add(-2 * validFor)}
	if !c.Reachable(context.Background(), "s", "a") {
		t.Error("an old finding is used")
	}
}
