// Package storemetrics counts the calls to a store.
package storemetrics

import (
	"context"
	"errors"
	"time"

	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/port"
)

// Store is a port.Store whose calls are counted.
type Store struct {
	store   port.Store
	metrics *metrics.Metrics
}

// New returns a Store that passes its calls on.
func New(store port.Store, m *metrics.Metrics) *Store { return &Store{store: store, metrics: m} }

// Answers that say no are not failures of the store.
func (s *Store) done(kind string, begun time.Time, err error) {
	ok := err == nil || errors.Is(err, port.ErrCompacted) || errors.Is(err, port.ErrLeaseNotFound)
	s.metrics.StoreCall(kind, ok, time.Since(begun))
}

// Read implements port.Store.
func (s *Store) Read(ctx context.Context, prefix string) (items []port.Item, revision int64, err error) {
	defer func(t time.Time) { s.done("read", t, err) }(time.Now())
	return s.store.Read(ctx, prefix)
}

// Watch implements port.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (items []port.Item, revision int64, err error) {
	defer func(t time.Time) { s.done("watch", t, err) }(time.Now())
	return s.store.Watch(ctx, prefix, after, wait)
}

// Commit implements port.Store.
func (s *Store) Commit(ctx context.Context, c port.Transaction) (revision int64, ok bool, conflicts []port.Item, err error) {
	defer func(t time.Time) { s.done("commit", t, err) }(time.Now())
	return s.store.Commit(ctx, c)
}

// Grant implements port.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	defer func(t time.Time) { s.done("grant", t, err) }(time.Now())
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements port.Store.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (err error) {
	defer func(t time.Time) { s.done("keep_alive", t, err) }(time.Now())
	return s.store.KeepAlive(ctx, lease)
}

// Revoke implements port.Store.
func (s *Store) Revoke(ctx context.Context, lease int64) (err error) {
	defer func(t time.Time) { s.done("revoke", t, err) }(time.Now())
	return s.store.Revoke(ctx, lease)
}
