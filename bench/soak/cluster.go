package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/platform/store"
	"marigoldfront.dev/platform/ticketlog"
)

const (
	loopback    = "127.0.0.1:0"
	region      = "soak"
	callerName  = "soak-caller"
	callerToken = "soak-caller-token"
	peerSecret  = "soak-peer-secret-of-sufficient-length"
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
var services = map[string]directory.Service{
	"quick":  {Name: "quick", Owner: "soak", ExpectedMS: 40, HedgePercent: 2, MaxAttempts: 3},
	"billed": {Name: "billed", Owner: "soak", ExpectedMS: 40, MaxAttempts: 3},
}

// cluster is the set of processes of a run. The proxies outlive the processes
// behind them, so that an instance keeps its addresses over a restart.
type cluster struct {
	bin, dir string
	platform *process
	// platformAddr is used by the run itself, the proxies by the instances.
	platformAddr string
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
	dir, err := os.MkdirTemp("", "marigold-soak-")
	if err != nil {
		return nil, err
	}
	c := &cluster{bin: bin, dir: dir, homes: map[string]string{}}
	if err := c.startPlatform(); err != nil {
		c.close()
		return nil, err
	}
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

func (c *cluster) startPlatform() error {
	ready := make(chan string, 1)
	p, err := launch(c.bin, c.dir, "platform", "marigold-standin", []string{"platform", "--listen", loopback}, once(ready))
	if err != nil {
		return err
	}
	c.platform = p
	c.platformAddr, err = await(p, ready)
	return err
}

// once sends the first line and drops the others.
func once(ready chan<- string) func(string) {
	return func(line string) {
		select {
		case ready <- line:
		default:
		}
	}
}

func await(p *process, ready <-chan string) (string, error) {
	select {
	case line := <-ready:
		return line, nil
	case <-p.done:
		return "", p.crash()
	case <-time.After(readyTimeout):
		return "", fmt.Errorf("%s was not ready after %v", p.name, readyTimeout)
	}
}

func (c *cluster) addZone(zone string, entries, targets int, seed uint64) error {
	st, err := faultproxy.New(loopback, c.platformAddr)
	if err != nil {
		return err
	}
	c.stores = append(c.stores, st)
	for i := range targets {
		t := &target{c: c, name: fmt.Sprintf("%s-target-%d", zone, i), zone: zone, seed: seed + uint64(len(c.targets))}
		if t.proxy, err = faultproxy.New(loopback, loopback); err != nil {
			return err
		}
		c.targets = append(c.targets, t)
		if err := errors.Join(t.start(), t.list("live")); err != nil {
			return err
		}
	}
	for i := range entries {
		e := &entry{c: c, name: fmt.Sprintf("%s-entry-%d", zone, i), zone: zone, platform: st.Addr()}
		if e.proxy, err = faultproxy.New(loopback, loopback); err != nil {
			return err
		}
		c.entries = append(c.entries, e)
		if err := errors.Join(e.start(), e.list("live")); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) firstTicket() error {
	sum := sha256.Sum256([]byte(callerToken))
	s := directory.State{
		Teams:    map[string]directory.Team{teamName: {Name: teamName, Weight: 1}},
		Services: services,
		Callers: map[string]directory.Caller{callerName: {Name: callerName, Team: teamName, Owner: "soak",
			TokenSHA256: hex.EncodeToString(sum[:]), Services: []string{"quick", "billed"}}},
		Targets: map[string]directory.Target{},
	}
	for _, t := range c.targets {
		s.Targets[t.name] = t.configured()
	}
	return c.accept(context.Background(), s)
}

// accept changes the configuration as an operator does, on the newest one.
func (c *cluster) accept(ctx context.Context, put directory.State) error {
	l := c.log()
	d, err := l.Load(ctx, 0)
	if err != nil {
		return err
	}
	t, _, err := ticket.Prepare(d, ticket.Ticket{Nonce: ticketlog.NewNonce(), Author: "soak", Put: put})
	if err != nil {
		return err
	}
	return l.Accept(ctx, d, t)
}

func (c *cluster) log() *ticketlog.Log {
	return ticketlog.New(store.New([]string{c.platformAddr}, nil))
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
		if e.platform == c.stores[z].Addr() {
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
		c.crashed(e.p.crash())
		e.p.kill()
	}
	for _, t := range c.targets {
		c.crashed(t.p.crash())
		if err := t.p.stop(stopLimit); err != nil {
			c.crashed(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.crashes
}

// close ends every process and proxy that is left and removes the files.
func (c *cluster) close() {
	for _, e := range c.entries {
		if e.p != nil {
			e.p.kill()
		}
		e.proxy.Close()
	}
	for _, t := range c.targets {
		if t.p != nil {
			t.p.kill()
		}
		t.proxy.Close()
	}
	for _, s := range c.stores {
		s.Close()
	}
	if c.platform != nil {
		c.platform.kill()
	}
	_ = os.RemoveAll(c.dir)
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }
