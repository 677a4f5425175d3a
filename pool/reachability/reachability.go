// Package reachability checks whether an instance reaches the targets of another
// availability zone before it claims them. A partitioned zone continues to serve
// its own targets. A claim by an instance outside would not help while the
// partition lasts, and would take the targets from their owners when it ends.
package reachability

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/port"
)

const (
	// listTimeout bounds a read of the list of targets.
	listTimeout = 800 * time.Millisecond
	// probeTimeout bounds the probes of a pool. A target in any zone replies
	// within milliseconds.
	probeTimeout = 250 * time.Millisecond
	// sampleSize is the number of targets that are probed. One of them may be
	// down.
	sampleSize = 3
	// cacheTime is how long the result of a probe is used. It limits how often
	// the list of targets is read.
	cacheTime = time.Second
)

// Checker probes targets and caches the results. It must be used by one goroutine
// only.
type Checker struct {
	log     *zap.Logger
	store   port.Store
	formats port.Formats
	targets port.Targets
	cached  map[pool]probeResult
}

// pool identifies the targets of a service in an availability zone.
type pool struct{ service, zone string }

// probeResult is the cached result of a probe, and its time.
type probeResult struct {
	reached bool
	at      time.Time
}

// New returns a Checker with an empty cache.
func New(log *zap.Logger, store port.Store, formats port.Formats, targets port.Targets) *Checker {
	return &Checker{log: log, store: store, formats: formats, targets: targets, cached: map[pool]probeResult{}}
}

// Reachable reports whether any of a few targets of the service in the zone
// replies. It returns false if the list of targets cannot be read.
func (c *Checker) Reachable(ctx context.Context, service, zone string) bool {
	p := pool{service, zone}
	if f, ok := c.cached[p]; ok && time.Since(f.at) < cacheTime {
		return f.reached
	}
	all, err := c.list(ctx, p)
	if err != nil {
		c.log.Info("The list of targets cannot be read.", zap.Error(err))
		return false
	}
	reached := c.probe(ctx, all)
	c.log.Info("Targets of another zone were probed.", zap.String("service", service), zap.String("zone", zone),
		zap.Int("listed", len(all)), zap.Bool("reached", reached))
	c.cached[p] = probeResult{reached: reached, at: time.Now()}
	return reached
}

// list returns the targets of a pool. It ignores entries that cannot be decoded.
func (c *Checker) list(ctx context.Context, p pool) ([]scheduler.Target, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, _, err := c.store.Read(ctx, c.formats.TargetPrefix())
	if err != nil {
		return nil, err
	}
	var out []scheduler.Target
	for _, it := range items {
		t, err := c.formats.Target(it.Key, it.Value)
		if err == nil && t.Service == p.service && t.Zone == p.zone {
			out = append(out, t)
		}
	}
	return out, nil
}

// probe polls a random sample of the targets and reports whether any replies. The
// poll has no fencing token and therefore changes nothing at the target. A target
// that rejects it for that reason has replied as well.
func (c *Checker) probe(ctx context.Context, all []scheduler.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n := min(len(all), sampleSize)
	answers := make(chan bool, n)
	for _, i := range rand.Perm(len(all))[:n] {
		go func() {
			answers <- c.targets.Poll(ctx, scheduler.Poll{Target: all[i].ID, Address: all[i].Address}).Answered
		}()
	}
	for range n {
		if <-answers {
			return true
		}
	}
	return false
}
