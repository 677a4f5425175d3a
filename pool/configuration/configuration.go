// Package configuration keeps the newest configuration active. It watches the
// store, and accepts a newer configuration from another instance, so that
// instances that cannot reach the store get it as well.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/pool/port"
)

const (
	// callTimeout bounds a read of the store.
	callTimeout = 800 * time.Millisecond
	// watchWait is how long the store may hold a watch without changes. It also
	// bounds how long a stalled connection stays undetected.
	watchWait = 3 * time.Second
	// watchSlack is added to watchWait for the timeout of a watch.
	watchSlack = 600 * time.Millisecond
	// retryEvery is the pause after a failed call to the store.
	retryEvery = 200 * time.Millisecond
)

// Watcher watches the configuration in the store. Its methods may be called from
// several goroutines.
type Watcher struct {
	log     *zap.Logger
	store   port.Store
	formats port.Formats
	// onChange is called with each newly active configuration, with mu held.
	onChange func(*catalog.Catalog)
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}

	mu      sync.Mutex // held while current is replaced
	current atomic.Pointer[activeConfiguration]
}

// activeConfiguration is a decoded configuration and its encoded form.
type activeConfiguration struct {
	catalog *catalog.Catalog
	value   []byte
}

// New returns a Watcher without a configuration; Run starts it.
func New(log *zap.Logger, store port.Store, formats port.Formats, onChange func(*catalog.Catalog)) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		log: log, store: store, formats: formats, onChange: onChange, ctx: ctx, cancel: cancel,
		done: make(chan struct{}),
	}
}

// Catalog returns the active configuration, or nil if there is none.
func (c *Watcher) Catalog() *catalog.Catalog {
	if f := c.current.Load(); f != nil {
		return f.catalog
	}
	return nil
}

// Value returns the version of the active configuration and the configuration as
// it is encoded in the store. It returns 0 and nil if there is none.
func (c *Watcher) Value() (int64, []byte) {
	if f := c.current.Load(); f != nil {
		return f.catalog.Version, f.value
	}
	return 0, nil
}

// Version returns the version of the active configuration, or 0 if there is none.
func (c *Watcher) Version() int64 {
	v, _ := c.Value()
	return v
}

// ApplyIfNewer activates an encoded configuration if it is newer than the active
// one. The source is named in log lines.
func (c *Watcher) ApplyIfNewer(value []byte, source string) {
	cat, err := c.formats.Configuration(value)
	if err != nil {
		c.log.Error("A configuration cannot be decoded.", zap.String("source", source), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.current.Load(); old != nil && old.catalog.Version >= cat.Version {
		return
	}
	c.current.Store(&activeConfiguration{catalog: cat, value: value})
	c.log.Info("A configuration is in force.", zap.Int64("version", cat.Version), zap.Int("queues", cat.QueueCount()),
		zap.String("source", source))
	c.onChange(cat)
}

// Run reads the configuration from the store, and watches it until Close.
func (c *Watcher) Run() {
	defer close(c.done)
	for c.ctx.Err() == nil {
		revision, err := c.read()
		for err == nil {
			revision, err = c.watch(revision)
		}
		if c.ctx.Err() != nil {
			return
		}
		c.log.Info("The watch of the configuration has ended.", zap.Error(err))
		select {
		case <-time.After(retryEvery):
		case <-c.ctx.Done():
		}
	}
}

// read reads the configuration, and returns the revision from which to watch.
func (c *Watcher) read() (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	items, revision, err := c.store.Read(ctx, c.formats.ConfigurationKey())
	if err != nil {
		return 0, err
	}
	c.applyAll(items)
	return revision, nil
}

// watch applies the changes after a revision, and returns the revision of the
// last one.
func (c *Watcher) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := c.store.Watch(ctx, c.formats.ConfigurationKey(), after, watchWait)
	if err != nil {
		return 0, err
	}
	c.applyAll(items)
	return revision, nil
}

func (c *Watcher) applyAll(items []port.Item) {
	for _, it := range items {
		if it.Key == c.formats.ConfigurationKey() && !it.Deleted {
			c.ApplyIfNewer(it.Value, "store")
		}
	}
}

// Close stops Run and waits for its end.
func (c *Watcher) Close() {
	c.cancel()
	<-c.done
}
