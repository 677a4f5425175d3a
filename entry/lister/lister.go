// Package lister polls the platform's instance list and passes the targets and
// entry instances in it to the other components.
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
	// Post queues an event for the engine.
	Post func(dispatch.Event)
	// OnInstanceJoined is called when the list contains a new entry instance. It
	// must not block.
	OnInstanceJoined func()
	// SetLimits sets the maximum number of connections to each target address.
	SetLimits func(sender.ConnectionLimits)
}

// Lister polls the instance list.
type Lister struct {
	cfg  Config
	self membership.Identity
	done chan struct{}

	// knownEntries holds the addresses of the entry instances in the last list.
	// It is used only by Run's goroutine.
	knownEntries map[string]bool

	// mu guards the fields below.
	mu      sync.Mutex
	targets []dispatch.ListedTarget
	// zoneInstances, regionSize and ticketNumber are the values that Refresh last
	// passed on. A regionSize of 0 makes it pass on the connection limits again.
	zoneInstances []string
	regionSize    int
	ticketNumber  uint64
}

// New returns a Lister; Run starts it.
func New(cfg Config) *Lister {
	l := &Lister{cfg: cfg, done: make(chan struct{})}
	cfg.Peers.WithRoster(func(r *membership.Roster) { l.self = r.Self() })
	return l
}

// Run polls the instance list until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	defer close(l.done)
	ch := make(chan []instancelist.Instance)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		l.cfg.Client.Run(ctx, ch, func(err error) {
			l.cfg.Metrics.InstanceListFailures.Inc(1)
			l.cfg.Log.Info("Polling the instance list failed.", zap.Error(err))
		})
	}()
	for {
		select {
		case instances := <-ch:
			l.merge(instances)
			l.Refresh()
		case <-polled:
			return
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *Lister) Done() <-chan struct{} { return l.done }

// merge merges a list into the roster of peers and posts its targets to the
// engine.
func (l *Lister) merge(instances []instancelist.Instance) {
	var entries []membership.ListedInstance
	var targets []dispatch.ListedTarget
	for _, i := range instances {
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
	l.reportJoined(entries)
	l.mu.Lock()
	l.targets, l.regionSize = targets, 0
	l.mu.Unlock()
	l.cfg.Post(dispatch.TargetsListed{Targets: targets})
}

// reportJoined calls OnInstanceJoined if the list contains an entry instance that
// was not in the previous one, so that its state and the handovers that it has
// recorded are received without delay.
func (l *Lister) reportJoined(entries []membership.ListedInstance) {
	known, joined := map[string]bool{}, false
	for _, e := range entries {
		known[e.Address] = true
		joined = joined || !l.knownEntries[e.Address] && e.Name != l.self.Name
	}
	l.knownEntries = known
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

// Refresh passes changes of the entry instances to the engine, and the connection
// limits that result from them and from the configuration to the sender. It is
// safe for concurrent use.
func (l *Lister) Refresh() {
	var zoneInstances []string
	regionSize := 0
	l.cfg.Peers.WithRoster(func(r *membership.Roster) {
		zoneInstances, regionSize = r.ZoneInstances(), r.RegionSize()
	})
	slices.Sort(zoneInstances)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(zoneInstances, l.zoneInstances) {
		l.zoneInstances = zoneInstances
		l.cfg.Post(dispatch.EntryInstancesChanged{Names: zoneInstances})
	}
	if d := l.cfg.Directory(); d != nil && (regionSize != l.regionSize || d.Number != l.ticketNumber) {
		l.regionSize, l.ticketNumber = regionSize, d.Number
		l.cfg.SetLimits(l.limits(d, regionSize))
	}
}

// limits returns the connection limit of each target address in the region: the
// target's configured connections divided by the number of entry instances in the
// region, at least 1.
func (l *Lister) limits(d *directory.Directory, regionSize int) sender.ConnectionLimits {
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
		limits[address] = max(1, t.Connections/max(1, regionSize))
	}
	return limits
}
