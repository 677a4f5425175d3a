// Package storemetrics wraps a store and records metrics of its calls.
package storemetrics

import (
	"context"
	"errors"
	"time"

	"marigoldfront.dev/pool/metrics"
	"marigoldfront.dev/pool/port"
)

// Store is a port.Store that records the result and time of each call.
type Store struct {
	store   port.Store
	metrics *metrics.Metrics
}

// New returns a Store that forwards its calls to the given one.
func New(store port.Store, m *metrics.Metrics) *Store { return &Store{store: store, metrics: m} }

// record records a call. ErrCompacted and ErrLeaseNotFound are valid replies and
// do not count as failures of the store.
func (s *Store) record(kind string, started time.Time, err error) {
	ok := err == nil || errors.Is(err, port.ErrCompacted) || errors.Is(err, port.ErrLeaseNotFound)
	s.metrics.StoreCall(kind, ok, time.Since(started))
}

// Read implements port.Store.
func (s *Store) Read(ctx context.Context, prefix string) (items []port.Item, revision int64, err error) {
	defer func(t time.Time) { s.record("read", t, err) }(time.Now())
	return s.store.Read(ctx, prefix)
}

// Watch implements port.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (items []port.Item, revision int64, err error) {
	defer func(t time.Time) { s.record("watch", t, err) }(time.Now())
	return s.store.Watch(ctx, prefix, after, wait)
}

// Commit implements port.Store.
func (s *Store) Commit(ctx context.Context, tx port.Transaction) (revision int64, ok bool, conflicts []port.Item, err error) {
	defer func(t time.Time) { s.record("commit", t, err) }(time.Now())
	return s.store.Commit(ctx, tx)
}

// Grant implements port.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	defer func(t time.Time) { s.record("grant", t, err) }(time.Now())
	return s.store.Grant(ctx, ttl)
}

// KeepAlive implements port.Store.
func (s *Store) KeepAlive(ctx context.Context, lease int64) (err error) {
	defer func(t time.Time) { s.record("keep_alive", t, err) }(time.Now())
	return s.store.KeepAlive(ctx, lease)
}

// Revoke implements port.Store.
func (s *Store) Revoke(ctx context.Context, lease int64) (err error) {
	defer func(t time.Time) { s.record("revoke", t, err) }(time.Now())
	return s.store.Revoke(ctx, lease)
}
