package targetlist

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/port"
)

// limit bounds how long a change of the list may take to reach the scheduler.
// The platform allows two seconds until no new work goes to a leaving target.
const limit = 1900 * time.Millisecond

// list is a store that holds the list of targets. Its watches wait for a
// change or the end of their wait.
type list struct {
	port.Store
	mu       sync.Mutex
	items    map[string]port.Item
	events   []port.Item
	revision int64
	// forgets makes watches fail as if the history were gone.
	forgets bool
}

func (s *list) put(id string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.write(port.Item{Key: "targets/" + id, Value: b})
}

func (s *list) write(it port.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
}

func (s *list) remove(id string) { s.write(port.Item{Key: "targets/" + id, Deleted: true}) }

func (s *list) forget(forgets bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgets = forgets
}

func (s *list) Read(context.Context, string) ([]port.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []port.Item
	for _, it := range s.items {
		out = append(out, it)
	}
	return out, s.revision, nil
}

func (s *list) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.Item, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		var out []port.Item
		for _, it := range s.events {
			if it.Revision > after {
				out = append(out, it)
			}
		}
		revision, forgets := s.revision, s.forgets
		s.mu.Unlock()
		switch {
		case forgets:
			return nil, 0, port.ErrCompacted
		case len(out) > 0 || time.Now().After(end) || ctx.Err() != nil:
			return out, revision, ctx.Err()
		}
	}
}

// formats decodes a target from the JSON of a scheduler.Target.
type formats struct{ port.Formats }

func (formats) TargetPrefix() string { return "targets/" }

func (formats) Target(_ string, value []byte) (t scheduler.Target, err error) {
	err = json.Unmarshal(value, &t)
	return t, err
}

// holder owns all shards of one pool, or none.
type holder struct {
	mu        sync.Mutex
	owned     map[ownership.Shard]ownership.Claim
	releasing map[ownership.Shard]bool
	wanted    int
}

func (h *holder) Owned() map[ownership.Shard]ownership.Claim {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owned
}

func (h *holder) Releasing() map[ownership.Shard]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releasing
}

func (h *holder) PublishTargetCount(_, _ string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = n
}

func (h *holder) counted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wanted
}

// rig is a Listing with a list, an owner of everything and a clock of its own.
type rig struct {
	t       *testing.T
	store   *list
	owner   *holder
	listing *Watcher

	mu     sync.Mutex
	posted map[string]scheduler.Target
	ahead  time.Duration
	// working counts the targets without a notice that were passed on.
	working int
}

const shards = 2

var all = ownership.Claim{Holder: "self", Revision: 7}

func newRig(t *testing.T, ids ...string) *rig {
	r := &rig{t: t, store: &list{items: map[string]port.Item{}}, owner: &holder{}}
	r.owner.owned = map[ownership.Shard]ownership.Claim{}
	for i := range shards {
		r.owner.owned[ownership.Shard{Service: "s", Zone: "z", Index: i}] = all
	}
	for _, id := range ids {
		r.store.put(id, target(id))
	}
	r.listing = New(zap.NewNop(), r.store, formats{}, r.owner, shards, r.clock, r.post)
	go r.listing.Run()
	t.Cleanup(r.listing.Close)
	r.eventually("the targets are listed", func() bool { return len(r.now()) == len(ids) })
	return r
}

func target(id string) scheduler.Target {
	return scheduler.Target{ID: id, Service: "s", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, CPU: 1000}
}

func (r *rig) clock() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.ahead)
}

func (r *rig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ahead += d
}

func (r *rig) post(ev scheduler.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.posted = map[string]scheduler.Target{}
	for _, t := range ev.(scheduler.TargetsChanged).Targets {
		r.posted[t.ID] = t
		if !t.Draining {
			r.working++
		}
	}
}

// now returns the targets that the scheduler knows, by ID.
func (r *rig) now() map[string]scheduler.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.posted
}

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not within %v: %s; the scheduler has %+v", limit, what, r.now())
		}
	}
}

// Guards against work on a target that has said it leaves, also where the store
// has dropped its history meanwhile.
func TestLeavingTargetIsDraining(t *testing.T) {
	for _, forgets := range []bool{false, true} {
		t.Run(fmt.Sprintf("history dropped %v", forgets), func(t *testing.T) {
			r := newRig(t, "a", "b")
			leaving := target("a")
			leaving.Draining = true
			r.store.forget(forgets)
			r.store.put("a", leaving)
			r.eventually("the target is draining", func() bool { return r.now()["a"].Draining })
			if r.now()["b"].Draining {
				t.Error("the other target is draining as well")
			}
		})
	}
}

// Guards against dropping targets whose entries lapse while the store is away
// and come back two seconds after it.
func TestLapsedEntryIsKept(t *testing.T) {
	r := newRig(t, "a", "b")
	r.store.remove("a")
	r.store.put("b", target("b"))
	time.Sleep(limit)
	if _, ok := r.now()["a"]; !ok {
		t.Fatalf("the target is dropped within %v", limit)
	}
	r.store.put("a", target("a"))
	time.Sleep(gather + 50*time.Millisecond)
	r.advance(2 * goneAfter)
	time.Sleep(limit)
	if _, ok := r.now()["a"]; !ok {
		t.Error("the target is dropped although its entry came back")
	}
}

// Guards against targets that are kept for ever after they have gone, also where
// nothing else changes in the list.
func TestMissingEntryIsDropped(t *testing.T) {
	for _, forgets := range []bool{false, true} {
		t.Run(fmt.Sprintf("history dropped %v", forgets), func(t *testing.T) {
			r := newRig(t, "a", "b")
			r.store.forget(forgets)
			r.store.remove("a")
			time.Sleep(limit)
			r.advance(goneAfter)
			r.eventually("the target is dropped", func() bool { _, ok := r.now()["a"]; return !ok })
			if _, ok := r.now()["b"]; !ok {
				t.Error("the other target is dropped as well")
			}
		})
	}
}

// Guards against an entry that cannot be read taking other targets with it.
func TestUnreadableEntryNamesNoTarget(t *testing.T) {
	r := newRig(t, "a", "b")
	r.store.write(port.Item{Key: "targets/a", Value: []byte("{")})
	r.store.write(port.Item{Key: "targets/c", Value: []byte("\xff")})
	r.store.put("d", target("d"))
	r.eventually("the new target is listed", func() bool { _, ok := r.now()["d"]; return ok })
	if got := r.now(); len(got) != 2 || got["b"].ID != "b" {
		t.Errorf("the scheduler has %v, want b and d", got)
	}
	r.store.put("a", target("a"))
	r.eventually("the repaired entry is used", func() bool { _, ok := r.now()["a"]; return ok })
}

// Guards against a target of an earlier life being taken for the new one.
func TestRebornTargetIsPassedOn(t *testing.T) {
	r := newRig(t, "a")
	reborn := target("a")
	reborn.Incarnation = 2
	r.store.put("a", reborn)
	r.eventually("the new life is known", func() bool { return r.now()["a"].Incarnation == 2 })
}

// Guards against new work on the targets of a shard that is being passed on,
// and against targets that are kept after the shard is another instance's.
func TestShardsThatAreLeftTakeNoWork(t *testing.T) {
	r := newRig(t, "a")
	shard := ownership.ShardOf("s", "z", "a", shards)
	r.owner.mu.Lock()
	r.owner.releasing = map[ownership.Shard]bool{shard: true}
	r.owner.mu.Unlock()
	r.listing.Refresh()
	r.eventually("the target takes no new work", func() bool { return r.now()["a"].Releasing })
	r.owner.mu.Lock()
	r.owner.owned = map[ownership.Shard]ownership.Claim{}
	r.owner.mu.Unlock()
	r.listing.Refresh()
	r.eventually("the target is another instance's", func() bool { return len(r.now()) == 0 })
}

// Guards against a pool that grows without more owners, and against one that
// moves back and forth between two numbers of them.
func TestTargetsAreCounted(t *testing.T) {
	r := newRig(t)
	const n = 81
	for i := range n {
		id := fmt.Sprint("t", i)
		r.store.put(id, target(id))
	}
	r.eventually("all targets are counted", func() bool { return r.owner.counted() == n })
	r.store.write(port.Item{Key: "targets/t0", Value: []byte("{")})
	r.eventually("the entry is dropped", func() bool { _, ok := r.now()["t0"]; return !ok })
	if got := r.owner.counted(); got != n {
		t.Errorf("%d targets are told after one of %d has left", got, n)
	}
	for i := range n / 3 {
		r.store.write(port.Item{Key: fmt.Sprint("targets/t", i), Value: []byte("{")})
	}
	r.eventually("a third less is told", func() bool { return r.owner.counted() == n-n/3 })
}

// Guards against work on a target that began to leave while another instance
// owned it.
func TestOldListIsNotUsedAgain(t *testing.T) {
	r := newRig(t, "a")
	owned := r.owner.Owned()
	own := func(shards map[ownership.Shard]ownership.Claim) {
		r.owner.mu.Lock()
		r.owner.owned = shards
		r.owner.mu.Unlock()
		r.listing.Refresh()
	}
	own(map[ownership.Shard]ownership.Claim{})
	time.Sleep(limit)
	leaving := target("a")
	leaving.Draining = true
	r.store.put("a", leaving)
	r.mu.Lock()
	r.working = 0
	r.mu.Unlock()
	own(owned)
	r.eventually("the target is listed again", func() bool { return r.now()["a"].Draining })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.working > 0 {
		t.Error("the leaving target takes work")
	}
}
