// Package placement chooses the target on which a task is expected to complete
// first, among the targets that are likely to have a free slot.
package placement

import (
	"slices"
	"time"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/membership"
)

const (
	// leavingNoticeTTL is how long a leaving notice from a target itself takes
	// precedence over an instance list that still shows the target as live.
	leavingNoticeTTL = 10 * time.Minute
	// Unlimited is the limit of a target whose attempts in flight are not bounded.
	Unlimited = -1
)

// Config configures a Table. An empty region or availability zone stands for all
// regions or zones.
type Config struct {
	// Instance is the name of this entry instance.
	Instance         string
	Region           string
	AvailabilityZone string
	// CrossZonePenalty is the additional expected time of a task on a target in
	// another availability zone.
	CrossZonePenalty time.Duration
	// MinBorrowBacklog is the backlog from which a task may use slots that are
	// assigned to other instances, as the time that the assigned slots need to
	// process it. A borrowed slot may be busy when its owner starts a task there.
	MinBorrowBacklog time.Duration
}

// ListedTarget is one target in the instance list.
type ListedTarget struct {
	Name    string
	Address string
	Leaving bool
}

// Request describes a task that needs a target.
type Request struct {
	Service string
	// Declared is the run time that the caller declared; 0 means none.
	Declared     time.Duration
	MemoryMB     int64
	Accelerators int64
	// Tried names the targets that must not be chosen, because the task was
	// already sent to them.
	Tried []string
	// Waiting is the number of tasks that wait for a slot, this one included.
	Waiting int
	// RunTimeBudget is the time within which the task must end so that it does not
	// delay its job.
	RunTimeBudget time.Duration
	// HealthyOnly excludes targets whose attempts in flight are limited. It is set
	// for tasks that cannot be repeated and for tasks that have failed before.
	HealthyOnly bool
	// AllowUnreported allows a target with unknown load. Such a target may have no
	// free slot and refuse the task.
	AllowUnreported bool
}

// Choice is a target with a slot that is likely to be free.
type Choice struct {
	Target  string
	Address string
	// Expected is the forecast run time on the target.
	Expected time.Duration
	// Unreported reports that the load of the target is unknown.
	Unreported bool
}

// target holds the state of one target across all services.
type target struct {
	directory.Target
	address string
	// leaving reports that the target is leaving according to the instance list.
	leaving bool
	// leavingSince is when the target itself reported that it is leaving, or the
	// zero time.
	leavingSince time.Time
	// limit bounds the attempts in flight; see SetLimit.
	limit int
	// sameZone reports that the target is in the availability zone of this instance.
	sameZone bool
	// assignedSlots is the number of its slots that are assigned to this instance.
	assignedSlots int
	// rank is the position of this instance in the rendezvous order of the
	// target, from 0.
	rank int
	// maxConnections bounds the attempts in flight. It is this instance's part of
	// the connections that the target accepts, or the number of slots if the
	// target sets no such limit.
	maxConnections int

	// outstanding is the number of attempts of this instance in flight, which use
	// usedMemoryMB and usedAccelerators.
	outstanding      int
	usedMemoryMB     int64
	usedAccelerators int64
	// otherTasks is the number of tasks of other instances that ran at the last
	// report.
	otherTasks int
	reportedAt time.Time
	profiles   []*profile
}

func (t *target) isLeaving() bool { return t.leaving || !t.leavingSince.IsZero() }

func (t *target) usable() bool { return !t.isLeaving() && t.limit != 0 }

func (t *target) hasCapacity(r *Request) bool {
	return r.MemoryMB <= t.MemoryMB-t.usedMemoryMB && r.Accelerators <= t.Accelerators-t.usedAccelerators
}

// Table holds the state of the targets of a region as observed by one entry
// instance. It is not safe for concurrent use.
type Table struct {
	cfg            Config
	entryInstances []string
	targets        map[string]*target
	services       map[string]*service
	// listed holds the instance list, including targets that it no longer contains,
	// which are marked as leaving. everListed names all targets that it has ever
	// contained.
	listed     map[string]ListedTarget
	everListed map[string]bool
	// leavingNotices holds the times at which targets reported that they are
	// leaving. It includes targets that are not configured at present, because
	// they may be configured again soon.
	leavingNotices map[string]time.Time
	// assignedSlots is the number of slots that are assigned to this instance on
	// usable targets.
	assignedSlots int
	// shortOfSlots reports that only a small part of all slots assigned to this
	// instance is on usable targets.
	shortOfSlots bool
}

// New returns a Table without targets.
func New(cfg Config) *Table {
	return &Table{
		cfg:            cfg,
		entryInstances: []string{cfg.Instance},
		targets:        make(map[string]*target),
		services:       make(map[string]*service),
		listed:         make(map[string]ListedTarget),
		everListed:     make(map[string]bool),

		leavingNotices: make(map[string]time.Time),
	}
}

// SetDirectory replaces the services and targets. It keeps the learned run times
// and the state of targets and services that remain.
func (t *Table) SetDirectory(d *directory.Directory) {
	old, oldServices := t.targets, t.services
	t.targets = make(map[string]*target)
	t.services = make(map[string]*service)
	for name, s := range d.State.Services {
		svc := newService(s)
		if o := oldServices[name]; o != nil && o.samples > 0 {
			svc.serviceStats = o.serviceStats
		}
		t.services[name] = svc
	}
	for _, name := range sortedKeys(d.State.Targets) {
		c := d.State.Targets[name]
		if t.cfg.Region == "" || c.Region == t.cfg.Region {
			t.addTarget(c, old[name])
		}
	}
	t.applyInstanceList()
	t.assignSlots()
}

func (t *Table) addTarget(c directory.Target, old *target) {
	tg := &target{limit: Unlimited}
	if old != nil {
		*tg = *old
	}
	oldProfiles := tg.profiles
	tg.Target, tg.profiles = c, nil
	tg.leavingSince = t.leavingNotices[c.Name]
	tg.sameZone = t.cfg.AvailabilityZone == "" || c.AvailabilityZone == t.cfg.AvailabilityZone
	for _, name := range c.Services {
		svc := t.services[name]
		if svc == nil {
			continue
		}
		p := &profile{target: tg, service: svc, slowness: 1}
		for _, o := range oldProfiles {
			if o.service.name == name {
				p.runTimeStats = o.runTimeStats
				p.slowness = o.slowness
			}
		}
		tg.profiles = append(tg.profiles, p)
		svc.order = append(svc.order, p)
	}
	t.targets[c.Name] = tg
}

// SetInstanceList applies a new instance list. Targets that an earlier list
// contained and this one does not are treated as leaving. An empty list is
// ignored.
func (t *Table) SetInstanceList(all []ListedTarget) {
	if len(all) == 0 {
		return
	}
	now := make(map[string]ListedTarget, len(all))
	for _, l := range all {
		before, wasListed := t.listed[l.Name]
		if wasListed && !l.Leaving && (before.Leaving || before.Address != l.Address) {
			t.clearLeaving(l.Name)
		}
		now[l.Name] = l
		t.everListed[l.Name] = true
	}
	for name := range t.everListed {
		if _, ok := now[name]; !ok {
			now[name] = ListedTarget{Name: name, Leaving: true}
		}
	}
	t.listed = now
	t.applyInstanceList()
	t.refresh()
}

func (t *Table) applyInstanceList() {
	for name, tg := range t.targets {
		l, named := t.listed[name]
		tg.address = tg.Address
		if named && l.Address != "" {
			tg.address = l.Address
		}
		tg.leaving = named && l.Leaving
	}
}

// SetEntryInstances sets the entry instances that share the targets of the
// availability zone, and reassigns the slots.
func (t *Table) SetEntryInstances(names []string) {
	if !slices.Contains(names, t.cfg.Instance) {
		// A draining instance is no longer listed but still processes its queue.
		names = append(slices.Clone(names), t.cfg.Instance)
	}
	t.entryInstances = names
	t.assignSlots()
}

// assignSlots assigns each slot of the targets in the availability zone to one
// entry instance. For each target, the instances are ordered by rendezvous
// hashing and get its slots in turn, so that the slots are shared evenly.
func (t *Table) assignSlots() {
	zones := t.Zones()
	entries := max(1, len(t.entryInstances))
	for name, tg := range t.targets {
		tg.assignedSlots, tg.rank = 0, 0
		// Connections are divided among all entry instances of the region. The
		// other zones are assumed to have as many of them as this one.
		tg.maxConnections = tg.Slots
		if tg.Connections > 0 {
			tg.maxConnections = max(1, tg.Connections/(entries*zones))
		}
		if tg.sameZone {
			tg.assignedSlots, tg.rank = t.slotShare(name, tg.Slots)
		}
	}
	t.refresh()
}

func (t *Table) slotShare(name string, slots int) (share, rank int) {
	rank = slices.Index(membership.Rank(t.entryInstances, "slot "+name), t.cfg.Instance)
	share = slots / len(t.entryInstances)
	if rank < slots%len(t.entryInstances) {
		share++
	}
	return share, rank
}

// MarkLeaving records that a target itself has reported that it is leaving.
func (t *Table) MarkLeaving(now time.Time, targetName string) {
	t.leavingNotices[targetName] = now
	if tg := t.targets[targetName]; tg != nil {
		tg.leavingSince = now
		t.refresh()
	}
}

// clearLeaving removes the leaving notice of a target.
func (t *Table) clearLeaving(targetName string) {
	delete(t.leavingNotices, targetName)
	if tg := t.targets[targetName]; tg != nil {
		tg.leavingSince = time.Time{}
	}
}

// SetLimit bounds the attempts in flight on a target. A limit of 0 excludes the
// target, and Unlimited removes the bound.
func (t *Table) SetLimit(targetName string, limit int) {
	if tg := t.targets[targetName]; tg != nil && tg.limit != limit {
		tg.limit = limit
		t.refresh()
	}
}

// Fits reports whether any target of the service is large enough for a task of
// this size, and whether such a target exists that is not leaving.
func (t *Table) Fits(serviceName string, memoryMB, accelerators int64) (anyTarget, servingTarget bool) {
	svc := t.services[serviceName]
	if svc == nil {
		return false, false
	}
	for _, p := range svc.order {
		if p.target.MemoryMB >= memoryMB && p.target.Accelerators >= accelerators {
			anyTarget = true
			servingTarget = servingTarget || !p.target.isLeaving()
		}
	}
	return anyTarget, servingTarget
}

// RecordStart records that an attempt is sent to a target.
func (t *Table) RecordStart(targetName string, r Request) {
	if tg := t.targets[targetName]; tg != nil {
		tg.outstanding++
		tg.usedMemoryMB += r.MemoryMB
		tg.usedAccelerators += r.Accelerators
		t.updateFreeSlots(tg)
	}
}

// RecordEnd records that an attempt on a target has ended.
func (t *Table) RecordEnd(targetName string, r Request) {
	if tg := t.targets[targetName]; tg != nil {
		tg.outstanding = max(0, tg.outstanding-1)
		tg.usedMemoryMB = max(0, tg.usedMemoryMB-r.MemoryMB)
		tg.usedAccelerators = max(0, tg.usedAccelerators-r.Accelerators)
		t.updateFreeSlots(tg)
	}
}

// RecordReport records the number of running tasks and of slots that a target has
// reported; 0 slots means unknown. For a reply that ends an attempt, it must be
// called after RecordEnd, because running does not include the task that ended.
func (t *Table) RecordReport(now time.Time, targetName string, running, slots int) {
	tg := t.targets[targetName]
	if tg == nil {
		return
	}
	if slots > 0 && slots != tg.Slots {
		tg.Slots = slots
		t.assignSlots()
	}
	tg.otherTasks = max(0, running-tg.outstanding)
	tg.reportedAt = now
	t.updateFreeSlots(tg)
}
