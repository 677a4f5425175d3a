package claims

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

// maxReleases bounds the shards that are released at the same time, because
// their targets start no tasks meanwhile.
const maxReleases = 2

// releaseMargin is the time for the call that releases a shard.
const releaseMargin = 400 * time.Millisecond

// startRelease starts the release of a shard, unless too many others are being
// released. An instance that shuts down releases all shards at once. The caller
// holds the lock.
func (m *Manager) startRelease(s ownership.Shard) {
	if m.releasing[s] || len(m.releasing) >= maxReleases && !m.draining {
		return
	}
	m.releasing[s] = true
	fence := m.planner.Owned()[s].Revision
	m.log.Info("A shard is being released.", zap.String("shard", shardKey(s)), zap.Int64("fence", fence))
	m.wg.Go(func() { m.releaseWhenIdle(s, fence) })
}

// releaseWhenIdle waits until no task runs on the shard's targets, up to
// idleTimeout, and then frees the shard for other instances. An instance that shuts
// down waits longer for tasks that are likely to end meanwhile.
func (m *Manager) releaseWhenIdle(s ownership.Shard, fence int64) {
	m.onChange()
	limit := time.Now().Add(idleTimeout)
	for m.ctx.Err() == nil && (time.Now().Before(limit) && m.busy(s, time.Time{}) || m.worthHolding(s)) {
		m.pause(idlePoll)
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	key := shardKey(s)
	revision, ok, conflicts, err := m.store.Commit(ctx, port.Transaction{
		Preconditions: []port.Precondition{{Key: key, Revision: fence}}, Puts: []port.Put{{Key: key, Value: []byte("{}")}},
	})
	m.mu.Lock()
	delete(m.releasing, s)
	switch {
	case err != nil:
		m.log.Warn("A shard could not be released.", zap.String("shard", key), zap.Error(err))
	case ok:
		m.planner.SetClaim(s, ownership.Claim{Revision: revision})
	default:
		m.apply(conflicts)
	}
	m.mu.Unlock()
	m.onChange()
}

// worthHolding reports whether a task on the shard's targets is likely to end before
// an instance that shuts down must release the shard.
func (m *Manager) worthHolding(s ownership.Shard) bool {
	m.mu.Lock()
	limit := m.holdLimit
	m.mu.Unlock()
	return time.Now().Before(limit) && m.busy(s, limit)
}

// Releasing returns the shards that are being released.
func (m *Manager) Releasing() map[ownership.Shard]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.releasing)
}

// ReleaseAll releases all shards of this instance, and waits for it up to limit. Shards
// whose tasks are likely to end in time are released last.
func (m *Manager) ReleaseAll(limit time.Time) {
	m.mu.Lock()
	m.holdLimit = limit.Add(-releaseMargin)
	for s := range m.planner.Owned() {
		m.startRelease(s)
	}
	m.mu.Unlock()
	for time.Now().Before(limit) && len(m.Releasing()) > 0 {
		time.Sleep(idlePoll)
	}
}

// Deregister revokes the lease of the registration, so that the other instances
// do not have to wait until it expires. The instance is not registered again.
func (m *Manager) Deregister() {
	m.mu.Lock()
	lease := m.lease
	m.deregistered = true
	m.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	if err := m.store.Revoke(ctx, lease); err != nil {
		m.log.Warn("The registration could not be revoked.", zap.Error(err))
	}
}

// PublishTargetCount writes the number of targets of a pool to the store, where
// all instances read it. It does nothing if another instance holds the pool's
// first shard, or if the number is unchanged.
func (m *Manager) PublishTargetCount(service, zone string, n int) {
	m.mu.Lock()
	_, first := m.planner.Owned()[ownership.Shard{Service: service, Zone: zone}]
	published := m.planner.TargetCount(service, zone)
	m.mu.Unlock()
	if !first || n == published {
		return
	}
	value, err := json.Marshal(targetCount{Targets: n})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: targetsPrefix + service + "/" + zone, Value: value}
	if _, _, _, err := m.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		m.log.Warn("The number of targets could not be written.", zap.String("service", service), zap.Error(err))
	}
}

// Drain announces to the other instances that this one shuts down. It makes no
// further claims.
func (m *Manager) Drain() {
	m.mu.Lock()
	m.draining = true
	m.planner.Drain()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: memberPrefix + m.self.Name, Value: m.encodeSelf(), Lease: lease}
	if _, _, _, err := m.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		m.log.Warn("The shutdown could not be announced.", zap.Error(err))
	}
}
