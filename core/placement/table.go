// Package placement chooses the target of a task: by expected completion,
// among the slots that are likely to be free.
package placement

import (
	"slices"
	"time"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/membership"
)

const (
	// directMark is how long a target's own word that it is leaving outweighs
	// an instance list that still calls it live.
	directMark = 10 * time.Minute
	// Unlimited is the Limit of a target without restriction.
	Unlimited = -1
)

// Config names the instance that chooses. An empty region or availability zone
// stands for all.
type Config struct {
	Instance         string
	Region           string
	AvailabilityZone string
	// CrossZonePenalty is the extra time of a start in another availability zone.
	CrossZonePenalty time.Duration
	// MinBorrowBacklog is the backlog, in time that the assigned slots need for it,
	// from which a task may use the slots of another instance. Borrowed slots
	// make the owner's starts collide.
	MinBorrowBacklog time.Duration
}

// ListedTarget is one target of the instance list.
type ListedTarget struct {
	Name    string
	Address string
	Leaving bool
}

// Request describes a task that looks for a target.
type Request struct {
	Service string
	// Declared is the caller's guess of the run time; 0 means none.
	Declared     time.Duration
	MemoryMB     int64
	Accelerators int64
	// Tried names the targets that the task must not go to again.
	Tried []string
	// Waiting is the number of tasks that wait for a slot, this one included.
	Waiting int
	// RunTimeBudget is the time in which the task may end without delaying its job.
	RunTimeBudget time.Duration
	// HealthyOnly excludes targets under a limit, for tasks that cannot be repeated.
	HealthyOnly bool
	// AllowUnreported allows a target of which nothing is known, at the risk of a
	// refusal.
	AllowUnreported bool
}

// Choice is a target with a slot that is likely to be free.
type Choice struct {
	Target  string
	Address string
	// Expected is the forecast run time on the target.
	Expected time.Duration
	// Unreported says that nothing is known of the target's free slots.
	Unreported bool
}

// target is what is known of one target, over all services.
type target struct {
	directory.Target
	address string
	leaving bool
	// goneAt is when the target itself said that it is leaving.
	goneAt time.Time
	limit  int
	sameAZ bool
	share  int
	// rank is this instance's place in the target's rendezvous order, from 0.
	rank    int
	connCap int

	outstanding  int
	memoryMB     int64
	accelerators int64
	// others is the number of tasks of other instances at the last report.
	others     int
	reportedAt time.Time
	pairs      []*pair
}

func (t *target) gone() bool { return t.leaving || !t.goneAt.IsZero() }

func (t *target) usable() bool { return !t.gone() && t.limit != 0 }

func (t *target) fits(n *Request) bool {
	return n.MemoryMB <= t.MemoryMB-t.memoryMB && n.Accelerators <= t.Accelerators-t.accelerators
}

// Table holds the targets of a region as one entry instance knows them. It is
// not safe for concurrent use.
type Table struct {
	cfg      Config
	entries  []string
	targets  map[string]*target
	services map[string]*service
	listed   map[string]ListedTarget
	known    map[string]bool
	// signalled holds when a target said that it is leaving, also where it is
	// not configured at the moment: it may be configured again at once.
	signalled map[string]time.Time
	// shares is the sum of the slots assigned to this instance on usable
	// targets.
	shares int
	// shortOfSlots is set where few of them are left.
	shortOfSlots bool
}

// New returns a Table without targets.
func New(cfg Config) *Table {
	return &Table{
		cfg:      cfg,
		entries:  []string{cfg.Instance},
		targets:  make(map[string]*target),
		services: make(map[string]*service),
		listed:   make(map[string]ListedTarget),
		known:    make(map[string]bool),

		signalled: make(map[string]time.Time),
	}
}

// SetDirectory takes over services and targets; what was learned of targets
// that remain is kept.
func (t *Table) SetDirectory(d *directory.Directory) {
	old, oldServices := t.targets, t.services
	t.targets = make(map[string]*target)
	t.services = make(map[string]*service)
	for name, s := range d.State.Services {
		svc := newService(s)
		if o := oldServices[name]; o != nil && o.samples > 0 {
			svc.learned = o.learned
		}
		t.services[name] = svc
	}
	for _, name := range sortedKeys(d.State.Targets) {
		c := d.State.Targets[name]
		if t.cfg.Region == "" || c.Region == t.cfg.Region {
			t.addTarget(c, old[name])
		}
	}
	t.applyList()
	t.assign()
}

func (t *Table) addTarget(c directory.Target, old *target) {
	n := &target{limit: Unlimited}
	if old != nil {
		*n = *old
	}
	oldPairs := n.pairs
	n.Target, n.pairs = c, nil
	n.goneAt = t.signalled[c.Name]
	n.sameAZ = t.cfg.AvailabilityZone == "" || c.AvailabilityZone == t.cfg.AvailabilityZone
	for _, name := range c.Services {
		svc := t.services[name]
		if svc == nil {
			continue
		}
		p := &pair{target: n, service: svc, slowness: 1}
		for _, o := range oldPairs {
			if o.service.name == name {
				p.speed = o.speed
				p.slowness = o.slowness
			}
		}
		n.pairs = append(n.pairs, p)
		svc.order = append(svc.order, p)
	}
	t.targets[c.Name] = n
}

// SetInstanceList takes over the instance list. A target that an earlier list named
// and this one does not is treated as leaving; an empty list is ignored.
func (t *Table) SetInstanceList(all []ListedTarget) {
	if len(all) == 0 {
		return
	}
	now := make(map[string]ListedTarget, len(all))
	for _, l := range all {
		before, was := t.listed[l.Name]
		if was && !l.Leaving && (before.Leaving || before.Address != l.Address) {
			t.comeBack(l.Name)
		}
		now[l.Name] = l
		t.known[l.Name] = true
	}
	for name := range t.known {
		if _, ok := now[name]; !ok {
			now[name] = ListedTarget{Name: name, Leaving: true}
		}
	}
	t.listed = now
	t.applyList()
	t.refresh()
}

func (t *Table) applyList() {
	for name, n := range t.targets {
		l, named := t.listed[name]
		n.address = n.Address
		if named && l.Address != "" {
			n.address = l.Address
		}
		n.leaving = named && l.Leaving
	}
}

// SetEntryInstances takes over the entry instances that share the availability
// zone's targets, and assigns the slots anew.
func (t *Table) SetEntryInstances(names []string) {
	if !slices.Contains(names, t.cfg.Instance) {
		// A draining instance is no longer listed and still ends its queue.
		names = append(slices.Clone(names), t.cfg.Instance)
	}
	t.entries = names
	t.assign()
}

// assign gives each slot of the zone's targets to one entry instance: the
// instances are ranked by rendezvous hash for the target and take its slots in
// turn, so that each has a share of every target.
func (t *Table) assign() {
	zones := t.Zones()
	entries := max(1, len(t.entries))
	for name, n := range t.targets {
		n.share, n.rank = 0, 0
		// Connections are divided over the region; its other zones are taken
		// to have as many entry instances as this one.
		n.connCap = n.Slots
		if n.Connections > 0 {
			n.connCap = max(1, n.Connections/(entries*zones))
		}
		if n.sameAZ {
			n.share, n.rank = t.shareOf(name, n.Slots)
		}
	}
	t.refresh()
}

func (t *Table) shareOf(name string, slots int) (share, rank int) {
	rank = slices.Index(membership.Rank(t.entries, "slot "+name), t.cfg.Instance)
	share = slots / len(t.entries)
	if rank < slots%len(t.entries) {
		share++
	}
	return share, rank
}

// MarkLeaving notes a target's own word that it is leaving.
func (t *Table) MarkLeaving(now time.Time, name string) {
	t.signalled[name] = now
	if n := t.targets[name]; n != nil {
		n.goneAt = now
		t.refresh()
	}
}

// comeBack forgets that a target said it is leaving.
func (t *Table) comeBack(name string) {
	delete(t.signalled, name)
	if n := t.targets[name]; n != nil {
		n.goneAt = time.Time{}
	}
}

// SetLimit bounds the outstanding attempts on a target; 0 excludes it and
// Unlimited lifts the bound.
func (t *Table) SetLimit(name string, limit int) {
	if n := t.targets[name]; n != nil && n.limit != limit {
		n.limit = limit
		t.refresh()
	}
}

// Fits says whether any target of the service, whatever its state, could run a
// task of this size, and whether any of them is usable now.
func (t *Table) Fits(name string, memoryMB, accelerators int64) (ever, now bool) {
	svc := t.services[name]
	if svc == nil {
		return false, false
	}
	for _, p := range svc.order {
		if p.target.MemoryMB >= memoryMB && p.target.Accelerators >= accelerators {
			ever = true
			now = now || !p.target.gone()
		}
	}
	return ever, now
}

// RecordStart notes an attempt that is sent to a target.
func (t *Table) RecordStart(name string, n Request) {
	if tg := t.targets[name]; tg != nil {
		tg.outstanding++
		tg.memoryMB += n.MemoryMB
		tg.accelerators += n.Accelerators
		t.update(tg)
	}
}

// RecordEnd notes that an attempt on a target is over.
func (t *Table) RecordEnd(name string, n Request) {
	if tg := t.targets[name]; tg != nil {
		tg.outstanding = max(0, tg.outstanding-1)
		tg.memoryMB = max(0, tg.memoryMB-n.MemoryMB)
		tg.accelerators = max(0, tg.accelerators-n.Accelerators)
		t.update(tg)
	}
}

// RecordReport takes over what a target said of itself. Call it after End for the
// same reply, because the running tasks leave out the one that ended.
func (t *Table) RecordReport(now time.Time, name string, running, slots int) {
	tg := t.targets[name]
	if tg == nil {
		return
	}
	if slots > 0 && slots != tg.Slots {
		tg.Slots = slots
		t.assign()
	}
	tg.others = max(0, running-tg.outstanding)
	tg.reportedAt = now
	t.update(tg)
}
