// Package lister follows the platform's instance list and tells the other
// parts which targets and entry instances there are.
package lister

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/entry/sender"
	"marigoldfront.dev/infra/instancelist"
)

// Config holds the dependencies of a Lister.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Client  *instancelist.Client
	Peers   *peers.Registry
	// Directory returns the configuration in force, nil if there is none.
	Directory func() *directory.Directory
	// Post hands an event to the engine.
	Post func(dispatch.Event)
	// OnInstanceJoined is called where the list names a new entry instance. It must not
	// block.
	OnInstanceJoined func()
	// SetLimits bounds the connections to each target address.
	SetLimits func(sender.ConnectionLimits)
}

// Lister polls the instance list.
type Lister struct {
	cfg  Config
	self membership.Identity
	done chan struct{}

	// known holds the addresses of the entry instances of the last list.
	known map[string]bool

	mu      sync.Mutex
	targets []dispatch.ListedTarget
	// sharing and region are what was last told.
	sharing []string
	region  int
	number  uint64
}

// New returns a Lister; Run starts it.
func New(cfg Config) *Lister {
	l := &Lister{cfg: cfg, done: make(chan struct{})}
	cfg.Peers.WithRoster(func(r *membership.Roster) { l.self = r.Self() })
	return l
}

// Run polls until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	defer close(l.done)
	ch := make(chan []instancelist.Instance)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		l.cfg.Client.Run(ctx, ch, func(err error) {
			l.cfg.Metrics.InstanceListFailures.Inc(1)
			l.cfg.Log.Info("The instance list gave no usable reply.", zap.Error(err))
		})
	}()
	for {
		select {
		case list := <-ch:
			l.merge(list)
			l.Refresh()
		case <-polled:
			return
		}
	}
}

// Done is closed when Run has ended.
func (l *Lister) Done() <-chan struct{} { return l.done }

func (l *Lister) merge(list []instancelist.Instance) {
	var entries []membership.ListedInstance
	var targets []dispatch.ListedTarget
	for _, i := range list {
		switch i.Kind {
		case instancelist.KindEntry:
			entries = append(entries, membership.ListedInstance{
				Name: i.Name, Region: i.Region, AvailabilityZone: i.AvailabilityZone,
				Address: i.Address, Leaving: i.State == instancelist.StateLeaving,
			})
		case instancelist.KindTarget:
			targets = append(targets, dispatch.ListedTarget{
				Name: i.Name, Address: i.Address, Leaving: i.State == instancelist.StateLeaving,
			})
		}
	}
	l.cfg.Peers.WithRoster(func(r *membership.Roster) { r.MergeList(time.Now(), entries) })
	l.noteJoined(entries)
	l.mu.Lock()
	l.targets, l.region = targets, 0
	l.mu.Unlock()
	l.cfg.Post(dispatch.TargetsListed{Targets: targets})
}

// noteJoined reports entry instances that the last list did not have, so that
// their state, and the moves that they know, arrive at once.
func (l *Lister) noteJoined(entries []membership.ListedInstance) {
	known, joined := map[string]bool{}, false
	for _, e := range entries {
		known[e.Address] = true
		joined = joined || !l.known[e.Address] && e.Name != l.self.Name
	}
	l.known = known
	if joined {
		l.cfg.OnInstanceJoined()
	}
}

// Targets returns the targets of the last list. They must not be modified.
func (l *Lister) Targets() []dispatch.ListedTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets
}

// Refresh tells the engine and the sender what has changed among the entry
// instances or in the configuration.
func (l *Lister) Refresh() {
	var sharing []string
	region := 0
	l.cfg.Peers.WithRoster(func(r *membership.Roster) {
		sharing, region = r.ZoneInstances(), r.RegionSize()
	})
	slices.Sort(sharing)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(sharing, l.sharing) {
		l.sharing = sharing
		l.cfg.Post(dispatch.EntryInstancesChanged{Names: sharing})
	}
	if d := l.cfg.Directory(); d != nil && (region != l.region || d.Number != l.number) {
		l.region, l.number = region, d.Number
		l.cfg.SetLimits(l.limits(d, region))
	}
}

// limits divides the connections of each target by the entry instances of the
// region.
func (l *Lister) limits(d *directory.Directory, region int) sender.ConnectionLimits {
	listed := map[string]string{}
	for _, t := range l.targets {
		listed[t.Name] = t.Address
	}
	limits := sender.ConnectionLimits{}
	for name, t := range d.State.Targets {
		if t.Region != l.self.Region {
			continue
		}
		address := t.Address
		if a := listed[name]; a != "" {
			address = a
		}
		limits[address] = max(1, t.Connections/max(1, region))
	}
	return limits
}
