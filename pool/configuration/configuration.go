// Package configuration keeps the newest configuration in force. It follows
// the store, and takes a newer one from another instance where the store
// cannot be reached.
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
	// watchWait is how long a watch may wait. It bounds how long a connection
	// that went silent stays unnoticed.
	watchWait = 3 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 600 * time.Millisecond
	// retryEvery is the pause after a call that failed.
	retryEvery = 200 * time.Millisecond
)

// Watcher follows the configuration.
type Watcher struct {
	log     *zap.Logger
	store   port.Store
	formats port.Formats
	// changed is called after each change.
	changed func(*catalog.Catalog)
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex // guards changes of current
	current atomic.Pointer[inForce]
}

type inForce struct {
	catalog *catalog.Catalog
	value   []byte
}

// New returns a Configuration without content; Run starts it.
func New(log *zap.Logger, store port.Store, formats port.Formats, changed func(*catalog.Catalog)) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		log: log, store: store, formats: formats, changed: changed, ctx: ctx, cancel: cancel,
		done: make(chan struct{}),
	}
}

// Catalog returns the configuration in force, or nil.
func (c *Watcher) Catalog() *catalog.Catalog {
	if f := c.current.Load(); f != nil {
		return f.catalog
	}
	return nil
}

// Value returns the version in force and the configuration as it lies in the
// store.
func (c *Watcher) Value() (int64, []byte) {
	if f := c.current.Load(); f != nil {
		return f.catalog.Version, f.value
	}
	return 0, nil
}

// Version is the version in force, or 0.
func (c *Watcher) Version() int64 {
	v, _ := c.Value()
	return v
}

// ApplyIfNewer puts a configuration in force if it is newer.
func (c *Watcher) ApplyIfNewer(value []byte, source string) {
	cat, err := c.formats.Configuration(value)
	if err != nil {
		c.log.Error("A configuration cannot be read.", zap.String("source", source), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.current.Load(); old != nil && old.catalog.Version >= cat.Version {
		return
	}
	c.current.Store(&inForce{catalog: cat, value: value})
	c.log.Info("A configuration is in force.", zap.Int64("version", cat.Version), zap.Int("queues", cat.QueueCount()),
		zap.String("source", source))
	c.changed(cat)
}

// Run follows the store until Close.
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

func (c *Watcher) read() (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	items, revision, err := c.store.Read(ctx, c.formats.ConfigurationKey())
	if err != nil {
		return 0, err
	}
	c.take(items)
	return revision, nil
}

func (c *Watcher) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := c.store.Watch(ctx, c.formats.ConfigurationKey(), after, watchWait)
	if err != nil {
		return 0, err
	}
	c.take(items)
	return revision, nil
}

func (c *Watcher) take(items []port.Item) {
	for _, it := range items {
		if it.Key == c.formats.ConfigurationKey() && !it.Deleted {
			c.ApplyIfNewer(it.Value, "store")
		}
	}
}

// Close ends Run.
func (c *Watcher) Close() {
	c.cancel()
	<-c.done
}
