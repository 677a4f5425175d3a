package claims

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

// fakeStore is a store that commits every transaction without checking its
// preconditions. Its watches never return changes, but end when reread is signaled,
// so that the items are read again.
type fakeStore struct {
	port.Store
	reread chan struct{}
	// serving is set while the instance a2 replies.
	serving  atomic.Bool
	mu       sync.Mutex
	revision int64
	items    map[string]port.Item
	grants   int64
	// expired is set to report the lease as expired until the next grant.
	expired bool
}

func (s *fakeStore) Read(context.Context, string) ([]port.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.items)), s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.Item, int64, error) {
	select {
	case <-time.After(wait):
	case <-s.reread:
		return nil, 0, errors.New("the history is gone")
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (s *fakeStore) Commit(_ context.Context, tx port.Transaction) (int64, bool, []port.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, p := range tx.Puts {
		s.items[p.Key] = port.Item{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	return s.revision, true, nil, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = false
	s.grants++
	return s.grants, nil
}

func (s *fakeStore) KeepAlive(context.Context, int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		return port.ErrLeaseNotFound
	}
	return nil
}

// registrations returns how often an instance has registered.
func (s *fakeStore) registrations() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grants
}

// claimed returns the number of claimed shards in a zone.
func (s *fakeStore) claimed(zone string) int {
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

// addHolder registers the instance a2 as the holder of a shard, and waits until the
// Manager has read it.
func (s *fakeStore) addHolder(t *testing.T, o *Manager, shard ownership.Shard) {
	t.Helper()
	record := []byte(`{"name": "a2", "zone": "a", "address": "127.0.0.1:2", "incarnation": "2", "capacity": 40}`)
	s.mu.Lock()
	s.revision++
	for _, key := range []string{shardKey(shard), memberPrefix + "a2"} {
		s.items[key] = port.Item{Key: key, Value: record, Revision: s.revision}
	}
	s.mu.Unlock()
	s.reread <- struct{}{}
	eventually(t, time.Second, "the claim of a2 is read", func() bool { return o.Holders("s")[shard].Holder == "a2" })
}

const shards = 12

// remoteClaimLimit bounds the time until the only instance claims the shards of
// another zone. It first leaves them to instances of that zone for some time.
const remoteClaimLimit = 3 * time.Second

// newManager starts a Manager of the instance a1 in the zones a and b.
func newManager(t *testing.T, reachable func(ctx context.Context, service, zone string) bool) (*Manager, *fakeStore) {
	s := &fakeStore{items: map[string]port.Item{}, reread: make(chan struct{})}
	self := ownership.Member{Name: "a1", Zone: "a", Address: "127.0.0.1:1", Incarnation: 1, Capacity: 40}
	o := New(zap.NewNop(), s, self, []string{"a", "b"}, shards, time.Now, func() {}, func(ownership.Shard, time.Time) bool { return false }, reachable,
		func(address string, incarnation uint64) bool {
			return s.serving.Load() && address == "127.0.0.1:2" && incarnation == 2
		}, func(port.Item) {}, func(string) {})
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

// Guards against targets that stay without an owner because their zone has no
// instances, and against claims of targets that this instance cannot reach.
func TestOnlyReachableTargetsAreClaimed(t *testing.T) {
	for _, reached := range []bool{true, false} {
		t.Run(map[bool]string{true: "reachable", false: "partitioned"}[reached], func(t *testing.T) {
			t.Parallel()
			probes := make(chan struct{}, 1000)
			_, s := newManager(t, func(context.Context, string, string) bool {
				probes <- struct{}{}
				return reached
			})
			eventually(t, remoteClaimLimit, "the targets of the other zone are probed", func() bool { return len(probes) > 0 })
			if reached {
				eventually(t, remoteClaimLimit, "its shards are claimed", func() bool { return s.claimed("b") == shards })
				return
			}
			time.Sleep(time.Second)
			if n := s.claimed("b"); n > 0 {
				t.Errorf("%d unreachable shards are claimed", n)
			}
		})
	}
}

// Guards against claims that an instance of another zone makes as soon as a network
// partition ends. They fence off the zone's own instances, whose tasks are lost.
func TestReconnectedZoneKeepsItsTargets(t *testing.T) {
	t.Parallel()
	var reachable atomic.Bool
	probes := make(chan struct{}, 1000)
	_, s := newManager(t, func(context.Context, string, string) bool {
		probes <- struct{}{}
		return reachable.Load()
	})
	eventually(t, remoteClaimLimit, "the targets of the other zone are probed", func() bool { return len(probes) > 0 })
	reachable.Store(true)
	end := time.Now()
	eventually(t, remoteClaimLimit, "its shards are claimed", func() bool { return s.claimed("b") == shards })
	if d := time.Since(end); d < reconnectDelay-2*claimEvery {
		t.Errorf("the shards were claimed %v after the partition, want at least %v", d, reconnectDelay)
	}
}

// Guards against an instance that registers again after a network partition and
// claims the shards of another one, which also was partitioned but still serves
// them.
func TestReregisteredInstanceLeavesShardsToTheirHolders(t *testing.T) {
	t.Parallel()
	o, s := newManager(t, func(context.Context, string, string) bool { return false })
	eventually(t, time.Second, "the own shards are claimed", func() bool { return s.claimed("a") == shards })
	other := ownership.Shard{Service: "s", Zone: "a", Index: 3}
	s.addHolder(t, o, other)
	s.mu.Lock()
	s.expired = true
	delete(s.items, shardKey(other))
	delete(s.items, memberPrefix+"a2")
	s.mu.Unlock()
	eventually(t, 2*time.Second, "the instance registers again", func() bool { return s.registrations() == 2 })
	begin := time.Now()
	s.reread <- struct{}{}
	eventually(t, 2*reconnectDelay, "the shard is claimed in the end", func() bool { return s.claimed("a") == shards })
	if d := time.Since(begin); d < reconnectDelay-2*claimEvery {
		t.Errorf("the shard was claimed %v after the registration, want at least %v", d, reconnectDelay)
	}
}

// Guards against an instance that the store turns away or whose keys it has dropped:
// another one that claims its shards fences it off, and its tasks are lost.
func TestServingHolderKeepsItsShards(t *testing.T) {
	t.Parallel()
	o, s := newManager(t, func(context.Context, string, string) bool { return false })
	eventually(t, time.Second, "the own shards are claimed", func() bool { return s.claimed("a") == shards })
	other := ownership.Shard{Service: "s", Zone: "a", Index: 3}
	s.addHolder(t, o, other)
	s.serving.Store(true)
	s.mu.Lock()
	delete(s.items, shardKey(other))
	delete(s.items, memberPrefix+"a2")
	s.mu.Unlock()
	s.reread <- struct{}{}
	const claimLimit = 3 * time.Second
	for end := time.Now().Add(claimLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if s.claimed("a") == shards {
			t.Fatal("the shard of a serving holder was claimed")
		}
		if h := o.Holders("s")[other].Holder; h != "a2" {
			t.Fatalf("jobs for the shard go to %q, want a2", h)
		}
	}
	s.serving.Store(false)
	eventually(t, claimLimit, "the shard is claimed once its holder is gone", func() bool { return s.claimed("a") == shards })
}

// Guards against an instance that claims the shards of another zone before the
// instances of that zone, which start at the same time, have registered.
func TestStartingInstanceLeavesOtherZonesAlone(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	_, s := newManager(t, func(context.Context, string, string) bool { return true })
	eventually(t, startDelay/2, "the own shards are claimed", func() bool { return s.claimed("a") == shards })
	eventually(t, remoteClaimLimit, "the shards of the other zone are claimed", func() bool { return s.claimed("b") == shards })
	if d := time.Since(begin); d < startDelay {
		t.Errorf("the shards of the other zone were claimed after %v, want at least %v", d, startDelay)
	}
}

// Guards against claims in the instance's own zone that wait for the probes of
// another, partitioned zone, of which each takes up to a second.
func TestOwnZoneDoesNotWaitForProbes(t *testing.T) {
	probes := make(chan struct{})
	var once sync.Once
	o, s := newManager(t, func(ctx context.Context, _, _ string) bool {
		once.Do(func() { close(probes) })
		<-ctx.Done()
		return false
	})
	eventually(t, time.Second, "the own shards are claimed", func() bool { return s.claimed("a") == shards })
	select {
	case <-probes:
	case <-time.After(remoteClaimLimit):
		t.Fatal("the targets of the other zone are not probed")
	}
	lostShard := ownership.Shard{Service: "s", Zone: "a"}
	s.mu.Lock()
	delete(s.items, shardKey(lostShard))
	s.mu.Unlock()
	o.DropFencedClaim(lostShard, o.Owned()[lostShard].Revision)
	// The shard is claimed after the current watch has ended and the claims are
	// read again.
	eventually(t, watchWait+remoteClaimLimit, "the lost shard is claimed again", func() bool { return s.claimed("a") == shards })
}
