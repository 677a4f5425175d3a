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
	// roundJitter is the part of the interval by which rounds vary.
	roundJitter = 0.2
	callTimeout = time.Second
	// sentMoves is the number of moved incarnations in a message.
	sentMoves = 32
)

// ExchangerConfig holds the dependencies of an Exchanger.
type ExchangerConfig struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Peers   *peers.Registry
	// InForce returns the number and the digest of the configuration.
	InForce  func() (number, digest uint64)
	Draining func() bool
	// OnRosterUpdate is called after each message from a peer. It must not block.
	OnRosterUpdate func()
}

// Exchanger sends the periodic messages to peers.
type Exchanger struct {
	cfg  ExchangerConfig
	self membership.Identity
	// kick holds a token while a round is due at once.
	kick chan struct{}
	done chan struct{}
	wg   sync.WaitGroup
}

// NewExchanger returns an Exchanger; Run starts it.
func NewExchanger(cfg ExchangerConfig) *Exchanger {
	e := &Exchanger{cfg: cfg, kick: make(chan struct{}, 1), done: make(chan struct{})}
	cfg.Peers.WithRoster(func(r *membership.Roster) { e.self = r.Self() })
	return e
}

// Run sends a round of messages every second until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	defer close(e.done)
	defer e.wg.Wait()
	rng := rand.New(rand.NewPCG(rand.Uint64(), e.self.Incarnation))
	for {
		var round []membership.Peer
		e.cfg.Peers.WithRoster(func(r *membership.Roster) { round = r.ExchangePeers(rng) })
		e.send(ctx, round)
		spread := 1 + roundJitter*(2*rng.Float64()-1)
		select {
		case <-time.After(time.Duration(spread * float64(roundInterval))):
		case <-e.kick:
		case <-ctx.Done():
			return
		}
	}
}

// TriggerRound makes the next round follow at once. It does not block.
func (e *Exchanger) TriggerRound() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Done is closed when Run has ended.
func (e *Exchanger) Done() <-chan struct{} { return e.done }

// AnnounceTicket tells up to four peers of a new ticket at once.
func (e *Exchanger) AnnounceTicket(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), e.self.Incarnation))
	var to []membership.Peer
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { to = r.AnnouncePeers(rng) })
	e.send(ctx, to)
}

// Broadcast tells every peer of the region and waits for the replies, so that
// a draining instance's successor is known before it ends.
func (e *Exchanger) Broadcast(ctx context.Context) {
	var all []membership.Peer
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { all = r.Peers() })
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() { e.call(ctx, p) })
	}
	wg.Wait()
}

func (e *Exchanger) send(ctx context.Context, to []membership.Peer) {
	for _, p := range to {
		e.wg.Go(func() { e.call(ctx, p) })
	}
}

func (e *Exchanger) call(ctx context.Context, p membership.Peer) {
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
	e.cfg.Log.Debug("A peer gave no reply.", zap.String("peer", p.Name), zap.Error(err))
	refused := errors.Is(err, syscall.ECONNREFUSED)
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordFailure(time.Now(), p.Name, refused) })
	e.cfg.OnRosterUpdate()
}

// MergeMessage merges a peer's message.
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
	for _, mv := range m.GetMoved() {
		msg.Handovers = append(msg.Handovers, membership.Handover{
			Incarnation: mv.GetIncarnation(), Successor: mv.GetSuccessorAddress(),
			Age: time.Duration(mv.GetAgeMs()) * time.Millisecond,
		})
	}
	e.cfg.Peers.WithRoster(func(r *membership.Roster) { r.MergeMessage(time.Now(), msg) })
	e.cfg.OnRosterUpdate()
}

// Message returns this instance's own message.
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
		for _, mv := range r.RecentHandovers(now, sentMoves) {
			m.Moved = append(m.Moved, &wire.MovedIncarnation{
				Incarnation: mv.Incarnation, SuccessorAddress: mv.Successor, AgeMs: mv.Age.Milliseconds(),
			})
		}
	})
	return m
}
