package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/wire"
)

const (
	fetchTimeout = 2 * time.Second
	// maxFetchPeers bounds the peers that one fetch calls in turn.
	maxFetchPeers = 3
)

// startWatch watches the store in a separate goroutine. The start of a watch
// counts as two calls to the store, because it first reads the tickets that
// were written before the watch began.
func (m *Manager) startWatch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	m.cancelWatch, m.watchDone = cancel, make(chan struct{})
	m.nextCall = time.Now().Add(2 * pollInterval)
	number, _ := m.InForce()
	done := m.watchDone
	go func() {
		defer close(done)
		err := m.cfg.Tickets.Watch(ctx, number, m.watchedTickets)
		if ctx.Err() == nil {
			m.cfg.Log.Info("The watch on the store ended.", zap.Error(err))
		}
		m.TriggerFetch()
	}()
}

// stopWatch cancels the watch, if there is one, and waits for its goroutine.
func (m *Manager) stopWatch() {
	if m.cancelWatch == nil {
		return
	}
	m.cancelWatch()
	for {
		select {
		case <-m.watchedTickets:
			// Discarded, so that the goroutine is not blocked. The next poll reads
			// the ticket again.
		case <-m.watchDone:
			m.cancelWatch = nil
			return
		}
	}
}

// reapWatch cleans up after a watch that ended by itself and delays the next
// call to the store.
func (m *Manager) reapWatch() {
	if m.cancelWatch == nil {
		return
	}
	select {
	case <-m.watchDone:
		m.stopWatch()
		m.nextCall = time.Now().Add(jittered(m.backoff))
	default:
	}
}

// fetch reads newer tickets or a newer configuration from a peer that has them.
func (m *Manager) fetch(ctx context.Context) {
	m.reapWatch()
	number, _ := m.InForce()
	var ahead []membership.Peer
	m.cfg.Peers.WithRoster(func(r *membership.Roster) { ahead = r.PeersAhead(number) })
	for _, p := range ahead[:min(len(ahead), maxFetchPeers)] {
		if m.fetchFrom(ctx, p, number) {
			return
		}
	}
}

// fetchFrom reads from one peer what is newer than ticket number. It returns
// whether a newer configuration is in force afterwards.
func (m *Manager) fetchFrom(ctx context.Context, p membership.Peer, number uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := m.cfg.Peers.Client(p.Address).FetchTickets(callCtx, &wire.FetchTicketsRequest{After: number})
	if err != nil {
		m.cfg.Log.Info("Cannot fetch the configuration from a peer.", zap.String("peer", p.Name), zap.Error(err))
		return false
	}
	if len(reply.GetSnapshot()) > 0 {
		d, err := directory.DecodeSnapshot(reply.GetSnapshot())
		if err != nil {
			m.cfg.Log.Error("A snapshot from a peer cannot be decoded.", zap.String("peer", p.Name), zap.Error(err))
			return false
		}
		m.activate(ctx, d)
	}
	var tickets []ticket.Ticket
	for _, text := range reply.GetTickets() {
		t, err := ticket.Decode(text)
		if err != nil {
			m.cfg.Log.Error("A ticket from a peer cannot be decoded.", zap.String("peer", p.Name), zap.Error(err))
			break
		}
		tickets = append(tickets, t)
	}
	m.apply(ctx, tickets)
	current, _ := m.InForce()
	return current > number
}
