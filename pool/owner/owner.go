// Package owner keeps the instance registered in the store, follows the other
// instances and the claims, and claims shards of targets.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/pool/port"
)

const (
	memberPrefix = "marigoldfront/members/"
	shardPrefix  = "marigoldfront/shards/"
	ownersPrefix = "marigoldfront/owners/"
	rootPrefix   = "marigoldfront/"
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
	// Weight is the instance's share of work, relative to others.
	Weight   float64 `json:"weight,omitempty"`
	Draining bool    `json:"draining,omitempty"`
}

// owners is the value of the key that says how many instances hold a pool.
type owners struct {
	Owners int `json:"owners"`
}

// Owner follows and makes claims.
type Owner struct {
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
	keeper *ownership.Keeper
	lease  int64
	// claiming is set while a claim is on its way.
	claiming bool
	draining bool
	// left is set once the registration has been ended.
	left bool
	// synced is set once the claims have been read.
	synced bool
	// releasing holds the shards that are being passed on.
	releasing map[ownership.Shard]bool
	// busy says whether anything runs on the targets of a shard.
	busy func(ownership.Shard) bool
}

// New returns an Owner; Run starts it.
func New(log *zap.Logger, store port.Store, self ownership.Member, zones []string, shards int,
	clock func() time.Time, changed func(), busy func(ownership.Shard) bool) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		log: log, store: store, self: self, clock: clock, changed: changed, ctx: ctx, cancel: cancel,
		keeper: ownership.New(self, zones, shards), releasing: map[ownership.Shard]bool{}, busy: busy,
	}
}

// Run follows the store until Close.
func (o *Owner) Run() {
	o.wg.Go(o.renewAlways)
	o.wg.Go(o.watchAlways)
	o.wg.Go(o.decideAlways)
	<-o.ctx.Done()
	o.wg.Wait()
}

// SetServices sets the services of the configuration in force.
func (o *Owner) SetServices(services []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keeper.SetServices(services)
}

// Owned returns the shards that this instance holds, with their tokens.
func (o *Owner) Owned() map[ownership.Shard]ownership.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keeper.Owned()
}

// Holders returns the holders of the shards of a service.
func (o *Owner) Holders(service string) map[ownership.Shard]ownership.Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keeper.Holders(service)
}

// Members returns the registered instances.
func (o *Owner) Members() []ownership.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keeper.Members()
}

// Lost drops a claim that a target has fenced off. The store says who holds it.
func (o *Owner) Lost(s ownership.Shard, fence int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c, ok := o.keeper.Owned()[s]; ok && c.Revision == fence {
		o.keeper.DropClaim(o.clock(), s)
		o.synced = false
	}
}

func (o *Owner) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-o.ctx.Done():
	}
}

// renewAlways keeps the lease and the registration.
func (o *Owner) renewAlways() {
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

func (o *Owner) renew() error {
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
		if err == nil || !errors.Is(err, port.ErrLeaseEnded) {
			return err
		}
		o.log.Warn("The registration's lease has ended.", zap.Int64("lease", lease))
	}
	return o.register(ctx)
}

// register writes the member's key under a new lease.
func (o *Owner) register(ctx context.Context) error {
	lease, err := o.store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	put := port.Put{Key: memberPrefix + o.self.Name, Value: o.value(), Lease: lease}
	if _, _, _, err := o.store.Commit(ctx, port.Change{Puts: []port.Put{put}}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
	o.keeper.SetMember(o.self)
	o.log.Info("The instance is registered.", zap.Int64("lease", lease))
	return nil
}

func (o *Owner) value() []byte {
	o.mu.Lock()
	draining := o.draining
	o.mu.Unlock()
	b, err := json.Marshal(holder{
		Name: o.self.Name, Zone: o.self.Zone, Address: o.self.Address, Incarnation: o.self.Incarnation,
		Weight: o.self.Weight, Draining: draining,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// watchAlways follows the members and claims.
func (o *Owner) watchAlways() {
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

func (o *Owner) read() (int64, error) {
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

func (o *Owner) watch(after int64) (int64, error) {
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

func (o *Owner) apply(items []port.Item) {
	for _, it := range items {
		switch {
		case strings.HasPrefix(it.Key, memberPrefix):
			o.applyMember(it)
		case strings.HasPrefix(it.Key, shardPrefix):
			o.applyClaim(it)
		case strings.HasPrefix(it.Key, ownersPrefix) && !it.Deleted:
			o.applyOwners(it)
		}
	}
}

func (o *Owner) applyMember(it port.Item) {
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
		Name: name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation, Weight: h.Weight,
		Draining: h.Draining,
	})
}

func (o *Owner) applyOwners(it port.Item) {
	parts := strings.Split(strings.TrimPrefix(it.Key, ownersPrefix), "/")
	var v owners
	if err := json.Unmarshal(it.Value, &v); err != nil || len(parts) != 2 {
		o.log.Warn("The number of owners cannot be read.", zap.String("key", it.Key), zap.Error(err))
		return
	}
	o.log.Info("The number of owners is known.", zap.String("key", it.Key), zap.Int("owners", v.Owners))
	o.keeper.SetOwners(parts[0], parts[1], v.Owners)
}

func (o *Owner) applyClaim(it port.Item) {
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
		Name: h.Name, Address: h.Address, Incarnation: h.Incarnation, Revision: it.Revision,
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
	o.claim(wishes[:min(len(wishes), maxWishes)], lease)
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

// maxReleases bounds the shards that are passed on at a time, because their
// targets stand idle meanwhile.
const maxReleases = 2

// release begins to pass a shard on. The caller holds the lock.
func (o *Owner) release(s ownership.Shard) {
	if o.releasing[s] || len(o.releasing) >= maxReleases && !o.draining {
		return
	}
	o.releasing[s] = true
	fence := o.keeper.Owned()[s].Revision
	o.log.Info("A shard is passed on.", zap.String("shard", shardKey(s)), zap.Int64("fence", fence))
	o.wg.Go(func() { o.passOn(s, fence) })
}

// passOn waits until nothing runs on the shard's targets, and then frees it.
func (o *Owner) passOn(s ownership.Shard, fence int64) {
	o.changed()
	limit := time.Now().Add(idleTimeout)
	for o.ctx.Err() == nil && time.Now().Before(limit) && o.busy(s) {
		o.pause(idlePoll)
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	key := shardKey(s)
	revision, ok, conflicts, err := o.store.Commit(ctx, port.Change{
		Expect: []port.Expect{{Key: key, Revision: fence}}, Puts: []port.Put{{Key: key, Value: []byte("{}")}},
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
func (o *Owner) Releasing() map[ownership.Shard]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.releasing)
}

// ReleaseAll passes all shards on and waits for it.
func (o *Owner) ReleaseAll(limit time.Time) {
	o.mu.Lock()
	for s := range o.keeper.Owned() {
		o.release(s)
	}
	o.mu.Unlock()
	for time.Now().Before(limit) && len(o.Releasing()) > 0 {
		time.Sleep(idlePoll)
	}
}

// Leave ends the registration, so that the others need not wait for its lease.
func (o *Owner) Leave() {
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

// WantOwners sets how many instances should hold a pool, if this one holds the
// pool's first shard.
func (o *Owner) WantOwners(service, zone string, n int) {
	o.mu.Lock()
	_, first := o.keeper.Owned()[ownership.Shard{Service: service, Zone: zone}]
	known := o.keeper.Owners(service, zone)
	o.mu.Unlock()
	if !first || n == known {
		return
	}
	value, err := json.Marshal(owners{Owners: n})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	put := port.Put{Key: ownersPrefix + service + "/" + zone, Value: value}
	if _, _, _, err := o.store.Commit(ctx, port.Change{Puts: []port.Put{put}}); err != nil {
		o.log.Warn("The number of owners was not written.", zap.String("service", service), zap.Error(err))
	}
}

// Drain tells the others that this instance stops, and claims nothing more.
func (o *Owner) Drain() {
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
	if _, _, _, err := o.store.Commit(ctx, port.Change{Puts: []port.Put{put}}); err != nil {
		o.log.Warn("The stop was not announced.", zap.Error(err))
	}
}

// Close ends Run.
func (o *Owner) Close() {
	o.cancel()
	o.wg.Wait()
}
