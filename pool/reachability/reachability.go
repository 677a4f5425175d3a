// Package reachability finds out whether an instance reaches the targets of another
// availability zone, before it takes them over. A zone that is cut off keeps
// serving its own targets; a claim from outside would only take them away from
// it once the cut ends.
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
	// answerTimeout bounds the answer of a target, which takes milliseconds
	// from any zone.
	answerTimeout = 250 * time.Millisecond
	// sampleSize is the number of targets that are asked. One may be down.
	sampleSize = 3
	// validFor is how long a finding is used, which bounds the reads of the
	// list.
	validFor = time.Second
)

// Checker asks targets. It is used by one goroutine.
type Checker struct {
	log     *zap.Logger
	store   port.Store
	formats port.Formats
	targets port.Targets
	found   map[pool]finding
}

// pool is the targets of a service in an availability zone.
type pool struct{ service, zone string }

type finding struct {
	reached bool
	at      time.Time
}

// New returns a Contact that has asked nothing.
func New(log *zap.Logger, store port.Store, formats port.Formats, targets port.Targets) *Checker {
	return &Checker{log: log, store: store, formats: formats, targets: targets, found: map[pool]finding{}}
}

// Reachable says whether any of a few targets of a pool answers.
func (c *Checker) Reachable(ctx context.Context, service, zone string) bool {
	p := pool{service, zone}
	if f, ok := c.found[p]; ok && time.Since(f.at) < validFor {
		return f.reached
	}
	all, err := c.list(ctx, p)
	if err != nil {
		c.log.Info("The list of targets cannot be read.", zap.Error(err))
		return false
	}
	reached := c.ask(ctx, all)
	c.log.Info("Targets of another zone were asked.", zap.String("service", service), zap.String("zone", zone),
		zap.Int("listed", len(all)), zap.Bool("reached", reached))
	c.found[p] = finding{reached: reached, at: time.Now()}
	return reached
}

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

// ask looks at some of the targets without a fencing token, which changes
// nothing there. A target that refuses the look for that has answered as well.
func (c *Checker) ask(ctx context.Context, all []scheduler.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
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
