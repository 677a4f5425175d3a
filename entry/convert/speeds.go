package convert

import (
	"cmp"
	"slices"
	"time"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/wire"
)

const (
	// MaxSpeeds bounds the learned run times in a message, to well below 1 MB.
	MaxSpeeds = 8192
	// maxMeanUS and maxSamples keep values of the wire within the range of
	// their types; the core judges whether they are plausible.
	maxMeanUS  = int64(time.Hour / time.Microsecond)
	maxSamples = 1 << 30
)

// ToSpeeds returns the MaxSpeeds learned run times with the most samples.
func ToSpeeds(all []dispatch.Speed) []*wire.Speed {
	if len(all) > MaxSpeeds {
		slices.SortStableFunc(all, func(a, b dispatch.Speed) int { return cmp.Compare(b.Samples, a.Samples) })
		all = all[:MaxSpeeds]
	}
	out := make([]*wire.Speed, 0, len(all))
	for _, s := range all {
		out = append(out, &wire.Speed{
			Target: s.Target, Service: s.Service, MeanUs: s.Mean.Microseconds(), Samples: int64(s.Samples),
		})
	}
	return out
}

// FromSpeeds returns the first MaxSpeeds run times of a message.
func FromSpeeds(all []*wire.Speed) []dispatch.Speed {
	all = all[:min(len(all), MaxSpeeds)]
	out := make([]dispatch.Speed, 0, len(all))
	for _, s := range all {
		mean := min(max(s.GetMeanUs(), 0), maxMeanUS)
		out = append(out, dispatch.Speed{
			Target: s.GetTarget(), Service: s.GetService(), Mean: time.Duration(mean) * time.Microsecond,
			Samples: int(min(max(s.GetSamples(), 0), maxSamples)),
		})
	}
	return out
}
