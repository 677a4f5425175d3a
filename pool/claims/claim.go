package claims

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

func (o *Manager) claimLoop() {
	tick := time.NewTicker(claimEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			o.claimDue()
		case <-o.ctx.Done():
			return
		}
	}
}

// maxClaimsPerCommit limits the claims in one transaction of the store.
const maxClaimsPerCommit = 16

// claimDue claims the shards that are due to this instance, and starts to
// release those that another instance should hold.
func (o *Manager) claimDue() {
	o.mu.Lock()
	if o.lease == 0 || !o.synced || o.draining {
		o.mu.Unlock()
		return
	}
	var local, remote []ownership.ClaimRequest
	for _, w := range o.planner.DueClaims(o.clock()) {
		switch {
		case w.Shard.Zone == o.self.Zone && !o.claiming:
			local = append(local, w)
		case w.Shard.Zone != o.self.Zone && !o.claimingRemote:
			remote = append(remote, w)
		}
	}
	lease := o.lease
	o.claiming = o.claiming || len(local) > 0
	o.claimingRemote = o.claimingRemote || len(remote) > 0
	for _, s := range o.planner.ShardsToRelease(o.clock()) {
		o.startRelease(s)
	}
	o.mu.Unlock()
	if len(remote) > 0 {
		o.wg.Go(func() { o.claimRemote(remote, lease) })
	}
	if len(local) > 0 {
		o.claim(local[:min(len(local), maxClaimsPerCommit)], lease)
		o.mu.Lock()
		o.claiming = false
		o.mu.Unlock()
	}
}

// claimRemote claims those of the shards of other zones whose targets are
// reachable. It runs in its own goroutine, so that claims in the instance's zone
// do not wait for the probes.
func (o *Manager) claimRemote(requests []ownership.ClaimRequest, lease int64) {
	requests = slices.DeleteFunc(requests, func(w ownership.ClaimRequest) bool {
		return !o.reachable(o.ctx, w.Shard.Service, w.Shard.Zone)
	})
	if len(requests) > 0 {
		o.claim(requests[:min(len(requests), maxClaimsPerCommit)], lease)
	}
	o.mu.Lock()
	o.claimingRemote = false
	o.mu.Unlock()
}

// claim claims the shards in one transaction, which fails as a whole if any of
// their keys has changed.
func (o *Manager) claim(requests []ownership.ClaimRequest, lease int64) {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	var c port.Transaction
	for _, w := range requests {
		c.Preconditions = append(c.Preconditions, port.Precondition{Key: shardKey(w.Shard), Revision: w.ExpectedRevision})
		c.Puts = append(c.Puts, port.Put{Key: shardKey(w.Shard), Value: o.encodeSelf(), Lease: lease})
	}
	revision, ok, conflicts, err := o.store.Commit(ctx, c)
	if err != nil {
		o.log.Warn("The store did not confirm a claim.", zap.Error(err), zap.Int("shards", len(requests)))
		o.pause(retryEvery)
		return
	}
	o.mu.Lock()
	if ok {
		for _, w := range requests {
			o.planner.SetClaim(w.Shard, ownership.Claim{
				Holder: o.self.Name, Address: o.self.Address, Incarnation: o.self.Incarnation, Revision: revision,
			})
		}
	} else {
		o.apply(conflicts)
	}
	o.mu.Unlock()
	o.log.Info("Shards were claimed.", zap.Bool("won", ok), zap.Int("shards", len(requests)),
		zap.String("first", shardKey(requests[0].Shard)), zap.Int64("fence", revision))
	o.onChange()
}
