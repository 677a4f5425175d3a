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

// watchLoop reads the members and claims, and watches them for changes.
func (o *Manager) watchLoop() {
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

// read replaces the members and claims by those in the store, and returns the
// revision from which to watch.
func (o *Manager) read() (int64, error) {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	items, revision, err := o.store.Read(ctx, rootPrefix)
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	o.planner.Reset()
	o.apply(items)
	o.synced = true
	o.mu.Unlock()
	o.onChange()
	return revision, nil
}

// watch applies the changes after a revision, and returns the revision of the
// last one. It returns an error if the claims must be read again.
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
		o.onChange()
	}
	if !synced {
		return 0, errors.New("a target rejected a claim of this instance, the claims must be read again")
	}
	return revision, nil
}

// apply updates the members, claims and target counts from items of the store.
// The caller holds the lock.
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
	var record ownerRecord
	if it.Deleted {
		o.log.Info("An instance is no longer registered.", zap.String("instance", name), zap.Int64("revision", it.Revision))
		o.planner.RemoveMember(name)
		return
	}
	if err := json.Unmarshal(it.Value, &record); err != nil {
		o.log.Warn("A registration cannot be decoded.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.planner.SetMember(ownership.Member{
		Name: name, Zone: record.Zone, Address: record.Address, Incarnation: record.Incarnation, Capacity: record.Capacity,
		Draining: record.Draining,
	})
}

func (o *Manager) applyTargets(it port.Item) {
	parts := strings.Split(strings.TrimPrefix(it.Key, targetsPrefix), "/")
	var v targetCount
	if err := json.Unmarshal(it.Value, &v); err != nil || len(parts) != 2 {
		o.log.Warn("The number of targets cannot be decoded.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.log.Info("The number of targets was read.", zap.String("key", it.Key), zap.Int("targets", v.Targets))
	o.planner.SetTargetCount(parts[0], parts[1], v.Targets)
}

func (o *Manager) applyClaim(it port.Item) {
	s, ok := parseShard(it.Key)
	if !ok {
		o.log.Warn("The key of a claim cannot be parsed.", zap.String("key", it.Key))
		return
	}
	if it.Deleted {
		o.log.Info("A claim has ended.", zap.String("shard", it.Key), zap.Int64("revision", it.Revision))
		o.planner.RemoveClaim(o.clock(), s, it.Revision)
		return
	}
	var record ownerRecord
	if err := json.Unmarshal(it.Value, &record); err != nil {
		o.log.Warn("A claim cannot be decoded.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.planner.SetClaim(s, ownership.Claim{
		Holder: record.Name, Address: record.Address, Incarnation: record.Incarnation, Revision: it.Revision,
	})
}

// shardKey returns the key of a shard in the store.
func shardKey(s ownership.Shard) string {
	return shardPrefix + s.Service + "/" + s.Zone + "/" + strconv.Itoa(s.Index)
}

// parseShard returns the shard of a key, and false if the key is not valid.
func parseShard(key string) (ownership.Shard, bool) {
	parts := strings.Split(strings.TrimPrefix(key, shardPrefix), "/")
	if len(parts) != 3 {
		return ownership.Shard{}, false
	}
	i, err := strconv.Atoi(parts[2])
	return ownership.Shard{Service: parts[0], Zone: parts[1], Index: i}, err == nil
}
