package run

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/relay"
	"marigoldfront.dev/wire"
)

// ownLoad returns the load of the instance's targets. The result is cached for
// maxLoadAge.
func (in *Instance) ownLoad() relay.Load {
	if l := in.load.Load(); l != nil && time.Since(l.ReportedAt) < maxLoadAge {
		return *l
	}
	l := relay.Load{ReportedAt: time.Now(), Draining: in.draining.Load()}
	in.loop.Inspect(func(s *scheduler.Scheduler) {
		st := s.Stats()
		l.ForecastWait, l.FreeCPU, l.CPU, l.Queued, l.Rooms = st.ForecastWait, st.FreeCPU, st.CPU, st.Queued, st.Rooms
		l.EvacuatedCPU = st.EvacuatedCPU
	})
	in.load.Store(&l)
	return l
}

func (in *Instance) wireLoad() *wire.PoolLoad {
	l := in.ownLoad()
	return &wire.PoolLoad{
		WaitMs: l.ForecastWait.Milliseconds(), FreeCpu: l.FreeCPU, Cpu: l.CPU, Queued: int32(l.Queued), Draining: l.Draining,
		EvacuatedCpu: l.EvacuatedCPU, Rooms: relay.RoomsToWire(l.Rooms),
	}
}

// holders returns the claims of all instances to the shards of a service, without those
// in evacuated zones.
func (in *Instance) holders(service string) map[ownership.Shard]ownership.Claim {
	all, set := in.claims.Holders(service), in.configuration.Evacuation()
	if len(set.Zones) > 0 {
		maps.DeleteFunc(all, func(s ownership.Shard, _ ownership.Claim) bool { return set.Contains(s.Zone) })
	}
	return all
}

// applyEvacuation applies the set of evacuated zones of another instance.
func (in *Instance) applyEvacuation(s evacuation.Set) {
	in.configuration.ApplyEvacuation(s, "instance")
}

// askInstance asks another instance, chosen at random, for what is in force there.
func (in *Instance) askInstance() {
	if peers := in.claims.Peers(); len(peers) > 0 {
		in.relayClient.Ask(peers[rand.IntN(len(peers))])
	}
}

// fetchConfiguration reads and applies a newer configuration from another
// instance.
func (in *Instance) fetchConfiguration(p wire.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	out, err := p.FetchConfiguration(ctx, &wire.FetchConfigurationRequest{})
	if err != nil {
		in.log.Info("A newer configuration could not be fetched.", zap.Error(err))
		return
	}
	in.applyEvacuation(relay.EvacuationFromWire(out.Evacuation))
	in.configuration.ApplyIfNewer(out.Value, "instance")
}
