package claims

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

func (m *Manager) claimLoop() {
	tick := time.NewTicker(claimEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-m.wake:
		case <-m.ctx.Done():
			return
		}
		m.claimDue()
	}
}

// maxClaimsPerCommit limits the claims in one transaction of the store.
const maxClaimsPerCommit = 16

// claimDue claims the shards that are due to this instance, and starts to
// release those that another instance should hold.
func (m *Manager) claimDue() {
	m.mu.Lock()
	if m.lease == 0 || !m.synced || m.draining {
		m.mu.Unlock()
		return
	}
	var local, remote []ownership.ClaimRequest
	own := m.planner.Owned()
	for _, req := range m.planner.DueClaims(m.clock()) {
		_, held := own[req.Shard]
		switch {
		case !held && m.clock().Sub(m.registeredAt) < m.registrationDelay(req.Shard):
		case req.Shard.Zone == m.self.Zone && !m.claiming:
			local = append(local, req)
		case req.Shard.Zone != m.self.Zone && !m.claimingRemote:
			remote = append(remote, req)
		}
	}
	lease := m.lease
	m.claiming = m.claiming || len(local) > 0
	m.claimingRemote = m.claimingRemote || len(remote) > 0
	for _, s := range m.planner.ShardsToRelease(m.clock()) {
		m.startRelease(s)
	}
	m.mu.Unlock()
	if len(remote) > 0 {
		m.wg.Go(func() { m.claimRemote(remote, lease) })
	}
	if len(local) > 0 {
		if local = m.leaveToHolders(local); len(local) > 0 {
			m.claim(local[:min(len(local), maxClaimsPerCommit)], lease)
		}
		m.mu.Lock()
		m.claiming = false
		m.mu.Unlock()
	}
}

// registrationDelay returns how long after its registration the instance leaves a
// shard to others. The caller holds the lock.
func (m *Manager) registrationDelay(s ownership.Shard) time.Duration {
	switch {
	case m.reregistered:
		return reconnectDelay
	case s.Zone != m.self.Zone:
		return startDelay
	}
	return 0
}

// claimRemote claims those of the shards of other zones whose targets are
// reachable and were not unreachable within reconnectDelay. It runs in its own
// goroutine, so that claims in the instance's zone do not wait for the probes.
func (m *Manager) claimRemote(requests []ownership.ClaimRequest, lease int64) {
	requests = slices.DeleteFunc(requests, func(req ownership.ClaimRequest) bool {
		return !m.steadilyReachable(req.Shard.Service, req.Shard.Zone)
	})
	requests = m.leaveToHolders(requests)
	if len(requests) > 0 {
		m.claim(requests[:min(len(requests), maxClaimsPerCommit)], lease)
	}
	m.mu.Lock()
	m.claimingRemote = false
	m.mu.Unlock()
}

// steadilyReachable reports whether the targets of a pool are reachable and were
// not found unreachable within reconnectDelay.
func (m *Manager) steadilyReachable(service, zone string) bool {
	p := pool{service, zone}
	if !m.reachable(m.ctx, service, zone) {
		m.unreachableAt[p] = m.clock()
		return false
	}
	last, ok := m.unreachableAt[p]
	return !ok || m.clock().Sub(last) >= reconnectDelay
}

// leaveToHolders removes the requests for shards whose previous holder is still
// serving, although the store has dropped its registration. A claim would fence it
// off and lose its tasks.
func (m *Manager) leaveToHolders(requests []ownership.ClaimRequest) []ownership.ClaimRequest {
	type holder struct {
		address     string
		incarnation uint64
	}
	asked := map[holder]bool{}
	return slices.DeleteFunc(requests, func(req ownership.ClaimRequest) bool {
		h := holder{req.Previous.Address, req.Previous.Incarnation}
		if h.address == "" {
			return false
		}
		serving, ok := asked[h]
		if !ok {
			serving = m.serving(h.address, h.incarnation)
			asked[h] = serving
			m.log.Info("The previous holder of shards was asked.", zap.String("holder", req.Previous.Holder), zap.Bool("serving", serving))
		}
		if serving {
			m.mu.Lock()
			m.planner.Postpone(m.clock(), req.Shard)
			m.mu.Unlock()
		}
		return serving
	})
}

// claim claims the shards in one transaction, which fails as a whole if any of
// their keys has changed.
func (m *Manager) claim(requests []ownership.ClaimRequest, lease int64) {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	var tx port.Transaction
	for _, req := range requests {
		tx.Preconditions = append(tx.Preconditions, port.Precondition{Key: shardKey(req.Shard), Revision: req.ExpectedRevision})
		tx.Puts = append(tx.Puts, port.Put{Key: shardKey(req.Shard), Value: m.encodeSelf(), Lease: lease})
	}
	revision, ok, conflicts, err := m.store.Commit(ctx, tx)
	if err != nil {
		m.log.Warn("The store did not confirm a claim.", zap.Error(err), zap.Int("shards", len(requests)))
		m.pause(retryEvery)
		return
	}
	m.mu.Lock()
	m.changedAt = m.clock()
	if ok {
		for _, req := range requests {
			m.planner.SetClaim(req.Shard, ownership.Claim{
				Holder: m.self.Name, Address: m.self.Address, Incarnation: m.self.Incarnation, Revision: revision,
			})
		}
	} else {
		m.apply(conflicts)
	}
	m.mu.Unlock()
	m.log.Info("Shards were claimed.", zap.Bool("won", ok), zap.Int("shards", len(requests)),
		zap.String("first", shardKey(requests[0].Shard)), zap.Int64("fence", revision))
	m.onChange()
}
