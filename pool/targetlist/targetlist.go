// Package targetlist follows the platform's list of targets while the instance
// owns any, and tells the scheduler which targets are its own.
package targetlist

import (
	"context"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/port"
)

const (
	// callTimeout bounds a read of the store.
	callTimeout = 1500 * time.Millisecond
	// watchWait is how long a watch may wait.
	watchWait = time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 600 * time.Millisecond
	// gather is the pause between two watches. The targets' heartbeats change
	// the list many times a second; each watch then returns many at once. A
	// leaving target must be seen well within two seconds.
	gather = 700 * time.Millisecond
	// retryEvery is the pause after a call that failed.
	retryEvery = 250 * time.Millisecond
	// goneAfter is how long a target stays usable after its entry vanished:
	// entries that lapsed while the store was away come back within two
	// seconds.
	goneAfter = 2500 * time.Millisecond
)

// Watcher follows the list.
type Watcher struct {
	log     *zap.Logger
	store   port.Store
	formats port.Formats
	owner   ClaimManager
	shards  int
	clock   func() time.Time
	post    func(scheduler.Event)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	kick    chan struct{}

	mu     sync.Mutex
	listed map[string]*entry // by key
	posted []scheduler.Target
	// told belongs to the goroutine of Run: the number of targets of each pool,
	// as it was told last.
	told map[pool]int
}

// ClaimManager says which shards are the instance's own.
type ClaimManager interface {
	Owned() map[ownership.Shard]ownership.Claim
	// Releasing returns those that are being passed on.
	Releasing() map[ownership.Shard]bool
	// PublishTargetCount is told how many targets a pool has.
	PublishTargetCount(service, zone string, n int)
}

// entry is a listed target.
type entry struct {
	scheduler.Target
	// goneAt is when the entry vanished, or zero.
	goneAt time.Time
}

// New returns a Listing; Run starts it. A service's targets in a zone are
// divided into shards.
func New(log *zap.Logger, store port.Store, formats port.Formats, owner ClaimManager, shards int, clock func() time.Time, post func(scheduler.Event)) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		log: log, store: store, formats: formats, owner: owner, shards: shards, clock: clock, post: post,
		ctx: ctx, cancel: cancel, done: make(chan struct{}), kick: make(chan struct{}, 1),
		listed: map[string]*entry{}, told: map[pool]int{},
	}
}

// Refresh is called when the owned shards may have changed.
func (l *Watcher) Refresh() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Run follows the list until Close.
func (l *Watcher) Run() {
	defer close(l.done)
	for l.ctx.Err() == nil {
		if len(l.owner.Owned()) == 0 {
			l.publish()
			l.forget()
			l.wait(time.Hour)
			continue
		}
		revision, err := l.read()
		for err == nil && len(l.owner.Owned()) > 0 {
			l.wait(gather)
			revision, err = l.watch(revision)
		}
		if err != nil && l.ctx.Err() == nil {
			l.log.Info("The watch of the targets has ended.", zap.Error(err))
			l.wait(retryEvery)
		}
	}
}

// forget drops the list, which is not followed while nothing is owned. Otherwise
// targets that have begun to leave meanwhile would get work as soon as the
// instance owns them again.
func (l *Watcher) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.listed)
}

// wait pauses, and publishes at once when the owned shards change.
func (l *Watcher) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-l.kick:
			l.publish()
			if d == time.Hour && len(l.owner.Owned()) > 0 {
				return
			}
		case <-timer.C:
			return
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Watcher) read() (int64, error) {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	items, revision, err := l.store.Read(ctx, l.formats.TargetPrefix())
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	found := map[string]bool{}
	for _, it := range items {
		found[it.Key] = true
	}
	for key, e := range l.listed {
		if !found[key] && e.goneAt.IsZero() {
			e.goneAt = l.clock()
		}
	}
	l.mu.Unlock()
	l.take(items)
	return revision, nil
}

func (l *Watcher) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(l.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := l.store.Watch(ctx, l.formats.TargetPrefix(), after, watchWait)
	if err != nil {
		return 0, err
	}
	l.take(items)
	return revision, nil
}

func (l *Watcher) take(items []port.Item) {
	l.mu.Lock()
	for _, it := range items {
		l.apply(it)
	}
	for key, e := range l.listed {
		if !e.goneAt.IsZero() && l.clock().Sub(e.goneAt) > goneAfter {
			l.log.Info("A target is gone.", zap.String("target", e.ID))
			delete(l.listed, key)
		}
	}
	l.mu.Unlock()
	l.publish()
	l.countTargets()
}

func (l *Watcher) apply(it port.Item) {
	old := l.listed[it.Key]
	if it.Deleted {
		if old != nil && old.goneAt.IsZero() {
			old.goneAt = l.clock()
		}
		return
	}
	t, err := l.formats.Target(it.Key, it.Value)
	if err != nil {
		l.log.Warn("An entry of the list names no target.", zap.String("key", it.Key), zap.Int64("revision", it.Revision),
			zap.Error(err))
		delete(l.listed, it.Key)
		return
	}
	if old == nil || old.Draining != t.Draining || old.Incarnation != t.Incarnation {
		l.log.Info("A target is listed.", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.Bool("draining", t.Draining), zap.Int64("born", t.Incarnation), zap.Int64("revision", it.Revision))
	}
	l.listed[it.Key] = &entry{Target: t}
}

// publish passes the owned targets on where they have changed.
func (l *Watcher) publish() {
	owned, releasing := l.owner.Owned(), l.owner.Releasing()
	l.mu.Lock()
	var all []scheduler.Target
	for _, e := range l.listed {
		shard := ownership.ShardOf(e.Service, e.Zone, e.ID, l.shards)
		c, ok := owned[shard]
		if !ok {
			continue
		}
		t := e.Target
		t.Fence = c.Revision
		t.Releasing = releasing[shard]
		all = append(all, t)
	}
	sortTargets(all)
	same := reflect.DeepEqual(all, l.posted)
	l.posted = all
	l.mu.Unlock()
	if !same {
		l.post(scheduler.TargetsChanged{Targets: all})
	}
}

// pool is the targets of a service in an availability zone.
type pool struct{ service, zone string }

// shrunk is the part to which a pool has to shrink before that is told, so that
// its shards do not move back and forth.
const shrunk = 0.75

// countTargets tells how many targets the pools have.
func (l *Watcher) countTargets() {
	l.mu.Lock()
	counts := map[pool]int{}
	for _, e := range l.listed {
		counts[pool{e.Service, e.Zone}]++
	}
	l.mu.Unlock()
	for p, n := range counts {
		if old := l.told[p]; n > old || float64(n) < shrunk*float64(old) {
			l.told[p] = n
		}
		l.owner.PublishTargetCount(p.service, p.zone, l.told[p])
	}
}

// Busy says whether a run is on a target of the shard, by the targets' IDs.
func (l *Watcher) Busy(shard ownership.Shard, runs func(target string) int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.posted {
		if ownership.ShardOf(t.Service, t.Zone, t.ID, l.shards) == shard && runs(t.ID) > 0 {
			return true
		}
	}
	return false
}

// Close ends Run.
func (l *Watcher) Close() {
	l.cancel()
	<-l.done
}
