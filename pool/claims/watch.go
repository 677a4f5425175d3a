package claims

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/notices"
	"marigoldfront.dev/pool/port"
)

// watchLoop reads the members and claims, and watches them for changes.
func (m *Manager) watchLoop() {
	for m.ctx.Err() == nil {
		revision, err := m.read()
		for err == nil {
			revision, err = m.watch(revision)
		}
		if m.ctx.Err() != nil {
			return
		}
		m.log.Info("The watch of the claims has ended.", zap.Error(err))
		m.pause(retryEvery)
	}
}

// read replaces the members and claims by those in the store, and returns the
// revision from which to watch.
func (m *Manager) read() (int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	items, revision, err := m.store.Read(ctx, rootPrefix)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	m.planner.Reset()
	m.apply(items)
	m.synced = true
	m.mu.Unlock()
	m.passNotices(items)
	m.wakeClaimLoop()
	m.onChange()
	return revision, nil
}

// watch applies the changes after a revision, and returns the revision of the
// last one. It returns an error if the claims must be read again.
func (m *Manager) watch(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, watchWait+watchSlack)
	defer cancel()
	items, revision, err := m.store.Watch(ctx, rootPrefix, after, watchWait)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	m.apply(items)
	synced := m.synced
	m.mu.Unlock()
	m.passNotices(items)
	if len(items) > 0 {
		m.onChange()
	}
	if !synced {
		return 0, errors.New("a target rejected a claim of this instance, the claims must be read again")
	}
	return revision, nil
}

// passNotices passes on the notices among the items.
func (m *Manager) passNotices(items []port.Item) {
	var found []port.Item
	for _, it := range items {
		if strings.HasPrefix(it.Key, notices.Prefix) {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b port.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range found {
		m.onNotice(it)
	}
}

// apply updates the members, claims and target counts from items of the store.
// The caller holds the lock.
func (m *Manager) apply(items []port.Item) {
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, memberPrefix):
			m.applyMember(it)
		case strings.HasPrefix(it.Key, shardPrefix):
			m.changedAt = m.clock()
			m.applyClaim(it)
		case strings.HasPrefix(it.Key, targetsPrefix) && !it.Deleted:
			m.applyTargets(it)
		}
	}
}

func (m *Manager) applyMember(it port.Item) {
	name := strings.TrimPrefix(it.Key, memberPrefix)
	var record ownerRecord
	if it.Deleted {
		m.log.Info("An instance is no longer registered.", zap.String("instance", name), zap.Int64("revision", it.Revision))
		m.planner.RemoveMember(name)
		if d, ok := m.known[name]; ok && d.at.IsZero() {
			d.at = m.clock()
			m.known[name] = d
		}
		return
	}
	if err := json.Unmarshal(it.Value, &record); err != nil {
		m.log.Warn("A registration cannot be decoded.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	if m.incarnations[name] != record.Incarnation {
		m.incarnations[name] = record.Incarnation
		m.onMember(record.Address)
	}
	if name != m.self.Name {
		m.known[name] = departure{address: record.Address}
	}
	m.planner.SetMember(ownership.Member{
		Name: name, Zone: record.Zone, Address: record.Address, Incarnation: record.Incarnation, Capacity: record.Capacity,
		Draining: record.Draining,
	})
}

func (m *Manager) applyTargets(it port.Item) {
	parts := strings.Split(strings.TrimPrefix(it.Key, targetsPrefix), "/")
	var v targetCount
	if err := json.Unmarshal(it.Value, &v); err != nil || len(parts) != 2 {
		m.log.Warn("The number of targets cannot be decoded.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	m.log.Info("The number of targets was read.", zap.String("key", it.Key), zap.Int("targets", v.Targets))
	m.planner.SetTargetCount(parts[0], parts[1], v.Targets)
}

func (m *Manager) applyClaim(it port.Item) {
	s, ok := parseShard(it.Key)
	if !ok {
		m.log.Warn("The key of a claim cannot be parsed.", zap.String("key", it.Key))
		return
	}
	if it.Deleted {
		m.log.Info("A claim has ended.", zap.String("shard", it.Key), zap.Int64("revision", it.Revision))
		m.planner.RemoveClaim(m.clock(), s, it.Revision)
		return
	}
	var record ownerRecord
	if err := json.Unmarshal(it.Value, &record); err != nil {
		m.log.Warn("A claim cannot be decoded.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	m.planner.SetClaim(s, ownership.Claim{
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
