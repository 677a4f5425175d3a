package run

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"marigoldfront.dev/core/ownership"
	"marigoldfront.dev/core/poolstatus"
	"marigoldfront.dev/core/scheduler"
)

// operatorHandler returns the handler of the metrics and the status.
func (in *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", in.metrics.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(in.status()); err != nil {
			in.log.Info("The status was not written.", zap.Error(err))
		}
	})
	return rendered(mux)
}

// status returns the state of the instance, its view of the claims of all
// instances, and its targets and jobs.
func (in *Instance) status() poolstatus.Status {
	out := poolstatus.Status{
		Instance: in.cfg.Name, AvailabilityZone: in.cfg.AvailabilityZone, PeerAddress: in.cfg.PeerAddress,
		State: "serving", Configuration: in.configuration.Version(), Claims: []poolstatus.Claim{},
	}
	set := in.configuration.Evacuation()
	out.EvacuatedZones, out.EvacuationRevision = append([]string{}, set.Zones...), set.Revision
	c := in.configuration.Catalog()
	switch {
	case in.draining.Load():
		out.State = "draining"
	case c == nil:
		out.State = "unconfigured"
	}
	if c != nil {
		for _, service := range c.Services {
			for s, claim := range in.claims.Holders(service) {
				out.Claims = append(out.Claims, claimStatus(s, claim))
			}
		}
	}
	slices.SortFunc(out.Claims, func(a, b poolstatus.Claim) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone),
			cmp.Compare(a.Shard, b.Shard))
	})
	in.loop.Inspect(func(s *scheduler.Scheduler) { out.Targets, out.Jobs = s.Status() })
	return out
}

func claimStatus(s ownership.Shard, c ownership.Claim) poolstatus.Claim {
	return poolstatus.Claim{
		Service: s.Service, AvailabilityZone: s.Zone, Shard: s.Index, Holder: c.Holder, Fence: c.Revision, KeyMissing: c.KeyMissing,
	}
}
