package claims

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

// keys is a store that takes every change, and whose watches hear nothing.
type keys struct {
	port.Store
	mu       sync.Mutex
	revision int64
	items    map[string]port.Item
}

func (s *keys) Read(context.Context, string) ([]port.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.items)), s.revision, nil
}

func (s *keys) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.Item, int64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (s *keys) Commit(_ context.Context, c port.Transaction) (int64, bool, []port.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, p := range c.Puts {
		s.items[p.Key] = port.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	return s.revision, true, nil, nil
}

func (s *keys) Grant(context.Context, time.Duration) (int64, error) { return 1, nil }

func (s *keys) KeepAlive(context.Context, int64) error { return nil }

// claimed counts the claims in a zone.
func (s *keys) claimed(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, shardPrefix+"s/"+zone+"/") {
			n++
		}
	}
	return n
}

const shards = 12

// farLimit is how long the only instance leaves the shards of another zone to
// instances that are better placed, and some decisions more.
const farLimit = 3 * time.Second

func newOwner(t *testing.T, reaches func(ctx context.Context, service, zone string) bool) (*Manager, *keys) {
	s := &keys{items: map[string]port.Item{}}
	self := ownership.Member{Name: "a1", Zone: "a", Address: "127.0.0.1:1", Incarnation: 1, Capacity: 40}
	o := New(zap.NewNop(), s, self, []string{"a", "b"}, shards, time.Now, func() {}, func(ownership.Shard) bool { return false }, reaches)
	o.SetServices([]string{"s"})
	go o.Run()
	t.Cleanup(o.Close)
	return o, s
}

func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// Guards against targets without an owner in a zone without instances, and
// against claims of those that cannot be reached.
func TestOnlyReachedTargetsAreClaimed(t *testing.T) {
	for _, reached := range []bool{true, false} {
		t.Run(map[bool]string{true: "reached", false: "cut off"}[reached], func(t *testing.T) {
			t.Parallel()
			asked := make(chan struct{}, 1000)
			_, s := newOwner(t, func(context.Context, string, string) bool {
				asked <- struct{}{}
				return reached
			})
			eventually(t, farLimit, "the other zone is asked", func() bool { return len(asked) > 0 })
			if reached {
				eventually(t, farLimit, "its shards are claimed", func() bool { return s.claimed("b") == shards })
				return
			}
			time.Sleep(time.Second)
			if n := s.claimed("b"); n > 0 {
				t.Errorf("%d shards are claimed", n)
			}
		})
	}
}

// Guards against shards of the own zone that wait for the answers of another
// zone, which is cut off: each question there takes up to a second.
func TestOwnZoneDoesNotWaitForOthers(t *testing.T) {
	asked := make(chan struct{})
	var once sync.Once
	o, s := newOwner(t, func(ctx context.Context, _, _ string) bool {
		once.Do(func() { close(asked) })
		<-ctx.Done()
		return false
	})
	eventually(t, time.Second, "the own shards are claimed", func() bool { return s.claimed("a") == shards })
	select {
	case <-asked:
	case <-time.After(farLimit):
		t.Fatal("the other zone is not asked")
	}
	lost := ownership.Shard{Service: "s", Zone: "a"}
	s.mu.Lock()
	delete(s.items, shardKey(lost))
	s.mu.Unlock()
	o.DropFencedClaim(lost, o.Owned()[lost].Revision)
	// The watch that is waiting ends first, and the store is read again.
	eventually(t, watchWait+farLimit, "a lost shard is claimed again", func() bool { return s.claimed("a") == shards })
}
