// Package claims keeps the instance registered in the store, follows the other
// instances and the claims, and claims shards of targets.
package claims

import (
	"context"
	"encoding/json"
	"errors"
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
	// leaseTime is how long a registration outlives its instance. Its targets
	// have dropped their tasks by then.
	leaseTime = 1500 * time.Millisecond
	// renewEvery leaves two more tries before the lease ends.
	renewEvery = 500 * time.Millisecond
	// decideEvery is how often claims are considered.
	decideEvery = 100 * time.Millisecond
	// callTimeout bounds a call to the store, which answers in milliseconds
	// but may be sixty times slower.
	callTimeout = 800 * time.Millisecond
	// watchWait is how long a watch may wait. It bounds how long a connection
	// that went silent stays unnoticed.
	watchWait = 3 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 600 * time.Millisecond
	// idleTimeout bounds the wait for the tasks of a shard that is passed on.
	// Its next owner stops what is left.
	idleTimeout = 1800 * time.Millisecond
	idlePoll    = 15 * time.Millisecond
	// retryEvery is the pause after a call that failed.
	retryEvery = 250 * time.Millisecond
)

// holder is the value of a member's or a shard's key.
type holder struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation,string"`
	// Capacity is the number of targets that the instance can serve.
	Capacity int  `json:"capacity,omitempty"`
	Draining bool `json:"draining,omitempty"`
}

// targets is the value of the key that says how many targets a pool has.
type targets struct {
	Targets int `json:"targets"`
}

// Manager follows and makes claims.
type Manager struct {
	log   *zap.Logger
	store port.Store
	self  ownership.Member
	clock func() time.Time
	// changed is called after every change of members or claims.
	changed func()
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	keeper *ownership.Planner
	lease  int64
	// claiming and claimingFar are set while a claim in the own zone or in
	// another one is on its way.
	claiming, claimingFar bool
	draining              bool
	// left is set once the registration has been ended.
	left bool
	// synced is set once the claims have been read.
	synced bool
	// releasing holds the shards that are being passed on.
	releasing map[ownership.Shard]bool
	// busy says whether anything runs on the targets of a shard.
	busy func(ownership.Shard) bool
	// reaches says whether the targets of a pool can be reached from here.
	reaches func(ctx context.Context, service, zone string) bool
}

// New returns an Owner; Run starts it.
func New(log *zap.Logger, store port.Store, self ownership.Member, zones []string, shards int,
	clock func() time.Time, changed func(), busy func(ownership.Shard) bool,
	reaches func(ctx context.Context, service, zone string) bool) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		log: log, store: store, self: self, clock: clock, changed: changed, ctx: ctx, cancel: cancel,
		keeper: ownership.New(self, zones, shards), releasing: map[ownership.Shard]bool{}, busy: busy,
		reaches: reaches,
	}
}

// Run follows the store until Close.
func (o *Manager) Run() {
	o.wg.Go(o.renewAlways)
	o.wg.Go(o.watchAlways)
	o.wg.Go(o.decideAlways)
	<-o.ctx.Done()
	o.wg.Wait()
}

// SetServices sets the services of the configuration in force.
func (o *Manager) SetServices(services []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keeper.SetServices(services)
}

// Owned returns the shards that this instance holds, with their tokens.
func (o *Manager) Owned() map[ownership.Shard]ownership.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keeper.Owned()
}

// Holders returns the holders of the shards of a service.
func (o *Manager) Holders(service string) map[ownership.Shard]ownership.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keeper.Holders(service)
}

// DropFencedClaim drops a claim that a target has fenced off. The store says who holds it.
func (o *Manager) DropFencedClaim(s ownership.Shard, fence int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.keeper.Owned()[s]; ok && c.Revision == fence {
		o.keeper.DropClaim(o.clock(), s)
		o.synced = false
	}
}

func (o *Manager) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-o.ctx.Done():
	}
}

// renewAlways keeps the lease and the registration.
func (o *Manager) renewAlways() {
	reached := true
	for o.ctx.Err() == nil {
		err := o.renew()
		if err != nil && o.ctx.Err() == nil && reached {
			o.log.Warn("The registration cannot be renewed.", zap.Error(err))
		}
		if err == nil && !reached {
			o.log.Info("The registration is renewed again.")
		}
		reached = err == nil
		if err != nil {
			o.pause(retryEvery)
			continue
		}
		o.pause(renewEvery)
	}
}

func (o *Manager) renew() error {
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	o.mu.Lock()
	lease, left := o.lease, o.left
	o.mu.Unlock()
	if left {
		return nil
	}
	if lease != 0 {
		err := o.store.KeepAlive(ctx, lease)
		if err == nil || !errors.Is(err, port.ErrLeaseNotFound) {
			return err
		}
		o.log.Warn("The registration's lease has ended.", zap.Int64("lease", lease))
	}
	return o.register(ctx)
}

// register writes the member's key under a new lease.
func (o *Manager) register(ctx context.Context) error {
	lease, err := o.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	put := port.Put{Key: memberPrefix + o.self.Name, Value: o.value(), Lease: lease}
	if _, _, _, err := o.store.Commit(ctx, port.Transaction{Puts: []port.Put{put}}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
	o.keeper.SetMember(o.self)
	o.log.Info("The instance is registered.", zap.Int64("lease", lease))
	return nil
}

func (o *Manager) value() []byte {
	o.mu.Lock()
	draining := o.draining
	o.mu.Unlock()
	b, err := json.Marshal(holder{
		Name: o.self.Name, Zone: o.self.Zone, Address: o.self.Address, Incarnation: o.self.Incarnation,
		Capacity: o.self.Capacity, Draining: draining,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Close ends Run.
func (o *Manager) Close() {
	o.cancel()
	o.wg.Wait()
}
