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

// maxDelay bounds the time until a change of the list reaches the scheduler. The
// platform allows two seconds until a draining target gets no new work.
const maxDelay = 1900 * time.Millisecond

// fakeStore is a store with the list of targets. Its watches return at a change
// or at the end of their wait.
type fakeStore struct {
	port.Store
	mu       sync.Mutex
	items    map[string]port.Item
	events   []port.Item
	revision int64
	// compacted makes watches fail with port.ErrCompacted.
	compacted bool
}

func (s *fakeStore) put(id string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.write(port.Item{Key: "targets/" + id, Value: b})
}

func (s *fakeStore) write(it port.Item) {
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

func (s *fakeStore) remove(id string) { s.write(port.Item{Key: "targets/" + id, Deleted: true}) }

func (s *fakeStore) setCompacted(compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = compacted
}

func (s *fakeStore) Read(context.Context, string) ([]port.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []port.Item
	for _, it := range s.items {
		out = append(out, it)
	}
	return out, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.Item, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		var out []port.Item
		for _, it := range s.events {
			if it.Revision > after {
				out = append(out, it)
			}
		}
		revision, compacted := s.revision, s.compacted
		s.mu.Unlock()
		switch {
		case compacted:
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

// fakeClaimManager owns the shards of a map that tests set.
type fakeClaimManager struct {
	mu        sync.Mutex
	owned     map[ownership.Shard]ownership.Claim
	releasing map[ownership.Shard]bool
	published int
}

func (h *fakeClaimManager) Owned() map[ownership.Shard]ownership.Claim {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owned
}

func (h *fakeClaimManager) Releasing() map[ownership.Shard]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releasing
}

func (h *fakeClaimManager) PublishTargetCount(_, _ string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.published = n
}

func (h *fakeClaimManager) publishedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published
}

// fixture is a running Watcher with a fake store, all shards of one pool and an
// adjustable clock.
type fixture struct {
	t       *testing.T
	store   *fakeStore
	owner   *fakeClaimManager
	listing *Watcher

	mu          sync.Mutex
	sent        map[string]scheduler.Target
	clockOffset time.Duration
	// nonDraining counts the targets passed to the scheduler that do not drain.
	nonDraining int
}

const shards = 2

var ownClaim = ownership.Claim{Holder: "self", Revision: 7}

func newFixture(t *testing.T, ids ...string) *fixture {
	r := &fixture{t: t, store: &fakeStore{items: map[string]port.Item{}}, owner: &fakeClaimManager{}}
	r.owner.owned = map[ownership.Shard]ownership.Claim{}
	for i := range shards {
		r.owner.owned[ownership.Shard{Service: "s", Zone: "z", Index: i}] = ownClaim
	}
	for _, id := range ids {
		r.store.put(id, target(id))
	}
	r.listing = New(zap.NewNop(), r.store, formats{}, r.owner, shards, r.clock, r.post)
	go r.listing.Run()
	t.Cleanup(r.listing.Close)
	r.eventually("the targets reach the scheduler", func() bool { return len(r.current()) == len(ids) })
	return r
}

func target(id string) scheduler.Target {
	return scheduler.Target{ID: id, Service: "s", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, CPU: 1000}
}

func (r *fixture) clock() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.clockOffset)
}

func (r *fixture) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clockOffset += d
}

func (r *fixture) post(ev scheduler.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = map[string]scheduler.Target{}
	for _, t := range ev.(scheduler.TargetsChanged).Targets {
		r.sent[t.ID] = t
		if !t.Draining {
			r.nonDraining++
		}
	}
}

// current returns the targets last passed to the scheduler, by ID.
func (r *fixture) current() map[string]scheduler.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

func (r *fixture) eventually(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(maxDelay); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not within %v: %s; the scheduler has %+v", maxDelay, what, r.current())
		}
	}
}

// Guards against new tasks on a target that has announced its shutdown, also if
// the store compacts its history meanwhile.
func TestLeavingTargetIsDraining(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("history compacted %v", compacted), func(t *testing.T) {
			r := newFixture(t, "a", "b")
			leaving := target("a")
			leaving.Draining = true
			r.store.setCompacted(compacted)
			r.store.put("a", leaving)
			r.eventually("the target is draining", func() bool { return r.current()["a"].Draining })
			if r.current()["b"].Draining {
				t.Error("the other target is draining as well")
			}
		})
	}
}

// Guards against dropping targets whose entries expire during an outage of the
// store and are written again within two seconds after it.
func TestExpiredEntryIsKept(t *testing.T) {
	r := newFixture(t, "a", "b")
	r.store.remove("a")
	r.store.put("b", target("b"))
	time.Sleep(maxDelay)
	if _, ok := r.current()["a"]; !ok {
		t.Fatalf("the target is dropped within %v", maxDelay)
	}
	r.store.put("a", target("a"))
	time.Sleep(batchWindow + 50*time.Millisecond)
	r.advance(2 * removeAfter)
	time.Sleep(maxDelay)
	if _, ok := r.current()["a"]; !ok {
		t.Error("the target is dropped although its entry was written again")
	}
}

// Guards against targets that are kept forever after their entries were deleted,
// also if nothing else changes in the list.
func TestMissingEntryIsDropped(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("history compacted %v", compacted), func(t *testing.T) {
			r := newFixture(t, "a", "b")
			r.store.setCompacted(compacted)
			r.store.remove("a")
			time.Sleep(maxDelay)
			r.advance(removeAfter)
			r.eventually("the target is dropped", func() bool { _, ok := r.current()["a"]; return !ok })
			if _, ok := r.current()["b"]; !ok {
				t.Error("the other target is dropped as well")
			}
		})
	}
}

// Guards against an undecodable entry that affects other targets. Its own target
// is dropped until the entry can be decoded again.
func TestUndecodableEntryIsDropped(t *testing.T) {
	r := newFixture(t, "a", "b")
	r.store.write(port.Item{Key: "targets/a", Value: []byte("{")})
	r.store.write(port.Item{Key: "targets/c", Value: []byte("\xff")})
	r.store.put("d", target("d"))
	r.eventually("the new target reaches the scheduler", func() bool { _, ok := r.current()["d"]; return ok })
	if got := r.current(); len(got) != 2 || got["b"].ID != "b" {
		t.Errorf("the scheduler has %v, want b and d", got)
	}
	r.store.put("a", target("a"))
	r.eventually("the repaired entry is used", func() bool { _, ok := r.current()["a"]; return ok })
}

// Guards against a restarted target that is taken for its previous incarnation.
func TestRestartedTargetIsPublished(t *testing.T) {
	r := newFixture(t, "a")
	restarted := target("a")
	restarted.Incarnation = 2
	r.store.put("a", restarted)
	r.eventually("the new incarnation reaches the scheduler", func() bool { return r.current()["a"].Incarnation == 2 })
}

// Guards against new tasks on the targets of a shard that is being released, and
// against targets that are kept after another instance has claimed the shard.
func TestReleasedShardsGetNoTasks(t *testing.T) {
	r := newFixture(t, "a")
	shard := ownership.ShardOf("s", "z", "a", shards)
	r.owner.mu.Lock()
	r.owner.releasing = map[ownership.Shard]bool{shard: true}
	r.owner.mu.Unlock()
	r.listing.Refresh()
	r.eventually("the target is marked as releasing", func() bool { return r.current()["a"].Releasing })
	r.owner.mu.Lock()
	r.owner.owned = map[ownership.Shard]ownership.Claim{}
	r.owner.mu.Unlock()
	r.listing.Refresh()
	r.eventually("the target is removed", func() bool { return len(r.current()) == 0 })
}

// Guards against a growing pool that gets no further owners, and against a pool
// whose number of owners alternates because its size varies a little.
func TestTargetsAreCounted(t *testing.T) {
	r := newFixture(t)
	const n = 81
	for i := range n {
		id := fmt.Sprint("t", i)
		r.store.put(id, target(id))
	}
	r.eventually("all targets are reported", func() bool { return r.owner.publishedCount() == n })
	r.store.write(port.Item{Key: "targets/t0", Value: []byte("{")})
	r.eventually("the entry is dropped", func() bool { _, ok := r.current()["t0"]; return !ok })
	if got := r.owner.publishedCount(); got != n {
		t.Errorf("%d targets are reported after one of %d was dropped", got, n)
	}
	for i := range n / 3 {
		r.store.write(port.Item{Key: fmt.Sprint("targets/t", i), Value: []byte("{")})
	}
	r.eventually("the number without the dropped third is reported", func() bool { return r.owner.publishedCount() == n-n/3 })
}

// Guards against new tasks on a target that started to drain while another
// instance owned it, because the list from before is used again.
func TestOldListIsNotReused(t *testing.T) {
	r := newFixture(t, "a")
	owned := r.owner.Owned()
	own := func(shards map[ownership.Shard]ownership.Claim) {
		r.owner.mu.Lock()
		r.owner.owned = shards
		r.owner.mu.Unlock()
		r.listing.Refresh()
	}
	own(map[ownership.Shard]ownership.Claim{})
	time.Sleep(maxDelay)
	leaving := target("a")
	leaving.Draining = true
	r.store.put("a", leaving)
	r.mu.Lock()
	r.nonDraining = 0
	r.mu.Unlock()
	own(owned)
	r.eventually("the target reaches the scheduler again", func() bool { return r.current()["a"].Draining })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nonDraining > 0 {
		t.Error("the target was passed to the scheduler as not draining")
	}
}
