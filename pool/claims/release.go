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

// maxReleases bounds the shards that are passed on at a time, because their
// targets stand idle meanwhile.
const maxReleases = 2

// release begins to pass a shard on. The caller holds the lock.
func (o *Manager) release(s ownership.Shard) {
	if o.releasing[s] || len(o.releasing) >= maxReleases && !o.draining {
		return
	}
	o.releasing[s] = true
	fence := o.keeper.Owned()[s].Revision
	o.log.Info("A shard is passed on.", zap.String("shard", shardKey(s)), zap.Int64("fence", fence))
	o.wg.Go(func() { o.passOn(s, fence) })
}

// passOn waits until nothing runs on the shard's targets, and then frees it.
func (o *Manager) passOn(s ownership.Shard, fence int64) {
	o.changed()
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
		o.log.Warn("A shard was not passed on.", zap.String("shard", key), zap.Error(err))
	case ok:
		o.keeper.SetClaim(s, ownership.Claim{Revision: revision})
	default:
		o.apply(conflicts)
	}
	o.mu.Unlock()
	o.changed()
}

// Releasing returns the shards that are being passed on.
func (o *Manager) Releasing() map[ownership.Shard]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.releasing)
}

// ReleaseAll passes all shards on and waits for it.
func (o *Manager) ReleaseAll(limit time.Time) {
	o.mu.Lock()
	for s := range o.keeper.Owned() {
		o.release(s)
	}
	o.mu.Unlock()
	for time.Now().Before(limit) && len(o.Releasing()) > 0 {
		time.Sleep(idlePoll)
	}
}

// Deregister ends the registration, so that the others need not wait for its lease.
func (o *Manager) Deregister() {
	o.mu.Lock()
	lease := o.lease
	o.left = true
	o.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	if err := o.store.Revoke(ctx, lease); err != nil {
		o.log.Warn("The registration was not ended.", zap.Error(err))
	}
}

// PublishTargetCount tells all instances how many targets a pool has, if this one holds
// the pool's first shard.
func (o *Manager) PublishTargetCount(service, zone string, n int) {
	o.mu.Lock()
	_, first := o.keeper.Owned()[ownership.Shard{Service: service, Zone: zone}]
	known := o.keeper.TargetCount(service, zone)
	o.mu.Unlock()
	if !first || n == known {
		return
	}
	value, err := json.Marshal(targets{Targets: n})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: targetsPrefix + service + "/" + zone, Value: value}
	if _, _, _, err := o.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		o.log.Warn("The number of targets was not written.", zap.String("service", service), zap.Error(err))
	}
}

// Drain tells the others that this instance stops, and claims nothing more.
func (o *Manager) Drain() {
	o.mu.Lock()
	o.draining = true
	o.keeper.Drain()
	lease := o.lease
	o.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: memberPrefix + o.self.Name, Value: o.value(), Lease: lease}
	if _, _, _, err := o.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		o.log.Warn("The stop was not announced.", zap.Error(err))
	}
}
