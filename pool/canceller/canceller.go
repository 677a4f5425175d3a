// Package canceller cancels jobs, whichever instance holds them. A cancellation is
// acknowledged once all instances that may start the job learn of it: the instance
// holds the job itself, or the cancellation is in the store, or, while the store is
// away, all instances have replied.
package canceller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/cancellation"
	"marigoldfront.dev/pool/port"
)

const (
	// timeout bounds a cancellation. Callers wait four seconds.
	timeout = 3 * time.Second
	// storeTime is the time in which a write of the store usually returns. Later, the
	// other instances are asked as well.
	storeTime = 300 * time.Millisecond
	// peerTime is how long an instance that was asked awaits the store.
	peerTime = time.Second
	// maxTold is the number of other instances up to which they are told directly of a
	// job that was cancelled where it was in flight. For more, a write to the store costs
	// less than the messages.
	maxTold = 16
	// tellTime bounds the time to tell them.
	tellTime = 500 * time.Millisecond
)

// Config holds the dependencies of a Canceller.
type Config struct {
	Log *zap.Logger
	// Apply cancels a job at this instance, now and when it arrives later. It reports
	// whether this instance has received the job from its caller and awaits it.
	Apply func(job string) (held bool)
	// Write writes a cancellation to the store. The channel is closed once it is there.
	Write func(job string) <-chan struct{}
	// Peers returns the addresses of the other instances, and Departed those of instances
	// that are not registered any more but may run.
	Peers, Departed func() []string
	// Ask makes the instance at the address cancel jobs. If write is set, that instance
	// also writes the cancellations to the store, and Ask reports whether it has. Ask
	// returns an error unless the instance has replied.
	Ask   func(ctx context.Context, address string, jobs []string, write bool) (written bool, err error)
	Clock func() time.Time
}

// Canceller cancels jobs. Its methods may be called from several goroutines.
type Canceller struct {
	cfg Config
	wg  sync.WaitGroup

	mu sync.Mutex
	// unwritten holds the cancelled jobs that are not in the store: those that were in
	// flight here, and those of which another instance has told this one.
	unwritten *cancellation.Log
}

// New returns a Canceller.
func New(cfg Config) *Canceller { return &Canceller{cfg: cfg, unwritten: cancellation.New()} }

// Close waits until the other instances were told of all cancellations.
func (c *Canceller) Close() { c.wg.Wait() }

// Cancel cancels a job at the request of its caller.
func (c *Canceller) Cancel(ctx context.Context, job string) port.CancelResult {
	if c.cfg.Apply(job) {
		c.addUnwritten(job)
		c.wg.Go(func() { c.tellPeers(job) })
		return port.CancelledHere
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	written := c.cfg.Write(job)
	select {
	case <-written:
		return port.CancelledElsewhere
	case <-time.After(storeTime):
	case <-ctx.Done():
		return port.CancelFailed
	}
	select {
	case <-written:
		return port.CancelledElsewhere
	case <-c.askPeers(ctx, job):
		return port.CancelledElsewhere
	case <-ctx.Done():
	}
	c.cfg.Log.Info("A job could not be cancelled everywhere.", zap.String("job", job))
	return port.CancelFailed
}

// tellPeers tells the other instances of a job that was in flight here, for a copy that
// arrives later. If not all of them reply, the cancellation is written to the store.
func (c *Canceller) tellPeers(job string) {
	peers := c.cfg.Peers()
	if len(peers) > maxTold {
		c.cfg.Write(job)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTime)
	defer cancel()
	var wg sync.WaitGroup
	var missed atomic.Bool
	for _, address := range peers {
		wg.Go(func() {
			if _, err := c.cfg.Ask(ctx, address, []string{job}, false); err != nil {
				missed.Store(true)
			}
		})
	}
	wg.Wait()
	if missed.Load() {
		c.cfg.Write(job)
	}
}

// CancelForPeer cancels jobs at the request of another instance. If write is set, it
// reports whether the cancellations are in the store, which it awaits for a short time.
func (c *Canceller) CancelForPeer(jobs []string, write bool) (written bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTime)
	defer cancel()
	written = write
	for _, job := range jobs {
		c.cfg.Apply(job)
		if !write {
			c.addUnwritten(job)
			continue
		}
		select {
		case <-c.cfg.Write(job):
		case <-ctx.Done():
			written = false
		}
	}
	return written
}

// TellStarted tells an instance that has just registered of the cancellations that are
// not in the store. It does not block.
func (c *Canceller) TellStarted(address string) {
	c.mu.Lock()
	jobs := c.unwritten.Jobs(c.cfg.Clock())
	c.mu.Unlock()
	if len(jobs) == 0 {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTime)
		defer cancel()
		if _, err := c.cfg.Ask(ctx, address, jobs, false); err != nil {
			for _, job := range jobs {
				c.cfg.Write(job)
			}
		}
	})
}

func (c *Canceller) addUnwritten(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten.Add(c.cfg.Clock(), job)
}

// askPeers asks all other instances to cancel a job. The channel is closed once one of
// them has written the cancellation to the store, or all of them that run have applied it.
func (c *Canceller) askPeers(ctx context.Context, job string) <-chan struct{} {
	peers, departed := c.cfg.Peers(), c.cfg.Departed()
	all := slices.Concat(peers, departed)
	replies := make(chan bool, len(all))
	for i, address := range all {
		go func() {
			written, err := c.cfg.Ask(ctx, address, []string{job}, true)
			if i >= len(peers) && errors.Is(err, syscall.ECONNREFUSED) {
				// No process listens there any more.
				written, err = false, nil
			}
			if err != nil {
				c.cfg.Log.Info("An instance was not reached to cancel a job.", zap.String("job", job), zap.String("instance", address), zap.Error(err))
				return
			}
			replies <- written
		}()
	}
	known := make(chan struct{})
	go func() {
		for range all {
			select {
			case written := <-replies:
				if written {
					close(known)
					return
				}
			case <-ctx.Done():
				return
			}
		}
		if len(peers) > 0 {
			close(known)
		}
	}()
	return known
}
