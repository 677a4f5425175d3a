// Package configuration keeps the configuration of an instance up to date. It
// reads change tickets from the store or from a peer, applies them in the order
// of their numbers and never replaces a configuration by an older one.
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
	// pollJitter is the largest random deviation from an interval, as a fraction
	// of it. It keeps the instances from polling the store in step.
	pollJitter = 0.2
	// watcherMaxAge is the confirmation age above which a store watcher polls the
	// store. It is below that of the other instances, so that normally only the
	// watchers poll.
	watcherMaxAge = time.Second
	// loadTimeout bounds a read of the whole configuration, callTimeout a read
	// of new tickets.
	loadTimeout = 3 * time.Second
	callTimeout = 2 * time.Second
	// maxKeptTickets bounds the encoded tickets that are cached for peers that
	// are behind.
	maxKeptTickets = 256
	watchBuffer    = 64
)

// TicketLog reads tickets from the store. It is implemented by ticketlog.Log.
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
	// OnChange receives each new configuration. Announce informs the peers of
	// its number.
	OnChange func(*directory.Directory)
	Announce func(context.Context)
}

// Manager holds the configuration in force and keeps it up to date. Its exported
// methods are safe for concurrent use.
type Manager struct {
	cfg     Config
	current atomic.Pointer[directory.Directory]
	// fetchRequested holds a token if a peer may have a newer configuration.
	fetchRequested chan struct{}
	watchedTickets chan ticket.Ticket
	stopped        chan struct{}

	// mu guards tickets, the encoded tickets for peers by number.
	mu      sync.Mutex
	tickets map[uint64][]byte

	// The fields below are used only by Run's goroutine.
	backoff     time.Duration
	nextCall    time.Time
	cancelWatch context.CancelFunc
	watchDone   chan struct{}
}

// New returns a Manager without a configuration; Run starts it.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:            cfg,
		fetchRequested: make(chan struct{}, 1),
		watchedTickets: make(chan ticket.Ticket, watchBuffer),
		stopped:        make(chan struct{}),
		tickets:        map[uint64][]byte{},
		backoff:        pollInterval,
	}
}

// Directory returns the configuration in force, nil if there is none.
func (m *Manager) Directory() *directory.Directory { return m.current.Load() }

// InForce returns the ticket number and the digest of the configuration in
// force, zeros if there is none.
func (m *Manager) InForce() (number, digest uint64) {
	if d := m.current.Load(); d != nil {
		return d.Number, d.Digest
	}
	return 0, 0
}

// TriggerFetch makes the Manager check whether a peer has a newer configuration
// and fetch it. It does not block.
func (m *Manager) TriggerFetch() {
	select {
	case m.fetchRequested <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed when Run has returned.
func (m *Manager) Done() <-chan struct{} { return m.stopped }

// Run keeps the configuration up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.stopped)
	defer m.stopWatch()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-m.watchedTickets:
			m.apply(ctx, append([]ticket.Ticket{t}, m.drainWatched()...))
		case <-m.fetchRequested:
			m.fetch(ctx)
		case <-timer.C:
			m.refresh(ctx)
			timer.Reset(jittered(pollInterval / 4))
		}
	}
}

// refresh fetches from peers, calls the store if a call is due, and starts or
// stops the watch on the store.
func (m *Manager) refresh(ctx context.Context) {
	m.fetch(ctx)
	now := time.Now()
	isWatcher, pollDue := false, false
	m.cfg.Peers.WithRoster(func(r *membership.Roster) {
		isWatcher = r.IsStoreWatcher()
		age := r.ConfirmationAge(now)
		m.cfg.Metrics.ConfirmationAge.Update(age.Seconds())
		pollDue = r.PollDue(now) || isWatcher && age > watcherMaxAge
	})
	if now.Before(m.nextCall) {
		return
	}
	switch {
	case m.Directory() == nil:
		m.load(ctx)
	case pollDue:
		m.poll(ctx)
	case isWatcher && m.cancelWatch == nil:
		m.startWatch(ctx)
	}
	if !isWatcher {
		m.stopWatch()
	}
}

// load reads the whole configuration from the store.
func (m *Manager) load(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	requestedAt := time.Now()
	d, err := m.cfg.Tickets.Load(callCtx, 0)
	m.recordCall(err)
	if d == nil {
		return
	}
	if err == nil {
		m.confirm(requestedAt, d.Number)
	}
	m.activate(ctx, d)
}

// poll reads the tickets after the one in force from the store.
func (m *Manager) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	number, _ := m.InForce()
	tickets, err := m.cfg.Tickets.After(callCtx, number)
	m.recordCall(err)
	m.apply(ctx, tickets)
	if n := len(tickets); n > 0 {
		number = tickets[n-1].Number
	}
	if err == nil {
		m.confirm(requestedAt, number)
	}
}

// recordCall counts a call to the store and sets the earliest time of the next
// one. Failed calls are retried with exponential backoff.
func (m *Manager) recordCall(err error) {
	if err == nil {
		m.backoff = pollInterval
		m.cfg.Metrics.StoreCallsOK.Inc(1)
	} else {
		m.cfg.Log.Info("A call to the store failed.", zap.Error(err), zap.Duration("next_try_in", m.backoff))
		m.cfg.Metrics.StoreCallsFailed.Inc(1)
		defer func() { m.backoff = min(2*m.backoff, maxBackoff) }()
	}
	m.nextCall = time.Now().Add(jittered(m.backoff))
}

// confirm records that the store reported the ticket number as the newest one in
// reply to a call made at requestedAt.
func (m *Manager) confirm(requestedAt time.Time, number uint64) {
	m.cfg.Peers.WithRoster(func(r *membership.Roster) { r.ConfirmTicket(requestedAt, number) })
}

// jittered returns d with a random deviation of up to pollJitter.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

// drainWatched returns the tickets of the watch that are buffered, without
// waiting for more.
func (m *Manager) drainWatched() []ticket.Ticket {
	var pending []ticket.Ticket
	for {
		select {
		case t := <-m.watchedTickets:
			pending = append(pending, t)
		default:
			return pending
		}
	}
}

// apply applies the tickets that directly follow the configuration in force.
// Older tickets and those after a gap are skipped; the next poll reads the
// tickets that are missing.
func (m *Manager) apply(ctx context.Context, tickets []ticket.Ticket) {
	d := m.Directory()
	if d == nil {
		d = directory.Empty()
	}
	var next []ticket.Ticket
	for _, t := range tickets {
		m.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordTicket(t.Number) })
		if t.Number == d.Number+uint64(len(next))+1 {
			next = append(next, t)
		}
	}
	d, err := ticket.ApplyAll(d, next)
	if err != nil {
		m.cfg.Log.Error("A ticket cannot be applied.", zap.Uint64("ticket", d.Number+1), zap.Error(err))
	}
	for _, t := range next {
		if text, err := ticket.Encode(t); err == nil && t.Number <= d.Number {
			m.cacheTicket(t.Number, text)
		}
	}
	m.activate(ctx, d)
}

// cacheTicket keeps an encoded ticket for peers and drops the oldest one beyond
// maxKeptTickets.
func (m *Manager) cacheTicket(number uint64, text []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickets[number] = text
	if number > maxKeptTickets {
		delete(m.tickets, number-maxKeptTickets)
	}
}

// activate puts a configuration in force if it is newer than the current one.
func (m *Manager) activate(ctx context.Context, d *directory.Directory) {
	if number, _ := m.InForce(); d.Number <= number {
		return
	}
	m.current.Store(d)
	m.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordTicket(d.Number) })
	m.cfg.Metrics.TicketNumber.Update(float64(d.Number))
	m.cfg.Log.Info("A configuration is in force.", zap.Uint64("ticket", d.Number))
	m.cfg.OnChange(d)
	m.cfg.Announce(ctx)
}

// Fetch returns the tickets after the given number for a peer, or a snapshot of
// the whole configuration if some of them are no longer cached. It implements
// peering.TicketSource.
func (m *Manager) Fetch(after uint64) *wire.FetchTicketsReply {
	d := m.Directory()
	reply := &wire.FetchTicketsReply{}
	if d == nil || d.Number <= after {
		return reply
	}
	m.mu.Lock()
	for n := after + 1; n <= d.Number; n++ {
		text, ok := m.tickets[n]
		if !ok {
			reply.Tickets = nil
			break
		}
		reply.Tickets = append(reply.Tickets, text)
	}
	m.mu.Unlock()
	if reply.Tickets == nil {
		reply.Snapshot, reply.SnapshotNumber = directory.EncodeSnapshot(d), d.Number
	}
	return reply
}
