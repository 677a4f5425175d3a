package run

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/convert"
	"marigoldfront.dev/wire"
)

const (
	// speedTries bounds the peers that a starting instance asks for speeds, and
	// speedTimeout each call.
	speedTries   = 3
	speedTimeout = time.Second
	// speedWait bounds the wait for a configuration and a peer. After it own
	// observations make the speeds of others pointless.
	speedWait = time.Minute
	// speedPoll is how often the wait looks; at 100 ms an idle instance without
	// peers used 5 ms of processor time a second instead of 3.
	speedPoll = 500 * time.Millisecond
)

// speeds returns the learned run times, none once the engine has stopped.
func (in *Instance) speeds() (all []dispatch.Speed) {
	if !in.engine.Inspect(func() { all = in.dispatcher.Speeds() }) {
		return nil
	}
	return all
}

// fetchSpeeds takes over the learned run times of one peer, once at the start
// of the instance. Nothing waits for it.
func (in *Instance) fetchSpeeds(ctx context.Context) {
	waiting, cancel := context.WithTimeout(ctx, speedWait)
	defer cancel()
	asked := map[string]bool{}
	var peers []membership.Peer
	ready := func() bool {
		peers = in.speedPeers(asked)
		return len(peers) > 0 && in.configured()
	}
	for range speedTries {
		if !in.waitUntilEvery(waiting, speedPoll, ready) || in.takeSpeeds(ctx, peers[0]) {
			return
		}
		asked[peers[0].Name] = true
	}
}

func (in *Instance) configured() (ok bool) {
	return in.engine.Inspect(func() { ok = in.dispatcher.Configured() }) && ok
}

// speedPeers returns the live peers of the region that were not asked, those of
// the own availability zone first.
func (in *Instance) speedPeers(asked map[string]bool) []membership.Peer {
	var all, own, other []membership.Peer
	in.peers.WithRoster(func(r *membership.Roster) { all = r.Peers() })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, p := range all {
		switch {
		case p.State != membership.Live || p.Region != in.self.Region || asked[p.Name]:
		case p.AvailabilityZone == in.self.AvailabilityZone:
			own = append(own, p)
		default:
			other = append(other, p)
		}
	}
	return append(own, other...)
}

// takeSpeeds reports whether the peer had speeds to take over.
func (in *Instance) takeSpeeds(ctx context.Context, p membership.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, speedTimeout)
	defer cancel()
	log := in.part("speeds")
	reply, err := in.peers.Client(p.Address).FetchSpeeds(ctx, &wire.FetchSpeedsRequest{Region: in.self.Region})
	if err != nil {
		log.Debug("A peer sent no speeds.", zap.String("peer", p.Name), zap.Error(err))
		return false
	}
	learned := convert.FromSpeeds(reply.GetSpeeds())
	if len(learned) == 0 {
		return false
	}
	in.engine.Post(dispatch.ImportSpeeds{Speeds: learned})
	log.Info("Speeds are taken over.", zap.String("peer", p.Name), zap.Int("speeds", len(learned)))
	return true
}
