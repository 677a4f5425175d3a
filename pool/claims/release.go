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

// startRelease starts the release of a shard, unless too many others are being
// released. An instance that shuts down releases all shards at once. The caller
// holds the lock.
func (o *Manager) startRelease(s ownership.Shard) {
	if o.releasing[s] || len(o.releasing) >= maxReleases && !o.draining {
		return
	}
	o.releasing[s] = true
	fence := o.planner.Owned()[s].Revision
	o.log.Info("A shard is being released.", zap.String("shard", shardKey(s)), zap.Int64("fence", fence))
	o.wg.Go(func() { o.releaseWhenIdle(s, fence) })
}

// releaseWhenIdle waits until no task runs on the shard's targets, up to
// idleTimeout, and then frees the shard for other instances.
func (o *Manager) releaseWhenIdle(s ownership.Shard, fence int64) {
	o.onChange()
	limit := time.Now().Add(idleTimeout)
	for o.ctx.Err() == nil && time.Now().Before(limit) && o.busy(s) {
		o.pause(idlePoll)
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	key := shardKey(s)
	revision, ok, conflicts, err := o.store.Commit(ctx, port.Transaction{
		Preconditions: []port.Precondition{{Key: key, Revision: fence}}, Puts: []port.Put{{Key: key, Value: []byte("{}")}},
	})
	o.mu.Lock()
	delete(o.releasing, s)
	switch {
	case err != nil:
		o.log.Warn("A shard could not be released.", zap.String("shard", key), zap.Error(err))
	case ok:
		o.planner.SetClaim(s, ownership.Claim{Revision: revision})
	default:
		o.apply(conflicts)
	}
	o.mu.Unlock()
	o.onChange()
}

// Releasing returns the shards that are being released.
func (o *Manager) Releasing() map[ownership.Shard]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.releasing)
}

// ReleaseAll releases all shards of this instance, and waits for it up to limit.
func (o *Manager) ReleaseAll(limit time.Time) {
	o.mu.Lock()
	for s := range o.planner.Owned() {
		o.startRelease(s)
	}
	o.mu.Unlock()
	for time.Now().Before(limit) && len(o.Releasing()) > 0 {
		time.Sleep(idlePoll)
	}
}

// Deregister revokes the lease of the registration, so that the other instances
// do not have to wait until it expires. The instance is not registered again.
func (o *Manager) Deregister() {
	o.mu.Lock()
	lease := o.lease
	o.deregistered = true
	o.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	if err := o.store.Revoke(ctx, lease); err != nil {
		o.log.Warn("The registration could not be revoked.", zap.Error(err))
	}
}

// PublishTargetCount writes the number of targets of a pool to the store, where
// all instances read it. It does nothing if another instance holds the pool's
// first shard, or if the number is unchanged.
func (o *Manager) PublishTargetCount(service, zone string, n int) {
	o.mu.Lock()
	_, first := o.planner.Owned()[ownership.Shard{Service: service, Zone: zone}]
	published := o.planner.TargetCount(service, zone)
	o.mu.Unlock()
	if !first || n == published {
		return
	}
	value, err := json.Marshal(targetCount{Targets: n})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: targetsPrefix + service + "/" + zone, Value: value}
	if _, _, _, err := o.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		o.log.Warn("The number of targets could not be written.", zap.String("service", service), zap.Error(err))
	}
}

// Drain announces to the other instances that this one shuts down. It makes no
// further claims.
func (o *Manager) Drain() {
	o.mu.Lock()
	o.draining = true
	o.planner.Drain()
	lease := o.lease
	o.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: memberPrefix + o.self.Name, Value: o.encodeSelf(), Lease: lease}
	if _, _, _, err := o.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		o.log.Warn("The shutdown could not be announced.", zap.Error(err))
	}
}
