// Package claims keeps the instance registered in the store, watches the other
// instances and their claims, and claims and releases shards of targets.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

const (
	memberPrefix  = "marigoldfront/members/"
	shardPrefix   = "marigoldfront/shards/"
	targetsPrefix = "marigoldfront/targets/"
	rootPrefix    = "marigoldfront/"
	// leaseTTL is how long the registration of a failed instance stays in the
	// store. The leases at its targets are shorter, so that the targets have
	// stopped its tasks by then.
	leaseTTL = 1500 * time.Millisecond
	// renewEvery is the interval of lease renewals. It leaves time for two more
	// attempts before the lease expires.
	renewEvery = 500 * time.Millisecond
	// claimEvery is the interval at which the instance decides which shards to
	// claim and which to release.
	claimEvery = 100 * time.Millisecond
	// callTimeout bounds a call to the store. The store normally replies within
	// milliseconds, but may be sixty times slower.
	callTimeout = 800 * time.Millisecond
	// watchWait is how long the store may hold a watch without changes. It also
	// bounds how long a stalled connection stays undetected.
	watchWait = 3 * time.Second
	// watchSlack is added to watchWait for the timeout of a watch.
	watchSlack = 600 * time.Millisecond
	// settlePeriod is how long after a change of the claims the next owner of a
	// shard may still read the list of targets and poll them.
	settlePeriod = time.Second
	// departedRetention is how long an instance counts as departed after the end of its
	// registration. Most callers stop waiting within it.
	departedRetention = time.Minute
	// reconnectDelay is the time after a network partition, or after a lost
	// registration, before shards of other instances are claimed. Instances that
	// have served their targets meanwhile register again within it and keep them.
	reconnectDelay = 1500 * time.Millisecond
	// startDelay is the time after the start of an instance before it claims shards
	// of other zones, whose instances may have started at the same time.
	startDelay = 500 * time.Millisecond
	// idleTimeout bounds the wait for the running tasks of a shard that is being
	// released. The next owner stops those that still run.
	idleTimeout = 1800 * time.Millisecond
	// idlePoll is the interval at which the end of these tasks is checked.
	idlePoll = 15 * time.Millisecond
	// retryEvery is the pause after a failed call to the store.
	retryEvery = 250 * time.Millisecond
)

// ownerRecord is the value of a member's key, and of the key of a claimed shard.
type ownerRecord struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,string"`
	// Capacity is the number of targets that the instance can serve.
	Capacity int  `json:"capacity,omitempty"`
	Draining bool `json:"draining,omitempty"`
}

// pool is the targets of a service in an availability zone.
type pool struct{ service, zone string }

// targetCount is the value of the key with the number of targets of a pool.
type targetCount struct {
	Targets int `json:"targets"`
}

// Manager keeps the instance registered, tracks the members and claims in the
// store, and claims and releases shards. Its methods may be called from several
// goroutines.
type Manager struct {
	log   *zap.Logger
	store port.Store
	self  ownership.Member
	clock func() time.Time
	// wake triggers the claim loop before its next tick.
	wake chan struct{}
	// onChange is called after each change of members or claims, without the
	// lock held.
	onChange func()
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	planner *ownership.Planner
	lease   int64
	// claiming and claimingRemote are set while a claim in the instance's zone or
	// in another zone is in flight.
	claiming, claimingRemote bool
	draining                 bool
	// deregistered is set once Deregister has been called.
	deregistered bool
	// synced is set while the planner has the claims of the store. It is unset
	// until they are read, and after a target has rejected a claim.
	synced bool
	// registeredAt is when the instance last registered. reregistered is set if
	// this incarnation was registered before.
	registeredAt time.Time
	reregistered bool
	// changedAt is when claims were last read, set or removed.
	changedAt time.Time
	// releasing holds the shards that are being released.
	releasing map[ownership.Shard]bool
	// holdLimit is until when an instance that shuts down may wait for tasks, or zero.
	holdLimit time.Time
	// busy reports whether a task runs on the targets of a shard that is forecast to
	// end by a time, or any task if that is zero.
	busy func(s ownership.Shard, endBy time.Time) bool
	// unreachableAt is when the targets of a pool were last found unreachable. Only
	// the goroutine of claimRemote uses it.
	unreachableAt map[pool]time.Time
	// reachable reports whether this instance reaches the targets of a pool.
	reachable func(ctx context.Context, service, zone string) bool
	// onNotice is called with each key of notices in the store, in the order of their
	// revisions and without the lock held.
	onNotice func(port.Item)
	// onMember is called with the address of each other instance that has started, with
	// mu held. incarnations holds the last one of each instance.
	onMember     func(address string)
	incarnations map[string]uint64
	// known holds the other instances that are registered or were of late.
	known map[string]departure
	// serving reports whether the instance with the address and the incarnation
	// replies and has usable targets.
	serving func(address string, incarnation uint64) bool
}

// New returns a Manager; Run starts it. Each service has the given number of
// shards in each zone. The functions onChange, busy, reachable, serving, onNotice
// and onMember are called from the goroutines of the Manager.
func New(log *zap.Logger, store port.Store, self ownership.Member, zones []string, shards int,
	clock func() time.Time, onChange func(), busy func(s ownership.Shard, endBy time.Time) bool,
	reachable func(ctx context.Context, service, zone string) bool,
	serving func(address string, incarnation uint64) bool, onNotice func(port.Item), onMember func(address string)) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		log: log, store: store, self: self, clock: clock, onChange: onChange, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), changedAt: clock(),
		planner: ownership.New(self, zones, shards), known: map[string]departure{}, releasing: map[ownership.Shard]bool{}, busy: busy,
		unreachableAt: map[pool]time.Time{}, reachable: reachable, serving: serving, onNotice: onNotice,
		onMember: onMember, incarnations: map[string]uint64{self.Name: self.Incarnation},
	}
}

// Run renews the registration, watches the store and makes claims until Close.
func (m *Manager) Run() {
	m.wg.Go(m.renewLoop)
	m.wg.Go(m.watchLoop)
	m.wg.Go(m.claimLoop)
	<-m.ctx.Done()
	m.wg.Wait()
}

// SetServices sets the services of the current configuration.
func (m *Manager) SetServices(services []string) {
	m.mu.Lock()
	m.planner.SetServices(services)
	m.mu.Unlock()
	m.wakeClaimLoop()
}

// wakeClaimLoop makes the claim loop decide now.
func (m *Manager) wakeClaimLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Settling reports whether claims have just changed, so that targets without an
// owner are likely to have one soon.
func (m *Manager) Settling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock().Sub(m.changedAt) < settlePeriod
}

// Owned returns the shards that this instance holds. The revision of a claim is
// the shard's fencing token.
func (m *Manager) Owned() map[ownership.Shard]ownership.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.planner.Owned()
}

// Peers returns the addresses of the other registered instances.
func (m *Manager) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.planner.Peers()
}

// Departed returns the addresses of the instances whose registration has ended of late. They
// may still run: a paused instance loses its registration.
func (m *Manager) Departed() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, peers := m.clock(), m.planner.Peers()
	var out []string
	for name, d := range m.known {
		switch {
		case slices.Contains(peers, d.address):
			continue
		case d.at.IsZero():
			d.at = now
			m.known[name] = d
		case now.Sub(d.at) >= departedRetention:
			delete(m.known, name)
			continue
		}
		out = append(out, d.address)
	}
	return out
}

// departure is when the registration of another instance has ended, or zero.
type departure struct {
	address string
	at      time.Time
}

// Holders returns the claims of all instances to the shards of a service.
func (m *Manager) Holders(service string) map[ownership.Shard]ownership.Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.planner.Holders(service)
}

// DropFencedClaim drops the claim with the fencing token, after a target has
// rejected the token because the target has a higher one. The claims are then
// read again from the store.
func (m *Manager) DropFencedClaim(s ownership.Shard, fence int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.planner.Owned()[s]; ok && c.Revision == fence {
		m.planner.DropClaim(m.clock(), s)
		m.synced = false
	}
}

// pause waits for d, or until Close.
func (m *Manager) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-m.ctx.Done():
	}
}

// renewLoop renews the lease of the registration, and registers the instance
// again when the lease has expired.
func (m *Manager) renewLoop() {
	reached := true
	for m.ctx.Err() == nil {
		err := m.renew()
		if err != nil && m.ctx.Err() == nil && reached {
			m.log.Warn("The registration cannot be renewed.", zap.Error(err))
		}
		if err == nil && !reached {
			m.log.Info("The registration is renewed again.")
		}
		reached = err == nil
		if err != nil {
			m.pause(retryEvery)
			continue
		}
		m.pause(renewEvery)
	}
}

func (m *Manager) renew() error {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	m.mu.Lock()
	lease, deregistered := m.lease, m.deregistered
	m.mu.Unlock()
	if deregistered {
		return nil
	}
	if lease != 0 {
		err := m.store.KeepAlive(ctx, lease)
		if err == nil || !errors.Is(err, port.ErrLeaseNotFound) {
			return err
		}
		m.log.Warn("The lease of the registration has expired.", zap.Int64("lease", lease))
	}
	return m.register(ctx)
}

// register writes the key of this instance under a new lease.
func (m *Manager) register(ctx context.Context) error {
	lease, err := m.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	put := port.Put{Key: memberPrefix + m.self.Name, Value: m.encodeSelf(), Lease: lease}
	if _, _, _, err := m.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		return err
	}
	m.mu.Lock()
	m.registeredAt, m.reregistered, m.lease = m.clock(), m.lease != 0, lease
	m.planner.SetMember(m.self)
	m.mu.Unlock()
	m.log.Info("The instance is registered.", zap.Int64("lease", lease))
	m.wakeClaimLoop()
	return nil
}

// encodeSelf encodes the record of this instance for a member's or shard's key.
func (m *Manager) encodeSelf() []byte {
	m.mu.Lock()
	draining := m.draining
	m.mu.Unlock()
	b, err := json.Marshal(ownerRecord{
		Name: m.self.Name, Zone: m.self.Zone, Address: m.self.Address, Incarnation: m.self.Incarnation,
		Capacity: m.self.Capacity, Draining: draining,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Close stops Run and waits for the goroutines of the Manager.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
}
