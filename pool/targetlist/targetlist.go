// Package targetlist watches the platform's list of targets while the instance
// owns any shards, and passes the targets of its shards to the scheduler.
package targetlist

import (
	"context"
	"errors"
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
	// completeBelow is the number of changes below which an answer to a watch holds
	// all there are. The store divides more changes among several answers.
	completeBelow = 50
	// catchUpWait is how long the store may hold a watch for the next answer.
	catchUpWait = time.Millisecond
	// maxAnswers bounds the answers that are read without a pause. If there are
	// still more changes, reading the whole list takes less time.
	maxAnswers = 20
	// retryEvery is the pause after a failed call to the store.
	retryEvery = 250 * time.Millisecond
	// removeAfter is how long a target stays usable after its entry was deleted.
	// Entries that expired during an outage of the store are written again
	// within two seconds after it.
	removeAfter = 2500 * time.Millisecond
)

// errBehind ends a watch that cannot keep up with the changes of the list.
var errBehind = errors.New("the list of targets has more changes than can be read in time")

// Watcher watches the list of targets.
type Watcher struct {
	log     *zap.Logger
	store   port.Store
	formats port.Formats
	claims  ClaimManager
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
func New(log *zap.Logger, store port.Store, formats port.Formats, claims ClaimManager, shards int, clock func() time.Time, post func(scheduler.Event)) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		log: log, store: store, formats: formats, claims: claims, shards: shards, clock: clock, post: post,
		ctx: ctx, cancel: cancel, done: make(chan struct{}), refresh: make(chan struct{}, 1),
		entries: map[string]*entry{}, reportedCounts: map[pool]int{},
	}
}

// Refresh must be called when the owned shards may have changed. It does not
// block.
func (w *Watcher) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// Run watches the list until Close. While the instance owns no shards, it only
// waits for Refresh.
func (w *Watcher) Run() {
	defer close(w.done)
	for w.ctx.Err() == nil {
		if len(w.claims.Owned()) == 0 {
			w.publish()
			w.clearEntries()
			w.wait(time.Hour)
			continue
		}
		revision, err := w.read()
		for err == nil && len(w.claims.Owned()) > 0 {
			w.wait(batchWindow)
			revision, err = w.catchUp(revision)
		}
		if err != nil && w.ctx.Err() == nil {
			w.log.Info("The watch of the targets has ended.", zap.Error(err))
			w.wait(retryEvery)
		}
	}
}

// clearEntries drops the list, which is not watched while the instance owns no
// shards. An outdated list would hide that targets have started to drain
// meanwhile, and they would get new tasks once the instance owns them again.
func (w *Watcher) clearEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.entries)
}

// wait pauses for d. It publishes at once when the owned shards change. A wait of
// an hour, which Run uses while the instance owns no shards, ends as soon as it
// owns one.
func (w *Watcher) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-w.refresh:
			w.publish()
			if d == time.Hour && len(w.claims.Owned()) > 0 {
				return
			}
		case <-timer.C:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// read reads the whole list, and returns the revision from which to watch.
func (w *Watcher) read() (int64, error) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	items, revision, err := w.store.Read(ctx, w.formats.TargetPrefix())
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	found := map[string]bool{}
	for _, it := range items {
		found[it.Key] = true
	}
	for key, e := range w.entries {
		if !found[key] && e.missingSince.IsZero() {
			e.missingSince = w.clock()
		}
	}
	w.mu.Unlock()
	w.applyAll(items)
	return revision, nil
}

// catchUp applies all changes after a revision, in as many answers as it takes. It
// returns the revision of the last change. Otherwise the list would fall behind
// without bound where many targets send heartbeats.
func (w *Watcher) catchUp(after int64) (int64, error) {
	revision, n, err := w.watch(after, watchWait)
	for answers := 1; err == nil && n >= completeBelow; answers++ {
		if answers >= maxAnswers {
			return 0, errBehind
		}
		revision, n, err = w.watch(revision, catchUpWait)
	}
	return revision, err
}

// watch applies the changes after a revision that the store returns in one answer. It
// returns the revision of the last one and their number.
func (w *Watcher) watch(after int64, wait time.Duration) (revision int64, n int, err error) {
	ctx, cancel := context.WithTimeout(w.ctx, wait+watchSlack)
	defer cancel()
	items, revision, err := w.store.Watch(ctx, w.formats.TargetPrefix(), after, wait)
	if err != nil {
		return 0, 0, err
	}
	w.applyAll(items)
	return revision, len(items), nil
}

// applyAll applies changes of the list, removes targets that have been missing
// for longer than removeAfter, and publishes the result.
func (w *Watcher) applyAll(items []port.Item) {
	var gone []string
	w.mu.Lock()
	for _, it := range items {
		w.apply(it)
	}
	for key, e := range w.entries {
		if !e.missingSince.IsZero() && w.clock().Sub(e.missingSince) > removeAfter {
			w.log.Info("A target was removed from the list.", zap.String("target", e.ID))
			delete(w.entries, key)
			gone = append(gone, e.ID)
		}
	}
	w.mu.Unlock()
	for _, id := range gone {
		w.post(scheduler.TargetGone{Target: id})
	}
	w.publish()
	w.reportTargetCounts()
}

// apply applies one change of the list. The caller holds the lock.
func (w *Watcher) apply(it port.Item) {
	old := w.entries[it.Key]
	if it.Deleted {
		if old != nil && old.missingSince.IsZero() {
			old.missingSince = w.clock()
		}
		return
	}
	t, err := w.formats.Target(it.Key, it.Value)
	if err != nil {
		w.log.Warn("An entry of the list of targets cannot be decoded.", zap.String("key", it.Key), zap.Int64("revision", it.Revision),
			zap.Error(err))
		delete(w.entries, it.Key)
		return
	}
	if old == nil || old.Draining != t.Draining || old.Incarnation != t.Incarnation {
		w.log.Info("A target was added to the list or has changed.", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.Bool("draining", t.Draining), zap.Int64("born", t.Incarnation), zap.Int64("revision", it.Revision))
	}
	w.entries[it.Key] = &entry{Target: t}
}

// publish passes the owned targets to the scheduler if they have changed.
func (w *Watcher) publish() {
	owned, releasing := w.claims.Owned(), w.claims.Releasing()
	w.mu.Lock()
	var all []scheduler.Target
	for _, e := range w.entries {
		shard := ownership.ShardOf(e.Service, e.Zone, e.ID, w.shards)
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
	unchanged := reflect.DeepEqual(all, w.sent)
	w.sent = all
	w.mu.Unlock()
	if !unchanged {
		w.post(scheduler.TargetsChanged{Targets: all})
	}
}

// pool identifies the targets of a service in an availability zone.
type pool struct{ service, zone string }

// shrinkThreshold is the share of the last reported number below which a smaller
// number of targets is reported. It keeps shards from moving back and
// forth between instances when the number varies a little.
const shrinkThreshold = 0.75

// reportTargetCounts reports the number of targets of each pool.
func (w *Watcher) reportTargetCounts() {
	w.mu.Lock()
	counts := map[pool]int{}
	for _, e := range w.entries {
		counts[pool{e.Service, e.Zone}]++
	}
	w.mu.Unlock()
	for p, n := range counts {
		if old := w.reportedCounts[p]; n > old || float64(n) < shrinkThreshold*float64(old) {
			w.reportedCounts[p] = n
		}
		w.claims.PublishTargetCount(p.service, p.zone, w.reportedCounts[p])
	}
}

// Busy reports whether any task runs on a target of the shard. The function runs
// returns the number of runs on the target with an ID.
func (w *Watcher) Busy(shard ownership.Shard, runs func(target string) int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.sent {
		if ownership.ShardOf(t.Service, t.Zone, t.ID, w.shards) == shard && runs(t.ID) > 0 {
			return true
		}
	}
	return false
}

// Close stops Run and waits for its end.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}
