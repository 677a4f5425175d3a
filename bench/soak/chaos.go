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
	shortestPause = 200 * time.Millisecond
	longestPause  = 1200 * time.Millisecond
	shortestFault = 300 * time.Millisecond
	longestFault  = 5 * time.Second
)

// chaos carries out a seeded schedule of failures. The schedule depends on the
// seed alone; what happens then depends on the processes.
type chaos struct {
	stops *stops
	c     *cluster
	rng   *rand.Rand
	wg    sync.WaitGroup
	began time.Time
	log   func(string)
}

// action is one kind of failure. victim picks what it happens to, for the
// time that hold lasts.
type action struct {
	name   string
	weight int
	do     func(ch *chaos, victim int, hold func()) error
}

var actions = []action{
	{"kill entry", 3, (*chaos).killEntry},
	{"drain entry", 3, (*chaos).drainEntry},
	{"pause entry", 3, (*chaos).pauseEntry},
	{"kill target", 2, (*chaos).killTarget},
	{"drain target", 2, (*chaos).drainTarget},
	{"pause target", 2, (*chaos).pauseTarget},
	{"fail all at target", 1, (*chaos).failTarget},
	{"slow target", 1, (*chaos).slowTarget},
	{"disturb target connections", 5, (*chaos).disturbTarget},
	{"disturb peer connections", 4, (*chaos).disturbPeer},
	{"cut zone", 1, (*chaos).cutZone},
	{"disturb store connections", 2, (*chaos).disturbStore},
	{"store outage", 1, (*chaos).storeOutage},
	{"slow store", 1, (*chaos).slowStore},
	{"instance list fault", 1, (*chaos).listFault},
	{"ticket", 2, (*chaos).ticket},
}

// run carries the schedule out until ctx ends, and then waits until all
// failures are undone.
func (ch *chaos) run(ctx context.Context) {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	for {
		pause := between(ch.rng, shortestPause, longestPause)
		a, victim := pick(ch.rng.IntN(total)), ch.rng.IntN(1<<20)
		d := between(ch.rng, shortestFault, longestFault)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			ch.wg.Wait()
			return
		}
		ch.wg.Go(func() { ch.carryOut(ctx, a, victim, d) })
	}
}

func (ch *chaos) carryOut(ctx context.Context, a action, victim int, d time.Duration) {
	at := time.Since(ch.began)
	hold := func() {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	err := a.do(ch, victim, hold)
	text := fmt.Sprintf("%6.1fs %s (victim %d, %v)", at.Seconds(), a.name, victim, d.Round(time.Millisecond))
	if err != nil {
		text += ": " + err.Error()
	}
	ch.log(text)
}

func pick(n int) action {
	for _, a := range actions {
		if n < a.weight {
			return a
		}
		n -= a.weight
	}
	panic("soak: weights do not add up")
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

func (ch *chaos) entry(victim int) *entry   { return ch.c.entries[victim%len(ch.c.entries)] }
func (ch *chaos) target(victim int) *target { return ch.c.targets[victim%len(ch.c.targets)] }

var errBusy = fmt.Errorf("skipped: the victim is already down")

// killEntry kills an instance and starts it anew. On odd draws the instance
// list notices in between.
func (ch *chaos) killEntry(victim int, hold func()) error {
	e := ch.entry(victim)
	if !e.busy.TryLock() {
		return errBusy
	}
	defer e.busy.Unlock()
	ch.c.crashed(e.p.Load().UnexpectedExit())
	e.p.Load().Kill()
	if victim/len(ch.c.entries)%2 == 1 {
		if err := ch.c.fleet.Platform.Remove(e.spec.Name); err != nil {
			return err
		}
	}
	hold()
	return ch.revive(e.start)
}

// drainEntry is a planned restart.
func (ch *chaos) drainEntry(victim int, _ func()) error {
	e := ch.entry(victim)
	if !e.busy.TryLock() {
		return errBusy
	}
	defer e.busy.Unlock()
	ch.c.crashed(e.p.Load().UnexpectedExit())
	if err := ch.c.fleet.MarkEntryLeaving(e.p.Load()); err != nil {
		return err
	}
	ch.stops.drained()
	e.draining.Store(true)
	defer e.draining.Store(false)
	ch.c.crashed(e.p.Load().Stop(stopLimit))
	if err := ch.c.fleet.Platform.Remove(e.spec.Name); err != nil {
		return err
	}
	return ch.revive(e.start)
}

// revive starts a process again and lists it. A process that does not start
// ends up as a crash.
func (ch *chaos) revive(start func() error) error {
	err := start()
	ch.c.crashed(err)
	return err
}

func (ch *chaos) pauseEntry(victim int, hold func()) error {
	e := ch.entry(victim)
	if !e.busy.TryLock() {
		return errBusy
	}
	defer e.busy.Unlock()
	return ch.stops.hide([]*entry{e}, func() error { return pause(e.p.Load().Process, hold) })
}

func pause(p *fleet.Process, hold func()) error {
	err := p.Pause()
	hold()
	return errors.Join(err, p.Resume())
}

func (ch *chaos) killTarget(victim int, hold func()) error {
	t := ch.target(victim)
	if !t.busy.TryLock() {
		return errBusy
	}
	defer t.busy.Unlock()
	ch.c.crashed(t.p.Load().UnexpectedExit())
	t.p.Load().Kill()
	hold()
	return ch.revive(t.start)
}

// drainTarget announces a planned stop on the list alone, and stops the target
// after the time that the instances have to notice and the drawn one.
func (ch *chaos) drainTarget(victim int, hold func()) error {
	t := ch.target(victim)
	if !t.busy.TryLock() {
		return errBusy
	}
	defer t.busy.Unlock()
	if err := ch.c.fleet.MarkTargetLeaving(t.p.Load()); err != nil {
		return err
	}
	from := time.Now()
	time.Sleep(leaveBound)
	hold()
	ch.stops.left(leave{t.spec.Name, interval{from, time.Now()}})
	ch.c.crashed(t.p.Load().Stop(stopLimit))
	return ch.revive(t.start)
}

func (ch *chaos) pauseTarget(victim int, hold func()) error {
	t := ch.target(victim)
	if !t.busy.TryLock() {
		return errBusy
	}
	defer t.busy.Unlock()
	return pause(t.p.Load().Process, hold)
}

func (ch *chaos) failTarget(victim int, hold func()) error {
	t := ch.target(victim)
	if err := t.p.Load().SetFailAll(true); err != nil {
		return err
	}
	hold()
	return t.p.Load().SetFailAll(false)
}

func (ch *chaos) slowTarget(victim int, hold func()) error {
	t := ch.target(victim)
	if err := t.p.Load().SetSpeed(0.1); err != nil {
		return err
	}
	hold()
	return t.p.Load().SetSpeed(1)
}

func (ch *chaos) disturbTarget(victim int, hold func()) error {
	disturb(ch.target(victim).spec.Proxy, victim/len(ch.c.targets), hold)
	return nil
}

func (ch *chaos) disturbPeer(victim int, hold func()) error {
	disturb(ch.entry(victim).spec.Proxy, victim/len(ch.c.entries), hold)
	return nil
}

// disturbStore never duplicates: a duplicated byte stream, which TCP excludes,
// would answer one HTTP request with the reply to another, and replies of the
// store, unlike those of targets and peers, do not name their requests.
func (ch *chaos) disturbStore(victim int, hold func()) error {
	z := victim % len(ch.c.stores)
	return ch.stops.hide(ch.c.inZone(z), func() error {
		disturb(ch.c.stores[z], 1+victim/len(ch.c.stores)%(disturbances-1), hold)
		return nil
	})
}

const disturbances = 9

// disturb applies one of the disturbances; 0 duplicates replies.
func disturb(p *faultproxy.Proxy, kind int, hold func()) {
	switch kind % disturbances {
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

// cutZone separates an availability zone from the platform, and its instances
// from the requests of the others.
func (ch *chaos) cutZone(victim int, hold func()) error {
	z := victim % len(ch.c.stores)
	cut := []*faultproxy.Proxy{ch.c.stores[z]}
	for _, e := range ch.c.inZone(z) {
		cut = append(cut, e.spec.Proxy)
	}
	return ch.stops.hide(ch.c.inZone(z), func() error {
		for _, p := range cut {
			p.SetFaults(faultproxy.ToServer, faultproxy.Faults{Stall: true})
			p.SetFaults(faultproxy.ToClient, faultproxy.Faults{Stall: true})
		}
		hold()
		for _, p := range cut {
			p.ClearFaults()
		}
		return nil
	})
}

func (ch *chaos) storeOutage(_ int, hold func()) error {
	if err := ch.c.fleet.Platform.SetFaults(fleet.Faults{Outage: new(true)}); err != nil {
		return err
	}
	hold()
	return ch.c.fleet.Platform.SetFaults(fleet.Faults{Outage: new(false), Compact: true})
}

func (ch *chaos) slowStore(_ int, hold func()) error {
	if err := ch.c.fleet.Platform.SetFaults(fleet.Faults{DelayMS: new(int64(400)), LoseReplies: new(1)}); err != nil {
		return err
	}
	hold()
	return ch.c.fleet.Platform.SetFaults(fleet.Faults{DelayMS: new(int64(0)), LoseReplies: new(0)})
}

func (ch *chaos) listFault(victim int, hold func()) error {
	change := fleet.Faults{ListOutage: new(victim%2 == 0), ListLagMS: new(int64(3000))}
	return ch.stops.hide(ch.c.entries, func() error {
		if err := ch.c.fleet.Platform.SetFaults(change); err != nil {
			return err
		}
		hold()
		return ch.c.fleet.Platform.SetFaults(fleet.Faults{ListOutage: new(false), ListLagMS: new(int64(0))})
	})
}

// ticket changes the configuration. Conflicts and outages are expected.
func (ch *chaos) ticket(victim int, _ func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return ch.c.accept(ctx, directory.State{Teams: map[string]directory.Team{
		teamName: {Name: teamName, Weight: 1 + victim%100}}})
}
