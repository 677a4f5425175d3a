// Package targetlist watches the platform's list of targets while the instance
// owns any shards, and passes the targets of its shards to the scheduler.
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
	// watchWait is how long the store may hold a watch without changes.
	watchWait = time.Second
	// watchSlack is added to watchWait for the timeout of a watch.
	watchSlack = 600 * time.Millisecond
	// batchWindow is the pause between two watches, in which changes accumulate:
	// the heartbeats of the targets change the list many times a second. A
	// target that starts to drain must be noticed well within two seconds.
	batchWindow = 700 * time.Millisecond
	// retryEvery is the pause after a failed call to the store.
	retryEvery = 250 * time.Millisecond
	// removeAfter is how long a target stays usable after its entry was deleted.
	// Entries that expired during an outage of the store are written again
	// within two seconds after it.
	removeAfter = 2500 * time.Millisecond
)

// Watcher watches the list of targets.
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
	refresh chan struct{}

	mu      sync.Mutex
	entries map[string]*entry // by key
	// sent holds the targets that were last passed to the scheduler.
	sent []scheduler.Target
	// reportedCounts holds the last reported number of targets of each pool. Only
	// the goroutine of Run uses it.
	reportedCounts map[pool]int
}

// ClaimManager provides the shards that the instance owns.
type ClaimManager interface {
	// Owned returns the claims of the instance.
	Owned() map[ownership.Shard]ownership.Claim
	// Releasing returns the owned shards that are being released.
	Releasing() map[ownership.Shard]bool
	// PublishTargetCount reports the number of targets of a pool to all
	// instances.
	PublishTargetCount(service, zone string, n int)
}

// entry is a target of the list.
type entry struct {
	scheduler.Target
	// missingSince is when the entry was found to be deleted, or zero.
	missingSince time.Time
}

// New returns a Watcher; Run starts it. The targets of a service in a zone are
// divided into the given number of shards. The function post passes events to the
// scheduler.
func New(log *zap.Logger, store port.Store, formats port.Formats, owner ClaimManager, shards int, clock func() time.Time, post func(scheduler.Event)) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		log: log, store: store, formats: formats, owner: owner, shards: shards, clock: clock, post: post,
		ctx: ctx, cancel: cancel, done: make(chan struct{}), refresh: make(chan struct{}, 1),
		entries: map[string]*entry{}, reportedCounts: map[pool]int{},
	}
}

// Refresh must be called when the owned shards may have changed. It does not
// block.
func (l *Watcher) Refresh() {
	select {
	case l.refresh <- struct{}{}:
	default:
	}
}

// Run watches the list until Close. While the instance owns no shards, it only
// waits for Refresh.
func (l *Watcher) Run() {
	defer close(l.done)
	for l.ctx.Err() == nil {
		if len(l.owner.Owned()) == 0 {
			l.publish()
			l.clearEntries()
			l.wait(time.Hour)
			continue
		}
		revision, err := l.read()
		for err == nil && len(l.owner.Owned()) > 0 {
			l.wait(batchWindow)
			revision, err = l.watch(revision)
		}
		if err != nil && l.ctx.Err() == nil {
			l.log.Info("The watch of the targets has ended.", zap.Error(err))
			l.wait(retryEvery)
		}
	}
}

// clearEntries drops the list, which is not watched while the instance owns no
// shards. An outdated list would hide that targets have started to drain
// meanwhile, and they would get new tasks once the instance owns them again.
func (l *Watcher) clearEntries() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.entries)
}

// wait pauses for d. It publishes at once when the owned shards change. A wait of
// an hour, which Run uses while the instance owns no shards, ends as soon as it
// owns one.
func (l *Watcher) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-l.refresh:
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

// read reads the whole list, and returns the revision from which to watch.
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
	for key, e := range l.entries {
		if !found[key] && e.missingSince.IsZero() {
			e.missingSince = l.clock()
		}
	}
	l.mu.Unlock()
	l.applyAll(items)
	return revision, nil
}

// watch applies the changes after a revision, and returns the revision of the
// last one.
func (l *Watcher) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(l.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := l.store.Watch(ctx, l.formats.TargetPrefix(), after, watchWait)
	if err != nil {
		return 0, err
	}
	l.applyAll(items)
	return revision, nil
}

// applyAll applies changes of the list, removes targets that have been missing
// for longer than removeAfter, and publishes the result.
func (l *Watcher) applyAll(items []port.Item) {
	l.mu.Lock()
	for _, it := range items {
		l.apply(it)
	}
	for key, e := range l.entries {
		if !e.missingSince.IsZero() && l.clock().Sub(e.missingSince) > removeAfter {
			l.log.Info("A target was removed from the list.", zap.String("target", e.ID))
			delete(l.entries, key)
		}
	}
	l.mu.Unlock()
	l.publish()
	l.reportTargetCounts()
}

// apply applies one change of the list. The caller holds the lock.
func (l *Watcher) apply(it port.Item) {
	old := l.entries[it.Key]
	if it.Deleted {
		if old != nil && old.missingSince.IsZero() {
			old.missingSince = l.clock()
		}
		return
	}
	t, err := l.formats.Target(it.Key, it.Value)
	if err != nil {
		l.log.Warn("An entry of the list of targets cannot be decoded.", zap.String("key", it.Key), zap.Int64("revision", it.Revision),
			zap.Error(err))
		delete(l.entries, it.Key)
		return
	}
	if old == nil || old.Draining != t.Draining || old.Incarnation != t.Incarnation {
		l.log.Info("A target was added to the list or has changed.", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.Bool("draining", t.Draining), zap.Int64("born", t.Incarnation), zap.Int64("revision", it.Revision))
	}
	l.entries[it.Key] = &entry{Target: t}
}

// publish passes the owned targets to the scheduler if they have changed.
func (l *Watcher) publish() {
	owned, releasing := l.owner.Owned(), l.owner.Releasing()
	l.mu.Lock()
	var all []scheduler.Target
	for _, e := range l.entries {
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
	unchanged := reflect.DeepEqual(all, l.sent)
	l.sent = all
	l.mu.Unlock()
	if !unchanged {
		l.post(scheduler.TargetsChanged{Targets: all})
	}
}

// pool identifies the targets of a service in an availability zone.
type pool struct{ service, zone string }

// shrinkThreshold is the share of the last reported number below which a smaller
// number of targets is reported. It keeps shards from moving back and
// forth between instances when the number varies a little.
const shrinkThreshold = 0.75

// reportTargetCounts reports the number of targets of each pool.
func (l *Watcher) reportTargetCounts() {
	l.mu.Lock()
	counts := map[pool]int{}
	for _, e := range l.entries {
		counts[pool{e.Service, e.Zone}]++
	}
	l.mu.Unlock()
	for p, n := range counts {
		if old := l.reportedCounts[p]; n > old || float64(n) < shrinkThreshold*float64(old) {
			l.reportedCounts[p] = n
		}
		l.owner.PublishTargetCount(p.service, p.zone, l.reportedCounts[p])
	}
}

// Busy reports whether any task runs on a target of the shard. The function runs
// returns the number of runs on the target with an ID.
func (l *Watcher) Busy(shard ownership.Shard, runs func(target string) int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.sent {
		if ownership.ShardOf(t.Service, t.Zone, t.ID, l.shards) == shard && runs(t.ID) > 0 {
			return true
		}
	}
	return false
}

// Close stops Run and waits for its end.
func (l *Watcher) Close() {
	l.cancel()
	<-l.done
}
