package peering

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

const (
	roundInterval = time.Second
	// roundJitter is the largest deviation of an interval, as a share of
	// roundInterval, in both directions.
	roundJitter = 0.2
	callTimeout = time.Second
	// maxSentHandovers bounds the recent handovers in a message.
	maxSentHandovers = 32
)

// ExchangerConfig holds the dependencies of an Exchanger.
type ExchangerConfig struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Peers   *peers.Registry
	// InForce returns the ticket number and the digest of the configuration in
	// force.
	InForce func() (number, digest uint64)
	// Draining reports whether this instance is draining.
	Draining func() bool
	// OnRosterUpdate is called after each message from a peer and after each
	// failed call to a peer. It must not block.
	OnRosterUpdate func()
}

// Exchanger sends periodic messages about this instance to peers and merges
// the messages of peers into the roster. It is safe for concurrent use.
type Exchanger struct {
	cfg  ExchangerConfig
	self membership.Identity
	// trigger holds a token if the next round is due immediately.
	trigger chan struct{}
	done    chan struct{}
	wg      sync.WaitGroup
}

// NewExchanger returns an Exchanger; Run starts it.
func NewExchanger(cfg ExchangerConfig) *Exchanger {
	e := &Exchanger{cfg: cfg, trigger: make(chan struct{}, 1), done: make(chan struct{})}
	cfg.Peers.WithRoster(func(r *membership.Roster) { e.self = r.Self() })
	return e
}

// Run sends a round of messages about every second until ctx ends, and waits
// for the calls in flight.
func (e *Exchanger) Run(ctx context.Context) {
	defer close(e.done)
	defer e.wg.Wait()
	rng := rand.New(rand.NewPCG(rand.Uint64(), e.self.Incarnation))
	for {
		var to []membership.Peer
		e.cfg.Peers.WithRoster(func(r *membership.Roster) { to = r.ExchangePeers(rng) })
		e.startExchanges(ctx, to)
		jitter := 1 + roundJitter*(2*rng.Float64()-1)
		select {
		case <-time.After(time.Duration(jitter * float64(roundInterval))):
		case <-e.trigger:
		case <-ctx.Done():
			return
		}
	}
}

// TriggerRound starts the next round immediately. It does not block.
func (e *Exchanger) TriggerRound() {
	select {
	case e.trigger <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed when Run has returned.
func (e *Exchanger) Done() <-chan struct{} { return e.done }

// AnnounceTicket starts to send a message to up to four peers, so that they
// receive the number of a new ticket before their next round.
func (e *Exchanger) AnnounceTicket(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), e.self.Incarnation))
	var to []membership.Peer
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { to = r.AnnouncePeers(rng) })
	e.startExchanges(ctx, to)
}

// Broadcast sends a message to every known peer and waits for the replies. A
// draining instance uses it to make its state and its successor known before it
// exits.
func (e *Exchanger) Broadcast(ctx context.Context) {
	var all []membership.Peer
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { all = r.Peers() })
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { e.exchange(ctx, p) })
	}
	wg.Wait()
}

// startExchanges starts an exchange with each peer. Run waits for their end.
func (e *Exchanger) startExchanges(ctx context.Context, to []membership.Peer) {
	for _, p := range to {
		e.wg.Go(func() { e.exchange(ctx, p) })
	}
}

// exchange sends the message of this instance to a peer and merges the reply. It
// records a failure in the roster, unless the parent context was canceled.
func (e *Exchanger) exchange(ctx context.Context, p membership.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.cfg.Peers.Client(p.Address).Exchange(ctx, e.Message())
	if err == nil {
		e.cfg.Metrics.CountExchange("ok")
		e.MergeMessage(reply)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	e.cfg.Metrics.CountExchange("error")
	e.cfg.Log.Debug("An exchange with a peer failed.", zap.String("peer", p.Name), zap.Error(err))
	refused := errors.Is(err, syscall.ECONNREFUSED)
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordFailure(time.Now(), p.Name, refused) })
	e.cfg.OnRosterUpdate()
}

// MergeMessage merges a message of a peer into the roster.
func (e *Exchanger) MergeMessage(m *wire.ExchangeMessage) {
	msg := membership.Message{
		From: membership.Identity{
			Name: m.GetInstance(), Region: m.GetRegion(), AvailabilityZone: m.GetAvailabilityZone(),
			Address: m.GetAddress(), Incarnation: m.GetIncarnation(),
		},
		Draining:        m.GetState() == wire.PeerState_PEER_STATE_DRAINING,
		Ticket:          m.GetTicket(),
		KnownTicket:     m.GetKnownTicket(),
		ConfirmationAge: time.Duration(m.GetConfirmationAgeMs()) * time.Millisecond,
	}
	for _, moved := range m.GetMoved() {
		msg.Handovers = append(msg.Handovers, membership.Handover{
			Incarnation: moved.GetIncarnation(), Successor: moved.GetSuccessorAddress(),
			Age: time.Duration(moved.GetAgeMs()) * time.Millisecond,
		})
	}
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { r.MergeMessage(time.Now(), msg) })
	e.cfg.OnRosterUpdate()
}

// Message returns the message that describes this instance.
func (e *Exchanger) Message() *wire.ExchangeMessage {
	number, digest := e.cfg.InForce()
	m := &wire.ExchangeMessage{
		Instance: e.self.Name, Address: e.self.Address, Region: e.self.Region,
		AvailabilityZone: e.self.AvailabilityZone, Incarnation: e.self.Incarnation,
		State: wire.PeerState_PEER_STATE_LIVE, Ticket: number, TicketDigest: digest,
	}
	if e.cfg.Draining() {
		m.State = wire.PeerState_PEER_STATE_DRAINING
	}
	now := time.Now()
	e.cfg.Peers.WithRoster(func(r *membership.Roster) {
		m.KnownTicket = r.HighestTicket()
		m.ConfirmationAgeMs = r.ConfirmationAge(now).Milliseconds()
		for _, h := range r.RecentHandovers(now, maxSentHandovers) {
			m.Moved = append(m.Moved, &wire.MovedIncarnation{
				Incarnation: h.Incarnation, SuccessorAddress: h.Successor, AgeMs: h.Age.Milliseconds(),
			})
		}
	})
	return m
}
