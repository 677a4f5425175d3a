package claims

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

func (o *Manager) decideAlways() {
	tick := time.NewTicker(decideEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			o.decide()
		case <-o.ctx.Done():
			return
		}
	}
}

// maxWishes is the number of claims of one change of the store.
const maxWishes = 16

func (o *Manager) decide() {
	o.mu.Lock()
	if o.lease == 0 || !o.synced || o.draining {
		o.mu.Unlock()
		return
	}
	var near, far []ownership.ClaimRequest
	for _, w := range o.keeper.DueClaims(o.clock()) {
		switch {
		case w.Shard.Zone == o.self.Zone && !o.claiming:
			near = append(near, w)
		case w.Shard.Zone != o.self.Zone && !o.claimingFar:
			far = append(far, w)
		}
	}
	lease := o.lease
	o.claiming = o.claiming || len(near) > 0
	o.claimingFar = o.claimingFar || len(far) > 0
	for _, s := range o.keeper.ShardsToRelease(o.clock()) {
		o.release(s)
	}
	o.mu.Unlock()
	if len(far) > 0 {
		o.wg.Go(func() { o.claimFar(far, lease) })
	}
	if len(near) > 0 {
		o.claim(near[:min(len(near), maxWishes)], lease)
		o.mu.Lock()
		o.claiming = false
		o.mu.Unlock()
	}
}

// claimFar claims those shards of other zones whose targets can be reached. It
// runs beside the claims in the own zone, which do not wait for the answers.
func (o *Manager) claimFar(wishes []ownership.ClaimRequest, lease int64) {
	wishes = slices.DeleteFunc(wishes, func(w ownership.ClaimRequest) bool {
		return !o.reaches(o.ctx, w.Shard.Service, w.Shard.Zone)
	})
	if len(wishes) > 0 {
		o.claim(wishes[:min(len(wishes), maxWishes)], lease)
	}
	o.mu.Lock()
	o.claimingFar = false
	o.mu.Unlock()
}

func (o *Manager) claim(wishes []ownership.ClaimRequest, lease int64) {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	var c port.Transaction
	for _, w := range wishes {
		c.Preconditions = append(c.Preconditions, port.Precondition{Key: shardKey(w.Shard), Revision: w.ExpectedRevision})
		c.Puts = append(c.Puts, port.Put{Key: shardKey(w.Shard), Value: o.value(), Lease: lease})
	}
	revision, ok, conflicts, err := o.store.Commit(ctx, c)
	if err != nil {
		o.log.Warn("A claim was not answered.", zap.Error(err), zap.Int("shards", len(wishes)))
		o.pause(retryEvery)
		return
	}
	o.mu.Lock()
	if ok {
		for _, w := range wishes {
			o.keeper.SetClaim(w.Shard, ownership.Claim{
				Holder: o.self.Name, Address: o.self.Address, Incarnation: o.self.Incarnation, Revision: revision,
			})
		}
	} else {
		o.apply(conflicts)
	}
	o.mu.Unlock()
	o.log.Info("Shards were claimed.", zap.Bool("won", ok), zap.Int("shards", len(wishes)),
		zap.String("first", shardKey(wishes[0].Shard)), zap.Int64("fence", revision))
	o.changed()
}
