package placement

import "time"

const (
	// importedSamples bounds the weight of a run time learned by another instance,
	// so that a few own observations outweigh it. It is also the minimum number
	// of samples behind a speed that is imported.
	importedSamples = 4
	// importedMeanSamples is the weight of the mean of a service that is derived
	// from imported speeds. It is well above importedSamples: with equal weights,
	// a wrong speed of the only target in use was attributed to the service and
	// never corrected. It is below the number of samples that hedging requires.
	importedMeanSamples = 50
	// maxImportedRunTime is the longest run time that is imported. No job lasts
	// longer.
	maxImportedRunTime = 10 * time.Minute
)

// plausible reports whether a speed may be imported. Speeds based on fewer than
// importedSamples run times are excluded because they are mostly noise.
func (s *Speed) plausible() bool {
	return s.Mean > 0 && s.Mean <= maxImportedRunTime && s.Samples >= importedSamples
}

// ImportSpeeds adopts run times learned by another instance, for those pairs of
// target and service for which this instance has none. It ignores implausible
// speeds and unknown targets and services.
func (t *Table) ImportSpeeds(all []Speed) {
	imported := make(map[*service][]*profile)
	for _, sp := range all {
		p := t.profile(sp.Target, sp.Service)
		if p == nil || p.samples > 0 || !sp.plausible() {
			continue
		}
		p.runTimeStats = runTimeStats{samples: min(sp.Samples, importedSamples), mean: float64(sp.Mean)}
		imported[p.service] = append(imported[p.service], p)
	}
	for s, profiles := range imported {
		s.importSpeeds(profiles)
	}
	if len(imported) > 0 {
		t.refresh()
	}
}

// importSpeeds derives the slowness of targets from their imported run times. If
// the service has no samples, its mean is first set from them too. Until then, the
// mean is the configured expected run time, which may be so wrong that every
// slowness would reach its bound.
func (s *service) importSpeeds(profiles []*profile) {
	if s.samples == 0 {
		slots, rate := 0.0, 0.0
		for _, p := range profiles {
			slots += float64(p.target.Slots)
			rate += float64(p.target.Slots) / p.mean
		}
		if rate > 0 {
			s.mean, s.samples = slots/rate, importedMeanSamples
		}
	}
	for _, p := range profiles {
		p.slowness = min(max(p.mean/s.mean, minSlowness), maxSlowness)
	}
}
