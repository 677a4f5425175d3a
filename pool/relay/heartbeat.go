package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/wire"
)

// confirm reports whether the owner at the address has replied recently. If it has
// not, it sends a heartbeat and waits for the reply, because the outcome of a job
// that is sent into a network partition is unknown.
func (c *Client) confirm(address string) bool {
	c.mu.Lock()
	o := c.owner(address)
	recent := c.cfg.Clock().Sub(o.lastReply) <= heartbeatEvery+overdueReply
	c.mu.Unlock()
	return recent || c.ask(o) != nil
}

// Ask sends a heartbeat to the instance at the address, which exchanges the configuration
// and the evacuated zones.
func (c *Client) Ask(address string) {
	c.mu.Lock()
	o := c.owner(address)
	c.mu.Unlock()
	c.ask(o)
}

// Serving reports whether the instance at the address replies, has the incarnation,
// owns usable or evacuated targets and does not shut down.
func (c *Client) Serving(address string, incarnation uint64) bool {
	c.mu.Lock()
	o := c.owner(address)
	c.mu.Unlock()
	out := c.ask(o)
	return out != nil && out.Load != nil && out.Incarnation == incarnation && out.Load.Cpu+out.Load.EvacuatedCpu > 0 && !out.Load.Draining
}

// ask sends a heartbeat at once and returns the reply, or nil if there is none
// within confirmTimeout. The regular heartbeats notice when the owner replies again.
func (c *Client) ask(o *owner) *wire.BeatReply {
	c.mu.Lock()
	c.startHeartbeats(o)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, confirmTimeout)
	defer cancel()
	return c.heartbeat(ctx, o, c.nextHeartbeat(o))
}

// Recall makes the owners refuse all jobs of this instance of which no task can have
// run, with their next heartbeats.
func (c *Client) Recall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recalled = true
}

// startHeartbeats starts the heartbeats to an owner unless they are active. The
// caller holds the lock.
func (c *Client) startHeartbeats(o *owner) {
	if o.heartbeatActive || c.ctx.Err() != nil {
		return
	}
	o.heartbeatActive = true
	c.wg.Go(func() { c.heartbeatLoop(o) })
}

// heartbeatLoop sends heartbeats to an owner while jobs are in flight there, and
// while it does not reply, up to probePeriod. It sends one more without jobs, so
// that the owner stops jobs whose replies are no longer awaited.
func (c *Client) heartbeatLoop(o *owner) {
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.ctx.Done():
			return
		}
		c.settle()
		in := c.nextHeartbeat(o)
		ctx, cancel := context.WithTimeout(c.ctx, c.heartbeatTimeout(o))
		c.heartbeat(ctx, o, in)
		cancel()
		if len(in.Jobs) == 0 && c.stopHeartbeatsIfIdle(o) {
			return
		}
	}
}

// settle waits after a stall of this instance, so that the next heartbeat does not list
// jobs whose callers have disconnected during it.
func (c *Client) settle() {
	for end := time.Now().Add(maxSettleTime); c.cfg.StallAge() > 0 && time.Now().Before(end); {
		time.Sleep(settleInterval)
	}
}

// stopHeartbeatsIfIdle ends the heartbeats to an owner unless another job is in
// flight there or the owner is being probed. It reports whether they have ended.
func (c *Client) stopHeartbeatsIfIdle(o *owner) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	probing := !o.unresponsiveSince.IsZero() && time.Since(o.unresponsiveSince) < probePeriod
	o.heartbeatActive = len(o.inFlight) > 0 || probing
	return !o.heartbeatActive
}

// nextHeartbeat returns the next heartbeat to an owner, which lists the jobs whose
// replies are awaited. Its time is that before a stall of this instance, as long as
// callers may have disconnected unnoticed.
func (c *Client) nextHeartbeat(o *owner) *wire.BeatRequest {
	version, set := c.cfg.Version(), c.cfg.Evacuation()
	c.mu.Lock()
	defer c.mu.Unlock()
	o.heartbeats++
	o.heartbeatSent = time.Now()
	in := &wire.BeatRequest{
		Sender: c.cfg.Name, Incarnation: c.cfg.Incarnation, Configuration: version, Number: o.heartbeats, Last: c.lastID,
		Sent: o.estimateTime(c.cfg.Clock(), c.cfg.StallAge()), Recall: c.recalled, Evacuation: evacuationToWire(set),
	}
	for id, job := range o.inFlight {
		in.Jobs = append(in.Jobs, id)
		if time.Since(job.sent) >= overdueAfter {
			in.Overdue = append(in.Overdue, id)
		}
	}
	return in
}

// heartbeat sends a heartbeat, processes its reply and returns it, or nil if there is
// none. If the owner has not replied for ownerTimeout, it ends the wait for all jobs
// there.
func (c *Client) heartbeat(ctx context.Context, o *owner, in *wire.BeatRequest) *wire.BeatReply {
	out, err := o.client.Beat(ctx, in)
	if err == nil {
		c.recordReply(o, out.Load, out.Time, out.Epoch)
		c.reconcile(o, out)
		if out.Evacuation != nil {
			c.cfg.OnEvacuation(EvacuationFromWire(out.Evacuation))
		}
		if out.Configuration > c.cfg.Version() {
			c.cfg.OnNewerConfiguration(o.client)
		}
		return out
	}
	c.markUnresponsive(o)
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := c.cfg.Clock().Sub(o.lastReply)
	if len(o.inFlight) == 0 || silent < ownerTimeout {
		return nil
	}
	c.cfg.Log.Warn("An owner is unresponsive; its jobs are no longer awaited.", zap.Int("jobs", len(o.inFlight)), zap.Error(err),
		zap.Duration("silent", silent))
	for _, job := range o.inFlight {
		job.cancel(errOwnerUnresponsive)
	}
	return nil
}

// heartbeatTimeout returns the timeout of the next heartbeat to an owner. It ends
// when the owner becomes unresponsive, so that its jobs wait no longer.
func (c *Client) heartbeatTimeout(o *owner) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := ownerTimeout - c.cfg.Clock().Sub(o.lastReply)
	if left <= 0 {
		return maxHeartbeatTimeout
	}
	return min(max(left, minHeartbeatTimeout), maxHeartbeatTimeout)
}

// reconcile ends the wait for jobs whose replies arrived with the heartbeat, and
// for overdue jobs that are missing at the owner. A missing job has certainly not
// run if the epoch of the owner's ledger is the one from before the job was sent.
func (c *Client) reconcile(o *owner, out *wire.BeatReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range out.Ended {
		if job := o.inFlight[e.Id]; job != nil && e.Reply != nil {
			job.reply = e.Reply
			job.cancel(errReplyByHeartbeat)
		}
	}
	for _, id := range out.Missing {
		job := o.inFlight[id]
		switch {
		case job == nil:
		case job.epoch != 0 && job.epoch == out.Epoch:
			job.cancel(errJobNotReceived)
		default:
			job.cancel(errOwnerUnresponsive)
		}
	}
}
