package owner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

func (o *Owner) decideAlways() {
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

func (o *Owner) decide() {
	o.mu.Lock()
	if o.claiming || o.lease == 0 || !o.synced || o.draining {
		o.mu.Unlock()
		return
	}
	wishes := o.keeper.Decide(o.clock())
	lease := o.lease
	o.claiming = len(wishes) > 0
	for _, s := range o.keeper.Surplus(o.clock()) {
		o.release(s)
	}
	o.mu.Unlock()
	if len(wishes) == 0 {
		return
	}
	wishes = slices.DeleteFunc(wishes, func(w ownership.Wish) bool {
		return w.Shard.Zone != o.self.Zone && !o.reaches(o.ctx, w.Shard.Service, w.Shard.Zone)
	})
	if len(wishes) > 0 {
		o.claim(wishes[:min(len(wishes), maxWishes)], lease)
	}
	o.mu.Lock()
	o.claiming = false
	o.mu.Unlock()
}

func (o *Owner) claim(wishes []ownership.Wish, lease int64) {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	var c port.Change
	for _, w := range wishes {
		c.Expect = append(c.Expect, port.Expect{Key: shardKey(w.Shard), Revision: w.Expected})
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
				Name: o.self.Name, Address: o.self.Address, Incarnation: o.self.Incarnation, Revision: revision,
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
