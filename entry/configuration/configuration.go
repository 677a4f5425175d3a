// Package configuration keeps the configuration in force: it reads tickets from
// the store or from a peer and never puts an older configuration in force.
package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

const (
	pollInterval = time.Second
	maxBackoff   = 4 * time.Second
	// pollJitter is the part of the interval by which polls vary.
	pollJitter = 0.2
	// watcherAge is the confirmation age from which a watcher asks the store.
	// It is below that of the other instances, so that these need not ask.
	watcherAge = time.Second
	// loadTimeout bounds reading the whole configuration, callTimeout one call.
	loadTimeout = 3 * time.Second
	callTimeout = 2 * time.Second
	// kept is the number of tickets that are kept for peers that are behind.
	kept        = 256
	watchBuffer = 64
)

// TicketLog is the part of ticketlog.Log that is used here.
type TicketLog interface {
	Load(ctx context.Context, upTo uint64) (*directory.Directory, error)
	After(ctx context.Context, n uint64) ([]ticket.Ticket, error)
	Watch(ctx context.Context, after uint64, ch chan<- ticket.Ticket) error
}

// Config holds the dependencies of a Manager.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Tickets TicketLog
	Peers   *peers.Registry
	// OnChange receives each new configuration, Announce tells peers of it.
	OnChange func(*directory.Directory)
	Announce func(context.Context)
}

// Manager owns the configuration.
type Manager struct {
	cfg     Config
	current atomic.Pointer[directory.Directory]
	// kick holds a token while a peer may be ahead.
	kick    chan struct{}
	watched chan ticket.Ticket
	done    chan struct{}

	// mu guards the tickets that peers are given.
	mu      sync.Mutex
	tickets map[uint64][]byte

	// The fields below belong to Run's goroutine.
	backoff   time.Duration
	nextCall  time.Time
	stopWatch context.CancelFunc
	watchEnds chan struct{}
}

// New returns a Manager without a configuration; Run starts it.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:     cfg,
		kick:    make(chan struct{}, 1),
		watched: make(chan ticket.Ticket, watchBuffer),
		done:    make(chan struct{}),
		tickets: map[uint64][]byte{},
		backoff: pollInterval,
	}
}

// Directory returns the configuration in force, nil if there is none.
func (c *Manager) Directory() *directory.Directory { return c.current.Load() }

// InForce returns the number and the digest of the configuration, 0 if there
// is none.
func (c *Manager) InForce() (number, digest uint64) {
	if d := c.current.Load(); d != nil {
		return d.Number, d.Digest
	}
	return 0, 0
}

// TriggerFetch makes the Manager look for peers that are ahead. It does not block.
func (c *Manager) TriggerFetch() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Done is closed when Run has ended.
func (c *Manager) Done() <-chan struct{} { return c.done }

// Run keeps the configuration current until ctx ends.
func (c *Manager) Run(ctx context.Context) {
	defer close(c.done)
	defer c.endWatch()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-c.watched:
			c.apply(ctx, append([]ticket.Ticket{t}, c.waiting()...))
		case <-c.kick:
			c.fetch(ctx)
		case <-timer.C:
			c.refresh(ctx)
			timer.Reset(jittered(pollInterval / 4))
		}
	}
}

// refresh asks the store where that is due, and starts or ends the watch.
func (c *Manager) refresh(ctx context.Context) {
	c.fetch(ctx)
	now := time.Now()
	watcher, due := false, false
	c.cfg.Peers.WithRoster(func(r *membership.Roster) {
		watcher = r.IsStoreWatcher()
		age := r.ConfirmationAge(now)
		c.cfg.Metrics.ConfirmationAge.Update(age.Seconds())
		due = r.PollDue(now) || watcher && age > watcherAge
	})
	if now.Before(c.nextCall) {
		return
	}
	switch {
	case c.Directory() == nil:
		c.load(ctx)
	case due:
		c.poll(ctx)
	case watcher && c.stopWatch == nil:
		c.startWatch(ctx)
	}
	if !watcher {
		c.endWatch()
	}
}

// load reads the whole configuration from the store.
func (c *Manager) load(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := time.Now()
	d, err := c.cfg.Tickets.Load(callCtx, 0)
	c.called(err)
	if d == nil {
		return
	}
	if err == nil {
		c.confirm(asked, d.Number)
	}
	c.replace(ctx, d)
}

// poll reads the tickets after the one in force.
func (c *Manager) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	number, _ := c.InForce()
	tickets, err := c.cfg.Tickets.After(callCtx, number)
	c.called(err)
	c.apply(ctx, tickets)
	if n := len(tickets); n > 0 {
		number = tickets[n-1].Number
	}
	if err == nil {
		c.confirm(asked, number)
	}
}

// called counts a call to the store and sets the time of the next one. A
// store that does not answer is asked less often.
func (c *Manager) called(err error) {
	if err == nil {
		c.backoff = pollInterval
		c.cfg.Metrics.StoreCallsOK.Inc(1)
	} else {
		c.cfg.Log.Info("The store gave no usable reply.", zap.Error(err), zap.Duration("next_try_in", c.backoff))
		c.cfg.Metrics.StoreCallsFailed.Inc(1)
		defer func() { c.backoff = min(2*c.backoff, maxBackoff) }()
	}
	c.nextCall = time.Now().Add(jittered(c.backoff))
}

func (c *Manager) confirm(asked time.Time, number uint64) {
	c.cfg.Peers.WithRoster(func(r *membership.Roster) { r.ConfirmTicket(asked, number) })
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

// waiting returns the tickets that the watch has already sent.
func (c *Manager) waiting() []ticket.Ticket {
	var all []ticket.Ticket
	for {
		select {
		case t := <-c.watched:
			all = append(all, t)
		default:
			return all
		}
	}
}

// apply puts the tickets that follow the configuration in force. Older ones
// and those after a gap are left out; a gap is closed by the next poll.
func (c *Manager) apply(ctx context.Context, tickets []ticket.Ticket) {
	d := c.Directory()
	if d == nil {
		d = directory.Empty()
	}
	var next []ticket.Ticket
	for _, t := range tickets {
		c.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordTicket(t.Number) })
		if t.Number == d.Number+uint64(len(next))+1 {
			next = append(next, t)
		}
	}
	d, err := ticket.ApplyAll(d, next)
	if err != nil {
		c.cfg.Log.Error("A ticket cannot be applied.", zap.Uint64("ticket", d.Number+1), zap.Error(err))
	}
	for _, t := range next {
		if text, err := ticket.Encode(t); err == nil && t.Number <= d.Number {
			c.keep(t.Number, text)
		}
	}
	c.replace(ctx, d)
}

func (c *Manager) keep(number uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[number] = text
	if number > kept {
		delete(c.tickets, number-kept)
	}
}

// replace puts a configuration in force if it is newer.
func (c *Manager) replace(ctx context.Context, d *directory.Directory) {
	if number, _ := c.InForce(); d.Number <= number {
		return
	}
	c.current.Store(d)
	c.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordTicket(d.Number) })
	c.cfg.Metrics.TicketNumber.Update(float64(d.Number))
	c.cfg.Log.Info("A configuration is in force.", zap.Uint64("ticket", d.Number))
	c.cfg.OnChange(d)
	c.cfg.Announce(ctx)
}

// Fetch implements peering.Tickets.
func (c *Manager) Fetch(after uint64) *wire.FetchTicketsReply {
	d := c.Directory()
	reply := &wire.FetchTicketsReply{}
	if d == nil || d.Number <= after {
		return reply
	}
	c.mu.Lock()
	for n := after + 1; n <= d.Number; n++ {
		text, ok := c.tickets[n]
		if !ok {
			reply.Tickets = nil
			break
		}
		reply.Tickets = append(reply.Tickets, text)
	}
	c.mu.Unlock()
	if reply.Tickets == nil {
		reply.Snapshot, reply.SnapshotNumber = directory.EncodeSnapshot(d), d.Number
	}
	return reply
}
