package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
)

const (
	loopback    = "127.0.0.1:0"
	region      = "soak"
	callerName  = "soak-caller"
	callerToken = "soak-caller-token"
	teamName    = "soak-team"
	// drainLimitS is above the longest timeout of a job in the load, so that
	// a drain never has to give a job up.
	drainLimitS = 20
	stopLimit   = (drainLimitS + 10) * time.Second

	slots          = 6
	connections    = 64
	targetMemoryMB = 1000
)

// The services of the load: one allows hedging, the other does not.
var services = []directory.Service{
	{Name: "quick", Owner: "soak", ExpectedMS: 40, HedgePercent: 2, MaxAttempts: 3},
	{Name: "billed", Owner: "soak", ExpectedMS: 40, MaxAttempts: 3},
}

// cluster is the set of processes of a run. The proxies outlive the processes
// behind them, so that an instance keeps its addresses over a restart.
type cluster struct {
	// fleet holds the processes. The run itself calls the platform directly,
	// the instances through the proxies.
	fleet *fleet.Fleet
	// stores holds one proxy per availability zone in front of the platform.
	stores  []*faultproxy.Proxy
	entries []*entry
	targets []*target

	mu      sync.Mutex
	starts  []start
	crashes []string
	// homes maps incarnations to the names of their instances.
	homes map[string]string
}

func newCluster(bin string, zones, entriesPerZone, targetsPerZone int, seed uint64) (*cluster, error) {
	f, err := fleet.New(bin)
	if err != nil {
		return nil, err
	}
	c := &cluster{fleet: f, homes: map[string]string{}}
	for z := range zones {
		if err := c.addZone(fmt.Sprintf("zone-%d", z), entriesPerZone, targetsPerZone, seed); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.firstTicket(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) addZone(zone string, entries, targets int, seed uint64) error {
	st, err := faultproxy.New(loopback, c.fleet.Platform.Address)
	if err != nil {
		return err
	}
	c.stores = append(c.stores, st)
	for i := range targets {
		name := fmt.Sprintf("%s-target-%d", zone, i)
		t := &target{c: c, spec: fleet.TargetSpec{Name: name, Region: region, AvailabilityZone: zone, Rack: name,
			Services: []string{"quick", "billed"}, Slots: slots, Connections: connections, Speed: 1,
			Seed: seed + uint64(len(c.targets)), MemoryMB: targetMemoryMB, StragglerShare: 0.01, OnLine: c.started}}
		if t.spec.Proxy, err = faultproxy.New(loopback, loopback); err != nil {
			return err
		}
		c.targets = append(c.targets, t)
		if err := t.start(); err != nil {
			return err
		}
	}
	for i := range entries {
		e := &entry{c: c, spec: fleet.EntrySpec{Name: fmt.Sprintf("%s-entry-%d", zone, i), Region: region,
			AvailabilityZone: zone, Stores: []string{st.Addr()}, InstanceList: "http://" + st.Addr(),
			DrainLimitS: drainLimitS, LogLevel: "info"}}
		if e.spec.Proxy, err = faultproxy.New(loopback, loopback); err != nil {
			return err
		}
		c.entries = append(c.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) firstTicket() error {
	caller := directory.Caller{Name: callerName, Team: teamName, Owner: "soak",
		TokenSHA256: fleet.TokenSHA256(callerToken), Services: []string{"quick", "billed"}}
	return c.accept(context.Background(), c.fleet.DirectoryState(services, []directory.Caller{caller}))
}

// accept changes the configuration as an operator does, on the newest one.
func (c *cluster) accept(ctx context.Context, put directory.State) error {
	_, err := c.fleet.ApplyTicket(ctx, put)
	return err
}

func (c *cluster) log() *ticketlog.Log {
	return ticketlog.New(store.New([]string{c.fleet.Platform.Address}, nil))
}

// started records one line of a target, a start.
func (c *cluster) started(line string) {
	var s start
	if json.Unmarshal([]byte(line), &s) != nil || s.Job == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, s)
}

// inZone returns the instances of an availability zone.
func (c *cluster) inZone(z int) []*entry {
	var out []*entry
	for _, e := range c.entries {
		if e.spec.Stores[0] == c.stores[z].Addr() {
			out = append(out, e)
		}
	}
	return out
}

// home records the incarnation of a started instance.
func (c *cluster) home(incarnation, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes[strings.TrimLeft(incarnation, "0")] = instance
}

func (c *cluster) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.starts)
}

func (c *cluster) crashed(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, err.Error())
}

// finish ends the targets in order, so that all starts are recorded, and
// returns the starts and what ended by itself.
func (c *cluster) finish() ([]start, []string) {
	for _, e := range c.entries {
		c.crashed(e.p.Load().UnexpectedExit())
		e.p.Load().Kill()
	}
	for _, t := range c.targets {
		c.crashed(t.p.Load().UnexpectedExit())
		c.crashed(t.p.Load().Stop(stopLimit))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.crashes
}

// close ends every process and proxy that is left and removes the files.
func (c *cluster) close() {
	c.fleet.Close()
	for _, e := range c.entries {
		e.spec.Proxy.Close()
	}
	for _, t := range c.targets {
		t.spec.Proxy.Close()
	}
	for _, s := range c.stores {
		s.Close()
	}
}
