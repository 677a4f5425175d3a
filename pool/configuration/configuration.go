// Package configuration keeps the requests of operators in force: the newest
// configuration and the set of evacuated availability zones. It watches the store, and
// accepts newer ones from other instances, so that instances that cannot reach the store
// get them as well.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/pool/port"
)

const (
	// callTimeout bounds a read of the store.
	callTimeout = 800 * time.Millisecond
	// watchWait is how long the store may hold a watch without changes. Together with
	// watchSlack it bounds how long a stalled connection stays undetected, and must be
	// less than the two seconds in which a configuration has to be in force.
	watchWait = time.Second
	// watchSlack is added to watchWait for the timeout of a watch.
	watchSlack = 600 * time.Millisecond
	// retryEvery is the pause after a failed call to the store.
	retryEvery = 200 * time.Millisecond
	// askEvery is the shortest time between two requests to other instances while the
	// store does not reply.
	askEvery = 500 * time.Millisecond
)

// Config holds the dependencies of a Watcher. The functions are called from several
// goroutines, but each of them from one at a time.
type Config struct {
	Log     *zap.Logger
	Store   port.Store
	Formats port.Formats
	// OnConfiguration is called with each configuration that comes into force, and
	// OnEvacuation with each set of zones. The set that the store held with a
	// configuration is in force before it.
	OnConfiguration func(*catalog.Catalog)
	OnEvacuation    func(evacuation.Set)
	// AskInstance asks another instance for what is in force there. It is called while
	// the store does not reply.
	AskInstance func()
}

// Watcher watches the requests of operators in the store. Its methods may be called from
// several goroutines.
type Watcher struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// askedAt is when another instance was last asked.
	askedAt time.Time
	// stored is the set that the store held at the last answer. The set in force may be
	// a newer one of another instance.
	stored evacuation.Set

	mu         sync.Mutex // held while current or evacuation is replaced
	current    atomic.Pointer[activeConfiguration]
	evacuation atomic.Pointer[evacuation.Set]
}

// activeConfiguration is a decoded configuration and its encoded form.
type activeConfiguration struct {
	catalog *catalog.Catalog
	value   []byte
}

// New returns a Watcher without a configuration; Run starts it.
func New(cfg Config) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{cfg: cfg, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	w.evacuation.Store(&evacuation.Set{})
	return w
}

// Catalog returns the active configuration, or nil if there is none.
func (w *Watcher) Catalog() *catalog.Catalog {
	if active := w.current.Load(); active != nil {
		return active.catalog
	}
	return nil
}

// Value returns the version of the active configuration and the configuration as
// it is encoded in the store. It returns 0 and nil if there is none.
func (w *Watcher) Value() (int64, []byte) {
	if active := w.current.Load(); active != nil {
		return active.catalog.Version, active.value
	}
	return 0, nil
}

// Version returns the version of the active configuration, or 0 if there is none.
func (w *Watcher) Version() int64 {
	v, _ := w.Value()
	return v
}

// Evacuation returns the set of evacuated zones in force. Its revision is 0 if the
// instance knows none.
func (w *Watcher) Evacuation() evacuation.Set { return *w.evacuation.Load() }

// ApplyIfNewer activates an encoded configuration if it is newer than the active
// one. The source is named in log lines.
func (w *Watcher) ApplyIfNewer(value []byte, source string) {
	cat, err := w.cfg.Formats.Configuration(value)
	if err != nil {
		w.cfg.Log.Error("A configuration cannot be decoded.", zap.String("source", source), zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.current.Load(); old != nil && old.catalog.Version >= cat.Version {
		return
	}
	w.current.Store(&activeConfiguration{catalog: cat, value: value})
	w.cfg.Log.Info("A configuration is in force.", zap.Int64("version", cat.Version), zap.Int("queues", cat.QueueCount()),
		zap.String("source", source))
	w.cfg.OnConfiguration(cat)
}

// ApplyEvacuation puts a set of evacuated zones in force if it is newer than the one in
// force. The source is named in log lines.
func (w *Watcher) ApplyEvacuation(s evacuation.Set, source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.Evacuation()
	if s.Revision <= old.Revision {
		return
	}
	w.evacuation.Store(&s)
	if s.SameZones(old) {
		return
	}
	for _, zone := range s.Zones {
		if !old.Contains(zone) {
			w.cfg.Log.Info("An availability zone is being evacuated.", zap.String("zone", zone), zap.Int64("revision", s.Revision),
				zap.String("source", source))
		}
	}
	for _, zone := range old.Zones {
		if !s.Contains(zone) {
			w.cfg.Log.Info("An availability zone is no longer evacuated.", zap.String("zone", zone), zap.Int64("revision", s.Revision),
				zap.String("source", source))
		}
	}
	w.cfg.OnEvacuation(s)
}

// Run reads the requests of operators from the store, and watches them until Close.
func (w *Watcher) Run() {
	defer close(w.done)
	for w.ctx.Err() == nil {
		revision, err := w.read()
		for err == nil {
			revision, err = w.watch(revision)
		}
		if w.ctx.Err() != nil {
			return
		}
		w.cfg.Log.Info("The watch of the configuration has ended.", zap.Error(err))
		if now := time.Now(); now.Sub(w.askedAt) >= askEvery {
			w.askedAt = now
			w.cfg.AskInstance()
		}
		select {
		case <-time.After(retryEvery):
		case <-w.ctx.Done():
		}
	}
}

// read reads the requests of operators, and returns the revision from which to watch.
func (w *Watcher) read() (int64, error) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	items, revision, err := w.cfg.Store.Read(ctx, w.cfg.Formats.OperatorPrefix())
	if err != nil {
		return 0, err
	}
	w.stored = evacuation.Set{}
	w.applyAll(items, revision)
	return revision, nil
}

// watch applies the changes after a revision, and returns the revision of the
// last one.
func (w *Watcher) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(w.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := w.cfg.Store.Watch(ctx, w.cfg.Formats.OperatorPrefix(), after, watchWait)
	if err != nil {
		return 0, err
	}
	w.applyAll(items, revision)
	return revision, nil
}

// applyAll applies keys of the store up to a revision, the evacuated zones first, so that
// an instance that has just started knows them before it claims targets.
func (w *Watcher) applyAll(items []port.Item, revision int64) {
	for _, it := range items {
		if zone, ok := w.cfg.Formats.EvacuatedZone(it.Key); ok {
			w.stored = w.stored.With(zone, !it.Deleted)
		}
	}
	w.ApplyEvacuation(w.stored.At(revision), "store")
	for _, it := range items {
		if it.Key == w.cfg.Formats.ConfigurationKey() && !it.Deleted {
			w.ApplyIfNewer(it.Value, "store")
		}
	}
}

// Close stops Run and waits for its end.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}
