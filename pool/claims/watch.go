package claims

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

// watchAlways follows the members and claims.
func (o *Manager) watchAlways() {
	for o.ctx.Err() == nil {
		revision, err := o.read()
		for err == nil {
			revision, err = o.watch(revision)
		}
		if o.ctx.Err() != nil {
			return
		}
		o.log.Info("The watch of the claims has ended.", zap.Error(err))
		o.pause(retryEvery)
	}
}

func (o *Manager) read() (int64, error) {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	items, revision, err := o.store.Read(ctx, rootPrefix)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.keeper.Reset()
	o.apply(items)
	o.synced = true
	o.mu.Unlock()
	o.changed()
	return revision, nil
}

func (o *Manager) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(o.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := o.store.Watch(ctx, rootPrefix, after, watchWait)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.apply(items)
	synced := o.synced
	o.mu.Unlock()
	if len(items) > 0 {
		o.changed()
	}
	if !synced {
		return 0, errors.New("a claim was lost without a change in the store")
	}
	return revision, nil
}

func (o *Manager) apply(items []port.Item) {
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, memberPrefix):
			o.applyMember(it)
		case strings.HasPrefix(it.Key, shardPrefix):
			o.applyClaim(it)
		case strings.HasPrefix(it.Key, targetsPrefix) && !it.Deleted:
			o.applyTargets(it)
		}
	}
}

func (o *Manager) applyMember(it port.Item) {
	name := strings.TrimPrefix(it.Key, memberPrefix)
	var h holder
	if it.Deleted {
		o.log.Info("An instance is gone.", zap.String("instance", name), zap.Int64("revision", it.Revision))
		o.keeper.RemoveMember(name)
		return
	}
	if err := json.Unmarshal(it.Value, &h); err != nil {
		o.log.Warn("A registration cannot be read.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.keeper.SetMember(ownership.Member{
		Name: name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation, Capacity: h.Capacity,
		Draining: h.Draining,
	})
}

func (o *Manager) applyTargets(it port.Item) {
	parts := strings.Split(strings.TrimPrefix(it.Key, targetsPrefix), "/")
	var v targets
	if err := json.Unmarshal(it.Value, &v); err != nil || len(parts) != 2 {
		o.log.Warn("The number of targets cannot be read.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.log.Info("The number of targets is known.", zap.String("key", it.Key), zap.Int("targets", v.Targets))
	o.keeper.SetTargetCount(parts[0], parts[1], v.Targets)
}

func (o *Manager) applyClaim(it port.Item) {
	s, ok := parseShard(it.Key)
	if !ok {
		o.log.Warn("The key of a claim cannot be read.", zap.String("key", it.Key))
		return
	}
	if it.Deleted {
		o.log.Info("A claim has ended.", zap.String("shard", it.Key), zap.Int64("revision", it.Revision))
		o.keeper.RemoveClaim(o.clock(), s, it.Revision)
		return
	}
	var h holder
	if err := json.Unmarshal(it.Value, &h); err != nil {
		o.log.Warn("A claim cannot be read.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.keeper.SetClaim(s, ownership.Claim{
		Holder: h.Name, Address: h.Address, Incarnation: h.Incarnation, Revision: it.Revision,
	})
}

func shardKey(s ownership.Shard) string {
	return shardPrefix + s.Service + "/" + s.Zone + "/" + strconv.Itoa(s.Index)
}

func parseShard(key string) (ownership.Shard, bool) {
	parts := strings.Split(strings.TrimPrefix(key, shardPrefix), "/")
	if len(parts) != 3 {
		return ownership.Shard{}, false
	}
	i, err := strconv.Atoi(parts[2])
	return ownership.Shard{Service: parts[0], Zone: parts[1], Index: i}, err == nil
}
