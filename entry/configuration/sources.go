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
	// fetchTries bounds the peers that are asked in a row.
	fetchTries = 3
)

// startWatch watches the store in a goroutine of its own. A watch costs two
// calls of the budget: it reads what it may have missed before.
func (c *Manager) startWatch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	c.stopWatch, c.watchEnds = cancel, make(chan struct{})
	c.nextCall = time.Now().Add(2 * pollInterval)
	number, _ := c.InForce()
	ends := c.watchEnds
	go func() {
		defer close(ends)
		err := c.cfg.Tickets.Watch(ctx, number, c.watched)
		if ctx.Err() == nil {
			c.cfg.Log.Info("The watch on the store has ended.", zap.Error(err))
		}
		c.TriggerFetch()
	}()
}

// endWatch ends the watch, if there is one, and waits for it.
func (c *Manager) endWatch() {
	if c.stopWatch == nil {
		return
	}
	c.stopWatch()
	for {
		select {
		case <-c.watched:
			// The next poll reads what the ended watch has left.
		case <-c.watchEnds:
			c.stopWatch = nil
			return
		}
	}
}

// reapWatch notes that the watch has ended by itself.
func (c *Manager) reapWatch() {
	if c.stopWatch == nil {
		return
	}
	select {
	case <-c.watchEnds:
		c.endWatch()
		c.nextCall = time.Now().Add(jittered(c.backoff))
	default:
	}
}

// fetch reads the configuration from a peer that is ahead.
func (c *Manager) fetch(ctx context.Context) {
	c.reapWatch()
	number, _ := c.InForce()
	var ahead []membership.Peer
	c.cfg.Peers.WithRoster(func(r *membership.Roster) { ahead = r.PeersAhead(number) })
	for _, p := range ahead[:min(len(ahead), fetchTries)] {
		if c.fetchFrom(ctx, p, number) {
			return
		}
	}
}

func (c *Manager) fetchFrom(ctx context.Context, p membership.Peer, number uint64) bool {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := c.cfg.Peers.Client(p.Address).FetchTickets(callCtx, &wire.FetchTicketsRequest{After: number})
	if err != nil {
		c.cfg.Log.Info("A peer gave no configuration.", zap.String("peer", p.Name), zap.Error(err))
		return false
	}
	if len(reply.GetSnapshot()) > 0 {
		d, err := directory.DecodeSnapshot(reply.GetSnapshot())
		if err != nil {
			c.cfg.Log.Error("A peer's configuration is damaged.", zap.String("peer", p.Name), zap.Error(err))
			return false
		}
		c.replace(ctx, d)
	}
	var tickets []ticket.Ticket
	for _, text := range reply.GetTickets() {
		t, err := ticket.Decode(text)
		if err != nil {
			c.cfg.Log.Error("A peer's ticket is damaged.", zap.String("peer", p.Name), zap.Error(err))
			break
		}
		tickets = append(tickets, t)
	}
	c.apply(ctx, tickets)
	now, _ := c.InForce()
	return now > number
}
