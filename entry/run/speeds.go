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
	// maxSpeedPeers bounds the peers that a starting instance asks for learned
	// run times, and speedTimeout bounds each call.
	maxSpeedPeers = 3
	speedTimeout  = time.Second
	// speedWaitLimit bounds the wait for a configuration and a live peer. After
	// that time the instance has learned run times from its own observations.
	speedWaitLimit = time.Minute
	// speedPollInterval is the interval of the checks during that wait. At
	// 100 ms an idle instance without peers used 5 ms of CPU time a second
	// instead of 3 ms.
	speedPollInterval = 500 * time.Millisecond
)

// speeds returns the learned run times, or none after the engine has stopped.
func (in *Instance) speeds() (all []dispatch.Speed) {
	if !in.engine.Inspect(func() { all = in.dispatcher.Speeds() }) {
		return nil
	}
	return all
}

// fetchSpeeds imports the learned run times of one peer, once after the start of
// the instance. The instance serves requests without waiting for it.
func (in *Instance) fetchSpeeds(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, speedWaitLimit)
	defer cancel()
	tried := map[string]bool{}
	var peers []membership.Peer
	ready := func() bool {
		peers = in.speedPeers(tried)
		return len(peers) > 0 && in.configured()
	}
	for range maxSpeedPeers {
		if !in.waitUntilEvery(waitCtx, speedPollInterval, ready) || in.importSpeeds(ctx, peers[0]) {
			return
		}
		tried[peers[0].Name] = true
	}
}

// configured reports whether the Dispatcher has a configuration.
func (in *Instance) configured() (ok bool) {
	return in.engine.Inspect(func() { ok = in.dispatcher.Configured() }) && ok
}

// speedPeers returns the live peers of the region that are not in tried, those
// of the same availability zone first.
func (in *Instance) speedPeers(tried map[string]bool) []membership.Peer {
	var all, own, other []membership.Peer
	in.peers.WithRoster(func(r *membership.Roster) { all = r.Peers() })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, p := range all {
		switch {
		case p.State != membership.Live || p.Region != in.self.Region || tried[p.Name]:
		case p.AvailabilityZone == in.self.AvailabilityZone:
			own = append(own, p)
		default:
			other = append(other, p)
		}
	}
	return append(own, other...)
}

// importSpeeds imports the learned run times of a peer and reports whether
// there were any.
func (in *Instance) importSpeeds(ctx context.Context, p membership.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, speedTimeout)
	defer cancel()
	log := in.logger("speeds")
	reply, err := in.peers.Client(p.Address).FetchSpeeds(ctx, &wire.FetchSpeedsRequest{Region: in.self.Region})
	if err != nil {
		log.Debug("The learned run times of a peer cannot be fetched.", zap.String("peer", p.Name), zap.Error(err))
		return false
	}
	speeds := convert.FromSpeeds(reply.GetSpeeds())
	if len(speeds) == 0 {
		return false
	}
	in.engine.Post(dispatch.ImportSpeeds{Speeds: speeds})
	log.Info("Imported the learned run times of a peer.", zap.String("peer", p.Name), zap.Int("speeds", len(speeds)))
	return true
}
