package targetlist

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
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
	// maxEvents bounds the changes in one answer to a watch, unless it is 0.
	maxEvents int
	watches   int
}

func (s *fakeStore) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
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
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		i, _ := slices.BinarySearchFunc(s.events, after+1, func(it port.Item, r int64) int { return cmp.Compare(it.Revision, r) })
		out, revision, compacted := slices.Clone(s.events[i:]), s.revision, s.compacted
		if s.maxEvents > 0 && len(out) > s.maxEvents {
			out = out[:s.maxEvents]
			revision = out[len(out)-1].Revision
		}
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

func (m *fakeClaimManager) Owned() map[ownership.Shard]ownership.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owned
}

func (m *fakeClaimManager) Releasing() map[ownership.Shard]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.releasing
}

func (m *fakeClaimManager) PublishTargetCount(_, _ string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published = n
}

func (m *fakeClaimManager) publishedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.published
}

// fixture is a running Watcher with a fake store, all shards of one pool and an
// adjustable clock.
type fixture struct {
	t       *testing.T
	store   *fakeStore
	claims  *fakeClaimManager
	watcher *Watcher

	mu          sync.Mutex
	sent        map[string]scheduler.Target
	clockOffset time.Duration
	// gone holds the targets that were reported as gone.
	gone []string
	// nonDraining counts the targets passed to the scheduler that do not drain.
	nonDraining int
}

const shards = 2

var ownClaim = ownership.Claim{Holder: "self", Revision: 7}

func newFixture(t *testing.T, ids ...string) *fixture {
	f := &fixture{t: t, store: &fakeStore{items: map[string]port.Item{}}, claims: &fakeClaimManager{}}
	f.claims.owned = map[ownership.Shard]ownership.Claim{}
	for i := range shards {
		f.claims.owned[ownership.Shard{Service: "s", Zone: "z", Index: i}] = ownClaim
	}
	for _, id := range ids {
		f.store.put(id, target(id))
	}
	f.watcher = New(zap.NewNop(), f.store, formats{}, f.claims, shards, f.clock, f.post)
	go f.watcher.Run()
	t.Cleanup(f.watcher.Close)
	f.eventually("the targets reach the scheduler", func() bool { return len(f.current()) == len(ids) })
	return f
}

func target(id string) scheduler.Target {
	return scheduler.Target{ID: id, Service: "s", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, CPU: 1000}
}

func (f *fixture) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Add(f.clockOffset)
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clockOffset += d
}

func (f *fixture) post(ev scheduler.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if gone, ok := ev.(scheduler.TargetGone); ok {
		f.gone = append(f.gone, gone.Target)
		return
	}
	f.sent = map[string]scheduler.Target{}
	for _, t := range ev.(scheduler.TargetsChanged).Targets {
		f.sent[t.ID] = t
		if !t.Draining {
			f.nonDraining++
		}
	}
}

// current returns the targets last passed to the scheduler, by ID.
func (f *fixture) current() map[string]scheduler.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

// listed returns the number of targets in the list of the watcher.
func (f *fixture) listed() int {
	f.watcher.mu.Lock()
	defer f.watcher.mu.Unlock()
	return len(f.watcher.entries)
}

func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(maxDelay); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within %v: %s; the scheduler has %+v", maxDelay, what, f.current())
		}
	}
}

// Guards against new tasks on a target that has announced its shutdown, also if
// the store compacts its history meanwhile.
func TestLeavingTargetIsDraining(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("history compacted %v", compacted), func(t *testing.T) {
			f := newFixture(t, "a", "b")
			leaving := target("a")
			leaving.Draining = true
			f.store.setCompacted(compacted)
			f.store.put("a", leaving)
			f.eventually("the target is draining", func() bool { return f.current()["a"].Draining })
			if f.current()["b"].Draining {
				t.Error("the other target is draining as well")
			}
		})
	}
}

// Guards against dropping targets whose entries expire during an outage of the
// store and are written again within two seconds after it.
func TestExpiredEntryIsKept(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.store.remove("a")
	f.store.put("b", target("b"))
	time.Sleep(maxDelay)
	if _, ok := f.current()["a"]; !ok {
		t.Fatalf("the target is dropped within %v", maxDelay)
	}
	f.store.put("a", target("a"))
	time.Sleep(batchWindow + 50*time.Millisecond)
	f.advance(2 * removeAfter)
	time.Sleep(maxDelay)
	if _, ok := f.current()["a"]; !ok {
		t.Error("the target is dropped although its entry was written again")
	}
}

// Guards against targets that are kept forever after their entries were deleted,
// also if nothing else changes in the list.
func TestMissingEntryIsDropped(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("history compacted %v", compacted), func(t *testing.T) {
			f := newFixture(t, "a", "b")
			f.store.setCompacted(compacted)
			f.store.remove("a")
			time.Sleep(maxDelay)
			f.advance(removeAfter)
			f.eventually("the target is dropped", func() bool { _, ok := f.current()["a"]; return !ok })
			f.mu.Lock()
			if !slices.Equal(f.gone, []string{"a"}) {
				t.Errorf("the targets %q were reported as gone, want a", f.gone)
			}
			f.mu.Unlock()
			if _, ok := f.current()["b"]; !ok {
				t.Error("the other target is dropped as well")
			}
		})
	}
}

// Guards against an undecodable entry that affects other targets. Its own target
// is dropped until the entry can be decoded again.
func TestUndecodableEntryIsDropped(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.store.write(port.Item{Key: "targets/a", Value: []byte("{")})
	f.store.write(port.Item{Key: "targets/c", Value: []byte("\xff")})
	f.store.put("d", target("d"))
	f.eventually("the new target reaches the scheduler", func() bool { _, ok := f.current()["d"]; return ok })
	if got := f.current(); len(got) != 2 || got["b"].ID != "b" {
		t.Errorf("the scheduler has %v, want b and d", got)
	}
	f.store.put("a", target("a"))
	f.eventually("the repaired entry is used", func() bool { _, ok := f.current()["a"]; return ok })
}

// Guards against a restarted target that is taken for its previous incarnation.
func TestRestartedTargetIsPublished(t *testing.T) {
	f := newFixture(t, "a")
	restarted := target("a")
	restarted.Incarnation = 2
	f.store.put("a", restarted)
	f.eventually("the new incarnation reaches the scheduler", func() bool { return f.current()["a"].Incarnation == 2 })
}

// Guards against new tasks on the targets of a shard that is being released, and
// against targets that are kept after another instance has claimed the shard.
func TestReleasedShardsGetNoTasks(t *testing.T) {
	f := newFixture(t, "a")
	shard := ownership.ShardOf("s", "z", "a", shards)
	f.claims.mu.Lock()
	f.claims.releasing = map[ownership.Shard]bool{shard: true}
	f.claims.mu.Unlock()
	f.watcher.Refresh()
	f.eventually("the target is marked as releasing", func() bool { return f.current()["a"].Releasing })
	f.claims.mu.Lock()
	f.claims.owned = map[ownership.Shard]ownership.Claim{}
	f.claims.mu.Unlock()
	f.watcher.Refresh()
	f.eventually("the target is removed", func() bool { return len(f.current()) == 0 })
}

// Guards against a growing pool that gets no further owners, and against a pool
// whose number of owners alternates because its size varies a little.
func TestTargetsAreCounted(t *testing.T) {
	f := newFixture(t)
	const n = 81
	for i := range n {
		id := fmt.Sprint("t", i)
		f.store.put(id, target(id))
	}
	f.eventually("all targets are reported", func() bool { return f.claims.publishedCount() == n })
	f.store.write(port.Item{Key: "targets/t0", Value: []byte("{")})
	f.eventually("the entry is dropped", func() bool { _, ok := f.current()["t0"]; return !ok })
	if got := f.claims.publishedCount(); got != n {
		t.Errorf("%d targets are reported after one of %d was dropped", got, n)
	}
	for i := range n / 3 {
		f.store.write(port.Item{Key: fmt.Sprint("targets/t", i), Value: []byte("{")})
	}
	f.eventually("the number without the dropped third is reported", func() bool { return f.claims.publishedCount() == n-n/3 })
}

// Guards against new tasks on a target that started to drain while another
// instance owned it, because the list from before is used again.
func TestOldListIsNotReused(t *testing.T) {
	f := newFixture(t, "a")
	owned := f.claims.Owned()
	own := func(shards map[ownership.Shard]ownership.Claim) {
		f.claims.mu.Lock()
		f.claims.owned = shards
		f.claims.mu.Unlock()
		f.watcher.Refresh()
	}
	own(map[ownership.Shard]ownership.Claim{})
	// The list is watched until the watch in progress ends.
	for end := time.Now().Add(10 * time.Second); f.listed() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list is kept although the instance owns no shards")
		}
	}
	leaving := target("a")
	leaving.Draining = true
	f.store.put("a", leaving)
	f.mu.Lock()
	f.nonDraining = 0
	f.mu.Unlock()
	own(owned)
	f.eventually("the target reaches the scheduler again", func() bool { return f.current()["a"].Draining })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nonDraining > 0 {
		t.Error("the target was passed to the scheduler as not draining")
	}
}
