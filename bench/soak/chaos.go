package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/core/directory"
)

const (
	minPause         = 200 * time.Millisecond
	maxPause         = 1200 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// faultInjector injects faults on a seeded schedule. The schedule depends on the
// seed alone, but its effects depend on the timing of the processes.
type faultInjector struct {
	stops     *plannedStops
	cluster   *cluster
	rng       *rand.Rand
	wg        sync.WaitGroup
	startedAt time.Time
	log       func(string)
}

// faultAction is one kind of fault. do injects the fault, calls hold, which
// blocks for the duration of the fault, and then clears it. victim is a random
// number from which do derives the affected process and the variant.
type faultAction struct {
	name   string
	weight int
	do     func(f *faultInjector, victim int, hold func()) error
}

var faultActions = []faultAction{
	{"kill entry", 3, (*faultInjector).killEntry},
	{"drain entry", 3, (*faultInjector).drainEntry},
	{"pause entry", 3, (*faultInjector).pauseEntry},
	{"kill target", 2, (*faultInjector).killTarget},
	{"drain target", 2, (*faultInjector).drainTarget},
	{"pause target", 2, (*faultInjector).pauseTarget},
	{"fail all tasks at target", 1, (*faultInjector).failTargetTasks},
	{"slow target", 1, (*faultInjector).slowTarget},
	{"disturb target connections", 5, (*faultInjector).disturbTargetConnections},
	{"disturb peer connections", 4, (*faultInjector).disturbPeerConnections},
	{"partition zone", 1, (*faultInjector).partitionZone},
	{"disturb store connections", 2, (*faultInjector).disturbStoreConnections},
	{"store outage", 1, (*faultInjector).storeOutage},
	{"slow store", 1, (*faultInjector).slowStore},
	{"instance list fault", 1, (*faultInjector).instanceListFault},
	{"ticket", 2, (*faultInjector).applyTicket},
}

// run injects faults until ctx ends, and then waits until all of them are
// cleared.
func (f *faultInjector) run(ctx context.Context) {
	total := 0
	for _, a := range faultActions {
		total += a.weight
	}
	for {
		pause := randomDuration(f.rng, minPause, maxPause)
		a, victim := pickAction(f.rng.IntN(total)), f.rng.IntN(1<<20)
		d := randomDuration(f.rng, minFaultDuration, maxFaultDuration)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			f.wg.Wait()
			return
		}
		f.wg.Go(func() { f.inject(ctx, a, victim, d) })
	}
}

func (f *faultInjector) inject(ctx context.Context, a faultAction, victim int, d time.Duration) {
	elapsed := time.Since(f.startedAt)
	hold := func() {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	err := a.do(f, victim, hold)
	text := fmt.Sprintf("%6.1fs %s (victim %d, %v)", elapsed.Seconds(), a.name, victim, d.Round(time.Millisecond))
	if err != nil {
		text += ": " + err.Error()
	}
	f.log(text)
}

func pickAction(n int) faultAction {
	for _, a := range faultActions {
		if n < a.weight {
			return a
		}
		n -= a.weight
	}
	panic("soak: weights do not add up")
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

func (f *faultInjector) entry(victim int) *entry {
	return f.cluster.entries[victim%len(f.cluster.entries)]
}
func (f *faultInjector) target(victim int) *target {
	return f.cluster.targets[victim%len(f.cluster.targets)]
}

var errBusy = fmt.Errorf("skipped: another fault affects the process")

// killEntry kills an instance and restarts it after the hold. In half of the
// cases it removes the instance from the instance list meanwhile.
func (f *faultInjector) killEntry(victim int, hold func()) error {
	e := f.entry(victim)
	if !e.lifecycleMu.TryLock() {
		return errBusy
	}
	defer e.lifecycleMu.Unlock()
	f.cluster.recordCrash(e.process.Load().UnexpectedExit())
	e.process.Load().Kill()
	if victim/len(f.cluster.entries)%2 == 1 {
		if err := f.cluster.fleet.Platform.Remove(e.spec.Name); err != nil {
			return err
		}
	}
	hold()
	return f.restart(e.start)
}

// drainEntry stops an instance gracefully, with prior notice on the instance
// list, and restarts it.
func (f *faultInjector) drainEntry(victim int, _ func()) error {
	e := f.entry(victim)
	if !e.lifecycleMu.TryLock() {
		return errBusy
	}
	defer e.lifecycleMu.Unlock()
	f.cluster.recordCrash(e.process.Load().UnexpectedExit())
	if err := f.cluster.fleet.MarkEntryLeaving(e.process.Load()); err != nil {
		return err
	}
	f.stops.countDrain()
	e.draining.Store(true)
	defer e.draining.Store(false)
	f.cluster.recordCrash(e.process.Load().Stop(stopTimeout))
	if err := f.cluster.fleet.Platform.Remove(e.spec.Name); err != nil {
		return err
	}
	return f.restart(e.start)
}

// restart calls start, which starts a process again and adds it to the instance
// list. It records a failed start as a crash.
func (f *faultInjector) restart(start func() error) error {
	err := start()
	f.cluster.recordCrash(err)
	return err
}

func (f *faultInjector) pauseEntry(victim int, hold func()) error {
	e := f.entry(victim)
	if !e.lifecycleMu.TryLock() {
		return errBusy
	}
	defer e.lifecycleMu.Unlock()
	return f.stops.runExempt([]*entry{e}, func() error { return pause(e.process.Load().Process, hold) })
}

func pause(p *fleet.Process, hold func()) error {
	err := p.Pause()
	hold()
	return errors.Join(err, p.Resume())
}

func (f *faultInjector) killTarget(victim int, hold func()) error {
	t := f.target(victim)
	if !t.lifecycleMu.TryLock() {
		return errBusy
	}
	defer t.lifecycleMu.Unlock()
	f.cluster.recordCrash(t.process.Load().UnexpectedExit())
	t.process.Load().Kill()
	hold()
	return f.restart(t.start)
}

// drainTarget marks a target as leaving on the instance list, without a notice
// to the target itself, and stops it after leaveNoticeLimit and the hold.
func (f *faultInjector) drainTarget(victim int, hold func()) error {
	t := f.target(victim)
	if !t.lifecycleMu.TryLock() {
		return errBusy
	}
	defer t.lifecycleMu.Unlock()
	if err := f.cluster.fleet.MarkTargetLeaving(t.process.Load()); err != nil {
		return err
	}
	from := time.Now()
	time.Sleep(leaveNoticeLimit)
	hold()
	f.stops.addLeavingPeriod(leavingPeriod{t.spec.Name, interval{from, time.Now()}})
	f.cluster.recordCrash(t.process.Load().Stop(stopTimeout))
	return f.restart(t.start)
}

func (f *faultInjector) pauseTarget(victim int, hold func()) error {
	t := f.target(victim)
	if !t.lifecycleMu.TryLock() {
		return errBusy
	}
	defer t.lifecycleMu.Unlock()
	return pause(t.process.Load().Process, hold)
}

func (f *faultInjector) failTargetTasks(victim int, hold func()) error {
	t := f.target(victim)
	if err := t.process.Load().SetFailAll(true); err != nil {
		return err
	}
	hold()
	return t.process.Load().SetFailAll(false)
}

func (f *faultInjector) slowTarget(victim int, hold func()) error {
	t := f.target(victim)
	if err := t.process.Load().SetSpeed(0.1); err != nil {
		return err
	}
	hold()
	return t.process.Load().SetSpeed(1)
}

func (f *faultInjector) disturbTargetConnections(victim int, hold func()) error {
	disturbConnections(f.target(victim).spec.Proxy, victim/len(f.cluster.targets), hold)
	return nil
}

func (f *faultInjector) disturbPeerConnections(victim int, hold func()) error {
	disturbConnections(f.entry(victim).spec.Proxy, victim/len(f.cluster.entries), hold)
	return nil
}

// disturbStoreConnections never duplicates bytes, which TCP never does either. A
// duplicated reply would be taken for the reply to the next HTTP request, and
// replies of the store, unlike those of targets and peers, do not identify their
// requests.
func (f *faultInjector) disturbStoreConnections(victim int, hold func()) error {
	z := victim % len(f.cluster.stores)
	return f.stops.runExempt(f.cluster.entriesInZone(z), func() error {
		disturbConnections(f.cluster.stores[z], 1+victim/len(f.cluster.stores)%(connectionFaultKinds-1), hold)
		return nil
	})
}

const connectionFaultKinds = 9

// disturbConnections injects one of connectionFaultKinds faults into the
// connections of a proxy for the duration of hold. Kind 0 duplicates replies.
func disturbConnections(p *faultproxy.Proxy, kind int, hold func()) {
	switch kind % connectionFaultKinds {
	case 0:
		p.SetFaults(faultproxy.ToClient, faultproxy.Faults{Duplicate: true})
	case 1:
		p.SetFaults(faultproxy.ToServer, faultproxy.Faults{Stall: true})
	case 2:
		p.SetFaults(faultproxy.ToClient, faultproxy.Faults{Stall: true})
	case 3:
		p.SetFaults(faultproxy.ToServer, faultproxy.Faults{Drop: true})
	case 4:
		p.SetFaults(faultproxy.ToClient, faultproxy.Faults{Drop: true})
	case 5:
		p.SetFaults(faultproxy.ToClient, faultproxy.Faults{TruncateAfter: 100})
	case 6:
		p.SetFaults(faultproxy.ToServer, faultproxy.Faults{Delay: 150 * time.Millisecond})
	case 7:
		p.HalfOpenAll()
	case 8:
		p.RefuseConnections(true)
		p.ResetAll()
	}
	hold()
	p.ClearFaults()
}

// partitionZone separates the instances of an availability zone from the platform
// and from the requests of all other instances.
func (f *faultInjector) partitionZone(victim int, hold func()) error {
	z := victim % len(f.cluster.stores)
	proxies := []*faultproxy.Proxy{f.cluster.stores[z]}
	for _, e := range f.cluster.entriesInZone(z) {
		proxies = append(proxies, e.spec.Proxy)
	}
	return f.stops.runExempt(f.cluster.entriesInZone(z), func() error {
		for _, p := range proxies {
			p.SetFaults(faultproxy.ToServer, faultproxy.Faults{Stall: true})
			p.SetFaults(faultproxy.ToClient, faultproxy.Faults{Stall: true})
		}
		hold()
		for _, p := range proxies {
			p.ClearFaults()
		}
		return nil
	})
}

func (f *faultInjector) storeOutage(_ int, hold func()) error {
	if err := f.cluster.fleet.Platform.SetFaults(fleet.Faults{Outage: new(true)}); err != nil {
		return err
	}
	hold()
	return f.cluster.fleet.Platform.SetFaults(fleet.Faults{Outage: new(false), Compact: true})
}

func (f *faultInjector) slowStore(_ int, hold func()) error {
	if err := f.cluster.fleet.Platform.SetFaults(fleet.Faults{DelayMS: new(int64(400)), LoseReplies: new(1)}); err != nil {
		return err
	}
	hold()
	return f.cluster.fleet.Platform.SetFaults(fleet.Faults{DelayMS: new(int64(0)), LoseReplies: new(0)})
}

func (f *faultInjector) instanceListFault(victim int, hold func()) error {
	change := fleet.Faults{ListOutage: new(victim%2 == 0), ListLagMS: new(int64(3000))}
	return f.stops.runExempt(f.cluster.entries, func() error {
		if err := f.cluster.fleet.Platform.SetFaults(change); err != nil {
			return err
		}
		hold()
		return f.cluster.fleet.Platform.SetFaults(fleet.Faults{ListOutage: new(false), ListLagMS: new(int64(0))})
	})
}

// applyTicket changes the configuration. Errors are expected, because other
// changes can conflict with it and the store can be unavailable.
func (f *faultInjector) applyTicket(victim int, _ func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return f.cluster.applyTicket(ctx, directory.State{Teams: map[string]directory.Team{
		teamName: {Name: teamName, Weight: 1 + victim%100}}})
}
