package run

import (
	"time"

	"marigoldfront.dev/core/dispatch"
)

// dispatcherConfig returns the configuration of the Dispatcher for an
// incarnation of the instance.
func (s *Settings) dispatcherConfig(incarnation uint64) dispatch.Config {
	cfg := dispatch.DefaultConfig(s.Name, incarnation)
	cfg.Region, cfg.AvailabilityZone = s.Region, s.AvailabilityZone
	cfg.MinBorrowBacklog = time.Duration(s.BorrowFromMS) * time.Millisecond
	if s.Policy == "baseline" {
		cfg.Policy = dispatch.PolicyBaseline
	}
	return cfg
}
