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
	// drainLimitS is greater than the longest timeout of a job in the load, so
	// that a drain never abandons a job.
	drainLimitS = 20
	stopTimeout = (drainLimitS + 10) * time.Second

	slots          = 6
	connections    = 64
	targetMemoryMB = 1000
)

// services are the services of the load: one allows hedging, the other does not.
var services = []directory.Service{
	{Name: "quick", Owner: "soak", ExpectedMS: 40, HedgePercent: 2, MaxAttempts: 3},
	{Name: "billed", Owner: "soak", ExpectedMS: 40, MaxAttempts: 3},
}

// cluster is the set of processes and proxies of a run. The proxies stay open
// when the processes behind them exit, so that an instance keeps its published
// address after a restart.
type cluster struct {
	// fleet holds the processes. The run calls the platform directly, the
	// instances call it through the proxies.
	fleet *fleet.Fleet
	// stores holds one proxy per availability zone in front of the platform.
	stores  []*faultproxy.Proxy
	entries []*entry
	targets []*target

	mu      sync.Mutex
	starts  []taskStart
	crashes []string
	// instanceByIncarnation maps incarnations to the names of their instances.
	instanceByIncarnation map[string]string
}

func newCluster(bin string, zones, entriesPerZone, targetsPerZone int, seed uint64) (*cluster, error) {
	f, err := fleet.New(bin)
	if err != nil {
		return nil, err
	}
	c := &cluster{fleet: f, instanceByIncarnation: map[string]string{}}
	for z := range zones {
		if err := c.addZone(fmt.Sprintf("zone-%d", z), entriesPerZone, targetsPerZone, seed); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.applyInitialTicket(); err != nil {
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
		t := &target{cluster: c, spec: fleet.TargetSpec{Name: name, Region: region, AvailabilityZone: zone, Rack: name,
			Services: []string{"quick", "billed"}, Slots: slots, Connections: connections, Speed: 1,
			Seed: seed + uint64(len(c.targets)), MemoryMB: targetMemoryMB, StragglerShare: 0.01, OnLine: c.recordStartLine}}
		if t.spec.Proxy, err = faultproxy.New(loopback, loopback); err != nil {
			return err
		}
		c.targets = append(c.targets, t)
		if err := t.start(); err != nil {
			return err
		}
	}
	for i := range entries {
		e := &entry{cluster: c, spec: fleet.EntrySpec{Name: fmt.Sprintf("%s-entry-%d", zone, i), Region: region,
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

func (c *cluster) applyInitialTicket() error {
	caller := directory.Caller{Name: callerName, Team: teamName, Owner: "soak",
		TokenSHA256: fleet.TokenSHA256(callerToken), Services: []string{"quick", "billed"}}
	return c.applyTicket(context.Background(), c.fleet.DirectoryState(services, []directory.Caller{caller}))
}

// applyTicket changes the newest configuration, as an operator does.
func (c *cluster) applyTicket(ctx context.Context, put directory.State) error {
	_, err := c.fleet.ApplyTicket(ctx, put)
	return err
}

func (c *cluster) ticketLog() *ticketlog.Log {
	return ticketlog.New(store.New([]string{c.fleet.Platform.Address}, nil))
}

// recordStartLine records a line of a target's output if it reports a start.
func (c *cluster) recordStartLine(line string) {
	var s taskStart
	if json.Unmarshal([]byte(line), &s) != nil || s.Job == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, s)
}

// entriesInZone returns the instances of the availability zone with index z.
func (c *cluster) entriesInZone(z int) []*entry {
	var out []*entry
	for _, e := range c.entries {
		if e.spec.Stores[0] == c.stores[z].Addr() {
			out = append(out, e)
		}
	}
	return out
}

// recordIncarnation records the incarnation of a started instance. Names of jobs
// contain incarnations without leading zeros.
func (c *cluster) recordIncarnation(incarnation, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instanceByIncarnation[strings.TrimLeft(incarnation, "0")] = instance
}

func (c *cluster) startCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.starts)
}

// recordCrash records err, unless it is nil, as an unexpected exit or a failed
// start or stop of a process.
func (c *cluster) recordCrash(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, err.Error())
}

// stopAll kills the instances and stops the targets gracefully, so that all
// starts are recorded. It returns the starts and the recorded crashes.
func (c *cluster) stopAll() ([]taskStart, []string) {
	for _, e := range c.entries {
		c.recordCrash(e.process.Load().UnexpectedExit())
		e.process.Load().Kill()
	}
	for _, t := range c.targets {
		c.recordCrash(t.process.Load().UnexpectedExit())
		c.recordCrash(t.process.Load().Stop(stopTimeout))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.crashes
}

// close kills the remaining processes, closes the proxies and removes the files.
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
