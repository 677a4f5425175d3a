package placement

import "time"

const (
	// takenSamples bounds the weight of a run time that another instance
	// learned, so that a few own observations prevail over it. It is also the
	// least number of samples of a speed that is taken over.
	takenSamples = 4
	// takenMeanSamples is the weight of a service's mean that is taken over. It
	// is well above takenSamples: with equal weights, a wrong speed of the one
	// target in use was put down to the service and never corrected. It is
	// below the number of own samples that a hedge needs.
	takenMeanSamples = 50
	// maxTaken bounds a run time that is taken over: a job lasts no longer.
	maxTaken = 10 * time.Minute
)

// plausible leaves out the speeds of fewer than takenSamples run times too,
// because they are mostly noise.
func (s *Speed) plausible() bool {
	return s.Mean > 0 && s.Mean <= maxTaken && s.Samples >= takenSamples
}

// ImportSpeeds sets the run times that another instance learned, where this one has
// learned nothing of the target for the service. Implausible ones are ignored.
func (t *Table) ImportSpeeds(all []Speed) {
	taken := make(map[*service][]*pair)
	for _, sp := range all {
		p := t.pair(sp.Target, sp.Service)
		if p == nil || p.samples > 0 || !sp.plausible() {
			continue
		}
		p.speed = speed{samples: min(sp.Samples, takenSamples), mean: float64(sp.Mean)}
		taken[p.service] = append(taken[p.service], p)
	}
	for s, pairs := range taken {
		s.takeOver(pairs)
	}
	if len(taken) > 0 {
		t.refresh()
	}
}

// takeOver derives the slowness of targets from their run times. The service's
// mean follows them where nothing was learned of it: then it is the declared
// one, which may be far off and push every slowness to its bound.
func (s *service) takeOver(pairs []*pair) {
	if s.samples == 0 {
		slots, rate := 0.0, 0.0
		for _, p := range pairs {
			slots += float64(p.target.Slots)
			rate += float64(p.target.Slots) / p.mean
		}
		if rate > 0 {
			s.mean, s.samples = slots/rate, takenMeanSamples
		}
	}
	for _, p := range pairs {
		p.slowness = min(max(p.mean/s.mean, minSlowness), maxSlowness)
	}
}
